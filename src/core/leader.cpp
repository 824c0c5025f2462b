#include "core/leader.h"

#include <cmath>

namespace badgershore {
namespace {

constexpr Micros kHoldMargin = Seconds(3);

std::string Name(const TaskRef& ref) { return ref.job + "/" + std::to_string(ref.task); }

}  // namespace

Leader::Leader(Context context, Micros now, int64_t time_of_day_ms)
    : context_(std::move(context)),
      began_(now),
      began_ms_(time_of_day_ms),
      scaler_(*context_.options) {
  chunk_tasks_ =
      std::max(4, static_cast<int>(settings().state_value_kb * 1024 * 0.7) * 4 / 4 * 4);
  tokens_at_ = now;
  write_tokens_ = settings().state_write_rps * 0.5;
  jobs_mirror_ = std::make_unique<Mirror>(
      asker(), keys::kJob, [this](Micros t, const Entry& e) { OnJobEntry(t, e); },
      [this](Micros) {
        if (std::exchange(jobs_loaded_, true)) return;
        // Progress is read after the jobs, so that each finds its job.
        LoadPrefix(
            keys::kProgress, "",
            [this](Micros, const Entry& e) {
              std::string job;
              int chunk = 0;
              const auto* p = std::get_if<ProgressRecord>(&e.value);
              if (!p || !ParseProgressKey(e.key, &job, &chunk)) return;
              auto it = jobs_.find(job);
              if (it == jobs_.end()) {
                erase_queue_.push_back(e.key);  // its job is over
                return;
              }
              Job* j = it->second.get();
              if (static_cast<size_t>(chunk) >= j->chunks.size()) return;
              j->chunks[static_cast<size_t>(chunk)].stamp = e.stamp;
              DecodeProgress(p->bits, chunk, chunk_tasks_, j->spec.tasks, [&](int task) {
                TaskState& t = j->tasks[static_cast<size_t>(task)];
                if (t.stage != TaskStage::kDone) ++j->done;
                t.stage = TaskStage::kDone;
                t.saved = true;
              });
            },
            [this](Micros t) { Loaded(t); });
        LoadPrefix(
            keys::kFleet, "",
            [this](Micros t, const Entry& e) {
              const auto* r = std::get_if<MachineRecord>(&e.value);
              if (!r) return;
              Machine* m = Adopt(t, r->id, r->endpoint, r->type, r->zone, r->spot);
              // An earlier leader may have sent it anything, and may have kept its lease alive
              // for as long as a leader may without the state service.
              m->recorded = true;
              m->resolved = false;
              m->stage = MachineStage::kUp;
              m->heard_at = t;
              m->alive_until = t + (settings().cancel_within - settings().worker_lease) +
                               settings().worker_lease.Scaled(1 + kClockDrift);
              unresolved_.push_back(m);
            },
            [this](Micros t) { Loaded(t); });
      });
}

Leader::~Leader() { *alive_ = false; }

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
    if (r.more && !r.entries.empty()) return LoadPrefix(prefix, r.entries.back().key, each, done);
    done(now);
  }));
}

void Leader::Loaded(Micros now) {
  if (--loading_ > 0) return;
  ready_ = true;
  asker()->Info("term " + std::to_string(election()->term()) + " ready: " +
                std::to_string(jobs_.size()) + " jobs, " + std::to_string(machines_.size()) +
                " machines on record");
  for (auto& [id, job] : jobs_) {
    if (job->left() == 0) finish_queue_.push_back(id);
  }
  for (Machine* m : unresolved_) Probe(now, m);
  Tick(now);
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
  for (const Objective& o : settings().objectives) {
    if (o.kind == "wait" && o.lane == spec.lane) job->start_by = job->arrived + o.within;
  }
  job->bucket = BucketOf(spec, options().bucket_width);
  job->tasks.resize(static_cast<size_t>(spec.tasks));
  job->chunks.resize(static_cast<size_t>((spec.tasks + chunk_tasks_ - 1) / chunk_tasks_));
  if (!job->gang()) {
    for (int i = 0; i < spec.tasks; ++i) job->waiting.push_back(i);
  } else {
    scaler_.NoteGang(spec, now);
  }
  if (jobs_loaded_ && !context_.types->empty()) {
    Micros boot;
    for (const auto& [name, type] : *context_.types) boot = std::max(boot, type.boot);
    scaler_.Arrived(spec, scaler_.Allowance(spec, settings().objectives, 1.0) - spec.estimate, boot,
                    now);
  }
  jobs_[spec.id] = std::move(job);
  asker()->Debug("job " + spec.id + " " + spec.lane + " tasks " + std::to_string(spec.tasks) +
                 " estimate " + std::to_string(spec.estimate.ToSeconds()));
}

void Leader::CloseJob(Job* job) {
  for (auto& [id, m] : machines_) {
    m->queue.erase(QueueKey{job->spec.rank, job->spec.estimate, job->spec.id});
    for (auto& [key, o] : m->occupants) {
      if (o.job == job) o.job = nullptr;
    }
  }
  for (size_t c = 0; c < job->chunks.size(); ++c) {
    if (job->chunks[c].stamp != 0) {
      erase_queue_.push_back(ProgressKey(job->spec.id, static_cast<int>(c)));
    }
  }
}

// Its record is gone: done or withdrawn, and whatever of it still runs is to stop.
void Leader::EndJob(Micros now, const std::string& id) {
  auto it = jobs_.find(id);
  if (it == jobs_.end()) return;
  Job* job = it->second.get();
  CloseJob(job);
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
    Job::Chunk& c = job->chunks[static_cast<size_t>(i / chunk_tasks_)];
    if (!c.dirty) c.dirty_since = now;
    c.dirty = true;
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
// Machines.

Machine* Leader::FindMachine(const std::string& id) {
  auto it = machines_.find(id);
  return it == machines_.end() ? nullptr : it->second.get();
}

Machine* Leader::Adopt(Micros now, const std::string& id, const std::string& endpoint,
                       const std::string& type, const std::string& zone, bool spot) {
  if (Machine* known = FindMachine(id)) return known;
  auto m = std::make_unique<Machine>();
  m->id = id;
  m->endpoint = endpoint;
  m->type_name = type;
  m->zone = zone;
  m->spot = spot;
  m->rented_at = now;
  m->work.assign(kBuckets, 0.0);
  auto it = context_.types->find(type);
  if (it != context_.types->end()) m->type = &it->second;
  return (machines_[id] = std::move(m)).get();
}

bool Leader::Ready(const Machine& m, Micros now) const {
  return m.stage == MachineStage::kUp && m.type && m.resolved && !m.retiring && !m.gone_at &&
         now - m.heard_at < options().silent_probe + settings().report_every && now >= m.hold_off;
}

void Leader::Resolve(Micros now, Machine* m) {
  if (m->resolved) return;
  m->resolved = true;
  unresolved_.erase(std::remove(unresolved_.begin(), unresolved_.end(), m), unresolved_.end());
  asker()->Debug("machine " + m->id + " resolved");
  if (unresolved_.empty()) {
    asker()->Info("all machines resolved " + std::to_string((now - began_).ToMillis()) +
                  " ms into the term");
  }
}

void Leader::Vacate(Occupant* o, const Machine& m) {
  if (!o->job || o->exited()) return;
  --o->job->placed;
  --o->job->zone_count[m.zone];
  if (o->state == RunState::kRunning) --o->job->running;
}

// Proved not to be on the machine any more, and not to come there.
void Leader::Gone(Micros now, Machine* m, Occupant* o) {
  Vacate(o, *m);
  Job* job = o->job;
  if (!job || o->exited()) return;
  const TaskState& t = job->tasks[static_cast<size_t>(o->ref.task)];
  if (t.stage == TaskStage::kPlaced && t.machine == m && t.attempt == o->attempt) {
    TaskBack(now, job, o->ref.task, {});
  }
}

void Leader::DropAll(Micros now, Machine* m) {
  for (auto& [key, o] : m->occupants) Gone(now, m, &o);
  m->occupants.clear();
}

void Leader::Unbind(Machine* m) {
  for (auto& [key, entry] : m->queue) {
    for (auto it = entry.tasks.rbegin(); it != entry.tasks.rend(); ++it) {
      TaskState& t = entry.job->tasks[static_cast<size_t>(it->first)];
      if (t.stage != TaskStage::kQueued || t.machine != m || t.bound_at != it->second) continue;
      t.stage = TaskStage::kWaiting;
      t.machine = nullptr;
      --entry.job->queued;
      entry.job->waiting.push_front(it->first);
    }
  }
  m->queue.clear();
}

void Leader::Remove(Micros now, const std::string& id) {
  auto it = machines_.find(id);
  if (it == machines_.end()) return;
  Machine* m = it->second.get();
  Resolve(now, m);
  Unbind(m);
  DropAll(now, m);
  for (RequestId token : m->held_checkins) {
    asker()->out.checkins.push_back({token, 503, "", 0, {}});
  }
  if (m->recorded || m->recording) erase_queue_.push_back(keys::kFleet + id);
  tombstones_[id] = now;
  machines_.erase(it);
}

void Leader::GiveBack(Micros now, Machine* m, const std::string& why) {
  if (m->stage == MachineStage::kReturning) return;
  asker()->Info("returning " + m->id + " (" + m->type_name + (m->spot ? ", spot" : "") +
                "): " + why + ", held " +
                std::to_string(static_cast<int>((now - m->rented_at).ToSeconds())) + " s");
  Unbind(m);
  m->stage = MachineStage::kReturning;
  return_queue_.push_back(m->id);
}

void Leader::HaltNow(Micros now, Machine* m) {
  if (m->endpoint.empty() || m->session == 0) return;
  (void)now;
  DirectOp op;
  op.machine = m->id;
  op.endpoint = m->endpoint;
  op.baton = election()->term();
  op.session = m->session;
  for (auto& [key, o] : m->occupants) {
    if (o.halt && !o.exited() && !o.unsent) {
      op.orders.push_back({Order::Verb::kHalt, o.ref, o.attempt, o.grace});
    }
  }
  if (op.orders.empty()) return;
  asker()->Direct(op, Guarded([this, id = m->id](Micros t, DirectReply& r) {
    Machine* machine = FindMachine(id);
    if (machine && r.report && r.status == 200) Absorb(t, machine, *r.report, false);
  }));
}

// Raises the baton at a machine and learns what is on it.
void Leader::Probe(Micros now, Machine* m) {
  if (m->probing || m->endpoint.empty()) return;
  m->probing = true;
  m->probe_at = now + Seconds(1);
  DirectOp op;
  op.machine = m->id;
  op.endpoint = m->endpoint;
  op.baton = election()->term();
  op.session = std::max<uint64_t>(m->session, 1);
  asker()->Direct(op, Guarded([this, id = m->id, asked = op.session](Micros t, DirectReply& r) {
    Machine* machine = FindMachine(id);
    if (!machine) return;
    machine->probing = false;
    if (!r.report || r.report->machine != id) return;
    if (r.report->baton > election()->term()) {
      return election()->StepDown(t, "machine " + id + " has seen a higher baton");
    }
    const bool known_session = r.report->session == asked;
    if (r.status == 200 || !known_session) Absorb(t, machine, *r.report, false);
    if (r.status == 200) {
      Resolve(t, machine);
    } else if (!known_session && !machine->resolved) {
      Probe(t, machine);  // the session is known now
    }
  }));
}

// Takes in what a report says. False: it is older than what is known.
bool Leader::Absorb(Micros now, Machine* m, const Report& r, bool checkin) {
  if (r.session < m->session || (r.session == m->session && r.seq <= m->seq)) return false;
  if (r.session > m->session && m->session != 0) {
    // The lease ran out over there: all of that session is gone, and its starts with it.
    for (auto it = m->occupants.begin(); it != m->occupants.end();) {
      if (!it->second.unsent) {
        Gone(now, m, &it->second);
        it = m->occupants.erase(it);
      } else {
        ++it;
      }
    }
    m->images.clear();
  }
  m->session = r.session;
  m->seq = r.seq;
  m->heard_at = now;
  if (m->endpoint.empty()) m->endpoint = r.endpoint;
  if (m->type_name.empty()) {
    m->type_name = r.type;
    m->zone = r.zone;
    m->spot = r.spot;
  }
  if (m->stage == MachineStage::kBooting) {
    m->stage = MachineStage::kUp;
    std::vector<Machine*> peers;
    for (auto& [id, p] : machines_) {
      if (p.get() != m && p->stage == MachineStage::kUp) peers.push_back(p.get());
    }
    LevelCounters(m, peers);
    asker()->Info("machine " + m->id + " (" + m->type_name + (m->spot ? ", spot" : "") + ") up " +
                  std::to_string(static_cast<int>((now - m->rented_at).ToSeconds())) +
                  " s after its request");
  }
  if (r.notice && !m->gone_at) {
    m->gone_at = now + *r.notice;
    Unbind(m);
    asker()->Info("machine " + m->id + " will be taken in " +
                  std::to_string(r.notice->ToSeconds()) + " s");
  }
  std::set<std::pair<TaskRef, uint64_t>> listed;
  for (const ReportedTask& t : r.tasks) {
    const auto key = std::make_pair(t.ref, t.attempt);
    listed.insert(key);
    auto jt = jobs_.find(t.ref.job);
    Job* job = jt == jobs_.end() ? nullptr : jt->second.get();
    if (job && (t.ref.task < 0 || t.ref.task >= job->spec.tasks)) job = nullptr;
    auto [it, fresh] = m->occupants.try_emplace(key);
    Occupant& o = it->second;
    if (fresh) {
      o.ref = t.ref;
      o.attempt = t.attempt;
      o.job = job;
      o.state = RunState::kSent;
      if (job) {
        o.need = job->spec.need;
        o.team = job->spec.team;
        ++job->placed;
        ++job->zone_count[m->zone];
        TaskState& state = job->tasks[static_cast<size_t>(t.ref.task)];
        const bool elsewhere = state.stage == TaskStage::kPlaced && state.machine != nullptr;
        if (t.state != RunState::kExited) {
          if (state.stage == TaskStage::kDone || elsewhere) {
            o.halt = true;  // nobody needs this one
          } else {
            if (state.stage == TaskStage::kQueued) --job->queued;
            state.stage = TaskStage::kPlaced;
            state.machine = m;
            state.attempt = t.attempt;
            state.bound_at = now;
            if (job->gang()) job->gang_attempt = t.attempt;
            m->NoteImage(job->spec.image);
          }
        }
      } else {
        o.halt = true;
      }
    }
    o.seen = true;
    o.unsent = false;
    if (o.exited()) continue;
    if (t.state == RunState::kExited) {
      Exited(now, m, &o, t.cause);
      continue;
    }
    if (o.job) {
      if (t.state == RunState::kRunning && o.state != RunState::kRunning) ++o.job->running;
      if (t.state != RunState::kRunning && o.state == RunState::kRunning) --o.job->running;
      if (o.job->gang() && (t.state == RunState::kRunning || t.state == RunState::kFlushing)) {
        if (!o.job->gang_ran) {
          asker()->Debug("gang " + o.job->spec.id + " runs after " +
                         std::to_string((now - o.job->arrived).ToMillis()) + " ms");
        }
        o.job->gang_ran = true;
      }
    }
    o.state = t.state;
  }
  for (auto it = m->occupants.begin(); it != m->occupants.end();) {
    Occupant& o = it->second;
    // A start that its check-in's successor doesn't list was not executed and never will be: the
    // worker has one report in flight and drops late answers. A direct call's report proves
    // nothing about a start that may still be on its way.
    const bool gone = !o.unsent && !listed.count(it->first) &&
                      (o.seen || (checkin && r.seq > o.sent_seq));
    if (!gone) {
      ++it;
      continue;
    }
    Gone(now, m, &o);
    it = m->occupants.erase(it);
  }
  if (m->GangUse().cpu > 0) m->gang_at = now;
  const bool idle = m->occupants.empty() && m->queue.empty();
  if (!idle) {
    m->idle_since = {-1};
  } else if (m->idle_since.count < 0) {
    m->idle_since = now;
  }
  return true;
}

void Leader::Exited(Micros now, Machine* m, Occupant* o, ExitCause cause) {
  Vacate(o, *m);
  o->state = RunState::kExited;
  o->cause = cause;
  Job* job = o->job;
  if (!job) return;
  TaskState& t = job->tasks[static_cast<size_t>(o->ref.task)];
  const bool current =
      t.stage == TaskStage::kPlaced && t.machine == m && t.attempt == o->attempt;
  if (cause == ExitCause::kDone) {
    m->failures_in_row = 0;
    m->failed_jobs.clear();
    MarkDone(now, job, o->ref.task);
    if (job->service() && current) TaskBack(now, job, o->ref.task, Seconds(1));
    return;
  }
  Micros pause;
  if (cause == ExitCause::kError) {
    asker()->Debug("task " + Name(o->ref) + " failed on " + m->id);
    if (std::find(job->failed_on.begin(), job->failed_on.end(), m->id) == job->failed_on.end() &&
        job->failed_on.size() < 8) {
      job->failed_on.push_back(m->id);
    }
    ++job->failures;
    if (t.failures < 200) ++t.failures;
    // A job that fails wherever it goes is itself at fault; then the machine is not blamed.
    const bool job_at_fault = job->failed_on.size() >= 3 && job->done == 0;
    if (!job_at_fault) {
      m->failed_jobs.insert(job->spec.id);
      ++m->failures_in_row;
    }
    const double s = job_at_fault ? 2.0 * std::pow(2.0, std::min<int>(t.failures, 5))
                                  : 0.25 * std::pow(2.0, std::min<int>(t.failures, 6));
    pause = Seconds(s);
    if (m->failed_jobs.size() >= 2 || (m->failures_in_row >= 3 && !job_at_fault)) {
      GiveBack(now, m, "its tasks fail");
    }
  } else if (cause == ExitCause::kFull) {
    m->hold_off = now + Seconds(2);
  } else if (cause == ExitCause::kUnknown) {
    pause = Seconds(3);
  } else if (cause == ExitCause::kBusy) {
    pause = Seconds(1);
  }
  if (current) TaskBack(now, job, o->ref.task, pause);
}

void Leader::WatchMachines(Micros now) {
  int heard = 0, up = 0;
  for (auto& [id, m] : machines_) {
    if (!m->type) {
      auto it = context_.types->find(m->type_name);
      if (it != context_.types->end()) m->type = &it->second;
    }
    if (m->stage != MachineStage::kUp) continue;
    ++up;
    heard += now - m->heard_at < options().silent_probe;
  }
  // Where most are silent the fault is likely ours, and returning them would lose everything.
  const bool ours = heard * 2 < up;
  for (auto& [id, ptr] : machines_) {
    Machine* m = ptr.get();
    if (!m->held_checkins.empty() && now - m->held_since > Millis(1500)) AnswerHeld(now, m);
    if (m->alive_until.count > 0 && now > m->alive_until &&
        (!m->occupants.empty() || !m->resolved)) {
      asker()->Info("the lease of " + id + " has run out");
      DropAll(now, m);
      Resolve(now, m);
    }
    if (m->stage == MachineStage::kBooting) {
      const Micros patience =
          (m->type ? m->type->boot : Seconds(60)).Scaled(options().boot_patience) + Seconds(5);
      if (now - m->rented_at > patience) GiveBack(now, m, "it does not come up");
      continue;
    }
    if (m->stage != MachineStage::kUp) continue;
    const Micros silent = now - m->heard_at;
    if ((!m->resolved || silent > options().silent_probe) && now >= m->probe_at) Probe(now, m);
    const bool was_heard = m->seq > 0;
    if (silent > options().silent_return + settings().report_every &&
        (!ours || now - began_ > settings().worker_lease + options().silent_return)) {
      GiveBack(now, m, was_heard ? "silent" : "never heard in this term");
      continue;
    }
    if (m->gone_at) {
      std::set<Job*> gangs;
      bool halts = false;
      for (auto& [key, o] : m->occupants) {
        if (o.halt || o.exited() || !o.job || o.job->spec.checkpoint_every.count == 0) continue;
        const Micros save = o.job->spec.save_time;
        if (*m->gone_at - now > save + Seconds(3)) continue;
        if (o.job->gang()) {
          gangs.insert(o.job);
        } else {
          o.halt = halts = true;
          o.grace = save;
        }
      }
      if (halts) HaltNow(now, m);
      for (Job* job : gangs) HaltGang(now, job, job->spec.save_time);
    }
  }
  for (auto it = tombstones_.begin(); it != tombstones_.end();) {
    it = now - it->second > Seconds(600) ? tombstones_.erase(it) : std::next(it);
  }
}

// ---------------------------------------------------------------------------------------------
// Check-ins.

Leader::Verdict Leader::Checkin(Micros now, RequestId token, const Report& report,
                                std::vector<Order>* orders) {
  if (now >= AnswerUntil()) return Verdict::kCannot;
  if (!ready_ || tombstones_.count(report.machine)) return Verdict::kAnswer;
  Machine* m = Adopt(now, report.machine, report.endpoint, report.type, report.zone, report.spot);
  const bool fresh = Absorb(now, m, report, true);
  m->alive_until = std::max(m->alive_until,
                            now + settings().worker_lease.Scaled(1 + kClockDrift) + Millis(200));
  // Starts go only to a worker that has seen this term: then no earlier leader's order counts.
  if (!fresh || report.baton != election()->term()) return Verdict::kAnswer;
  Resolve(now, m);
  if (!m->recorded && election()->MayStart(now)) {
    if (!m->recording) {
      m->recording = true;
      record_queue_.push_back(m->id);
    }
    m->held_checkins.push_back(token);
    m->held_since = now;
    Write(now);
    return Verdict::kLater;
  }
  OrdersFor(now, m, orders);
  if (!finish_queue_.empty()) Write(now);  // its user is waiting to hear of it
  return Verdict::kAnswer;
}

void Leader::AnswerHeld(Micros now, Machine* m) {
  for (size_t i = 0; i < m->held_checkins.size(); ++i) {
    CheckinAnswer answer;
    answer.token = m->held_checkins[i];
    answer.status = 200;
    answer.baton = election()->term();
    // Only the newest one is certain to be awaited still.
    if (i + 1 == m->held_checkins.size()) OrdersFor(now, m, &answer.orders);
    asker()->out.checkins.push_back(std::move(answer));
  }
  m->held_checkins.clear();
}

void Leader::OrdersFor(Micros now, Machine* m, std::vector<Order>* orders) {
  for (auto& [key, o] : m->occupants) {
    if (o.exited()) {
      // A completion is forgotten by the worker only when it is durable here.
      const bool keep = o.cause == ExitCause::kDone && o.job && !o.job->service() &&
                        !o.job->tasks[static_cast<size_t>(o.ref.task)].saved;
      if (!keep) orders->push_back({Order::Verb::kClear, o.ref, o.attempt, {}});
    } else if (o.halt && !o.unsent) {
      orders->push_back({Order::Verb::kHalt, o.ref, o.attempt, o.grace});
    }
  }
  if (!election()->MayStart(now) || !m->recorded || !m->resolved || !m->type) return;
  if (m->stage != MachineStage::kUp) return;
  for (auto& [key, o] : m->occupants) {
    if (!o.unsent || !o.job) continue;
    o.unsent = false;
    o.sent_session = m->session;
    o.sent_seq = m->seq;
    orders->push_back({Order::Verb::kStart, o.ref, o.attempt, {}});
  }
  if (!Ready(*m, now)) return;
  BindWaiting(now);
  StartFrom(now, m, orders);
  if (!m->occupants.empty()) m->idle_since = {-1};
}

Resources Leader::RoomFor(const Machine& m, const Job& job, const Resources& used,
                          Micros now) const {
  Resources room = m.type->size - used;
  if (job.gang()) return room;
  // While a gang waits, other work of no higher rank leaves it the room that it could have here.
  const Resources most = m.type->size - m.GangUse();
  for (const Job* gang : waiting_gangs_) {
    const bool first = gang->spec.rank <= job.spec.rank ||
                       now - gang->arrived > options().age_limit;
    if (first && gang->spec.need.Fits(most) && Allows(gang->spec, *m.type, m.zone, m.spot)) {
      return room - gang->spec.need;
    }
  }
  return room;
}

Occupant* Leader::Place(Micros now, Machine* m, Job* job, int task, uint64_t attempt) {
  TaskState& t = job->tasks[static_cast<size_t>(task)];
  t.stage = TaskStage::kPlaced;
  t.machine = m;
  t.bound_at = now;
  t.attempt = attempt;
  ++job->placed;
  ++job->zone_count[m->zone];
  const TaskRef ref{job->spec.id, task};
  Occupant& o = m->occupants[{ref, attempt}];
  o.ref = ref;
  o.attempt = attempt;
  o.job = job;
  o.need = job->spec.need;
  o.team = job->spec.team;
  o.sent_session = m->session;
  o.sent_seq = m->seq;
  m->NoteImage(job->spec.image);
  m->idle_since = {-1};
  if (job->gang()) m->gang_at = now;
  return &o;
}

void Leader::StartOne(Micros now, Machine* m, Job* job, int task, Resources* used,
                      std::vector<Order>* orders) {
  --job->queued;
  const uint64_t attempt = NextAttempt();
  Place(now, m, job, task, attempt);
  *used = *used + job->spec.need;
  orders->push_back({Order::Verb::kStart, {job->spec.id, task}, attempt, {}});
}

void Leader::StartFrom(Micros now, Machine* m, std::vector<Order>* orders) {
  Resources used = m->Used();
  // A report's answer stays far below 64 KiB; the rest goes with the next one.
  while (orders->size() < 300) {
    if (TakeQueued(now, m, &used, true, orders)) continue;
    if (TakeQueued(now, m, &used, false, orders)) continue;
    if (TakeRebound(now, m, &used, orders)) continue;
    break;
  }
}

// The machine's smallest waiting estimate that fits; higher ranks before lower ones, and what has
// waited past the age limit before all.
bool Leader::TakeQueued(Micros now, Machine* m, Resources* used, bool aged_only,
                        std::vector<Order>* orders) {
  QueueEntry* best = nullptr;
  for (auto it = m->queue.begin(); it != m->queue.end();) {
    QueueEntry& entry = it->second;
    Job* job = entry.job;
    while (!entry.tasks.empty()) {
      const TaskState& t = job->tasks[static_cast<size_t>(entry.tasks.front().first)];
      if (t.stage == TaskStage::kQueued && t.machine == m &&
          t.bound_at == entry.tasks.front().second) {
        break;
      }
      entry.tasks.pop_front();
    }
    if (entry.tasks.empty()) {
      it = m->queue.erase(it);
      continue;
    }
    ++it;
    if (aged_only && now - job->arrived <= options().age_limit) continue;
    if (!job->spec.need.Fits(RoomFor(*m, *job, *used, now)) || Held(*job) ||
        !ZoneAllows(*job, m->zone) || !LimitAllows(*job, 1)) {
      continue;
    }
    // The queue is in order of estimate; among the aged, the oldest goes first.
    if (!best || (job->guaranteed && !best->job->guaranteed) ||
        (aged_only && job->guaranteed == best->job->guaranteed &&
         job->arrived < best->job->arrived)) {
      best = &entry;
    }
    if (!aged_only && best->job->guaranteed) break;
  }
  if (!best) return false;
  const int task = best->tasks.front().first;
  best->tasks.pop_front();
  StartOne(now, m, best->job, task, used, orders);
  return true;
}

// A task that has waited long in another machine's queue moves to this one, which has room.
bool Leader::TakeRebound(Micros now, Machine* m, Resources* used, std::vector<Order>* orders) {
  Job* best = nullptr;
  for (auto& [id, ptr] : jobs_) {
    Job* job = ptr.get();
    if (job->queued == 0) continue;
    while (!job->bound.empty()) {
      const TaskState& t = job->tasks[static_cast<size_t>(job->bound.front().first)];
      if (t.stage == TaskStage::kQueued && t.bound_at == job->bound.front().second) break;
      job->bound.pop_front();
    }
    if (job->bound.empty() || now - job->bound.front().second < options().rebind_wait) continue;
    const auto order = [](const Job* j) {
      return std::make_tuple(!j->guaranteed, j->spec.rank, j->spec.estimate);
    };
    if (best && order(best) <= order(job)) {
      continue;
    }
    if (!Allows(job->spec, *m->type, m->zone, m->spot) ||
        !job->spec.need.Fits(RoomFor(*m, *job, *used, now)) || Held(*job) ||
        !ZoneAllows(*job, m->zone) || !LimitAllows(*job, 1)) {
      continue;
    }
    best = job;
  }
  if (!best) return false;
  const int task = best->bound.front().first;
  best->bound.pop_front();
  m->work[static_cast<size_t>(best->bucket)] +=
      WorkOn(best->spec, m->type->size - m->GangUse());
  StartOne(now, m, best, task, used, orders);
  return true;
}

void Leader::Bind(Micros now, Job* job, int task, const Able& able) {
  Machine* m = able.machine;
  TaskState& t = job->tasks[static_cast<size_t>(task)];
  t.stage = TaskStage::kQueued;
  t.machine = m;
  t.bound_at = now;
  ++job->queued;
  job->bound.emplace_back(task, now);
  m->work[static_cast<size_t>(job->bucket)] += WorkOn(job->spec, able.open);
  QueueEntry& entry = m->queue[QueueKey{job->spec.rank, job->spec.estimate, job->spec.id}];
  entry.job = job;
  entry.tasks.emplace_back(task, now);
  m->idle_since = {-1};
}

void Leader::BindWaiting(Micros now) {
  for (auto& [id, ptr] : jobs_) {
    Job* job = ptr.get();
    while (!job->delayed.empty() && job->delayed.begin()->first <= now) {
      job->waiting.push_back(job->delayed.begin()->second);
      job->delayed.erase(job->delayed.begin());
    }
    if (job->gang() || job->waiting.empty() || job->queued >= options().bind_window ||
        Held(*job)) {
      continue;
    }
    std::vector<Able> able;
    for (auto& [mid, m] : machines_) {
      if (!Ready(*m, now) || !Allows(job->spec, *m->type, m->zone, m->spot)) continue;
      if (!ZoneAllows(*job, m->zone)) continue;
      const Resources open = RoomFor(*m, *job, m->GangUse(), now);
      if (!job->spec.need.Fits(open)) continue;
      able.push_back({m.get(), open});
    }
    if (able.empty()) continue;
    while (!job->waiting.empty() && job->queued < options().bind_window) {
      const int task = job->waiting.front();
      job->waiting.pop_front();
      if (job->tasks[static_cast<size_t>(task)].stage != TaskStage::kWaiting) continue;
      Bind(now, job, task, *LeastReceived(*job, able));
    }
  }
}

// ---------------------------------------------------------------------------------------------
// Gangs.

void Leader::PlaceGangs(Micros now) {
  std::vector<Job*> gangs;
  for (auto& [id, job] : jobs_) {
    if (job->gang() && !job->finishing) gangs.push_back(job.get());
  }
  // As in the machines' queues: by rank, then the smallest estimate, but the aged before all. What
  // can't start in time any more goes after what can, or in a day of too many gangs every one
  // would be late; it ages all the same, three times as slowly.
  const auto order = [&](const Job* j) {
    const bool late = now > j->start_by;
    const bool aged = now - j->arrived > options().age_limit.Scaled(late ? 3 : 1);
    return std::make_tuple(!j->guaranteed, j->spec.rank, !aged, late, aged ? j->arrived : j->spec.estimate);
  };
  std::sort(gangs.begin(), gangs.end(),
            [&](const Job* a, const Job* b) { return order(a) < order(b); });
  waiting_gangs_.clear();
  for (Job* job : gangs) {
    GangTick(now, job);
    if (job->placed == 0 && now >= job->not_before && !Held(*job)) waiting_gangs_.push_back(job);
  }
  for (Job* job : waiting_gangs_) ClearFor(now, job);
}

void Leader::HaltGang(Micros now, Job* job, Micros grace) {
  // All members are told at once: the save counts only within the peers' patience.
  for (auto& [id, m] : machines_) {
    bool any = false;
    for (auto it = m->occupants.begin(); it != m->occupants.end();) {
      Occupant& o = it->second;
      if (o.job == job && o.unsent) {
        Gone(now, m.get(), &o);
        it = m->occupants.erase(it);
        continue;
      }
      if (o.job == job && !o.exited() && !o.halt) {
        o.halt = true;
        o.grace = grace;
        any = true;
      }
      ++it;
    }
    if (any) HaltNow(now, m.get());
  }
  job->gang_stopping = true;
}

void Leader::GangTick(Micros now, Job* job) {
  scaler_.NoteGang(job->spec, now);
  if (job->placed == 0) {
    // Every member is proved gone; the next attempt is a new one.
    job->gang_attempt = 0;
    job->gang_ran = job->gang_stopping = false;
    if (now >= job->not_before && !Held(*job)) PlaceGang(now, job);
    return;
  }
  if (job->gang_stopping || job->placed == job->left()) return;
  // A member is missing. Before the gang has run, a replacement completes it; afterwards the
  // others have nothing to wait for.
  if (job->gang_ran) return HaltGang(now, job, {});
  if (!Held(*job)) PlaceGang(now, job);
}

// Even spreading leaves no machine empty enough for a gang. Where no machine has room, work of
// lower rank is stopped on the one where that loses least; it runs again elsewhere.
void Leader::ClearFor(Micros now, Job* gang) {
  if (now < gang->clearing_until || !election()->MayStart(now) || gang->left() != 1) return;
  Machine* best = nullptr;
  double least = 0;
  for (auto& [id, m] : machines_) {
    if (!Ready(*m, now) || !Allows(gang->spec, *m->type, m->zone, m->spot)) continue;
    Resources kept;
    double lost = 0;
    bool clearing = false;
    for (const auto& [key, o] : m->occupants) {
      if (o.exited()) continue;
      clearing |= o.halt;
      const bool may_stop = o.job && !o.job->gang() && o.job->spec.rank > gang->spec.rank &&
                            o.job->spec.checkpoint_every.count == 0;
      if (!may_stop) {
        kept = kept + o.need;
        continue;
      }
      const TaskState& t = o.job->tasks[static_cast<size_t>(o.ref.task)];
      lost += (now - t.bound_at).ToSeconds() * static_cast<double>(o.need.cpu);
    }
    if (clearing || !gang->spec.need.Fits(m->type->size - kept)) continue;
    if (!best || lost < least) {
      best = m.get();
      least = lost;
    }
  }
  if (!best) return;
  gang->clearing_until = now + Seconds(4);
  Resources room = best->type->size - best->Used();
  for (auto& [key, o] : best->occupants) {
    if (gang->spec.need.Fits(room)) break;
    if (o.exited() || o.halt || !o.job || o.job->gang() || o.job->spec.rank <= gang->spec.rank ||
        o.job->spec.checkpoint_every.count > 0) {
      continue;
    }
    o.halt = true;
    o.grace = {};
    room = room + o.need;
  }
  asker()->Debug("clearing " + best->id + " for gang " + gang->spec.id + ", " +
                 std::to_string(static_cast<int>(least / 1000)) + " CPU seconds lost");
  Unbind(best);
  HaltNow(now, best);
}

bool Leader::PlaceGang(Micros now, Job* job) {
  std::vector<int> members;
  for (int i = 0; i < job->spec.tasks; ++i) {
    if (job->tasks[static_cast<size_t>(i)].stage == TaskStage::kWaiting) members.push_back(i);
  }
  if (members.empty() || !LimitAllows(*job, static_cast<int>(members.size()))) return false;
  struct Room {
    Machine* machine;
    Resources free;
  };
  std::vector<std::string> zones{""};
  if (job->spec.same_zone) zones = settings().zones;
  for (const std::string& only : zones) {
    std::vector<Room> rooms;
    for (auto& [id, m] : machines_) {
      if (!Ready(*m, now) || !Allows(job->spec, *m->type, m->zone, m->spot)) continue;
      if (!only.empty() && m->zone != only) continue;
      if (!ZoneAllows(*job, m->zone)) continue;
      rooms.push_back({m.get(), m->type->size - m->Used()});
    }
    std::map<std::string, int> in_zone = job->zone_count;
    std::vector<Machine*> chosen;
    for (size_t k = 0; k < members.size(); ++k) {
      Room* best = nullptr;
      const auto score = [&](const Room& r) {
        // Not where it has failed; where its image is; and the tightest fit.
        return std::make_tuple(r.machine->failed_jobs.count(job->spec.id),
                               !r.machine->HasImage(job->spec.image), r.free.cpu, r.free.mem);
      };
      for (Room& r : rooms) {
        if (!job->spec.need.Fits(r.free)) continue;
        if (job->spec.spread && in_zone[r.machine->zone] >= (job->spec.tasks + 1) / 2) continue;
        if (!best || score(r) < score(*best)) best = &r;
      }
      if (!best) break;
      best->free = best->free - job->spec.need;
      ++in_zone[best->machine->zone];
      chosen.push_back(best->machine);
    }
    if (chosen.size() != members.size()) continue;
    if (job->gang_attempt == 0) job->gang_attempt = NextAttempt();
    for (size_t k = 0; k < members.size(); ++k) {
      Place(now, chosen[k], job, members[k], job->gang_attempt)->unsent = true;
    }
    asker()->Debug("gang " + job->spec.id + " placed on " + chosen[0]->id + " after " +
                   std::to_string((now - job->arrived).ToMillis()) + " ms");
    return true;
  }
  return false;
}

// ---------------------------------------------------------------------------------------------
// The clock's tick.

void Leader::Tick(Micros now) {
  jobs_mirror_->Tick(now);
  if (!ready_) return;
  WatchMachines(now);
  if (!election()->leads()) return;
  MarkGuaranteed();
  PlaceGangs(now);
  BindWaiting(now);
  Write(now);
  CloudTick(now);
}

// ---------------------------------------------------------------------------------------------
// Durable writes, one transaction at a time.

struct Leader::Batch {
  std::vector<std::string> finish, record, erase;
  struct Piece {
    std::string job;
    int chunk = 0;
    std::vector<int> tasks;
  };
  std::vector<Piece> progress;
  bool types = false;
};

void Leader::Write(Micros now) {
  const double rate = settings().state_write_rps * 0.5;
  write_tokens_ = std::min(settings().state_write_rps * 0.8,
                           write_tokens_ + rate * (now - tokens_at_).ToSeconds());
  tokens_at_ = now;
  if (writing_ || now < write_at_ || !election()->leads()) return;
  const size_t most = static_cast<size_t>(std::max(3, settings().state_txn_ops));
  StateOp op;
  op.kind = StateOp::Kind::kCommit;
  op.guards.push_back({keys::kTerm, election()->term_stamp()});
  auto batch = std::make_shared<Batch>();
  const auto room = [&](size_t n) {
    return op.changes.size() + n <= most &&
           write_tokens_ >= static_cast<double>(op.changes.size() + n);
  };
  if (types_dirty_ && op.changes.empty()) {
    // Types first, their number last: who reads a number finds all of them.
    for (const auto& [name, type] : new_types_) {
      if (op.changes.size() + 2 > most) break;
      auto it = context_.types->find(name);
      if (it != context_.types->end() && it->second == type) continue;
      op.changes.push_back({keys::kType + name, false, type, 0});
    }
    if (op.changes.size() + 1 < most) {
      op.changes.push_back(
          {keys::kTypes, false, TypeCountRecord{static_cast<int>(new_types_.size())}, 0});
      types_dirty_ = false;
    }
    batch->types = true;
  }
  while (!record_queue_.empty() && room(1)) {
    const std::string id = record_queue_.back();
    record_queue_.pop_back();
    Machine* m = FindMachine(id);
    if (!m) continue;
    op.changes.push_back(
        {keys::kFleet + id, false, MachineRecord{id, m->endpoint, m->type_name, m->zone, m->spot},
         0});
    batch->record.push_back(id);
  }
  while (!finish_queue_.empty() && room(2)) {
    const std::string id = finish_queue_.back();
    finish_queue_.pop_back();
    auto it = jobs_.find(id);
    if (it == jobs_.end()) continue;
    op.guards.push_back({keys::kJob + id, it->second->stamp});
    op.guards.push_back({keys::kEnd + id, 0});
    op.changes.push_back({keys::kEnd + id, false, EndRecord{false, it->second->spec.tasks}, 0});
    op.changes.push_back({keys::kJob + id, true, {}, 0});
    batch->finish.push_back(id);
  }
  if (!erase_queue_.empty() && (op.changes.empty() || write_tokens_ > most)) {
    while (!erase_queue_.empty() && room(1)) {
      op.changes.push_back({erase_queue_.back(), true, {}, 0});
      batch->erase.push_back(erase_queue_.back());
      erase_queue_.pop_back();
    }
  }
  for (auto& [id, job] : jobs_) {
    if (!room(1)) break;
    if (job->finishing) continue;
    for (size_t c = 0; c < job->chunks.size() && room(1); ++c) {
      Job::Chunk& chunk = job->chunks[c];
      if (!chunk.dirty || now - chunk.dirty_since < Millis(1500)) continue;
      Batch::Piece piece{id, static_cast<int>(c), {}};
      const int from = piece.chunk * chunk_tasks_;
      for (int i = from; i < std::min(job->spec.tasks, from + chunk_tasks_); ++i) {
        const TaskState& t = job->tasks[static_cast<size_t>(i)];
        if (t.stage == TaskStage::kDone && !t.saved) piece.tasks.push_back(i);
      }
      chunk.dirty = false;
      // The chunk's own version is guarded, so that a late older write can't undo a newer one.
      op.guards.push_back({ProgressKey(id, piece.chunk), chunk.stamp});
      op.changes.push_back({ProgressKey(id, piece.chunk), false,
                            ProgressRecord{EncodeProgress(*job, piece.chunk, chunk_tasks_)}, 0});
      batch->progress.push_back(std::move(piece));
    }
  }
  if (op.changes.empty()) return;
  write_tokens_ -= static_cast<double>(op.changes.size());
  writing_ = true;
  asker()->State(op, Guarded([this, batch](Micros t, StateReply& r) { Written(t, batch, r); }));
}

void Leader::Written(Micros now, const std::shared_ptr<Batch>& batch, StateReply& r) {
  writing_ = false;
  if (r.ok()) {
    for (const std::string& id : batch->record) {
      if (Machine* m = FindMachine(id)) {
        m->recorded = true;
        AnswerHeld(now, m);
      }
    }
    for (const auto& piece : batch->progress) {
      auto it = jobs_.find(piece.job);
      if (it == jobs_.end()) {
        erase_queue_.push_back(ProgressKey(piece.job, piece.chunk));
        continue;
      }
      it->second->chunks[static_cast<size_t>(piece.chunk)].stamp = r.epoch;
      for (int task : piece.tasks) it->second->tasks[static_cast<size_t>(task)].saved = true;
    }
    for (const std::string& id : batch->finish) EndJob(now, id);
    return Write(now);
  }
  const bool conflict = r.outcome == StateReply::Outcome::kConflict;
  if (conflict &&
      std::find(r.failed.begin(), r.failed.end(), keys::kTerm) != r.failed.end()) {
    return election()->StepDown(now, "the term has moved on");
  }
  write_at_ = now + (conflict ? Millis(0) : Millis(300));
  // All of it again, each piece after a fresh look at what it guards.
  for (const std::string& id : batch->record) record_queue_.push_back(id);
  for (const std::string& key : batch->erase) erase_queue_.push_back(key);
  if (batch->types) types_dirty_ = true;
  const bool look = r.outcome != StateReply::Outcome::kRefused;
  for (const std::string& id : batch->finish) {
    if (!look) {
      finish_queue_.push_back(id);
      continue;
    }
    StateOp get;
    get.key = keys::kJob + id;
    asker()->State(get, Guarded([this, id](Micros t, StateReply& g) {
      if (g.outcome == StateReply::Outcome::kMissing) return EndJob(t, id);
      finish_queue_.push_back(id);
    }));
  }
  for (const auto& piece : batch->progress) {
    auto it = jobs_.find(piece.job);
    if (it == jobs_.end()) continue;
    Job::Chunk& chunk = it->second->chunks[static_cast<size_t>(piece.chunk)];
    if (!chunk.dirty) chunk.dirty_since = now;
    if (!look) {
      chunk.dirty = true;
      continue;
    }
    StateOp get;
    get.key = ProgressKey(piece.job, piece.chunk);
    asker()->State(get, Guarded([this, piece](Micros t, StateReply& g) {
      auto job = jobs_.find(piece.job);
      if (job == jobs_.end()) return;
      Job::Chunk& c = job->second->chunks[static_cast<size_t>(piece.chunk)];
      if (g.ok() && !g.entries.empty()) c.stamp = g.entries[0].stamp;
      if (g.outcome == StateReply::Outcome::kMissing) c.stamp = 0;
      c.dirty = true;
      c.dirty_since = t;
    }));
  }
}

// ---------------------------------------------------------------------------------------------
// The cloud.

void Leader::CloudTick(Micros now) {
  if (!asking_types_ && now >= types_at_) AskTypes(now);
  if (!listing_ && now >= list_at_) {
    listing_ = true;
    list_seen_.clear();
    ListMachines(now, "");
  }
  for (auto& [name, rent] : pending_) {
    if (!rent.asking && now >= rent.retry_at) SendRent(now, name);
  }
  if (now >= scale_at_ && context_.types_known()) Scale(now);
  if (!returning_ && !return_queue_.empty() && now >= return_at_) SendReturns(now);
}

void Leader::AskTypes(Micros now) {
  asking_types_ = true;
  (void)now;
  asker()->Cloud(CloudOp{}, Guarded([this](Micros t, CloudReply& r) {
    asking_types_ = false;
    types_at_ = t + (r.ok() ? Seconds(30) : Seconds(2));
    if (!r.ok()) return;
    bool changed = !context_.types_known();
    new_types_.clear();
    for (const MachineType& type : r.types) {
      new_types_[type.name] = type;
      auto it = context_.types->find(type.name);
      if (it == context_.types->end()) {
        changed = true;
        continue;
      }
      // Prices move all the time; they are followed here and not written again.
      MachineType same = it->second;
      same.price = type.price;
      same.spot_price = type.spot_price;
      if (same == type) {
        it->second = type;
      } else {
        changed = true;
      }
    }
    types_dirty_ = changed;
  }));
}

void Leader::ListMachines(Micros now, const std::string& after) {
  (void)now;
  CloudOp op;
  op.kind = CloudOp::Kind::kList;
  op.after = after;
  asker()->Cloud(op, Guarded([this](Micros t, CloudReply& r) {
    listing_ = false;
    list_at_ = t + Seconds(2);
    if (!r.ok()) return;
    for (const ListedMachine& l : r.listed) {
      list_seen_.insert(l.id);
      Listed(t, l);
    }
    if (r.more && !r.listed.empty()) {
      listing_ = true;
      return ListMachines(t, r.listed.back().id);
    }
    // Once listed, a machine stays listed until it is gone; but a list may be older than the one
    // before, so an absence counts only after a while.
    for (auto& [id, m] : machines_) {
      if (!m->listed || m->stage == MachineStage::kReturning) continue;
      if (list_seen_.count(id)) {
        m->missing_since = {-1};
      } else if (m->missing_since.count < 0) {
        m->missing_since = t;
      } else if (t - m->missing_since > settings().cloud_list_lag.Scaled(2) + Seconds(4) &&
                 t - m->heard_at > options().silent_probe) {
        GiveBack(t, m.get(), "gone from the cloud's list");
      }
    }
  }));
}

void Leader::Listed(Micros now, const ListedMachine& l) {
  auto dead = tombstones_.find(l.id);
  if (dead != tombstones_.end()) {
    if (now - dead->second > settings().cloud_list_lag.Scaled(4) + Seconds(10)) {
      // Given back long ago and still there: once more.
      return_queue_.push_back(l.id);
      dead->second = now;
    }
    return;
  }
  Machine* m = FindMachine(l.id);
  if (!m) {
    m = Adopt(now, l.id, l.endpoint, l.type, l.zone, l.spot);
    m->rented_at = now - l.age;
  }
  if (!m->listed) {
    m->listed = true;
    m->rented_at = std::min(m->rented_at, now - l.age);
    if (m->endpoint.empty()) m->endpoint = l.endpoint;
  }
  if (l.phase == ListedMachine::Phase::kFailed) GiveBack(now, m, "failed, says the cloud");
}

void Leader::Rent(Micros now, const Offer& offer, int count) {
  // A name is never used twice: the term is this leader's alone.
  const std::string name =
      "t" + std::to_string(election()->term()) + "-" + std::to_string(++rents_);
  pending_[name] = PendingRent{offer, std::min(count, 50), 0, false, now};
  asker()->Info("renting " + std::to_string(count) + " " + offer.type +
                (offer.spot ? " (spot)" : "") + " in " + offer.zone + " as " + name);
  SendRent(now, name);
}

void Leader::SendRent(Micros now, const std::string& name) {
  (void)now;
  PendingRent& rent = pending_.at(name);
  rent.asking = true;
  CloudOp op;
  op.kind = CloudOp::Kind::kRent;
  op.name = name;
  op.type = rent.offer.type;
  op.zone = rent.offer.zone;
  op.spot = rent.offer.spot;
  op.count = rent.count;
  asker()->Cloud(op, Guarded([this, name](Micros t, CloudReply& r) {
    auto it = pending_.find(name);
    if (it == pending_.end()) return;
    PendingRent& p = it->second;
    p.asking = false;
    if (r.ok()) {
      for (const std::string& id : r.rented) {
        if (tombstones_.count(id)) continue;
        Machine* m = Adopt(t, id, "", p.offer.type, p.offer.zone, p.offer.spot);
        m->rented_at = std::min(m->rented_at, t);
      }
      if (r.rented.size() < static_cast<size_t>(p.count)) scaler_.Refused(p.offer, t);
      pending_.erase(it);
    } else if (r.outcome == CloudReply::Outcome::kUnknown && ++p.tries < 6) {
      p.retry_at = t + Seconds(1);  // the same name: it may have been carried out
    } else {
      if (r.outcome == CloudReply::Outcome::kNoCapacity) scaler_.Refused(p.offer, t);
      if (r.outcome == CloudReply::Outcome::kBusy) scale_at_ = t + Seconds(2);
      pending_.erase(it);
    }
  }));
}

void Leader::Scale(Micros now) {
  scale_at_ = now + Seconds(1);
  // While what runs where is not known, the need isn't either.
  if (!unresolved_.empty() && now - began_ < Seconds(3)) return;
  ScaleView view;
  view.now = now;
  view.reign_began = began_;
  view.types = context_.types;
  view.zones = &settings().zones;
  view.objectives = &settings().objectives;
  for (auto& [id, m] : machines_) view.machines.push_back(m.get());
  for (auto& [id, job] : jobs_) view.jobs.push_back(job.get());
  for (auto& [name, p] : pending_) {
    if (context_.types->count(p.offer.type)) view.pending[p.offer] += p.count;
  }
  const ScalePlan plan = scaler_.Decide(view);
  for (Machine* m : plan.unretire) m->retiring = false;
  for (Machine* m : plan.retire) {
    asker()->Debug("retiring " + m->id);
    m->retiring = true;
    Unbind(m);
    // Replicas end only when they are told to; they go on elsewhere.
    bool any = false;
    for (auto& [key, o] : m->occupants) {
      if (!o.job || !o.job->service() || o.exited() || o.halt) continue;
      o.halt = any = true;
      o.grace = o.job->spec.save_time;
    }
    if (any) HaltNow(now, m);
    if (m->occupants.empty() && m->idle_since.count < 0) m->idle_since = now;
  }
  for (Machine* m : plan.give_back) {
    if (m->occupants.empty() && m->queue.empty()) GiveBack(now, m, "idle");
  }
  for (const RentPlan& r : plan.rent) Rent(now, r.offer, r.count);
  CountPaid(now);
  if (now >= log_at_) {
    log_at_ = now + Seconds(5);
    int booting = 0, up = 0;
    for (auto& [id, m] : machines_) {
      booting += m->stage == MachineStage::kBooting;
      up += m->stage == MachineStage::kUp;
    }
    asker()->Debug("machines up " + std::to_string(up) + " booting " + std::to_string(booting) +
                   " jobs " + std::to_string(jobs_.size()) + "; " + scaler_.Summary());
  }
}

void Leader::CountPaid(Micros now) {
  const double dt = paid_at_.count == 0 ? 0 : (now - paid_at_).ToSeconds();
  paid_at_ = now;
  bool work_waits = false;
  for (auto& [id, job] : jobs_) work_waits |= job->queued > 0 || !job->waiting.empty();
  for (auto& [id, m] : machines_) {
    if (!m->type || m->type->size.cpu == 0) continue;
    Paid& p = paid_[Offer{m->type_name, "", m->spot}];
    p.held += dt;
    if (m->stage == MachineStage::kBooting) {
      p.boot += dt;
      continue;
    }
    if (!work_waits) {
      p.short_of_work += dt * static_cast<double>((m->type->size - m->Used()).cpu) /
                         static_cast<double>(m->type->size.cpu);
    }
    for (auto& [key, o] : m->occupants) {
      const double share =
          static_cast<double>(o.need.cpu) / static_cast<double>(m->type->size.cpu) * dt;
      if (o.state == RunState::kRunning) p.used += share;
      if (o.state == RunState::kFetching || o.state == RunState::kSent) p.fetching += share;
    }
  }
  if (now < log_at_) return;
  for (const auto& [offer, p] : paid_) {
    if (p.held <= 0) continue;
    const auto percent = [&p](double part) {
      return std::to_string(static_cast<int>(100 * part / p.held)) + "%";
    };
    asker()->Debug("paid " + offer.type + (offer.spot ? " (spot) " : " ") +
                   std::to_string(static_cast<int>(p.held)) + " s: boot " + percent(p.boot) +
                   ", run " + percent(p.used) + ", fetch " + percent(p.fetching) +
                   ", no work " + percent(p.short_of_work));
  }
}

void Leader::SendReturns(Micros now) {
  (void)now;
  returning_ = true;
  CloudOp op;
  op.kind = CloudOp::Kind::kReturn;
  const size_t n = std::min<size_t>(return_queue_.size(), 100);
  op.machines.assign(return_queue_.begin(), return_queue_.begin() + static_cast<long>(n));
  return_queue_.erase(return_queue_.begin(), return_queue_.begin() + static_cast<long>(n));
  asker()->Cloud(op, Guarded([this, names = op.machines](Micros t, CloudReply& r) {
    returning_ = false;
    if (!r.ok()) {
      return_at_ = t + Seconds(1);
      return_queue_.insert(return_queue_.end(), names.begin(), names.end());
      return;
    }
    // The cloud's word is the proof that the machines and all on them are gone.
    for (const std::string& id : names) Remove(t, id);
  }));
}

}  // namespace badgershore
