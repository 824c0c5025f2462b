// Scale-in: idle machines that are no longer needed are released, others are drained.
#pragma once

#include <string>
#include <vector>

#include "core/placement/array_capacity.h"
#include "core/placement/array_demand.h"
#include "core/placement/array_shortfall.h"
#include "core/placement/gang_forecast.h"
#include "core/placement/scaling_types.h"

namespace badgershore {

// Required capacity as a peak value that decays slowly. Releasing a machine too early and
// requesting it again would cost a second boot.
class RequiredCapacityPeak {
 public:
  // Returns the decayed peak, which is at least `required` plus some slack. `boot` is the time
  // constant of the decay.
  double Update(double required, Micros now, Micros boot);

 private:
  double peak_ = 0;
  Micros updated_at_;
};

// Capacity that scale-in must keep, in thousandths of a CPU.
struct ScaleInLimits {
  double urgent_reserve = 0;     // on machines near the lowest unit price
  double required_capacity = 0;  // on all machines
  // CPU in use. Machines near the lowest unit price are kept while it needs them.
  double running_cpu = 0;
};

// Plans one scaling decision. Only machines that are up are released or drained, and none within
// its minimum billed time.
class ScaleInPlanner {
 public:
  // All arguments must outlive this. Changes are added to `decision`; the machines that it reserves
  // for gangs, or that some job needs, are kept.
  ScaleInPlanner(const ScalingSnapshot& snapshot, const GangForecast& gang_forecast,
                 const CapacityMeter& meter, const Options& options, ScalingDecision* decision)
      : snapshot_(snapshot),
        gang_forecast_(gang_forecast),
        meter_(meter),
        options_(options),
        decision_(decision) {}

  // `capacity`: the capacity after scale-out. Must be called only once.
  void Plan(const ArrayCapacity& capacity, const ScaleInLimits& limits);

 private:
  struct Candidate {
    Machine* machine = nullptr;
    double unit_price = 0;
    double capacity = 0;
    size_t tasks = 0;
  };
  int CountRemovable() const;
  void ConsiderMachine(Machine* machine);
  bool IsHeldForGangs(const Machine& machine) const;
  bool DecideIdle(Machine* machine, bool held_for_gangs);
  void Drain();

  const ScalingSnapshot& snapshot_;
  const GangForecast& gang_forecast_;
  const CapacityMeter& meter_;
  const Options& options_;
  ScalingDecision* decision_;
  ScaleInLimits limits_;
  double capacity_left_ = 0;
  double cheap_capacity_left_ = 0;
  int removable_ = 0;  // number of machines that may be released or drained
  std::vector<Candidate> candidates_;
};

}  // namespace badgershore
