// A token bucket that holds one second's quantity.
#pragma once

#include <algorithm>

#include "core/model/time.h"

namespace badgershore::store {

class RateLimiter {
 public:
  // per_s 0: no limit.
  RateLimiter(double per_s, Micros now) : per_s_(per_s), left_(per_s), at_(now) {}

  // Takes `n` tokens if available. A request for more than the bucket holds is granted when the
  // bucket is full, as otherwise it could never be granted.
  bool TryAcquire(Micros now, double n) {
    if (per_s_ <= 0) return true;
    left_ = std::min(per_s_, left_ + per_s_ * (now - at_).ToSeconds());
    at_ = now;
    if (left_ < std::min(n, per_s_)) return false;
    left_ -= n;
    return true;
  }

 private:
  double per_s_;
  double left_;
  Micros at_;
};

}  // namespace badgershore::store
