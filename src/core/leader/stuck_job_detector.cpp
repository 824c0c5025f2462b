#include "core/leader/stuck_job_detector.h"

#include <algorithm>
#include <utility>

#include "core/leader/dispatch.h"
#include "core/leader/gang_scheduler.h"
#include "core/leader/job_table.h"
#include "core/leader/machine_table.h"
#include "core/leader/quota_checker.h"
#include "core/leader/reconciler.h"
#include "core/leader/usage_accounting.h"

namespace badgershore {
namespace {

constexpr Micros kCheckInterval = Seconds(5);

// The low bits of an attempt's number, which count the attempts of its term.
constexpr uint64_t kAttemptInTermMask = 0xffffff;

// The longest time that a job's next step may take, in boot times, gang start timeouts and
// estimated run times.
constexpr double kBootFactor = 2;
constexpr double kGangStartFactor = 2;
constexpr double kRunFactor = 4;

std::string ToText(int64_t n) { return std::to_string(n); }

}  // namespace

// Checks the conditions for the job's next step in the order in which the leader checks them.
std::string StuckJobDetector::WaitReason(Micros now, const Job& job) const {
  if (job.finishing) return "all tasks done, job end not recorded yet";
  if (job.cancel_pending) return "cancellation being recorded";
  if (reconciler().MayStillRun(job))
    return ToText(static_cast<int64_t>(reconciler().unreconciled().size())) +
           " machines unreconciled";
  if (!election()->MayStart(now)) return "leader lease not held";
  if (!authority().MayStart(now)) return "recent cancellations unknown";
  if (!quota_checker().Allows(job, job.IsGang() ? job.remaining() - job.placed : 1))
    return "team limit reached";
  if (job.IsGang() && job.gang_stopping) return "last attempt still being stopped";
  if (now < job.backoff_until) return "backoff after failures";
  if (!job.IsGang() && !job.delayed.empty() && job.waiting.empty() && job.queued == 0 &&
      job.placed == 0) {
    return "backoff after failures";
  }
  return MachineWaitReason(now, job);
}

std::string StuckJobDetector::MachineWaitReason(Micros now, const Job& job) const {
  int eligible = 0, ready = 0, with_room = 0, unrecorded = 0;
  for (const auto& [id, machine] : machine_table().machines()) {
    if (!machine->type || !Allows(job.spec, *machine->type, machine->zone, machine->spot) ||
        !ZoneAllows(job, machine->zone)) {
      continue;
    }
    ++eligible;
    if (!machine_table().IsReady(*machine, now)) continue;
    ++ready;
    unrecorded += !machine->durable;
    with_room +=
        job.spec.need.Fits(dispatch().AvailableResourcesFor(*machine, job, machine->Used(), now));
  }
  if (eligible == 0) return "no eligible machine";
  if (ready == 0) return "none of " + ToText(eligible) + " eligible machines is ready";
  if (with_room == 0) return "insufficient free resources on " + ToText(ready) + " ready machines";
  if (unrecorded == ready) return "machine records not durable yet";
  if (job.placed > 0) return "waiting for placed tasks to end";
  return "free resources on " + ToText(with_room) + " of " + ToText(ready) +
         " ready machines, no known cause";
}

std::string StuckJobDetector::ExplainJobState(Micros now, const std::string& id) const {
  auto it = job_table().jobs().find(id);
  if (it == job_table().jobs().end()) return id + ": unknown to the leader";
  const Job& job = *it->second;
  std::string out = id + ": " + ToText(job.done) + " of " + ToText(job.spec.tasks) +
                    " tasks done, " + ToText(job.placed) + " placed, " + ToText(job.running) +
                    " running, " + ToText(job.queued) + " queued";
  if (job.IsGang()) {
    out += ", attempt " + ToText(static_cast<int64_t>(job.gang_attempt & kAttemptInTermMask));
  }
  return out + "; no progress for " + ToText((now - job.progressed_at).ToMillis() / 1000) +
         " s: " + WaitReason(now, job);
}

Micros StuckJobDetector::StuckTimeout(const Job& job) const {
  Micros boot;
  for (const auto& [name, type] : types()) boot = std::max(boot, type.boot);
  const Micros usual = boot.Scaled(kBootFactor * options().boot_patience) +
                       settings().gang_start_timeout.Scaled(kGangStartFactor) +
                       job.spec.estimated_runtime.Scaled(kRunFactor);
  return std::max(options().stuck_after, usual);
}

void StuckJobDetector::Tick(Micros now) {
  if (now < next_tick_at_) return;
  next_tick_at_ = now + kCheckInterval;
  for (auto& [id, owned_job] : job_table().jobs()) {
    Job* job = owned_job.get();
    if (job->IsService() && job->placed == job->remaining()) continue;
    if (now - job->progressed_at < StuckTimeout(*job) || now < job->stuck_logged_at) continue;
    job->stuck_logged_at = now + StuckTimeout(*job);
    outbox()->Info("stuck: " + ExplainJobState(now, id));
    RepairCounts(now, job);
    // A gang whose members have not all started is stopped as after the loss of a member, and
    // starts again once all members are known to have ended. A running gang may simply take long.
    if (job->IsGang() && job->placed > 0 && !job->gang_attempt_ran && !job->gang_stopping) {
      outbox()->Info("stuck: gang " + id + " stopped, restarts once all members are gone");
      gang_scheduler().StopGang(now, job, job->spec.checkpoint_duration);
    }
  }
}

StuckJobDetector::JobCounts StuckJobDetector::CountAllocations(const Job& job) const {
  JobCounts counts;
  counts.on_machine.resize(job.tasks.size(), 0);
  for (auto& [id, machine] : machine_table().machines()) {
    counts.machines.insert(machine.get());
    const auto [begin, end] = machine->AllocationsOf(job.spec.id);
    for (auto it = begin; it != end; ++it) {
      const Allocation& allocation = it->second;
      if (allocation.job != &job || allocation.exited()) continue;
      ++counts.placed;
      counts.running += allocation.phase == TaskPhase::kRunning;
      ++counts.by_zone[machine->zone];
      const auto task = static_cast<size_t>(allocation.ref.task);
      const TaskState& t = job.tasks[task];
      if (t.machine == machine.get() && t.attempt == allocation.attempt)
        counts.on_machine[task] = 1;
    }
  }
  return counts;
}

// Sets the job's counts to those of the machines' allocations, which are authoritative; a
// difference is a bug. If a task's state names a machine that has no such allocation, the task is
// not simply started elsewhere. The machine is released first, and the cloud's confirmation proves
// that the task no longer runs there.
void StuckJobDetector::RepairCounts(Micros now, Job* job) {
  const JobCounts counts = CountAllocations(*job);
  std::map<std::string, Machine*> inconsistent_machines;  // by id
  int lost = 0;
  for (int i = 0; i < job->spec.tasks; ++i) {
    TaskState& t = job->tasks[static_cast<size_t>(i)];
    if (t.stage != TaskStage::kPlaced || counts.on_machine[static_cast<size_t>(i)]) continue;
    ++lost;
    if (counts.machines.contains(t.machine)) {
      inconsistent_machines[t.machine->id] = t.machine;
    } else {
      job_table().RequeueTask(now, job, i, {});
    }
  }
  if (lost == 0 && counts.placed == job->placed && counts.running == job->running) return;
  outbox()->Log(LogLine::Level::kError,
                "task counts of " + job->spec.id + " corrected: placed " + ToText(job->placed) +
                    " to " + ToText(counts.placed) + ", running " + ToText(job->running) + " to " +
                    ToText(counts.running) + ", " + ToText(lost) + " tasks lost");
  job->placed = counts.placed;
  job->running = counts.running;
  job->zone_count = counts.by_zone;
  for (auto& [machine_id, machine] : inconsistent_machines)
    machine_table().ReleaseMachine(now, machine,
                                   "allocations differ from the leader's task states");
}

}  // namespace badgershore
