// Finds jobs that have made no progress for far longer than their next step can take.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/leader/leader_component.h"
#include "core/model/fleet.h"
#include "core/model/jobs.h"

namespace badgershore {

// Logs why a stuck job waits (lines that begin with "stuck:"), corrects its counts and restarts a
// gang that never comes together.
class StuckJobDetector : public LeaderComponent {
 public:
  using LeaderComponent::LeaderComponent;

  // Looks at all jobs every few seconds, and reports a stuck one once per timeout.
  void Tick(Micros now);
  // One line for operators: the job's state as the leader sees it, and why it waits. Also for a job
  // that is not known.
  std::string Explain(Micros now, const std::string& job) const;

 private:
  // What a full count of the machines' allocations says of a job.
  struct JobCounts {
    int placed = 0, running = 0;
    std::map<std::string, int> by_zone;
    std::vector<char> on_machine;  // by task: there where its state says so
    std::set<const Machine*> machines;
  };
  std::string WaitReason(Micros now, const Job& job) const;
  std::string MachineWaitReason(Micros now, const Job& job) const;
  Micros StuckTimeout(const Job& job) const;
  void RepairCounts(Micros now, Job* job);
  JobCounts CountAllocations(const Job& job) const;

  Micros next_tick_at_;
};

}  // namespace badgershore
