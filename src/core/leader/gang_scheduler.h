// The scheduling loop for gangs.
#pragma once

#include <vector>

#include "core/leader/gang_queue.h"
#include "core/leader/leader_component.h"
#include "core/leader/round_robin_budget.h"
#include "core/model/jobs.h"

namespace badgershore {

// Serves the gangs in the order of GangQueue: starts and ends their attempts, reserves machines for
// waiting gangs, and preempts tasks for gangs that are blocked by their team's limit.
class GangScheduler : public LeaderComponent {
 public:
  explicit GangScheduler(const LeaderContext* context)
      : LeaderComponent(context), reservation_budget_(kMaxScansPerTick) {}

  void Tick(Micros now);
  // Ends the gang's attempt: requeues members whose start has not been sent and stops the others
  // with the grace period `grace`. All members are stopped at once, since a member's checkpoint is
  // valid only while its peers still wait for it.
  void StopGang(Micros now, Job* gang, Micros grace);
  // To be called when the gang has ended.
  void Remove(Job* gang);

 private:
  void AdvanceAttempt(Micros now, Job* gang);
  bool NeedsMachines(Micros now, const Job& gang) const;
  bool CheckGangQuota(Micros now, Job* gang, bool prioritized);
  void PreemptForBlockedGang(Micros now, const std::vector<Job*>& waiting);
  bool StopMembersOn(Micros now, Machine* machine, Job* gang, Micros grace);

  // Limit on the machines and allocations that are looked at in one tick to reserve machines.
  static constexpr size_t kMaxScansPerTick = 400000;

  RoundRobinBudget reservation_budget_;
  Micros next_quota_preemption_at_;
};

}  // namespace badgershore
