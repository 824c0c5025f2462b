#include "core/leader.h"

namespace badgershore {
namespace {

constexpr Micros kHoldMargin = Seconds(3);

Resources Least(const Resources& a, const Resources& b) {
  return {std::min(a.cpu, b.cpu), std::min(a.gpu, b.gpu), std::min(a.mem, b.mem)};
}

// What a page's items may take, of the most that the state service keeps in a value.
size_t PageRoom(const PlatformSettings& settings) {
  return static_cast<size_t>(settings.state_value_kb * 1024 * 0.85);
}

}  // namespace

Leader::Leader(Context context, Micros now, int64_t time_of_day_ms)
    : context_(std::move(context)),
      began_(now),
      began_ms_(time_of_day_ms),
      fleet_pages_(keys::kFleet, PageRoom(*context_.settings)),
      progress_pages_(keys::kProgress, PageRoom(*context_.settings)),
      scaler_(*context_.options) {
  tokens_at_ = now;
  write_tokens_ = settings().state_write_rps * 0.5;
  jobs_mirror_ = std::make_unique<Mirror>(
      asker(), keys::kJob, [this](Micros t, const Entry& e) { OnJobEntry(t, e); },
      [this](Micros) {
        if (std::exchange(jobs_loaded_, true)) return;
        // Progress is read after the jobs, so that each finds its job.
        LoadPrefix(
            keys::kProgress, "",
            [this](Micros t, const Entry& e) {
              const auto* read = std::get_if<ProgressPage>(&e.value);
              if (!read) return;
              Pages::Page* page = progress_pages_.Adopt(e.key, e.stamp);
              for (const ProgressPiece& p : read->pieces) LoadPiece(t, page, p);
            },
            [this](Micros t) { Loaded(t); });
        LoadPrefix(
            keys::kFleet, "",
            [this](Micros t, const Entry& e) {
              const auto* read = std::get_if<FleetPage>(&e.value);
              if (!read) return;
              Pages::Page* page = fleet_pages_.Adopt(e.key, e.stamp);
              for (const MachineRecord& r : read->machines) LoadMachine(t, page, r);
            },
            [this](Micros t) { Loaded(t); });
      });
}

Leader::~Leader() { *alive_ = false; }

void Leader::LoadPiece(Micros now, Pages::Page* page, const ProgressPiece& piece) {
  auto it = jobs_.find(piece.job);
  Job* job = it == jobs_.end() ? nullptr : it->second.get();
  if (!job || piece.chunk < 0 || static_cast<size_t>(piece.chunk) >= job->chunks.size()) {
    return progress_pages_.Touch(page, false, now);  // its job is over
  }
  progress_pages_.Hold(page, ProgressItem(piece.job, piece.chunk), PieceBytes(*job, piece.chunk));
  job->chunks[static_cast<size_t>(piece.chunk)] = page;
  DecodeProgress(piece.bits, piece.chunk, kChunkTasks, job->spec.tasks, [&](int task) {
    TaskState& t = job->tasks[static_cast<size_t>(task)];
    if (t.stage != TaskStage::kDone) ++job->done;
    t.stage = TaskStage::kDone;
    t.saved = true;
  });
}

void Leader::LoadMachine(Micros now, Pages::Page* page, const MachineRecord& r) {
  fleet_pages_.Hold(page, r.id, MachineBytes(r));
  Machine* m = Adopt(now, r.id, r.endpoint, r.type, r.zone, r.spot);
  if (!m->resolved) return;
  // An earlier leader may have sent it anything, and may have kept its lease alive for as long as
  // a leader may without the state service.
  m->recorded = true;
  m->resolved = false;
  m->stage = MachineStage::kUp;
  m->heard_at = now;
  m->alive_until = now + (settings().cancel_within - settings().worker_lease) +
                   settings().worker_lease.Scaled(1 + kClockDrift);
  unresolved_.push_back(m);
}

// How long a leader may go on answering reports without the state service: a cancellation noted
// elsewhere right after the last contact must still be carried out in time by the lease's end.
Micros Leader::AnswerUntil() const {
  return election()->confirmed_at() +
         std::max(Seconds(0), settings().cancel_within - settings().worker_lease - kHoldMargin);
}

void Leader::LoadPrefix(const std::string& prefix, const std::string& after,
                        std::function<void(Micros, const Entry&)> each,
                        std::function<void(Micros)> done) {
  StateOp op;
  op.kind = StateOp::Kind::kList;
  op.key = prefix;
  op.after = after;
  asker()->State(op, Guarded([=, this](Micros now, StateReply& r) {
                   if (!r.ok()) return LoadPrefix(prefix, after, each, done);
                   for (const Entry& e : r.entries) each(now, e);
                   if (r.more && !r.entries.empty())
                     return LoadPrefix(prefix, r.entries.back().key, each, done);
                   done(now);
                 }));
}

void Leader::Loaded(Micros now) {
  if (--loading_ > 0) return;
  ready_ = true;
  asker()->Info("term " + std::to_string(election()->term()) +
                " ready: " + std::to_string(jobs_.size()) + " jobs, " +
                std::to_string(machines_.size()) + " machines on record");
  for (auto& [id, job] : jobs_) {
    if (job->left() == 0) finish_queue_.push_back(id);
  }
  Tick(now);  // which begins to ask the unresolved machines
}

// ---------------------------------------------------------------------------------------------
// Jobs.

void Leader::OnJobEntry(Micros now, const Entry& e) {
  const std::string id = e.key.substr(keys::kJob.size());
  if (e.erased) {
    EndJob(now, id);
  } else if (const auto* spec = std::get_if<JobSpec>(&e.value)) {
    AddJob(now, *spec, e.stamp);
  }
}

void Leader::AddJob(Micros now, const JobSpec& spec, uint64_t stamp) {
  if (jobs_.count(spec.id)) return;
  auto job = std::make_unique<Job>();
  job->spec = spec;
  job->stamp = stamp;
  const int64_t today_ms = began_ms_ + (now - began_).ToMillis();
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
    if (!job->service()) scaler_.ArrayArrived(spec, job->arrived, now);
    for (int i = 0; i < spec.tasks; ++i) job->waiting.push_back(i);
  } else {
    scaler_.NoteGang(spec, now);
    scaler_.GangArrived(spec, job->arrived);
  }
  if (!context_.types->empty()) {
    Micros boot;
    for (const auto& [name, type] : *context_.types) boot = std::max(boot, type.boot);
    scaler_.Arrived(spec, scaler_.Allowance(spec, settings().objectives, 1.0) - spec.estimate, boot,
                    job->arrived, now);
  }
  jobs_[spec.id] = std::move(job);
  asker()->Debug("job " + spec.id + " " + spec.lane + " tasks " + std::to_string(spec.tasks) +
                 " estimate " + std::to_string(spec.estimate.ToSeconds()));
}

void Leader::CloseJob(Micros now, Job* job) {
  for (auto& [id, m] : machines_) {
    m->queue.erase(QueueKey{job->spec.rank, job->spec.estimate, job->spec.id});
    for (auto& [key, o] : m->occupants) {
      if (o.job == job) o.job = nullptr;
    }
  }
  for (size_t c = 0; c < job->chunks.size(); ++c) {
    if (job->chunks[c]) progress_pages_.Drop(ProgressItem(job->spec.id, static_cast<int>(c)), now);
  }
}

// Its record is gone: done or withdrawn, and whatever of it still runs is to stop.
void Leader::EndJob(Micros now, const std::string& id) {
  auto it = jobs_.find(id);
  if (it == jobs_.end()) return;
  Job* job = it->second.get();
  CloseJob(now, job);
  if (job->gang()) Release(job);
  waiting_gangs_.erase(std::remove(waiting_gangs_.begin(), waiting_gangs_.end(), job),
                       waiting_gangs_.end());
  asker()->Debug("job " + id + " over, " + std::to_string(job->done) + " tasks done");
  jobs_.erase(it);
  for (auto& [mid, m] : machines_) {
    bool any = false;
    for (auto o = m->occupants.begin(); o != m->occupants.end();) {
      Occupant& occ = o->second;
      if (occ.ref.job == id && occ.unsent) {
        o = m->occupants.erase(o);
        continue;
      }
      if (occ.ref.job == id && !occ.exited()) {
        occ.halt = true;
        occ.grace = {};
        any = true;
      }
      ++o;
    }
    if (any) HaltNow(now, m.get());
  }
}

JobDigest Leader::Digest(const std::string& id) const {
  auto it = jobs_.find(id);
  if (it == jobs_.end()) return {id, 0, 0};
  return {id, it->second->done, it->second->running};
}

std::vector<JobDigest> Leader::Digests() const {
  std::vector<JobDigest> out;
  for (const auto& [id, job] : jobs_) {
    if (out.size() >= 2000) break;
    if (job->done > 0 || job->running > 0) out.push_back({id, job->done, job->running});
  }
  return out;
}

void Leader::MarkDone(Micros now, Job* job, int task) {
  const auto one = [&](int i) {
    TaskState& t = job->tasks[static_cast<size_t>(i)];
    if (t.stage == TaskStage::kDone) return;
    t.stage = TaskStage::kDone;
    ++job->done;
    job->moved_at = now;
    Pages::Page*& page = job->chunks[static_cast<size_t>(i / kChunkTasks)];
    if (page) {
      progress_pages_.Touch(page, false, now);
    } else {
      const int chunk = i / kChunkTasks;
      page = progress_pages_.Put(ProgressItem(job->spec.id, chunk), PieceBytes(*job, chunk), false,
                                 now);
    }
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
    finish_queue_.push_back(job->spec.id);
  }
}

void Leader::TaskBack(Micros now, Job* job, int task, Micros pause) {
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

bool Leader::Held(const Job& job) const {
  // A job recorded after this term began can't have been started by an earlier leader: that one
  // starts nothing past its lease, which ended before.
  if (unresolved_.empty() || job.stamp > election()->term_stamp()) return false;
  const Team* team = settings().FindTeam(job.spec.team);
  if (team && (team->limit.cpu > 0 || team->limit.gpu > 0)) return true;
  for (const Machine* m : unresolved_) {
    if (!m->type || Allows(job.spec, *m->type, m->zone, m->spot)) return true;
  }
  return false;
}

// While all of a team's unfinished jobs fit within its guarantee, they go before other teams' work.
void Leader::MarkGuaranteed() {
  for (const Team& team : settings().teams) {
    if (team.guarantee.cpu == 0 && team.guarantee.gpu == 0) continue;
    Resources all;
    for (auto& [id, job] : jobs_) {
      if (job->spec.team == team.name) all = all + job->spec.need.Times(job->left());
    }
    const bool fits = all.cpu <= team.guarantee.cpu && all.gpu <= team.guarantee.gpu;
    for (auto& [id, job] : jobs_) {
      if (job->spec.team == team.name) job->guaranteed = fits;
    }
  }
}

bool Leader::LimitAllows(const Job& job, int more) const {
  const Team* team = settings().FindTeam(job.spec.team);
  if (!team || (team->limit.cpu == 0 && team->limit.gpu == 0)) return true;
  Resources used = job.spec.need.Times(more);
  for (const auto& [id, m] : machines_) {
    for (const auto& [key, o] : m->occupants) {
      if (!o.exited() && o.team == team->name) used = used + o.need;
    }
  }
  return (team->limit.cpu == 0 || used.cpu <= team->limit.cpu) &&
         (team->limit.gpu == 0 || used.gpu <= team->limit.gpu);
}

bool Leader::ZoneAllows(const Job& job, const std::string& zone) const {
  if (job.spec.same_zone) {
    for (const auto& [z, n] : job.zone_count) {
      if (n > 0 && z != zone) return false;
    }
  }
  if (job.spec.spread) {
    auto it = job.zone_count.find(zone);
    if (it != job.zone_count.end() && it->second >= (job.spec.tasks + 1) / 2) return false;
  }
  return true;
}

// ---------------------------------------------------------------------------------------------
// The clock's tick.

void Leader::Tick(Micros now) {
  jobs_mirror_->Tick(now);
  if (!ready_) return;
  WatchMachines(now);
  if (!election()->leads()) return;
  MarkGuaranteed();
  Supervise(now);
  bool first = true;
  for (auto& [id, job] : jobs_) {
    if (job->gang()) continue;
    least_need_ = std::exchange(first, false) ? job->spec.need : Least(least_need_, job->spec.need);
  }
  PlaceGangs(now);
  BindWaiting(now);
  Write(now);
  CloudTick(now);
}

}  // namespace badgershore
