#include "core/leader/job_table.h"

#include <algorithm>
#include <utility>

#include "core/leader/agent_client.h"
#include "core/leader/fair_share.h"
#include "core/leader/gang_scheduler.h"
#include "core/leader/machine_table.h"
#include "core/leader/quota_checker.h"
#include "core/leader/record_writer.h"
#include "core/leader/usage_accounting.h"
#include "core/model/message_size.h"
#include "core/placement/autoscaler.h"
#include "core/placement/guardrails.h"

namespace badgershore {
namespace {

// A cancellation is recorded within this time, or its user is asked to retry.
constexpr Micros kCancelPendingTimeout = Seconds(5);

// Half of the time without progress that users accept.
constexpr Micros kStarvationTimeout = Seconds(45);

constexpr int64_t kMaxJobAgeMs = 86400000;

// Longest and shortest run time that a task is assumed to take, relative to its estimate: estimates
// are often wrong by half. They bound the window in which the task has to start to meet its
// objective.
constexpr double kLongestRunFactor = 1.5;
constexpr double kShortestRunFactor = 0.8;
constexpr Micros kStartMargin = Seconds(10);

constexpr size_t kMaxStatuses = 2000;

Resources ElementwiseMin(const Resources& a, const Resources& b) {
  return {std::min(a.cpu, b.cpu), std::min(a.gpu, b.gpu), std::min(a.mem, b.mem),
          std::min(a.report, b.report)};
}

}  // namespace

Job* JobTable::Find(const std::string& id) const {
  auto it = jobs_.find(id);
  return it == jobs_.end() ? nullptr : it->second.get();
}

void JobTable::ApplyJobRecord(Micros now, const Entry& e) {
  const std::string id = e.key.substr(keys::kJob.size());
  if (e.deleted) {
    EndJob(now, id);
  } else if (const auto* spec = std::get_if<JobSpec>(&e.value)) {
    AddJob(now, *spec, e.version);
  }
}

void JobTable::AddJob(Micros now, const JobSpec& spec, uint64_t version) {
  if (jobs_.count(spec.id) || cancelled_at_.contains(spec.id)) return;
  std::unique_ptr<Job> job = MakeJob(now, spec, version);
  const Resources& need = job->spec.need;
  smallest_need_ = jobs_.empty() ? need : ElementwiseMin(smallest_need_, need);
  ForecastArrival(now, *job);
  jobs_[spec.id] = std::move(job);
  outbox()->Debug("job " + spec.id + " added: class " + spec.job_class + ", " +
                  std::to_string(spec.tasks) + " tasks, estimated run time " +
                  std::to_string(spec.estimated_runtime.ToSeconds()) + " s");
}

std::unique_ptr<Job> JobTable::MakeJob(Micros now, const JobSpec& spec, uint64_t version) const {
  auto job = std::make_unique<Job>();
  job->spec = spec;
  job->spec.need.report = MaxReportedTaskBytes(spec.id);
  job->team = quota_checker().TeamIndex(spec.team);
  job->version = version;
  const int64_t time_of_day_ms = term_began_ms() + (now - term_began_at()).ToMillis();
  job->submitted_at =
      now - Millis(std::clamp<int64_t>(time_of_day_ms - spec.submitted_ms, 0, kMaxJobAgeMs));
  job->progressed_at = now;
  SetObjectives(job.get());
  job->bucket = SizeBucket(spec, options().bucket_width);
  job->tasks.resize(static_cast<size_t>(spec.tasks));
  job->progress_pages.resize(static_cast<size_t>((spec.tasks + kChunkTasks - 1) / kChunkTasks));
  if (!job->IsGang()) {
    for (int i = 0; i < spec.tasks; ++i) job->waiting.push_back(i);
  }
  job->cancel_pending = cancel_pending_until_.contains(spec.id);
  return job;
}

void JobTable::SetObjectives(Job* job) const {
  const JobSpec& spec = job->spec;
  for (const Objective& objective : settings().objectives) {
    if (objective.job_class != spec.job_class) continue;
    const Micros deadline = job->submitted_at + objective.within;
    if (objective.kind == "wait") job->start_by = deadline;
    if (objective.kind == "finished" && spec.kind == JobKind::kArray) {
      job->objective_windows.push_back(
          {deadline - spec.estimated_runtime.Scaled(kLongestRunFactor) - kStartMargin,
           deadline - spec.estimated_runtime.Scaled(kShortestRunFactor)});
    }
  }
}

void JobTable::ForecastArrival(Micros now, const Job& job) {
  const JobSpec& spec = job.spec;
  if (job.IsGang()) {
    scaler().RecordGangDemand(spec, now);
    scaler().RecordGangArrival(spec, job.submitted_at);
  } else if (!job.IsService()) {
    scaler().RecordArrayArrival(spec, job.submitted_at, now);
  }
  if (types().empty()) return;
  Micros boot;
  for (const auto& [name, type] : types()) boot = std::max(boot, type.boot);
  scaler().RecordUrgentArrival(
      spec, scaler().CompletionTarget(spec, settings().objectives, 1.0) - spec.estimated_runtime,
      boot, job.submitted_at, now);
}

void JobTable::MarkCancelPending(Micros now, const std::string& id) {
  cancel_pending_until_[id] = now + kCancelPendingTimeout;
  if (Job* job = Find(id)) job->cancel_pending = true;
}

void JobTable::EndCancelledJob(Micros now, const std::string& id) {
  cancelled_at_.emplace(id, now);
  EndJob(now, id);
}

void JobTable::ExpireCancellations(Micros now) {
  std::erase_if(cancelled_at_, [known_as_of = authority().known_as_of()](const auto& cancelled) {
    return known_as_of > cancelled.second;
  });
  for (auto it = cancel_pending_until_.begin(); it != cancel_pending_until_.end();) {
    if (now < it->second) {
      ++it;
      continue;
    }
    if (Job* job = Find(it->first)) job->cancel_pending = false;
    it = cancel_pending_until_.erase(it);
  }
}

void JobTable::MarkStarved(Micros now) {
  for (auto& [id, job] : jobs_) {
    job->starved = !job->IsGang() && now - job->progressed_at > kStarvationTimeout;
  }
}

// Removes all references to the job.
void JobTable::DetachJob(Micros now, Job* job) {
  for (auto& [id, machine] : machine_table().machines()) {
    machine->queue.erase(QueueKey{job->spec.priority, job->spec.estimated_runtime, job->spec.id});
    usage_accounting().DetachJob(machine.get(), job);
    if (machine->held_for == job) machine->held_for = nullptr;
  }
  record_writer().RemoveProgress(now, *job);
  if (job->IsGang()) gang_scheduler().Remove(job);
  const bool never_ran = job->done == 0 && !job->has_run;
  if (job->IsGang() && never_ran) scaler().RemoveGangArrival(job->spec, job->submitted_at);
  fair_share().Remove(job);
}

void JobTable::EndJob(Micros now, const std::string& id) {
  auto it = jobs_.find(id);
  if (it == jobs_.end()) return;
  Job* job = it->second.get();
  DetachJob(now, job);
  outbox()->Debug("job " + id + " ended, " + std::to_string(job->done) + " tasks done");
  jobs_.erase(it);
  StopTasks(id);
}

void JobTable::StopTasks(const std::string& id) {
  for (auto& [machine_id, machine] : machine_table().machines()) {
    if (StopTasksOn(machine.get(), id)) agent_client().SendStops(machine.get());
  }
}

// Drops starts that have not been sent. Returns whether stops have to be sent to the machine.
bool JobTable::StopTasksOn(Machine* machine, const std::string& id) {
  bool has_stops = false;
  auto [it, end] = machine->AllocationsOf(id);
  while (it != end) {
    Allocation& allocation = it->second;
    if (allocation.start_unsent) {
      it = usage_accounting().Remove(machine, it);
      continue;
    }
    if (!allocation.exited()) {
      allocation.stop_requested = true;
      allocation.grace_period = {};
      has_stops = true;
    }
    ++it;
  }
  return has_stops;
}

JobStatus JobTable::Status(const std::string& id) const {
  auto it = jobs_.find(id);
  if (it == jobs_.end()) return {id, 0, 0};
  return {id, it->second->done, it->second->running};
}

std::vector<JobStatus> JobTable::Statuses() const {
  std::vector<JobStatus> out;
  for (const auto& [id, job] : jobs_) {
    if (out.size() >= kMaxStatuses) break;
    if (job->done > 0 || job->running > 0) out.push_back({id, job->done, job->running});
  }
  return out;
}

void JobTable::MarkTaskDone(Micros now, Job* job, int task) {
  TaskState& t = job->tasks[static_cast<size_t>(task)];
  if (t.stage == TaskStage::kDone) return;
  t.stage = TaskStage::kDone;
  ++job->done;
  job->progressed_at = now;
  record_writer().PersistProgress(now, job, task);
}

void JobTable::MarkDone(Micros now, Job* job, int task) {
  if (job->IsService() || job->finishing) return;
  if (job->IsGang()) {
    for (int i = 0; i < job->spec.tasks; ++i) MarkTaskDone(now, job, i);
  } else {
    MarkTaskDone(now, job, task);
  }
  if (job->remaining() == 0 && !job->finishing) {
    job->finishing = true;
    record_writer().PersistJobEnd(job->spec.id);
  }
}

void JobTable::RequeueTask(Micros now, Job* job, int task, Micros delay) {
  TaskState& t = job->tasks[static_cast<size_t>(task)];
  if (t.stage == TaskStage::kDone) return;
  t.stage = TaskStage::kWaiting;
  t.machine = nullptr;
  if (job->IsGang()) {
    job->backoff_until = std::max(job->backoff_until, now + delay);
  } else if (delay.count > 0) {
    job->delayed.emplace(now + delay, task);
  } else {
    job->waiting.push_front(task);
  }
}

void JobTable::MarkGuaranteedTasks(Micros now) {
  for (size_t i = 0; i < settings().teams.size(); ++i) {
    const Team& team = settings().teams[i];
    if (team.guarantee.cpu == 0 && team.guarantee.gpu == 0) continue;
    MarkTeamGuaranteedTasks(now, static_cast<int>(i));
  }
}

// Goes through the team's jobs, earliest first, until its guarantee is used up. An array counts
// with as many tasks as fit into the rest of the guarantee, a gang or service with all tasks or
// none.
void JobTable::MarkTeamGuaranteedTasks(Micros now, int team) {
  Resources room = quota_checker().Guarantee(team);
  room.mem = room.report = INT64_MAX / 2;  // not guaranteed
  std::vector<Job*> jobs;
  for (auto& [id, job] : jobs_) {
    if (job->team == team && !job->finishing) jobs.push_back(job.get());
  }
  std::stable_sort(jobs.begin(), jobs.end(),
                   [](const Job* a, const Job* b) { return a->submitted_at < b->submitted_at; });
  for (Job* job : jobs) {
    const bool all_or_none = job->IsGang() || job->IsService();
    const int64_t holds = std::min<int64_t>(room.Holds(job->spec.need), job->WantedTasks());
    job->tasks_within_guarantee =
        static_cast<int>(all_or_none && holds < job->remaining() ? 0 : holds);
    room = room - job->spec.need.Times(job->tasks_within_guarantee);
    if (!job->IsGuaranteed()) {
      job->guarantee_short_since = kNever;
    } else if (job->guarantee_short_since == kNever) {
      job->guarantee_short_since = now;
    }
  }
}

void JobTable::UpdateSmallestNeed() {
  bool first = true;
  for (auto& [id, job] : jobs_) {
    if (job->IsGang()) continue;
    smallest_need_ = std::exchange(first, false) ? job->spec.need
                                                 : ElementwiseMin(smallest_need_, job->spec.need);
  }
}

}  // namespace badgershore
