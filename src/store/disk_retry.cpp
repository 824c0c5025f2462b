#include "store/disk_retry.h"

#include <algorithm>
#include <utility>

namespace badgershore::store {
namespace {

constexpr Micros kFirstDelay = Millis(100);
constexpr Micros kLongestDelay = Seconds(2);
constexpr double kDelayGrowth = 2;
constexpr Micros kLogInterval = Seconds(30);

}  // namespace

DiskRetry::Decision DiskRetry::OnFailure(Micros now) {
  if (!failing_since_) {
    failing_since_ = now;
    next_delay_ = kFirstDelay;
    next_log_ = now;
  }
  Decision decision;
  decision.failing_for = now - *failing_since_;
  decision.delay = next_delay_;
  next_delay_ = std::min(next_delay_.Scaled(kDelayGrowth), kLongestDelay);
  decision.log = now >= next_log_;
  if (decision.log) next_log_ = now + kLogInterval;
  return decision;
}

std::optional<Micros> DiskRetry::OnSuccess(Micros now) {
  const std::optional<Micros> since = std::exchange(failing_since_, std::nullopt);
  if (!since) return std::nullopt;
  return now - *since;
}

}  // namespace badgershore::store
