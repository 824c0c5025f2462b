// Machines that are not needed any more: idle ones are released, others drained.
#pragma once

#include <string>
#include <vector>

#include "core/placement/array_capacity.h"
#include "core/placement/array_demand.h"
#include "core/placement/array_shortfall.h"
#include "core/placement/gang_forecast.h"
#include "core/placement/scaling_types.h"

namespace badgershore {

// Required capacity, of which past peaks decay slowly: a machine that is released and asked for
// again pays its boot twice.
class RequiredCapacityPeak {
 public:
  // Returns the decayed peak, no less than `required` and some slack. `boot` is the time constant.
  double Update(double required, Micros now, Micros boot);

 private:
  double peak_ = 0;
  Micros updated_at_;
};

// Capacity that scale-in has to leave, in thousandths of a CPU.
struct ScaleInLimits {
  double urgent_reserve = 0;     // of machines near the lowest price
  double required_capacity = 0;  // of all machines
  double running_cpu = 0;        // in use; machines near the lowest price stay while it needs them
};

// Plans one decision. Only machines that are up are released or drained, and none within its
// minimum billed time.
class ScaleInPlanner {
 public:
  // All arguments must outlive this. Changes are added to `decision`, whose reserved machines stay.
  ScaleInPlanner(const ScalingSnapshot& snapshot, const GangForecast& gang_forecast,
                 const CapacityMeter& meter, const Options& options, ScalingDecision* decision)
      : snapshot_(snapshot),
        gang_forecast_(gang_forecast),
        meter_(meter),
        options_(options),
        decision_(decision) {}

  // `capacity`: after scale-out. Call it once.
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
  int removable_ = 0;  // machines that may go, idle or not
  std::vector<Candidate> candidates_;
};

}  // namespace badgershore
