// A token bucket that holds one second's quantity.
#pragma once

#include <algorithm>

#include "core/model/time.h"

namespace badgershore::store {

class RateLimiter {
 public:
  // per_s 0: no limit.
  RateLimiter(double per_s, Micros now) : per_s_(per_s), tokens_(per_s), updated_at_(now) {}

  void SetRate(double per_s) { per_s_ = per_s; }

  // Takes `count` tokens if available. A request for more than the bucket holds is granted when the
  // bucket is full, as otherwise it could never be granted.
  bool TryAcquire(Micros now, double count) {
    if (per_s_ <= 0) return true;
    tokens_ = std::min(per_s_, tokens_ + per_s_ * (now - updated_at_).ToSeconds());
    updated_at_ = now;
    if (tokens_ < std::min(count, per_s_)) return false;
    tokens_ -= count;
    return true;
  }

 private:
  double per_s_;
  double tokens_;
  Micros updated_at_;
};

}  // namespace badgershore::store
