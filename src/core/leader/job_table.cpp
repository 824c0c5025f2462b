#include "core/leader/job_table.h"

#include "core/leader/agent_client.h"
#include "core/leader/gangs.h"
#include "core/leader/machine_table.h"
#include "core/leader/quota_checker.h"
#include "core/leader/recorder.h"
#include "core/leader/sharing.h"
#include "core/leader/usage_accounting.h"
#include "core/placement/autoscale.h"
#include "core/placement/guardrails.h"

namespace badgershore {
namespace {

// A cancellation is recorded within this, or its user is told to ask again.
constexpr Micros kCalledOff = Seconds(5);

// Half of what users take for work left lying.
constexpr Micros kPassedOver = Seconds(45);

Resources Least(const Resources& a, const Resources& b) {
  return {std::min(a.cpu, b.cpu), std::min(a.gpu, b.gpu), std::min(a.mem, b.mem)};
}

}  // namespace

Job* JobTable::Find(const std::string& id) const {
  auto it = jobs_.find(id);
  return it == jobs_.end() ? nullptr : it->second.get();
}

void JobTable::OnJobEntry(Micros now, const Entry& e) {
  const std::string id = e.key.substr(keys::kJob.size());
  if (e.deleted) {
    EndJob(now, id);
  } else if (const auto* spec = std::get_if<JobSpec>(&e.value)) {
    AddJob(now, *spec, e.version);
  }
}

void JobTable::AddJob(Micros now, const JobSpec& spec, uint64_t stamp) {
  if (jobs_.count(spec.id)) return;
  auto job = std::make_unique<Job>();
  job->spec = spec;
  job->team = quota_checker().TeamIndex(spec.team);
  job->version = stamp;
  const int64_t today_ms = began_ms() + (now - began()).ToMillis();
  job->submitted_at = now - Millis(std::clamp<int64_t>(today_ms - spec.submitted_ms, 0, 86400000));
  job->progressed_at = now;
  for (const Objective& o : settings().objectives) {
    if (o.job_class != spec.job_class) continue;
    if (o.kind == "wait") job->start_by = job->submitted_at + o.within;
    if (o.kind == "finished" && spec.kind == JobKind::kArray) {
      // Estimates are often wrong by half; what can't be in time any more has no claim.
      const Micros by = job->submitted_at + o.within;
      job->objective_windows.emplace_back(by - spec.estimated_runtime.Scaled(1.5) - Seconds(10),
                                          by - spec.estimated_runtime.Scaled(0.8));
    }
  }
  least_need_ = jobs_.empty() ? spec.need : Least(least_need_, spec.need);
  job->bucket = BucketOf(spec, options().bucket_width);
  job->tasks.resize(static_cast<size_t>(spec.tasks));
  job->progress_pages.resize(static_cast<size_t>((spec.tasks + kChunkTasks - 1) / kChunkTasks));
  if (!job->IsGang()) {
    if (!job->IsService()) scaler().ArrayArrived(spec, job->submitted_at, now);
    for (int i = 0; i < spec.tasks; ++i) job->waiting.push_back(i);
  } else {
    scaler().NoteGang(spec, now);
    scaler().GangArrived(spec, job->submitted_at);
  }
  if (!types().empty()) {
    Micros boot;
    for (const auto& [name, type] : types()) boot = std::max(boot, type.boot);
    scaler().Arrived(spec,
                     scaler().Allowance(spec, settings().objectives, 1.0) - spec.estimated_runtime,
                     boot, job->submitted_at, now);
  }
  job->cancel_pending = called_off_.contains(spec.id);
  jobs_[spec.id] = std::move(job);
  asker()->Debug("job " + spec.id + " " + spec.job_class + " tasks " + std::to_string(spec.tasks) +
                 " estimate " + std::to_string(spec.estimated_runtime.ToSeconds()));
}

void JobTable::CallOff(Micros now, const std::string& id) {
  called_off_[id] = now + kCalledOff;
  if (Job* job = Find(id)) job->cancel_pending = true;
}

void JobTable::GoOn(Micros now) {
  for (auto it = called_off_.begin(); it != called_off_.end();) {
    if (now < it->second) {
      ++it;
      continue;
    }
    if (Job* job = Find(it->first)) job->cancel_pending = false;
    it = called_off_.erase(it);
  }
}

void JobTable::MarkPassedOver(Micros now) {
  for (auto& [id, job] : jobs_) {
    job->starved = !job->IsGang() && now - job->progressed_at > kPassedOver;
  }
}

void JobTable::CloseJob(Micros now, Job* job) {
  for (auto& [id, m] : machine_table().machines()) {
    m->queue.erase(QueueKey{job->spec.priority, job->spec.estimated_runtime, job->spec.id});
    usage_accounting().DetachJob(m.get(), job);
    if (m->held_for == job) m->held_for = nullptr;
  }
  recorder().Over(now, *job);
}

void JobTable::EndJob(Micros now, const std::string& id) {
  auto it = jobs_.find(id);
  if (it == jobs_.end()) return;
  Job* job = it->second.get();
  CloseJob(now, job);
  if (job->IsGang()) gangs().Forget(job);
  sharing().Forget(job);
  asker()->Debug("job " + id + " over, " + std::to_string(job->done) + " tasks done");
  jobs_.erase(it);
  for (auto& [mid, m] : machine_table().machines()) {
    bool any = false;
    for (auto o = m->allocations.begin(); o != m->allocations.end();) {
      Allocation& occ = o->second;
      if (occ.ref.job == id && occ.start_unsent) {
        o = usage_accounting().Remove(m.get(), o);
        continue;
      }
      if (occ.ref.job == id && !occ.exited()) {
        occ.stop_requested = true;
        occ.grace_period = {};
        any = true;
      }
      ++o;
    }
    if (any) agent_client().SendStops(m.get());
  }
}

JobStatus JobTable::Digest(const std::string& id) const {
  auto it = jobs_.find(id);
  if (it == jobs_.end()) return {id, 0, 0};
  return {id, it->second->done, it->second->running};
}

std::vector<JobStatus> JobTable::Digests() const {
  std::vector<JobStatus> out;
  for (const auto& [id, job] : jobs_) {
    if (out.size() >= 2000) break;
    if (job->done > 0 || job->running > 0) out.push_back({id, job->done, job->running});
  }
  return out;
}

void JobTable::MarkDone(Micros now, Job* job, int task) {
  const auto one = [&](int i) {
    TaskState& t = job->tasks[static_cast<size_t>(i)];
    if (t.stage == TaskStage::kDone) return;
    t.stage = TaskStage::kDone;
    ++job->done;
    job->progressed_at = now;
    recorder().Progressed(now, job, i);
  };
  if (job->IsService()) return;
  if (job->IsGang()) {
    // They complete together: one that is done speaks for all.
    for (int i = 0; i < job->spec.tasks; ++i) one(i);
  } else {
    one(task);
  }
  if (job->remaining() == 0 && !job->finishing) {
    job->finishing = true;
    recorder().Finish(job->spec.id);
  }
}

void JobTable::TaskBack(Micros now, Job* job, int task, Micros pause) {
  TaskState& t = job->tasks[static_cast<size_t>(task)];
  if (t.stage == TaskStage::kDone) return;
  t.stage = TaskStage::kWaiting;
  t.machine = nullptr;
  if (job->IsGang()) {
    job->backoff_until = std::max(job->backoff_until, now + pause);
  } else if (pause.count > 0) {
    job->delayed.emplace(now + pause, task);
  } else {
    job->waiting.push_front(task);
  }
}

// Job by job, the earliest first, until a team's guarantee is used up: of an array as many tasks as
// go into what is left of it, a gang or service whole or not at all.
void JobTable::MarkGuaranteed(Micros now) {
  for (size_t i = 0; i < settings().teams.size(); ++i) {
    const int team = static_cast<int>(i);
    const Team& said = settings().teams[i];
    if (said.guarantee.cpu == 0 && said.guarantee.gpu == 0) continue;
    Resources room = quota_checker().Guarantee(team);
    room.mem = INT64_MAX / 2;
    std::vector<Job*> jobs;
    for (auto& [id, job] : jobs_) {
      if (job->team == team && !job->finishing) jobs.push_back(job.get());
    }
    std::stable_sort(jobs.begin(), jobs.end(),
                     [](const Job* a, const Job* b) { return a->submitted_at < b->submitted_at; });
    for (Job* job : jobs) {
      const bool whole = job->IsGang() || job->IsService();
      const int64_t holds = std::min<int64_t>(room.Holds(job->spec.need), job->WantedTasks());
      job->tasks_within_guarantee = static_cast<int>(whole && holds < job->remaining() ? 0 : holds);
      room = room - job->spec.need.Times(job->tasks_within_guarantee);
      if (!job->IsGuaranteed()) {
        job->guarantee_short_since = kNever;
      } else if (job->guarantee_short_since == kNever) {
        job->guarantee_short_since = now;
      }
    }
  }
}

void JobTable::NoteLeastNeed() {
  bool first = true;
  for (auto& [id, job] : jobs_) {
    if (job->IsGang()) continue;
    least_need_ = std::exchange(first, false) ? job->spec.need : Least(least_need_, job->spec.need);
  }
}

}  // namespace badgershore
