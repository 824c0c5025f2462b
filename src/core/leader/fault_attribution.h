// Attribution of task failures to machines or to jobs.
#pragma once

#include "core/leader/leader_component.h"
#include "core/model/fleet.h"
#include "core/model/jobs.h"

namespace badgershore {

// Decides whether a failed task's machine or its job is at fault, from the jobs that fail on one
// machine and the machines on which one job fails. This state is not durable: a new leader learns
// it again from one round of the job's tasks.
class FaultAttribution : public LeaderComponent {
 public:
  using LeaderComponent::LeaderComponent;

  struct Attribution {
    Micros retry_delay;             // before the task may start again
    bool machine_at_fault = false;  // the machine has to be released
  };

  // A task of the job failed on the machine.
  Attribution OnTaskFailed(Micros now, Machine* machine, Job* job, int task);
  // A task of the job completed on the machine.
  void OnTaskDone(Micros now, Machine* machine, Job* job);
  // How many more tasks of the job may be started now. A faulty job is limited to a few probes.
  int StartsAllowed(Micros now, const Job& job) const;

 private:
  // Some task of the job is running or has completed, so a machine on which it fails is suspect.
  static bool IsKnownToWork(const Job& job) { return job.done + job.running > 0; }
  void RecordFailure(const Machine& machine, Job* job, TaskState* task) const;
  Micros ScheduleNextProbe(Micros now, Job* job, bool was_faulty);
  bool IsMachineAtFault(Micros now, const Machine& machine, const Job& job) const;
  void MarkFaulty(Micros now, Job* job);
};

}  // namespace badgershore
