// The paper's dispatch: waiting tasks to the machine that has received least, and from each
// machine's queue the smallest estimate that fits.
#pragma once

#include <string>
#include <vector>

#include "core/leader/part.h"
#include "core/model/fleet.h"
#include "core/model/jobs.h"
#include "core/placement/guardrails.h"

namespace badgershore {

class Dispatch : public Part {
 public:
  using Part::Part;

  void BindWaiting(Micros now);
  void HoldMachinesForUnstartedJobs(Micros now);
  void StartTasksOn(Micros now, Machine* m, std::vector<Command>* orders);
  void Unbind(Machine* m);
  void Unbind(Job* job);  // from all machines' queues
  // What of a machine is open to a job, where `used` is taken.
  Resources RoomFor(const Machine& m, const Job& job, const Resources& used, Micros now) const;

 private:
  int StartPriority(Micros now, const Job& job) const;  // the more, the sooner
  bool AvoidsMachine(Micros now, const Job& job, const Machine& m) const;
  void Bind(Micros now, Job* job, int task, const EligibleMachine& able);
  bool StartQueued(Micros now, Machine* m, Resources* used, std::vector<Command>* orders);
  bool StartPreferred(Micros now, Machine* m, Resources* used, std::vector<Command>* orders);
  const QueuedTask* NextRebindable(Micros now, Job* job) const;
  bool CanStartOn(Micros now, const Job& job, const Machine& m, const Resources& used) const;
  void RebindAndStart(Micros now, Machine* m, Job* job, Resources* used,
                      std::vector<Command>* orders);
  bool StartRebound(Micros now, Machine* m, Resources* used, std::vector<Command>* orders);
  void StartTask(Micros now, Machine* m, Job* job, int task, Resources* used,
                 std::vector<Command>* orders);

  Micros next_hold_at_;
  double bind_budget_ = 0;  // machines that may be looked at
  Micros bind_budget_at_;
  std::string last_bound_job_;  // the job that was bound last
};

}  // namespace badgershore
