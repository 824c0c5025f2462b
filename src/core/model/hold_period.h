// The time for which something may be kept from jobs that could use it now.
#pragma once

#include "core/model/time.h"

namespace badgershore {

// A limit or a machine is set aside for a job that can't use it yet. Others that could use it must
// start within 90 s, so after kMaxDuration it is open to them for kPause, whoever held it.
class HoldPeriod {
 public:
  static constexpr Micros kMaxDuration = Seconds(70);
  static constexpr Micros kPause = Seconds(15);

  // Whether it may be set aside at `now`. To be called at least every kMaxGap while it is held.
  bool Renew(Micros now) {
    if (now < open_until_) return false;
    if (renewed_at_.count < 0 || now - renewed_at_ > kMaxGap) began_at_ = now;
    renewed_at_ = now;
    if (now - began_at_ <= kMaxDuration) return true;
    open_until_ = now + kPause;
    renewed_at_ = {-1};
    return false;
  }
  // Whether it may be set aside at `now`, without doing so.
  bool IsOpen(Micros now) const { return now < open_until_; }

 private:
  static constexpr Micros kMaxGap = Seconds(10);

  Micros began_at_;
  Micros renewed_at_{-1};
  Micros open_until_;
};

}  // namespace badgershore
