// Who is turned away while more submissions come than the state service takes: by team, so that one
// that sends thousands of jobs does not use up the writes of those that send a few. It speaks only
// after the state service has said that its limit is reached (429); an outage is another matter.
#pragma once

#include <map>
#include <string>

#include "core/model/time.h"

namespace badgershore {

class AdmissionControl {
 public:
  // A submission of the team that would need a write. 0: it may be tried; else the seconds after
  // which its user is to come back.
  int TurnAway(Micros now, const std::string& team);
  // The state service refused a submission's write for its limit.
  void Limited(Micros now) { limited_at_ = now; }

 private:
  void Fade(Micros now);

  std::map<std::string, double> tried_;  // submissions of late, by team; fades
  Micros faded_at_;
  Micros limited_at_{-1000000000};
};

}  // namespace badgershore
