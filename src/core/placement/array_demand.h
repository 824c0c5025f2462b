// Demand of arrays and services, and when it is due. All CPU amounts are in thousandths of a CPU,
// amounts of work in thousandths of a CPU times seconds.
#pragma once

#include <vector>

#include "core/placement/scaling_types.h"

namespace badgershore {

// Work of one array that is to be complete at some time.
struct DueWork {
  Micros remaining;  // from now until it is due
  Micros estimated_runtime;
  double work = 0;  // of the tasks not placed, plus half of the work of the placed ones
};

struct ArrayDemand {
  // The job with the most unfinished tasks, whose need represents that of all jobs. Null if there
  // is no job.
  const Job* typical = nullptr;
  std::vector<DueWork> due;  // earliest first
  double running_cpu = 0;
  double service_cpu = 0;   // of all unfinished replicas
  double waiting_work = 0;  // of tasks that are not on a machine
  // Maximum CPU that the arrays could use at once within their teams' quotas.
  double max_parallel_cpu = 0;
  double total_cpu_limit = 0;  // of all teams; the largest double if unlimited
  double arrival_rate = 0;     // work per second that is expected to keep arriving
  Micros shortest_boot = kNever;
};

// Does not set arrival_rate.
ArrayDemand MeasureArrayDemand(const ScalingSnapshot& snapshot, const Options& options);

// Sorts the work by due time, earliest first.
void SortByDueTime(std::vector<DueWork>* due);

}  // namespace badgershore
