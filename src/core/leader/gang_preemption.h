// Stops running tasks so that waiting gangs get machines or quota.
#pragma once

#include <optional>

#include "core/leader/leader_component.h"
#include "core/model/fleet.h"
#include "core/model/jobs.h"

namespace badgershore {

// Decides which tasks a gang may preempt and what that costs, and preempts them. Tasks that
// checkpoint are given the time to save. Gangs are never preempted.
class GangPreemption : public LeaderComponent {
 public:
  using LeaderComponent::LeaderComponent;

  // The cost, in CPU-seconds, of giving the machine to members of the gang: lost run time and the
  // transfer of the image. Empty where not even one member would fit. `after_gangs`: the gang waits
  // for the gangs that run there to end.
  std::optional<double> CostToClear(Micros now, const Machine& m, const Job& gang,
                                    bool after_gangs) const;
  // Preempts tasks on the machine until the gang's reserved members fit, least lost run time first,
  // and takes all tasks off the machine's queue.
  void PreemptForGang(Micros now, Machine* m, const Job& gang);
  // Preempts tasks of lower priority of the gang's own team until the gang fits into the team's
  // limit, least lost run time first.
  void PreemptForQuota(Micros now, const Job& gang);

 private:
  bool MayPreempt(const Allocation& o, const Job& gang) const;
  Micros LostRunTime(Micros now, const Allocation& o) const;
};

}  // namespace badgershore
