// The time for which something may be kept from jobs that could use it now.
#pragma once

#include "core/model/time.h"

namespace badgershore {

// A limit or a machine is set aside for a job that can't use it yet. Others that could use it
// should start within 90 s, so after some time it is open to them for kPause, whoever held it.
class HoldPeriod {
 public:
  static constexpr Micros kMaxDuration = Seconds(70);
  // For a gang past the age limit, which would otherwise never find room among tasks that run for
  // longer than kMaxDuration.
  static constexpr Micros kMaxAgedDuration = Seconds(180);
  static constexpr Micros kPause = Seconds(15);

  // Whether it may be set aside at `now`, in all for `max_duration` at a time. To be called at
  // least every kMaxGap while it is held.
  bool Renew(Micros now, Micros max_duration) {
    if (now < open_until_) return false;
    if (renewed_at_.count < 0 || now - renewed_at_ > kMaxGap) began_at_ = now;
    renewed_at_ = now;
    if (now - began_at_ <= max_duration) return true;
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
