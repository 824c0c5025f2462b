// Keeps a leader's writes within the state service's write rate limit.
#pragma once

#include <cstddef>

#include "core/outbox/state_limits.h"

namespace badgershore {

// A token bucket with one token per mutation. It is refilled at a share of the rate limit, since
// the other controllers write too.
class WriteBudget {
 public:
  // `limits` must outlive this. Starts with the tokens of one second.
  WriteBudget(const StateLimits& limits, Micros now);

  // Adds the tokens for the time since the last call.
  void Refill(Micros now);
  bool Admits(size_t mutations) const;
  // Whether enough tokens for urgent writes are left after these mutations.
  bool AdmitsDeferrable(size_t mutations) const;
  // Fewer tokens are left than are refilled in half a second.
  bool IsScarce() const;
  void Spend(size_t mutations) { tokens_ -= static_cast<double>(mutations); }
  // For mutations that the state service did not count.
  void Refund(size_t mutations) { tokens_ += static_cast<double>(mutations); }

 private:
  double RefillRate() const;  // tokens per second

  const StateLimits& limits_;
  double tokens_;
  Micros refilled_at_;
};

}  // namespace badgershore
