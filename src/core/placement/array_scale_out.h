// Scale-out for arrays and services: which machines to undrain and which to request from the cloud.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "core/placement/array_capacity.h"
#include "core/placement/array_demand.h"
#include "core/placement/array_shortfall.h"
#include "core/placement/instance_offers.h"
#include "core/placement/scaling_types.h"

namespace badgershore {

// Plans one scaling decision.
class ArrayScaleOutPlanner {
 public:
  // All arguments must outlive this. Changes are added to `decision`.
  ArrayScaleOutPlanner(const ScalingSnapshot& snapshot, const InstanceOffers& offers,
                       const CapacityMeter& meter, const ArrayDemand& demand,
                       ScalingDecision* decision)
      : snapshot_(snapshot), offers_(offers), meter_(meter), demand_(demand), decision_(decision) {}

  // Covers the shortfall, first by undraining machines, whose capacity is added to `capacity`, then
  // by requesting new ones.
  void Plan(ArrayShortfall shortfall, ArrayCapacity* capacity);
  // Undrains or requests a machine for each job that can't run on any current or requested machine,
  // and marks the machines that must be kept because some job can't run elsewhere. The shortfall
  // does not show this, because it is measured with the tasks of the typical job. Call it after
  // Plan().
  void PlanForUnplaceableJobs();

 private:
  struct OfferChoice {
    const InstanceOffer* offer = nullptr;  // null if no offer is worth its price
    double capacity = 0;
  };
  void Undrain(ArrayShortfall* shortfall, ArrayCapacity* capacity);
  void RequestMachines(ArrayShortfall* shortfall, const ArrayCapacity& capacity);
  OfferChoice ChooseOffer(const std::vector<InstanceOffer>& offers, const ArrayShortfall& shortfall,
                          const ArrayCapacity& capacity) const;
  bool IsDoneBeforeBoot(const MachineType& type, const ArrayCapacity& capacity) const;
  void RequestMachineFor(const Job& job);
  // Whether a machine that has been requested, in this decision or before, may run the job.
  bool IsMachineRequestedFor(const Job& job) const;
  // Machines that may run the job, only the first `most`.
  std::vector<Machine*> MachinesFor(const Job& job, bool draining, size_t most) const;
  bool HasRoomFor(const Job& job, const Machine& machine) const;
  // Whether the team's limit leaves room for a task of the job beside the team's services.
  bool MayStartBesideServices(const Job& job) const;
  void KeepMachinesOfReplicas(const Job& job);

  const ScalingSnapshot& snapshot_;
  const InstanceOffers& offers_;
  const CapacityMeter& meter_;
  const ArrayDemand& demand_;
  ScalingDecision* decision_;
  std::map<int, int64_t> services_cpu_;  // that replicas use, in thousandths, by team
};

}  // namespace badgershore
