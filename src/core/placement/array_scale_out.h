// Machines for arrays and services: what to undrain and what to ask the cloud for.
#pragma once

#include "core/placement/array_capacity.h"
#include "core/placement/array_demand.h"
#include "core/placement/array_shortfall.h"
#include "core/placement/instance_offers.h"
#include "core/placement/scaling_types.h"

namespace badgershore {

// Plans one decision.
class ArrayScaleOutPlanner {
 public:
  // All arguments must outlive this. Changes are added to `decision`.
  ArrayScaleOutPlanner(const ScalingSnapshot& snapshot, const InstanceOffers& offers,
                       const CapacityMeter& meter, const ArrayDemand& demand,
                       ScalingDecision* decision)
      : snapshot_(snapshot), offers_(offers), meter_(meter), demand_(demand), decision_(decision) {}

  // Makes up the shortfall: by undrained machines first, whose capacity is added to `capacity`,
  // then by new ones.
  void Plan(ArrayShortfall shortfall, ArrayCapacity* capacity);
  // Asks for a machine for each job that no machine at hand may hold. The shortfall speaks only of
  // tasks like the typical job's. Call it after Plan().
  void PlanForUnplaceableJobs();

 private:
  struct Choice {
    const InstanceOffer* offer = nullptr;  // null: none is worth its price
    double capacity = 0;
  };
  void Undrain(ArrayShortfall* shortfall, ArrayCapacity* capacity);
  void RequestMachines(ArrayShortfall* shortfall, const ArrayCapacity& capacity);
  Choice ChooseOffer(const std::vector<InstanceOffer>& offers, const ArrayShortfall& shortfall,
                     const ArrayCapacity& capacity) const;
  bool IsDoneBeforeBoot(const MachineType& type, const ArrayCapacity& capacity) const;
  bool HasMachineFor(const Job& job) const;

  const ScalingSnapshot& snapshot_;
  const InstanceOffers& offers_;
  const CapacityMeter& meter_;
  const ArrayDemand& demand_;
  ScalingDecision* decision_;
};

}  // namespace badgershore
