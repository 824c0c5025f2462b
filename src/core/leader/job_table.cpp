#include "core/leader/job_table.h"

#include "core/leader/gangs.h"
#include "core/leader/machine_table.h"
#include "core/leader/occupancy.h"
#include "core/leader/recorder.h"
#include "core/leader/sharing.h"
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
  if (e.erased) {
    EndJob(now, id);
  } else if (const auto* spec = std::get_if<JobSpec>(&e.value)) {
    AddJob(now, *spec, e.stamp);
  }
}

void JobTable::AddJob(Micros now, const JobSpec& spec, uint64_t stamp) {
  if (jobs_.count(spec.id)) return;
  auto job = std::make_unique<Job>();
  job->spec = spec;
  job->team = occupancy().TeamOf(spec.team);
  job->stamp = stamp;
  const int64_t today_ms = began_ms() + (now - began()).ToMillis();
  job->arrived = now - Millis(std::clamp<int64_t>(today_ms - spec.submitted_ms, 0, 86400000));
  job->moved_at = now;
  for (const Objective& o : settings().objectives) {
    if (o.lane != spec.lane) continue;
    if (o.kind == "wait") job->start_by = job->arrived + o.within;
    if (o.kind == "finished" && spec.shape == Shape::kArray) {
      // Estimates are often wrong by half; what can't be in time any more has no claim.
      const Micros by = job->arrived + o.within;
      job->last_starts.emplace_back(by - spec.estimate.Scaled(1.5) - Seconds(10),
                                    by - spec.estimate.Scaled(0.8));
    }
  }
  least_need_ = jobs_.empty() ? spec.need : Least(least_need_, spec.need);
  job->bucket = BucketOf(spec, options().bucket_width);
  job->tasks.resize(static_cast<size_t>(spec.tasks));
  job->chunks.resize(static_cast<size_t>((spec.tasks + kChunkTasks - 1) / kChunkTasks));
  if (!job->gang()) {
    if (!job->service()) scaler().ArrayArrived(spec, job->arrived, now);
    for (int i = 0; i < spec.tasks; ++i) job->waiting.push_back(i);
  } else {
    scaler().NoteGang(spec, now);
    scaler().GangArrived(spec, job->arrived);
  }
  if (!types().empty()) {
    Micros boot;
    for (const auto& [name, type] : types()) boot = std::max(boot, type.boot);
    scaler().Arrived(spec, scaler().Allowance(spec, settings().objectives, 1.0) - spec.estimate,
                     boot, job->arrived, now);
  }
  job->called_off = called_off_.contains(spec.id);
  jobs_[spec.id] = std::move(job);
  asker()->Debug("job " + spec.id + " " + spec.lane + " tasks " + std::to_string(spec.tasks) +
                 " estimate " + std::to_string(spec.estimate.ToSeconds()));
}

void JobTable::CallOff(Micros now, const std::string& id) {
  called_off_[id] = now + kCalledOff;
  if (Job* job = Find(id)) job->called_off = true;
}

void JobTable::GoOn(Micros now) {
  for (auto it = called_off_.begin(); it != called_off_.end();) {
    if (now < it->second) {
      ++it;
      continue;
    }
    if (Job* job = Find(it->first)) job->called_off = false;
    it = called_off_.erase(it);
  }
}

void JobTable::MarkPassedOver(Micros now) {
  for (auto& [id, job] : jobs_) {
    job->passed_over = !job->gang() && now - job->moved_at > kPassedOver;
  }
}

void JobTable::CloseJob(Micros now, Job* job) {
  for (auto& [id, m] : machine_table().machines()) {
    m->queue.erase(QueueKey{job->spec.rank, job->spec.estimate, job->spec.id});
    occupancy().Disown(m.get(), job);
    if (m->kept_for == job) m->kept_for = nullptr;
  }
  recorder().Over(now, *job);
}

void JobTable::EndJob(Micros now, const std::string& id) {
  auto it = jobs_.find(id);
  if (it == jobs_.end()) return;
  Job* job = it->second.get();
  CloseJob(now, job);
  if (job->gang()) gangs().Forget(job);
  sharing().Forget(job);
  asker()->Debug("job " + id + " over, " + std::to_string(job->done) + " tasks done");
  jobs_.erase(it);
  for (auto& [mid, m] : machine_table().machines()) {
    bool any = false;
    for (auto o = m->occupants.begin(); o != m->occupants.end();) {
      Occupant& occ = o->second;
      if (occ.ref.job == id && occ.unsent) {
        o = occupancy().Erase(m.get(), o);
        continue;
      }
      if (occ.ref.job == id && !occ.exited()) {
        occ.halt = true;
        occ.grace = {};
        any = true;
      }
      ++o;
    }
    if (any) machine_table().HaltNow(now, m.get());
  }
}

JobDigest JobTable::Digest(const std::string& id) const {
  auto it = jobs_.find(id);
  if (it == jobs_.end()) return {id, 0, 0};
  return {id, it->second->done, it->second->running};
}

std::vector<JobDigest> JobTable::Digests() const {
  std::vector<JobDigest> out;
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
    job->moved_at = now;
    recorder().Progressed(now, job, i);
  };
  if (job->service()) return;
  if (job->gang()) {
    // They complete together: one that is done speaks for all.
    for (int i = 0; i < job->spec.tasks; ++i) one(i);
  } else {
    one(task);
  }
  if (job->left() == 0 && !job->finishing) {
    job->finishing = true;
    recorder().Finish(job->spec.id);
  }
}

void JobTable::TaskBack(Micros now, Job* job, int task, Micros pause) {
  TaskState& t = job->tasks[static_cast<size_t>(task)];
  if (t.stage == TaskStage::kDone) return;
  t.stage = TaskStage::kWaiting;
  t.machine = nullptr;
  if (job->gang()) {
    job->not_before = std::max(job->not_before, now + pause);
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
    Resources room = occupancy().Guarantee(team);
    room.mem = INT64_MAX / 2;
    std::vector<Job*> jobs;
    for (auto& [id, job] : jobs_) {
      if (job->team == team && !job->finishing) jobs.push_back(job.get());
    }
    std::stable_sort(jobs.begin(), jobs.end(),
                     [](const Job* a, const Job* b) { return a->arrived < b->arrived; });
    for (Job* job : jobs) {
      const bool whole = job->gang() || job->service();
      const int64_t holds = std::min<int64_t>(room.Holds(job->spec.need), job->wanted());
      job->within = static_cast<int>(whole && holds < job->left() ? 0 : holds);
      room = room - job->spec.need.Times(job->within);
      if (!job->guaranteed()) {
        job->short_since = kNever;
      } else if (job->short_since == kNever) {
        job->short_since = now;
      }
    }
  }
}

void JobTable::NoteLeastNeed() {
  bool first = true;
  for (auto& [id, job] : jobs_) {
    if (job->gang()) continue;
    least_need_ = std::exchange(first, false) ? job->spec.need : Least(least_need_, job->spec.need);
  }
}

}  // namespace badgershore
