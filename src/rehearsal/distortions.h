// What troubles do to single messages. No chance is taken while a share is 0, so that a scenario
// without the trouble is the same with and without this.
#pragma once

#include <set>
#include <string>

#include "rehearsal/clock.h"

namespace badgershore::rehearsal {

struct Distortions {
  double slow_state = 0;        // of messages to and from the state service: late by up to 6 s
  double late_writes = 0;       // of changes: no answer, carried out 2 to 12 s later
  double late_reports = 0;      // of reports: a copy arrives again
  double reports_for_next = 0;  // of reports: a copy is kept until a new leader has begun
  std::set<std::string> deaf;   // machines: what is said to them is lost
  std::set<std::string> mute;   // machines: what they begin to say is lost, their answers are not

  Micros StateDelay(Clock* clock) const {
    return Hits(clock, slow_state) ? clock->Between(0.3, 6) : Micros{};
  }
  // When it is carried out after all; 0: at once, and answered.
  Micros WriteDelay(Clock* clock) const {
    return Hits(clock, late_writes) ? clock->Between(2, 12) : Micros{};
  }
  // When the copy comes; 0: there is none.
  Micros CopyDelay(Clock* clock, Micros lease) const {
    return Hits(clock, late_reports) ? clock->Between(2, 2 * lease.ToSeconds()) : Micros{};
  }
  bool KeepsCopy(Clock* clock) const { return Hits(clock, reports_for_next); }

 private:
  static bool Hits(Clock* clock, double share) { return share > 0 && clock->Chance() < share; }
};

}  // namespace badgershore::rehearsal
