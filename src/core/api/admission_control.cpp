#include "core/api/admission_control.h"

#include <algorithm>
#include <cmath>

namespace badgershore {
namespace {

constexpr Micros kDecayTime = Seconds(10);
// How long after a rate-limited write the limit is assumed to be still reached.
constexpr Micros kRateLimitAssumedFor = Seconds(3);
constexpr double kNegligibleAttempts = 0.05;
// A team is rejected if its attempts exceed this multiple of the mean of all teams.
constexpr double kMaxMultipleOfMean = 1.2;
// Users give up after a minute.
constexpr int kMaxRetryAfterSeconds = 10;

}  // namespace

void AdmissionControl::Decay(Micros now) {
  const double factor = std::exp(-(now - decayed_at_).ToSeconds() / kDecayTime.ToSeconds());
  decayed_at_ = now;
  for (auto it = attempts_.begin(); it != attempts_.end();) {
    it->second *= factor;
    it = it->second < kNegligibleAttempts ? attempts_.erase(it) : std::next(it);
  }
}

int AdmissionControl::RetryAfterSeconds(Micros now, const std::string& team) {
  Decay(now);
  if (now - rate_limited_at_ < kRateLimitAssumedFor) {
    double total = 0;
    for (const auto& [name, attempts] : attempts_) total += attempts;
    const size_t teams = attempts_.size() + (attempts_.contains(team) ? 0 : 1);
    const double mean = total / static_cast<double>(teams);
    const double own_attempts = attempts_.contains(team) ? attempts_[team] : 0;
    // A single team is subject to the state service's limit only.
    if (teams > 1 && own_attempts > kMaxMultipleOfMean * mean) {
      const double excess = own_attempts / std::max(mean, 1.0);
      return std::clamp(static_cast<int>(std::ceil(excess)), 1, kMaxRetryAfterSeconds);
    }
  }
  attempts_[team] += 1;
  return 0;
}

}  // namespace badgershore
