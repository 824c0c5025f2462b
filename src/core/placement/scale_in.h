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

  // Releases and drains machines as long as `required_capacity` is left, and `running_cpu` of
  // machines near the lowest price.
  void Plan(ArrayCapacity capacity, double urgent_reserve, double required_capacity,
            double running_cpu);

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
  void Drain(double required_capacity, double running_cpu);

  const ScalingSnapshot& snapshot_;
  const GangForecast& gang_forecast_;
  const CapacityMeter& meter_;
  const Options& options_;
  ScalingDecision* decision_;
  ArrayCapacity capacity_;
  double urgent_reserve_ = 0;
  int removable_ = 0;  // machines that may go, idle or not
  std::vector<Candidate> candidates_;
};

}  // namespace badgershore
