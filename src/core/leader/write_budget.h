// Keeps a leader's writes within the state service's rate limit.
#pragma once

#include <cstddef>

#include "core/model/settings.h"

namespace badgershore {

// A token bucket: one token for each mutation. It fills at a share of the limit, since the other
// controllers write too.
class WriteBudget {
 public:
  // `settings` must outlive this. Starts with one second's tokens.
  WriteBudget(const PlatformSettings& settings, Micros now);

  // Adds the tokens of the time since the last call.
  void Refill(Micros now);
  bool Admits(size_t mutations) const;
  // Whether enough is left after these for urgent writes.
  bool AdmitsDeferrable(size_t mutations) const;
  // Fewer tokens are left than half a second brings.
  bool IsScarce() const;
  void Spend(size_t mutations) { tokens_ -= static_cast<double>(mutations); }
  // For mutations that the state service did not count.
  void Refund(size_t mutations) { tokens_ += static_cast<double>(mutations); }

 private:
  double RefillRate() const;  // tokens per second

  const PlatformSettings& settings_;
  double tokens_;
  Micros refilled_at_;
};

}  // namespace badgershore
