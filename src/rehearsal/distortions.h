// Faults of single messages. No random number is drawn while a share is 0, so that a scenario
// without the fault keeps its history.
#pragma once

#include <set>
#include <string>

#include "rehearsal/clock.h"

namespace badgershore::rehearsal {

struct MessageFaults {
  double slow_state_share = 0;  // of messages to and from the state service: delayed by up to 6 s
  double delayed_write_share = 0;        // of writes: no response, applied 2 to 12 s later
  double duplicate_heartbeat_share = 0;  // of heartbeats: a duplicate arrives later
  double held_heartbeat_share = 0;     // of heartbeats: a duplicate is delivered to the next leader
  double delayed_command_share = 0;    // of direct commands: no response, executed 2 to 16 s later
  double duplicate_command_share = 0;  // of direct commands and of responses to heartbeats: a
                                       // duplicate arrives later
  std::set<std::string> cannot_receive;  // machines that receive nothing
  std::set<std::string> cannot_send;  // machines whose requests are lost; their responses are not

  Micros StateDelay(Clock* clock) const {
    return Occurs(clock, slow_state_share) ? clock->RandomDuration(0.3, 6) : Micros{};
  }
  // The delay until the write is applied without a response; 0: applied at once, with a response.
  Micros WriteDelay(Clock* clock) const {
    return Occurs(clock, delayed_write_share) ? clock->RandomDuration(2, 12) : Micros{};
  }
  // The delay until the duplicate arrives; 0: no duplicate.
  Micros DuplicateDelay(Clock* clock, Micros lease) const {
    return Occurs(clock, duplicate_heartbeat_share)
               ? clock->RandomDuration(2, 2 * lease.ToSeconds())
               : Micros{};
  }
  // The delay until the command is executed without a response; 0: executed at once.
  Micros CommandDelay(Clock* clock) const {
    return Occurs(clock, delayed_command_share) ? clock->RandomDuration(2, 16) : Micros{};
  }
  // The delay until the duplicate arrives; 0: no duplicate.
  Micros CommandDuplicateDelay(Clock* clock, Micros lease) const {
    return Occurs(clock, duplicate_command_share) ? clock->RandomDuration(2, lease.ToSeconds())
                                                  : Micros{};
  }
  bool HoldsHeartbeat(Clock* clock) const { return Occurs(clock, held_heartbeat_share); }

 private:
  static bool Occurs(Clock* clock, double share) {
    return share > 0 && clock->RandomFraction() < share;
  }
};

}  // namespace badgershore::rehearsal
