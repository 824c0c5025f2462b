#include "core/leader/fault_attribution.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "core/leader/dispatch.h"
#include "core/leader/job_table.h"
#include "core/leader/machine_table.h"

namespace badgershore {
namespace {

// Bounds of the exponential backoff between probes of a faulty job.
constexpr Micros kMinProbeBackoff = Seconds(4);
constexpr Micros kMaxProbeBackoff = Seconds(64);
// Upper bound of the tasks of a faulty job that may run at once. The number doubles with each
// completion.
constexpr int kMaxProbes = 1024;

// A failed task's retry delay starts at this and doubles with each failure, up to this many times.
constexpr double kMinRetryDelaySeconds = 0.25;
constexpr int kMaxRetryDoublings = 6;

constexpr int kMaxCountedTaskFailures = 200;  // TaskState::failures is one byte
constexpr size_t kMaxFailedMachines = 8;

// A machine is at fault if this many different jobs failed on it, or this many tasks in a row.
constexpr int kFailedJobsForFault = 2;
constexpr int kConsecutiveFailuresForFault = 3;
// Without other evidence, a machine is at fault after all tasks on it have failed for this long.
constexpr Micros kOnlyFailuresForFault = Seconds(20);

}  // namespace

FaultAttribution::Attribution FaultAttribution::OnTaskFailed(Micros now, Machine* machine, Job* job,
                                                             int task) {
  TaskState& state = job->tasks[static_cast<size_t>(task)];
  const bool was_faulty = job->IsFaulty();
  RecordFailure(*machine, job, &state);
  if (job->IsFaulty()) return {ScheduleNextProbe(now, job, was_faulty), false};

  if (machine->failed_jobs.empty()) machine->failing_since = now;
  machine->failed_jobs.insert(job->spec.id);
  ++machine->consecutive_failures;
  Attribution attribution;
  attribution.retry_delay = Seconds(
      kMinRetryDelaySeconds * std::pow(2.0, std::min<int>(state.failures, kMaxRetryDoublings)));
  attribution.machine_at_fault = IsMachineAtFault(now, *machine, *job);
  return attribution;
}

void FaultAttribution::RecordFailure(const Machine& machine, Job* job, TaskState* task) const {
  std::vector<std::string>& machines = job->failed_machines;
  if (std::find(machines.begin(), machines.end(), machine.id) == machines.end() &&
      machines.size() < kMaxFailedMachines) {
    machines.push_back(machine.id);
  }
  ++job->failures;
  if (task->failures < kMaxCountedTaskFailures) ++task->failures;
}

// Returns the delay for the failed task.
Micros FaultAttribution::ScheduleNextProbe(Micros now, Job* job, bool was_faulty) {
  if (!was_faulty) MarkFaulty(now, job);
  // Failures of tasks that ran at the same time count as one round.
  if (now >= job->next_probe_at) {
    job->probe_backoff =
        was_faulty ? std::min(job->probe_backoff.Scaled(2), kMaxProbeBackoff) : kMinProbeBackoff;
    job->next_probe_at = now + job->probe_backoff;
  }
  job->probe_limit = 1;
  return job->IsGang() ? job->next_probe_at - now : Micros{};
}

bool FaultAttribution::IsMachineAtFault(Micros now, const Machine& machine, const Job& job) const {
  // A job that has never run successfully and also failed on other machines is no evidence against
  // this one.
  int jobs = 0;
  for (const std::string& id : machine.failed_jobs) {
    const Job* other = job_table().Find(id);
    jobs += other && (IsKnownToWork(*other) || other->failed_machines.size() == 1);
  }
  if (jobs >= kFailedJobsForFault) return true;
  return machine.consecutive_failures >= kConsecutiveFailuresForFault &&
         (IsKnownToWork(job) || now - machine.failing_since > kOnlyFailuresForFault);
}

// Discards this job's failures as evidence against machines, and returns its queued tasks.
void FaultAttribution::MarkFaulty(Micros now, Job* job) {
  outbox()->Info("job " + job->spec.id +
                 ": marked faulty, fails on every machine; probing with one task at a time");
  job->next_probe_at = now;
  for (const auto& [id, machine] : machine_table().machines()) {
    if (machine->failed_jobs.erase(job->spec.id) > 0 && machine->failed_jobs.empty()) {
      machine->consecutive_failures = 0;
    }
  }
  dispatch().Unbind(job);
}

void FaultAttribution::OnTaskDone(Micros now, Machine* machine, Job* job) {
  machine->consecutive_failures = 0;
  machine->failed_jobs.clear();
  if (!job->IsFaulty()) return;
  job->failures /= 2;
  job->probe_limit = std::min(job->probe_limit * 2, kMaxProbes);
  job->probe_backoff = kMinProbeBackoff;
  job->next_probe_at = now;
}

int FaultAttribution::StartsAllowed(Micros now, const Job& job) const {
  if (!job.IsFaulty()) return std::numeric_limits<int>::max();
  return now < job.next_probe_at ? 0 : std::max(0, job.probe_limit - job.placed - job.queued);
}

}  // namespace badgershore
