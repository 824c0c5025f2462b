// Gangs: all members at once or none, and the room that is made for them.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "core/leader/part.h"
#include "core/model/fleet.h"
#include "core/model/jobs.h"

namespace badgershore {

class Gangs : public Part {
 public:
  using Part::Part;

  void Tick(Micros now);
  // All members are told at once: a save counts only within the peers' patience.
  void StopGang(Micros now, Job* job, Micros grace);
  void Remove(Job* job);  // it is over

 private:
  bool Place(Micros now, Job* job);
  bool AwaitsOldAttempt(Micros now, const Job& job, const std::vector<int>& members) const;
  bool MayPreempt(const Allocation& o, const Job& gang) const;
  Micros LostRunTime(Micros now, const Allocation& o) const;
  void RequestStop(Allocation* o);
  void PreemptForQuota(Micros now, const Job& gang);
  std::optional<double> CostToClear(Micros now, const Machine& m, const Job& gang,
                                    bool after_gangs) const;
  void ReserveFor(Micros now, Job* gang, bool prioritized);
  void ReleaseReservation(Job* gang);
  void PreemptForGang(Micros now, Machine* m, const Job& gang);
  void AdvanceAttempt(Micros now, Job* job);
  const Job* PrioritizedGang(Micros now, int team, const std::vector<Job*>& gangs);

  std::vector<Job*> waiting_;
  Micros quota_preemption_at_;
  struct PriorityTurn {
    std::string job_id;    // goes before its turn
    int other_starts = 0;  // have gone since
    Micros next_at;
  };
  std::map<int, PriorityTurn> priority_turns_;  // by team
};

}  // namespace badgershore
