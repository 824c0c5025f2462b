#include "store/disk_retry.h"

#include <algorithm>
#include <utility>

namespace badgershore::store {
namespace {

constexpr Micros kInitialDelay = Millis(100);
constexpr Micros kMaxDelay = Seconds(2);
constexpr double kBackoffFactor = 2;
constexpr Micros kLogInterval = Seconds(30);

}  // namespace

DiskRetry::Decision DiskRetry::OnFailure(Micros now) {
  if (!failing_since_) {
    failing_since_ = now;
    next_delay_ = kInitialDelay;
    next_log_at_ = now;
  }
  Decision decision;
  decision.failing_for = now - *failing_since_;
  decision.delay = next_delay_;
  next_delay_ = std::min(next_delay_.Scaled(kBackoffFactor), kMaxDelay);
  decision.log = now >= next_log_at_;
  if (decision.log) next_log_at_ = now + kLogInterval;
  return decision;
}

std::optional<Micros> DiskRetry::OnSuccess(Micros now) {
  const std::optional<Micros> since = std::exchange(failing_since_, std::nullopt);
  if (!since) return std::nullopt;
  return now - *since;
}

}  // namespace badgershore::store
