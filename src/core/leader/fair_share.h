// How teams share what there is not enough of: guarantees first, then dominant shares (Ghodsi et
// al., "Dominant Resource Fairness", NSDI 2011) among equals in rank.
#pragma once

#include <vector>

#include "core/leader/part.h"
#include "core/model/fleet.h"
#include "core/model/jobs.h"

namespace badgershore {

class FairShare : public Part {
 public:
  explicit FairShare(const LeaderContext* context);

  void Tick(Micros now);
  // Whether `a` starts before `b` because of who sent them; 0: the paper's order decides.
  int ComparePrecedence(const Job& a, const Job& b) const;
  // Jobs with queued tasks that go before others wherever there is room: within a guarantee, or of
  // a team that has less than its share while another has more.
  const std::vector<Job*>& preferred_jobs() const { return preferred_jobs_; }
  void Remove(const Job* job);
  // The team has so much more than its guarantee that this may be stopped to give another its own.
  bool ExceedsGuaranteeWithout(int team, const Resources& what) const;

 private:
  struct Share {
    double dominant = 0;
    bool wants = false, over = false;
  };
  struct PreemptionOption {  // a place for tasks of the job, and what has to be stopped for it
    Machine* machine = nullptr;
    int tasks = 0;
    double cost = 0;  // of each
    std::vector<Allocation*> victims;
  };
  // Preempted for a team's guarantee within the current window.
  struct PreemptedCpu {
    int64_t cpu = 0;  // in thousandths of a core
    Micros window_start;
  };
  void UpdateShares(Micros now);
  void ReclaimGuarantee(Micros now, Job* job);
  std::vector<PreemptionOption> FindOptions(Micros now, const Job& job, int tasks) const;
  bool PlanOn(Micros now, Machine* m, const Job& job, int tasks, PreemptionOption* out) const;

  std::vector<Share> shares_;  // by team's number
  std::vector<Job*> preferred_jobs_;
  std::vector<PreemptedCpu> preempted_;  // by team
  std::vector<Resources> stopping_;      // of each team, told to stop and still there
  Micros next_tick_at_;
};

}  // namespace badgershore
