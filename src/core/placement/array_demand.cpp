#include "core/placement/array_demand.h"

#include <algorithm>
#include <limits>

#include "core/placement/completion_target.h"

namespace badgershore {
namespace {

// Share of its estimated runtime that a running task still needs, on average.
constexpr double kRunningTaskRemainder = 0.5;

Micros ShortestBoot(const ScalingSnapshot& snapshot) {
  Micros shortest = kNever;
  for (const auto& [name, type] : *snapshot.machine_types) {
    shortest = std::min(shortest, type.boot);
  }
  return shortest;
}

using CpuByTeam = std::map<int, double>;

void AddArray(const ScalingSnapshot& snapshot, const Job& job, const Options& options,
              ArrayDemand* demand, CpuByTeam* parallel_cpu) {
  const JobSpec& spec = job.spec;
  const int open = job.WantedTasks() - job.placed;
  const auto cpu = static_cast<double>(spec.need.cpu);
  const double runtime = std::max(1.0, spec.estimated_runtime.ToSeconds());
  const double work = (open + kRunningTaskRemainder * job.placed) * runtime * cpu;
  demand->waiting_work += open * runtime * cpu;
  demand->due.push_back(
      {RemainingTime(snapshot, job, demand->shortest_boot, options), spec.estimated_runtime, work});
  (*parallel_cpu)[job.team] += static_cast<double>(job.WantedTasks()) * cpu;
}

// A team never uses more than its quota at once, no matter how much of its work is waiting.
void ApplyQuotas(const ScalingSnapshot& snapshot, CpuByTeam* parallel_cpu) {
  if (!snapshot.team_cpu_limit) return;
  for (auto& [team, cpu] : *parallel_cpu) {
    const int64_t limit = snapshot.team_cpu_limit(team);
    if (limit < INT64_MAX) cpu = std::min(cpu, static_cast<double>(limit));
  }
}

double TotalCpuLimit(const ScalingSnapshot& snapshot) {
  if (snapshot.team_cpu_limit && snapshot.total_cpu_limit < INT64_MAX) {
    return static_cast<double>(snapshot.total_cpu_limit);
  }
  return std::numeric_limits<double>::max();
}

}  // namespace

ArrayDemand MeasureArrayDemand(const ScalingSnapshot& snapshot, const Options& options) {
  ArrayDemand demand;
  demand.shortest_boot = ShortestBoot(snapshot);
  demand.total_cpu_limit = TotalCpuLimit(snapshot);
  CpuByTeam parallel_cpu;
  for (const Job* job : snapshot.jobs) {
    if (job->IsGang() || job->finishing) continue;
    if (!demand.typical || job->WantedTasks() > demand.typical->WantedTasks()) {
      demand.typical = job;
    }
    const auto cpu = static_cast<double>(job->spec.need.cpu);
    demand.running_cpu += static_cast<double>(job->placed) * cpu;
    if (job->IsService()) {
      demand.service_cpu += static_cast<double>(job->remaining()) * cpu;
    } else {
      AddArray(snapshot, *job, options, &demand, &parallel_cpu);
    }
  }
  ApplyQuotas(snapshot, &parallel_cpu);
  for (const auto& [team, cpu] : parallel_cpu) demand.max_parallel_cpu += cpu;
  SortByDueTime(&demand.due);
  return demand;
}

void SortByDueTime(std::vector<DueWork>* due) {
  std::sort(due->begin(), due->end(),
            [](const DueWork& a, const DueWork& b) { return a.remaining < b.remaining; });
}

}  // namespace badgershore
