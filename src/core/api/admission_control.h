// Admission control for submissions while the state service's write limit is reached.
#pragma once

#include <map>
#include <string>

#include "core/model/time.h"

namespace badgershore {

// Shares the limited writes among teams, so that one that submits thousands of jobs does not use up
// the writes of the others. Acts only after a 429 of the state service, not in an outage.
class AdmissionControl {
 public:
  // For a submission that would need a write. 0: try it; else the seconds after which the user is
  // to retry.
  int RetryAfterSeconds(Micros now, const std::string& team);
  // The state service refused a submission's write for its limit.
  void OnRateLimited(Micros now) { rate_limited_at_ = now; }

 private:
  void Decay(Micros now);

  std::map<std::string, double> attempts_;  // by team; decay exponentially
  Micros decayed_at_;
  Micros rate_limited_at_{-1000000000};
};

}  // namespace badgershore
