// Detects jobs that have made no progress for far longer than their next step can take.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/leader/leader_component.h"
#include "core/model/fleet.h"
#include "core/model/jobs.h"

namespace badgershore {

// Logs why a stuck job waits (lines that begin with "stuck:"), corrects its counts, and restarts a
// gang whose members never all start.
class StuckJobDetector : public LeaderComponent {
 public:
  using LeaderComponent::LeaderComponent;

  // Checks all jobs every few seconds, and logs a stuck one once per timeout.
  void Tick(Micros now);
  // One line for operators: the job's state as known to the leader, and why it waits. Also valid
  // for an unknown job.
  std::string ExplainJobState(Micros now, const std::string& job) const;

 private:
  // A job's counts according to a full count of the machines' allocations.
  struct JobCounts {
    int placed = 0, running = 0;
    std::map<std::string, int> by_zone;
    std::vector<char> on_machine;  // by task: its machine has the allocation of its state
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
