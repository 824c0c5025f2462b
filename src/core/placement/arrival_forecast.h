// Forecasts of the load by arrays, from recent job arrivals.
#pragma once

#include "core/model/time.h"

namespace badgershore {

// Rate at which work arrives, as an exponentially weighted mean.
class ArrivalRateForecast {
 public:
  // `work`: CPU seconds, in thousandths of a CPU.
  void Add(double work, Micros arrived, Micros now);
  // Ages the samples to `now`. Call it before LowerBound().
  void Decay(Micros now);
  // Work per second that is likely to keep arriving: the mean, reduced according to its variance.
  // Zero for up to `min_jobs` arrivals of equal size.
  double LowerBound(double min_jobs) const;

 private:
  double sum_ = 0;
  double squares_ = 0;
  Micros decayed_at_;
};

// Load by jobs that can't wait for a machine to boot, assuming that they never queue.
class UrgentLoadForecast {
 public:
  // `cpus`: of all tasks, in thousandths. `seconds`: estimated runtime.
  void Add(double cpus, double seconds, Micros arrived, Micros now);
  // Ages the samples to `now`. Call it before the functions below.
  void Decay(Micros now);
  // Mean and standard deviation of the thousandths of a CPU in use at once. Jobs that arrive at
  // random and never queue form an M/G/infinity queue, whose mean is the work that arrives per
  // second and whose variance is the sum of the squared sizes.
  double Mean() const;
  double StandardDeviation() const;
  // Between 0, for up to `min_jobs` arrivals of equal size, and 1.
  double Confidence(double min_jobs) const;

 private:
  double WindowSeconds() const;

  double work_ = 0;          // sum of CPU seconds
  double work_squares_ = 0;  // sum of squared CPU seconds
  double cpu_squares_ = 0;   // sum of squared CPUs times the seconds that each job runs
  Micros decayed_at_;
  Micros first_arrival_at_ = kNever;
};

}  // namespace badgershore
