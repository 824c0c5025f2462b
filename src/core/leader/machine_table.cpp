// The term's machines: what reports prove of each, silence, resolving after a takeover.
#include "core/leader/machine_table.h"

#include "core/leader/dispatch.h"
#include "core/leader/fault_attribution.h"
#include "core/leader/gangs.h"
#include "core/leader/heartbeat_handler.h"
#include "core/leader/job_table.h"
#include "core/leader/provisioner.h"
#include "core/leader/recorder.h"
#include "core/leader/usage_accounting.h"
#include "core/placement/guardrails.h"

namespace badgershore {
namespace {

// Calls to machines begun in one tick. Hundreds at once, after a takeover, keep a slow controller
// busy for longer than its lease, and the next one begins the same way.
constexpr int kProbesATick = 60;

}  // namespace

void MachineTable::Load(Micros now, const MachineRecord& r) {
  Machine* m = Adopt(now, r.id, r.endpoint, r.type, r.zone, r.spot);
  if (!m->reconciled) return;
  // An earlier leader may have sent it anything, and may have kept its lease alive for as long as
  // a leader may without the state service.
  m->durable = true;
  m->reconciled = false;
  m->stage = MachineStage::kUp;
  m->last_contact_at = m->last_heartbeat_at = now;
  m->agent_lease_until = now + (settings().cancel_deadline - settings().agent_lease) +
                         settings().agent_lease.Scaled(1 + kClockDrift);
  unresolved_.push_back(m);
  usage_accounting().RefreshUncertainUse(m);
}

bool MachineTable::Held(const Job& job) const {
  if (job.cancel_pending) return true;
  // A job recorded after this term began can't have been started by an earlier leader: that one
  // starts nothing past its lease, which ended before.
  if (unresolved_.empty() || job.version > election()->term_stamp()) return false;
  for (const Machine* m : unresolved_) {
    if (!m->type || Allows(job.spec, *m->type, m->zone, m->spot)) return true;
  }
  return false;
}

Machine* MachineTable::Find(const std::string& id) const {
  auto it = machines_.find(id);
  return it == machines_.end() ? nullptr : it->second.get();
}

Machine* MachineTable::Adopt(Micros now, const std::string& id, const std::string& endpoint,
                             const std::string& type, const std::string& zone, bool spot) {
  if (Machine* known = Find(id)) return known;
  auto m = std::make_unique<Machine>();
  m->id = id;
  m->endpoint = endpoint;
  m->type_name = type;
  m->zone = zone;
  m->spot = spot;
  m->rented_at = now;
  m->dispatched_work.assign(kBuckets, 0.0);
  auto it = types().find(type);
  if (it != types().end()) m->type = &it->second;
  return (machines_[id] = std::move(m)).get();
}

bool MachineTable::Ready(const Machine& m, Micros now) const {
  // What answers direct calls and reports to nobody can be told to stop, not to start.
  return m.stage == MachineStage::kUp && m.type && m.reconciled && !m.draining &&
         !m.preemption_at &&
         now - m.last_heartbeat_at < options().silent_probe + settings().heartbeat_interval &&
         now >= m.start_backoff_until;
}

void MachineTable::Resolve(Micros now, Machine* m) {
  if (m->reconciled) return;
  m->reconciled = true;
  usage_accounting().RefreshUncertainUse(m);
  unresolved_.erase(std::remove(unresolved_.begin(), unresolved_.end(), m), unresolved_.end());
  asker()->Debug("machine " + m->id + " resolved");
  if (unresolved_.empty()) {
    asker()->Info("all machines resolved " + std::to_string((now - began()).ToMillis()) +
                  " ms into the term");
  }
}

// Proved not to be on the machine any more, and not to come there.
void MachineTable::Gone(Micros now, Machine* m, Allocation* o) {
  Job* job = o->job;
  if (!job || o->exited()) return;
  const TaskState& t = job->tasks[static_cast<size_t>(o->ref.task)];
  if (t.stage == TaskStage::kPlaced && t.machine == m && t.attempt == o->attempt) {
    job_table().TaskBack(now, job, o->ref.task, {});
  }
}

void MachineTable::DropAll(Micros now, Machine* m) {
  for (auto& [key, o] : m->allocations) Gone(now, m, &o);
  usage_accounting().RemoveAll(m);
}

void MachineTable::Remove(Micros now, const std::string& id) {
  auto it = machines_.find(id);
  if (it == machines_.end()) return;
  Machine* m = it->second.get();
  Resolve(now, m);
  dispatch().Unbind(m);
  DropAll(now, m);
  for (RequestId token : m->pending_heartbeats) {
    asker()->out.heartbeat_responses.push_back({token, 503, "", 0, {}});
  }
  recorder().Left(now, id);
  tombstones_[id] = now;
  machines_.erase(it);
}

void MachineTable::GiveBack(Micros now, Machine* m, const std::string& why) {
  if (m->stage == MachineStage::kTerminating) return;
  // Past the lease it may be another leader's, with its work on it. What speaks against it is seen
  // again once the lease is confirmed.
  if (!election()->MayStart(now)) return;
  asker()->Info("returning " + m->id + " (" + m->type_name + (m->spot ? ", spot" : "") +
                "): " + why + ", held " +
                std::to_string(static_cast<int>((now - m->rented_at).ToSeconds())) + " s");
  dispatch().Unbind(m);
  m->stage = MachineStage::kTerminating;
  provisioner().Return(m->id);
}

void MachineTable::HaltNow(Micros now, Machine* m) {
  if (m->endpoint.empty() || m->agent_epoch == 0) return;
  (void)now;
  CommandRequest op;
  op.machine = m->id;
  op.endpoint = m->endpoint;
  op.fencing_token = election()->term();
  op.agent_epoch = m->agent_epoch;
  for (auto& [key, o] : m->allocations) {
    if (o.stop_requested && !o.exited() && !o.start_unsent) {
      op.commands.push_back({Command::Verb::kStop, o.ref, o.attempt, o.grace_period});
    }
  }
  if (op.commands.empty()) return;
  asker()->Direct(op, Guarded([this, id = m->id](Micros t, CommandResponse& r) {
                    Machine* machine = Find(id);
                    if (machine && r.heartbeat && r.status == 200)
                      Absorb(t, machine, *r.heartbeat, false);
                  }));
}

// Raises the fencing token at a machine and learns what is on it.
void MachineTable::Probe(Micros now, Machine* m) {
  if (m->probe_in_flight || m->endpoint.empty()) return;
  m->probe_in_flight = true;
  if (m->first_probed_at.count < 0) m->first_probed_at = now;
  m->probe_at = now + Seconds(1);
  CommandRequest op;
  op.machine = m->id;
  op.endpoint = m->endpoint;
  op.fencing_token = election()->term();
  op.agent_epoch = std::max<uint64_t>(m->agent_epoch, 1);
  asker()->Direct(
      op, Guarded([this, id = m->id, asked = op.agent_epoch](Micros t, CommandResponse& r) {
        Machine* machine = Find(id);
        if (!machine) return;
        machine->probe_in_flight = false;
        if (!r.heartbeat || r.heartbeat->machine != id) return;
        if (r.heartbeat->fencing_token > election()->term()) {
          return election()->StepDown(t, "machine " + id + " has seen a higher fencing token");
        }
        const bool known_session = r.heartbeat->agent_epoch == asked;
        if (r.status == 200 || !known_session) Absorb(t, machine, *r.heartbeat, false);
        if (r.status == 200) {
          Resolve(t, machine);
        } else if (!known_session && !machine->reconciled) {
          Probe(t, machine);  // the session is known now
        }
      }));
}

// Takes in what a report says. False: it is older than what is known.
bool MachineTable::Absorb(Micros now, Machine* m, const Heartbeat& r, bool checkin) {
  if (r.agent_epoch < m->agent_epoch ||
      (r.agent_epoch == m->agent_epoch && r.sequence <= m->sequence))
    return false;
  if (r.agent_epoch > m->agent_epoch && m->agent_epoch != 0) {
    // The lease ran out over there: all of that session is gone, and its starts with it.
    for (auto it = m->allocations.begin(); it != m->allocations.end();) {
      if (!it->second.start_unsent) {
        Gone(now, m, &it->second);
        it = usage_accounting().Remove(m, it);
      } else {
        ++it;
      }
    }
    m->images.clear();
  }
  if (r.agent_epoch != m->agent_epoch) m->heartbeat_sequence = 0;
  m->agent_epoch = r.agent_epoch;
  m->sequence = r.sequence;
  m->last_contact_at = now;
  if (checkin) m->last_heartbeat_at = last_reported_ = now;
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
  if (r.preemption_notice && !m->preemption_at) {
    m->preemption_at = now + *r.preemption_notice;
    dispatch().Unbind(m);
    asker()->Info("machine " + m->id + " will be taken in " +
                  std::to_string(r.preemption_notice->ToSeconds()) + " s");
  }
  std::set<std::pair<TaskRef, uint64_t>> listed;
  for (const TaskStatus& t : r.tasks) {
    const auto key = std::make_pair(t.ref, t.attempt);
    listed.insert(key);
    auto jt = job_table().jobs().find(t.ref.job);
    Job* job = jt == job_table().jobs().end() ? nullptr : jt->second.get();
    if (job && (t.ref.task < 0 || t.ref.task >= job->spec.tasks)) job = nullptr;
    auto it = m->allocations.find(key);
    if (it == m->allocations.end()) {
      usage_accounting().AddAllocation(m, t.ref, t.attempt, job);
      it = m->allocations.find(key);
      Allocation& o = it->second;
      if (job) {
        TaskState& state = job->tasks[static_cast<size_t>(t.ref.task)];
        const bool elsewhere = state.stage == TaskStage::kPlaced && state.machine != nullptr;
        if (t.phase != TaskPhase::kExited) {
          if (state.stage == TaskStage::kDone || elsewhere) {
            o.stop_requested = true;  // nobody needs this one
          } else {
            if (state.stage == TaskStage::kQueued) --job->queued;
            state.stage = TaskStage::kPlaced;
            state.machine = m;
            state.attempt = t.attempt;
            state.bound_at = now;
            if (job->IsGang()) job->gang_attempt = t.attempt;
            m->RecordImageUse(job->spec.image);
          }
        }
      } else {
        o.stop_requested = true;
      }
    }
    Allocation& o = it->second;
    o.reported = true;
    o.start_unsent = false;
    if (o.exited()) continue;
    if (t.phase == TaskPhase::kExited) {
      Exited(now, m, &o, t.exit_reason);
      continue;
    }
    if (o.job) {
      if (o.job->IsGang() &&
          (t.phase == TaskPhase::kRunning || t.phase == TaskPhase::kCheckpointing)) {
        if (!o.job->gang_attempt_ran) {
          asker()->Debug("gang " + o.job->spec.id + " runs after " +
                         std::to_string((now - o.job->submitted_at).ToMillis()) + " ms");
        }
        if (!std::exchange(o.job->gang_attempt_ran, true)) o.job->progressed_at = now;
        o.job->has_run = true;
      }
    }
    usage_accounting().SetPhase(&o, t.phase);
  }
  for (auto it = m->allocations.begin(); it != m->allocations.end();) {
    Allocation& o = it->second;
    // A start that its check-in's successor doesn't list was not executed and never will be: the
    // worker has one report in flight and drops late answers. A direct call's report proves
    // nothing about a start that may still be on its way.
    const bool gone = !o.start_unsent && !listed.count(it->first) &&
                      (o.reported || (checkin && r.sequence > o.sent_sequence));
    if (!gone) {
      ++it;
      continue;
    }
    Gone(now, m, &o);
    it = usage_accounting().Remove(m, it);
  }
  if (m->GangUse().cpu > 0) m->last_gang_at = now;
  const bool idle = m->allocations.empty() && m->queue.empty();
  if (!idle) {
    m->idle_since = {-1};
  } else if (m->idle_since.count < 0) {
    m->idle_since = now;
  }
  return true;
}

void MachineTable::Exited(Micros now, Machine* m, Allocation* o, ExitReason cause) {
  usage_accounting().MarkExited(m, o, cause);
  Job* job = o->job;
  if (!job) return;
  TaskState& t = job->tasks[static_cast<size_t>(o->ref.task)];
  const bool current = t.stage == TaskStage::kPlaced && t.machine == m && t.attempt == o->attempt;
  if (cause == ExitReason::kDone) {
    fault_attribution().OnTaskDone(now, m, job);
    job_table().MarkDone(now, job, o->ref.task);
    if (job->IsService() && current) job_table().TaskBack(now, job, o->ref.task, Seconds(1));
    return;
  }
  Micros pause;
  if (cause == ExitReason::kError) {
    asker()->Debug("task " + o->ref.job + "/" + std::to_string(o->ref.task) + " failed on " +
                   m->id);
    const FaultAttribution::Attribution attribution =
        fault_attribution().OnTaskFailed(now, m, job, o->ref.task);
    pause = attribution.retry_delay;
    if (attribution.machine_at_fault) GiveBack(now, m, "its tasks fail");
  } else if (cause == ExitReason::kInsufficientResources) {
    m->start_backoff_until = now + Seconds(2);
  } else if (cause == ExitReason::kUnknownTask) {
    pause = Seconds(3);
  } else if (cause == ExitReason::kDuplicateTask) {
    pause = Seconds(1);
  }
  if (current) job_table().TaskBack(now, job, o->ref.task, pause);
}

bool MachineTable::Deaf(Micros now) const {
  if (up_ == 0 || last_reported_.count < 0 || now < patient_until_) return false;
  constexpr int kSurely = 8;  // reports that should have come in meanwhile
  return now - last_reported_ >
         std::max(Seconds(4), settings().heartbeat_interval.Scaled(1.0 * kSurely / up_));
}

// Those that may hold gangs first: what waits for them is what hurts most, and there are few.
int MachineTable::AskUnresolved(Micros now) {
  int probes = 0;
  if (unresolved_.empty()) return probes;
  std::vector<Machine*> order = unresolved_;
  std::stable_sort(order.begin(), order.end(), [](const Machine* a, const Machine* b) {
    return (a->type ? a->type->size.cpu : 0) > (b->type ? b->type->size.cpu : 0);
  });
  for (Machine* m : order) {
    if (probes >= kProbesATick) break;
    if (m->stage != MachineStage::kUp || now < m->probe_at || m->probe_in_flight ||
        m->endpoint.empty()) {
      continue;
    }
    ++probes;
    Probe(now, m);
  }
  return probes;
}

// Workers that got no answer for 4 s have gone to other controllers and are sent back from there.
void MachineTable::Awoke(Micros now) {
  patient_until_ = now + settings().heartbeat_interval.Scaled(1.25) + Seconds(6);
  for (auto& [id, m] : machines_) m->missing_since = {-1};
}

void MachineTable::Watch(Micros now) {
  // A leader that slept through its lease wakes up with all machines silent and all their leases
  // over by its own clock. Another leads by then: it gives nothing back and takes nothing for
  // ended before the state service has confirmed its lease anew, and lets them speak first.
  const bool holds = election()->MayStart(now);
  const bool may_give_up = now >= patient_until_;
  int heard = 0, reported = 0, up = 0;
  for (auto& [id, m] : machines_) {
    if (!m->type) {
      auto it = types().find(m->type_name);
      if (it != types().end()) {
        m->type = &it->second;
        usage_accounting().RefreshUncertainUse(m.get());
      }
    }
    if (m->stage != MachineStage::kUp) continue;
    ++up;
    heard += now - m->last_contact_at < options().silent_probe;
    reported += now - m->last_heartbeat_at < options().silent_probe + settings().heartbeat_interval;
  }
  up_ = up;
  int probes = AskUnresolved(now);
  // Where most are silent the fault is likely ours, and returning them would lose everything.
  const bool ours = heard * 2 < up;
  // Two leases and more: whatever it held has ended, and it can be given nothing.
  const Micros mute = options().silent_return + settings().agent_lease.Scaled(2);
  for (auto& [id, ptr] : machines_) {
    Machine* m = ptr.get();
    if (!m->pending_heartbeats.empty() && now - m->heartbeats_pending_since > Millis(1500))
      heartbeat_handler().AnswerPending(now, m);
    if (holds && m->agent_lease_until.count > 0 && now > m->agent_lease_until &&
        (!m->allocations.empty() || !m->reconciled)) {
      asker()->Info("the lease of " + id + " has run out");
      DropAll(now, m);
      Resolve(now, m);
      m->first_answered_at = {-1};
    }
    if (m->stage == MachineStage::kBooting) {
      const Micros patience =
          (m->type ? m->type->boot : Seconds(60)).Scaled(options().boot_patience) + Seconds(5);
      if (may_give_up && now - m->rented_at > patience) GiveBack(now, m, "it does not come up");
      continue;
    }
    if (m->stage != MachineStage::kUp) continue;
    const Micros silent = now - m->last_contact_at;
    if ((!m->reconciled || silent > options().silent_probe) && now >= m->probe_at &&
        probes < kProbesATick && !m->probe_in_flight && !m->endpoint.empty()) {
      ++probes;
      Probe(now, m);
    }
    // One that has just been told the term is about to report under it; one that was told a while
    // ago and has not does not hear.
    const bool was_heard =
        m->sequence > 0 ||
        (m->first_answered_at.count >= 0 &&
         now - m->first_answered_at < settings().heartbeat_interval.Scaled(1.25) + Seconds(1));
    // After a takeover one machine that can't be asked holds back all that it might have been
    // given. Where the others have answered it is given up: the cloud's word resolves it too.
    const bool few = unresolved_.size() * 10 <= static_cast<size_t>(up);
    const bool hardly_any = unresolved_.size() * 50 <= static_cast<size_t>(up);
    const bool asked =
        m->first_probed_at.count >= 0 && now - m->first_probed_at > options().resolve_soon;
    if (may_give_up && !m->reconciled && !was_heard &&
        ((few && now - began() > options().resolve_wait) || (hardly_any && asked))) {
      GiveBack(now, m, "does not answer the new term");
      continue;
    }
    // Where the fault is ours a machine is given back only when its lease has long run out.
    if (may_give_up && silent > options().silent_return + (ours ? settings().agent_lease
                                                                : settings().heartbeat_interval)) {
      GiveBack(now, m, was_heard ? "silent" : "never heard in this term");
      continue;
    }
    if (may_give_up && reported * 2 >= up && now - m->last_heartbeat_at > mute) {
      GiveBack(now, m, "answers, but reports to nobody");
      continue;
    }
    if (m->preemption_at) {
      std::map<std::string, Job*> saved_whole;  // by id
      bool halts = false;
      for (auto& [key, o] : m->allocations) {
        if (o.stop_requested || o.exited() || !o.job || o.job->spec.checkpoint_interval.count == 0)
          continue;
        const Micros save = o.job->spec.checkpoint_duration;
        if (*m->preemption_at - now > save + Seconds(3)) continue;
        if (o.job->IsGang()) {
          saved_whole[o.job->spec.id] = o.job;
        } else {
          o.stop_requested = halts = true;
          o.grace_period = save;
        }
      }
      if (halts) HaltNow(now, m);
      for (auto& [job_id, job] : saved_whole) gangs().Halt(now, job, job->spec.checkpoint_duration);
    }
  }
  for (auto it = tombstones_.begin(); it != tombstones_.end();) {
    it = now - it->second > Seconds(600) ? tombstones_.erase(it) : std::next(it);
  }
}

bool MachineTable::RisesAgain(Micros now, const std::string& id) {
  Micros& since = tombstones_.at(id);
  if (now - since <= settings().cloud_list_lag.Scaled(4) + Seconds(10)) return false;
  since = now;
  return true;
}

}  // namespace badgershore
