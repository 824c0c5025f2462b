#include "core/placement/arrival_forecast.h"

#include <algorithm>
#include <cmath>

namespace badgershore {
namespace {

constexpr Micros kRateWindow = Seconds(60);
constexpr Micros kUrgentLoadWindow = Seconds(180);
constexpr Micros kMinObservedTime = Seconds(60);

// Weight of a sample of this age in an exponentially weighted sum.
double DecayFactor(Micros age, Micros window) {
  return std::exp(-age.ToSeconds() / window.ToSeconds());
}

// The same for an arrival, whose time may be in the future because of clock skew.
double ArrivalWeight(Micros arrived, Micros now, Micros window) {
  return std::exp(-std::max(0.0, (now - arrived).ToSeconds()) / window.ToSeconds());
}

}  // namespace

void ArrivalRateForecast::Add(double work, Micros arrived, Micros now) {
  Decay(now);
  const double weight = ArrivalWeight(arrived, now, kRateWindow);
  sum_ += work * weight;
  squares_ += work * work * weight * weight;
}

void ArrivalRateForecast::Decay(Micros now) {
  const double factor = DecayFactor(now - decayed_at_, kRateWindow);
  sum_ *= factor;
  squares_ *= factor * factor;
  decayed_at_ = now;
}

double ArrivalRateForecast::LowerBound(double min_jobs) const {
  if (sum_ <= 0) return 0;
  // Number of jobs of equal size with the same relative variance: a few large jobs predict little.
  const double equal_jobs = sum_ * sum_ / squares_;
  return sum_ / kRateWindow.ToSeconds() * std::max(0.0, 1 - min_jobs / equal_jobs);
}

void UrgentLoadForecast::Add(double cpus, double seconds, Micros arrived, Micros now) {
  Decay(now);
  first_arrival_at_ = std::min(first_arrival_at_, arrived);
  const double weight = ArrivalWeight(arrived, now, kUrgentLoadWindow);
  work_ += cpus * seconds * weight;
  work_squares_ += cpus * seconds * cpus * seconds * weight * weight;
  cpu_squares_ += cpus * cpus * seconds * weight;
}

void UrgentLoadForecast::Decay(Micros now) {
  const double factor = DecayFactor(now - decayed_at_, kUrgentLoadWindow);
  work_ *= factor;
  work_squares_ *= factor * factor;
  cpu_squares_ *= factor;
  decayed_at_ = now;
}

// Total weight of the observed time, which is less than the window until a full window has been
// observed.
double UrgentLoadForecast::WindowSeconds() const {
  const double observed =
      first_arrival_at_ < kNever
          ? std::max(kMinObservedTime, decayed_at_ - first_arrival_at_).ToSeconds()
          : 0;
  const double window = kUrgentLoadWindow.ToSeconds();
  return window * (1 - std::exp(-std::max(observed, 1.0) / window));
}

double UrgentLoadForecast::Mean() const { return work_ / WindowSeconds(); }

double UrgentLoadForecast::StandardDeviation() const {
  return std::sqrt(cpu_squares_ / WindowSeconds());
}

double UrgentLoadForecast::Confidence(double min_jobs) const {
  return work_ > 0 ? std::max(0.0, 1 - min_jobs * work_squares_ / (work_ * work_)) : 0;
}

}  // namespace badgershore
