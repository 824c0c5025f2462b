// Admission control for submissions while the write rate limit of the state service is reached.
#pragma once

#include <map>
#include <string>

#include "core/model/time.h"

namespace badgershore {

// Divides the rate-limited writes fairly among teams, so that a team that submits thousands of jobs
// does not use up the writes of the others. Takes effect only after the state service has responded
// with 429, not during an outage.
class AdmissionControl {
 public:
  // Decides on a submission that needs a write. 0: admitted; otherwise the number of seconds after
  // which the user should retry.
  int RetryAfterSeconds(Micros now, const std::string& team);
  // Called when the state service rejected the write of a submission because of its rate limit.
  void OnRateLimited(Micros now) { rate_limited_at_ = now; }

 private:
  void Decay(Micros now);

  std::map<std::string, double> attempts_;  // by team, decaying exponentially
  Micros decayed_at_;
  Micros rate_limited_at_{-1000000000};
};

}  // namespace badgershore
