// Preempts running tasks so that waiting gangs get machines or quota.
#pragma once

#include <optional>

#include "core/leader/leader_component.h"
#include "core/model/fleet.h"
#include "core/model/jobs.h"

namespace badgershore {

// Decides which tasks a gang may preempt and at which cost, and preempts them. Tasks that support
// checkpoints are given the time to write one. Gangs are never preempted.
class GangPreemption : public LeaderComponent {
 public:
  using LeaderComponent::LeaderComponent;

  // A machine that can be cleared for members of a gang.
  struct Clearing {
    double cost = 0;  // CPU-seconds: lost run time and the image transfer
    Resources room;   // that the gang will have
  };
  // What clearing the machine takes. Empty if not even one member would fit within a hold period:
  // services and tasks with long to go stay. `after_gangs`: the gang also waits until the gangs
  // that run there have ended.
  std::optional<Clearing> PlanClearing(Micros now, const Machine& machine, const Job& gang,
                                       bool after_gangs) const;
  // Preempts tasks on the machine until the gang's reserved members fit, in order of the run time
  // that is lost, and clears the machine's queue.
  void PreemptForGang(Micros now, Machine* machine, const Job& gang);
  // Preempts the team's own tasks of lower priority until the gang fits within the team's limit, in
  // order of the run time that is lost.
  void PreemptForQuota(Micros now, const Job& gang);

 private:
  bool MayPreempt(const Allocation& allocation, const Job& gang) const;
  Micros LostRunTime(Micros now, const Allocation& allocation) const;
};

}  // namespace badgershore
