// Fair sharing among teams: guarantees first, then dominant shares (Ghodsi et al., "Dominant
// Resource Fairness", NSDI 2011) among jobs of equal priority.
#pragma once

#include <vector>

#include "core/leader/leader_component.h"
#include "core/leader/round_robin_budget.h"
#include "core/model/fleet.h"
#include "core/model/jobs.h"

namespace badgershore {

// Compares jobs by their teams' shares, and preempts tasks of teams above their guarantee when
// another team is short of its own.
class FairShare : public LeaderComponent {
 public:
  explicit FairShare(const LeaderContext* context);

  // Recomputes the shares and reclaims guarantees, twice a second at most.
  void Tick(Micros now);
  // Positive: `a` starts before `b`; negative: after `b`; 0: the teams' shares don't decide.
  int ComparePrecedence(const Job& a, const Job& b) const;
  // Array and service jobs with unplaced tasks that are within a guarantee, or whose team is below
  // its share while another team is above, as of the last tick.
  const std::vector<Job*>& preferred_jobs() const { return preferred_jobs_; }
  // To be called when the job has ended.
  void Remove(const Job* job);
  // Whether the team would still use at least its guarantee without these resources, so that they
  // may be preempted for another team's guarantee.
  bool ExceedsGuaranteeWithout(int team, const Resources& resources) const;

 private:
  struct Share {
    double dominant = 0;               // 0 to 1
    bool has_startable_tasks = false;  // has tasks that could start within its limit
    bool above_share = false;          // uses more than its share
  };
  struct ShareSum {
    double dominant = 0;
    int active = 0;  // teams that use resources or have tasks to start
  };
  // A machine on which tasks of a job fit once the victims are preempted.
  struct PreemptionOption {
    Machine* machine = nullptr;
    int tasks = 0;
    double cost = 0;  // per task
    std::vector<Allocation*> victims;
  };
  // The CPU preempted for a team's guarantee within the current window.
  struct PreemptedCpu {
    int64_t cpu = 0;  // in millicores
    Micros window_start;
  };

  void ReleaseExpiredHolds(Micros now);
  void UpdateShares(Micros now);
  bool IsContended(Micros now, Resources* capacity);
  ShareSum SumShares(const Resources& capacity);
  bool MarkTeamsAboveShare(const ShareSum& sum, bool contended);
  void ListPreferredJobs(const ShareSum& sum, bool any_above_share);
  std::vector<Job*> JobsShortOfGuarantee(Micros now) const;
  void CountStoppingTasks();
  void ReclaimGuarantee(Micros now, Job* job);
  int MissingTasks(const Job& job) const;
  bool ExecutePreemption(Micros now, Job* job, const PreemptionOption& option, int tasks);
  std::vector<PreemptionOption> FindOptions(Micros now, const Job& job, int tasks) const;
  bool PlanPreemption(Micros now, Machine* machine, const Job& job, int tasks,
                      PreemptionOption* option) const;

  // Limit on the machines and allocations that are looked at in one tick to reclaim guarantees.
  static constexpr size_t kMaxScansPerTick = 400000;

  RoundRobinBudget reclaim_budget_{kMaxScansPerTick};
  std::vector<Share> shares_;  // by team
  std::vector<Job*> preferred_jobs_;
  std::vector<PreemptedCpu> preempted_;  // by team
  std::vector<Resources> stopping_;      // by team: use of tasks that are being stopped
  Micros next_tick_at_;
};

}  // namespace badgershore
