// Faults of single messages. No random number is drawn while a share is 0, so that a scenario
// without the fault keeps its history.
#pragma once

#include <set>
#include <string>

#include "rehearsal/clock.h"

namespace badgershore::rehearsal {

struct Distortions {
  double slow_state = 0;        // of messages to and from the state service: delayed by up to 6 s
  double late_writes = 0;       // of writes: no response, applied 2 to 12 s later
  double late_reports = 0;      // of heartbeats: a duplicate arrives later
  double reports_for_next = 0;  // of heartbeats: a duplicate is delivered to the next leader
  std::set<std::string> deaf;   // machines that receive nothing
  std::set<std::string> mute;   // machines whose requests are lost; their responses are not

  Micros StateDelay(Clock* clock) const {
    return Hits(clock, slow_state) ? clock->Between(0.3, 6) : Micros{};
  }
  // The delay until the write is applied without a response; 0: applied at once, with a response.
  Micros WriteDelay(Clock* clock) const {
    return Hits(clock, late_writes) ? clock->Between(2, 12) : Micros{};
  }
  // The delay until the duplicate arrives; 0: no duplicate.
  Micros CopyDelay(Clock* clock, Micros lease) const {
    return Hits(clock, late_reports) ? clock->Between(2, 2 * lease.ToSeconds()) : Micros{};
  }
  bool KeepsCopy(Clock* clock) const { return Hits(clock, reports_for_next); }

 private:
  static bool Hits(Clock* clock, double share) { return share > 0 && clock->Chance() < share; }
};

}  // namespace badgershore::rehearsal
