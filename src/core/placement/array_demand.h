// What the arrays and services need, and by when. CPU is in thousandths of a CPU throughout, work
// in CPU seconds of these.
#pragma once

#include <vector>

#include "core/placement/scaling_types.h"

namespace badgershore {

// Work of one array that is to be done in time.
struct DueWork {
  Micros remaining;  // from now until it is due
  Micros estimated_runtime;
  double work = 0;  // with half of what its running tasks began with
};

struct ArrayDemand {
  // The job with most unfinished tasks, whose need stands for all jobs'; null when there is none.
  const Job* typical = nullptr;
  std::vector<DueWork> due;  // earliest first
  double running_cpu = 0;
  double service_cpu = 0;   // of all unfinished replicas
  double waiting_work = 0;  // of tasks that are on no machine
  // What the arrays could use at once, within their teams' quotas.
  double max_parallel_cpu = 0;
  double total_cpu_limit = 0;  // of all teams; the largest double when unlimited
  double arrival_rate = 0;     // work per second that is expected to keep arriving
  Micros shortest_boot = kNever;
};

// Leaves arrival_rate at zero.
ArrayDemand MeasureArrayDemand(const ScalingSnapshot& snapshot, const Options& options);

// Orders the work by when it is due.
void SortByDueTime(std::vector<DueWork>* due);

}  // namespace badgershore
