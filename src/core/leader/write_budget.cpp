#include "core/leader/write_budget.h"

#include <algorithm>

namespace badgershore {
namespace {

// Shares of the state service's write rate limit.
constexpr double kRefillShare = 0.5;
constexpr double kBurstShare = 0.8;
constexpr double kScarceSeconds = 0.5;
// Tokens that deferrable writes leave for urgent ones, which a task's start or a response waits
// for.
constexpr double kUrgentReserve = 4;

}  // namespace

WriteBudget::WriteBudget(const StateLimits& limits, Micros now)
    : limits_(limits), tokens_(RefillRate()), refilled_at_(now) {}

double WriteBudget::RefillRate() const { return limits_.changes_per_s() * kRefillShare; }

void WriteBudget::Refill(Micros now) {
  const double burst = limits_.changes_per_s() * kBurstShare;
  tokens_ = std::min(burst, tokens_ + RefillRate() * (now - refilled_at_).ToSeconds());
  refilled_at_ = now;
}

bool WriteBudget::Admits(size_t mutations) const {
  return tokens_ >= static_cast<double>(mutations);
}

bool WriteBudget::AdmitsDeferrable(size_t mutations) const {
  return tokens_ >= static_cast<double>(mutations) + kUrgentReserve;
}

bool WriteBudget::IsScarce() const { return tokens_ < RefillRate() * kScarceSeconds; }

}  // namespace badgershore
