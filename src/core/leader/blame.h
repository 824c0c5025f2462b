// Whose fault it is that a task failed: its machine's or its job's. Decided here alone, from which
// jobs fail on a machine and on which machines a job fails. What was learned goes with the term; a
// new leader learns it again by one round of the job's tasks.
#pragma once

#include "core/leader/part.h"
#include "core/model/fleet.h"
#include "core/model/jobs.h"

namespace badgershore {

class Blame : public Part {
 public:
  using Part::Part;

  struct Verdict {
    Micros pause;                   // before the task may start again
    bool machine_at_fault = false;  // it is to go back
  };
  Verdict Failed(Micros now, Machine* m, Job* job, int task);
  void Done(Micros now, Machine* m, Job* job);
  // So many more tasks of the job may be given to machines now.
  int MayBind(Micros now, const Job& job) const;

 private:
  // Some task of it runs or was done: what it fails on is suspect.
  static bool Proven(const Job& job) { return job.done + job.running > 0; }
  void Condemn(Micros now, Job* job);
};

}  // namespace badgershore
