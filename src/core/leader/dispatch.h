// Dispatch of array and service tasks, after Load Balancing Guardrails (Grosof et al., 2019):
// waiting tasks are bound to the machine that has received the least work, and each machine starts
// the shortest estimate of its queue that fits.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/leader/leader_component.h"
#include "core/model/fleet.h"
#include "core/model/jobs.h"
#include "core/model/message_size.h"
#include "core/placement/guardrails.h"

namespace badgershore {

// Binds waiting tasks to machines' queues and starts queued tasks. Gangs bypass it.
class Dispatch : public LeaderComponent {
 public:
  using LeaderComponent::LeaderComponent;

  // Binds waiting tasks, job by job in round-robin order, within the budget for examining machines.
  // Later calls bind the rest.
  void BindWaiting(Micros now);
  // Holds a machine for one unstarted job of each team, where a task of it will fit soon. Its free
  // resources are kept until the job's first task has started there, but not for longer than a hold
  // period.
  void HoldMachinesForUnstartedJobs(Micros now);
  // Starts the tasks that fit on the machine and appends their start commands to `batch`.
  void StartTasksOn(Micros now, Machine* machine, CommandBatch* batch);
  // Returns all tasks in the machine's queue to their jobs' waiting tasks.
  void Unbind(Machine* machine);
  // Returns the job's queued tasks, on all machines, to its waiting tasks.
  void Unbind(Job* job);
  // The machine's resources that the job may use while `used` is in use. Excludes what is held or
  // reserved there for jobs that go before it.
  Resources AvailableResourcesFor(const Machine& machine, const Job& job, const Resources& used,
                                  Micros now) const;

 private:
  struct ReadyMachine {
    Machine* machine;
    Resources gang_use;
  };

  // Binding.
  void RefillBindBudget(Micros now);
  bool NeedsBinding(Micros now, const Job& job) const;
  std::vector<ReadyMachine> ReadyMachines(Micros now) const;
  std::vector<EligibleMachine> EligibleMachines(Micros now, const Job& job,
                                                const std::vector<ReadyMachine>& ready) const;
  void BindTasks(Micros now, Job* job, const std::vector<EligibleMachine>& eligible);
  void Bind(Micros now, Job* job, int task, const EligibleMachine& eligible);
  bool AvoidsMachine(Micros now, const Job& job, const Machine& machine) const;

  // Holding machines.
  std::map<int, Job*> OldestUnstartedJobs(Micros now) const;
  // A machine, and what is expected to be free on it within a hold period.
  struct ExpectedMachine {
    Machine* machine;
    Resources room;
  };
  std::vector<ExpectedMachine> ExpectedMachines(Micros now) const;
  Machine* MachineToHold(Micros now, const Job& job,
                         const std::vector<ExpectedMachine>& machines) const;

  // Starting. StartPreferred(), StartQueued() and StartRebound() start one task each, or return
  // false.
  bool StartPreferred(Micros now, Machine* machine, Resources* used, CommandBatch* batch);
  bool StartQueued(Micros now, Machine* machine, Resources* used, CommandBatch* batch);
  bool StartRebound(Micros now, Machine* machine, Resources* used, CommandBatch* batch);
  QueueEntry* NextQueued(Micros now, Machine* machine, const Resources& used);
  int StartPriority(Micros now, const Job& job) const;
  bool StartsBefore(Micros now, const Job& a, const Job& b) const;
  bool HasRebindableTask(Micros now, Job* job) const;
  bool CanStartOn(Micros now, const Job& job, const Machine& machine, const Resources& used) const;
  void RebindAndStart(Micros now, Machine* machine, Job* job, Resources* used, CommandBatch* batch);
  void StartTask(Micros now, Machine* machine, Job* job, int task, Resources* used,
                 CommandBatch* batch);

  Micros next_hold_at_;
  double bind_budget_ = 0;  // machines that binding may still examine
  Micros bind_budget_at_;   // when the budget was last refilled
  std::string last_bound_job_;
};

}  // namespace badgershore
