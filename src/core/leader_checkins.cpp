// Answers to check-ins: machines' queues, starts, and the paper's dispatch of waiting tasks.
#include "core/leader.h"

namespace badgershore {

Leader::Verdict Leader::Checkin(Micros now, RequestId token, const Report& report,
                                std::vector<Order>* orders) {
  if (now >= AnswerUntil()) return Verdict::kCannot;
  if (!ready_ || tombstones_.count(report.machine)) return Verdict::kAnswer;
  Machine* m = Adopt(now, report.machine, report.endpoint, report.type, report.zone, report.spot);
  const bool fresh = Absorb(now, m, report, true);
  m->alive_until =
      std::max(m->alive_until, now + settings().worker_lease.Scaled(1 + kClockDrift) + Millis(200));
  // Starts go only to a worker that has seen this term: then no earlier leader's order counts.
  if (!fresh || report.baton != election()->term()) return Verdict::kAnswer;
  Resolve(now, m);
  if (!m->recorded && election()->MayStart(now)) {
    if (!m->recording) {
      m->recording = true;
      fleet_pages_.Put(m->id, MachineBytes(RecordOf(*m)), true, now);
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
  if (job.gang() || !m.reserved) return room;
  // Where a waiting gang is to go, other work of no higher rank leaves it its room.
  const Job& gang = *m.reserved;
  const bool first = gang.spec.rank <= job.spec.rank || now - gang.arrived > options().age_limit;
  return first ? room - gang.spec.need.Times(m.reserved_members) : room;
}

Occupant* Leader::Place(Micros now, Machine* m, Job* job, int task, uint64_t attempt) {
  TaskState& t = job->tasks[static_cast<size_t>(task)];
  t.stage = TaskStage::kPlaced;
  t.machine = m;
  t.bound_at = now;
  t.attempt = attempt;
  ++job->placed;
  if (!job->gang()) job->moved_at = now;
  ++job->zone_count[m->zone];
  const TaskRef ref{job->spec.id, task};
  Occupant& o = m->occupants.insert_or_assign({ref, attempt}, Occupant{}).first->second;
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
    // A full machine is the usual case when there is much to do: no look at every queue for it.
    if (!least_need_.Fits(m->type->size - used)) break;
    if (TakeQueued(now, m, &used, orders)) continue;
    if (TakeRebound(now, m, &used, orders)) continue;
    break;
  }
}

// The machine's smallest waiting estimate that fits; higher ranks before lower ones, and what has
// waited past the age limit before all, the oldest first.
bool Leader::TakeQueued(Micros now, Machine* m, Resources* used, std::vector<Order>* orders) {
  QueueEntry* best = nullptr;
  bool best_aged = false;
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
    const bool aged = job->Aged(now, options().age_limit);
    // The queue is in order of estimate, so among the others the first that fits stays.
    const bool better =
        !best || (aged && !best_aged) ||
        (aged == best_aged &&
         ((job->guaranteed && !best->job->guaranteed) ||
          (aged && job->guaranteed == best->job->guaranteed && job->arrived < best->job->arrived)));
    if (!better) continue;
    if (!job->spec.need.Fits(RoomFor(*m, *job, *used, now)) || Held(*job) ||
        !ZoneAllows(*job, m->zone) || !LimitAllows(*job, 1)) {
      continue;
    }
    best = &entry;
    best_aged = aged;
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
    const auto order = [&](const Job* j) {
      return std::make_tuple(!j->Aged(now, options().age_limit), !j->guaranteed, j->spec.rank,
                             j->spec.estimate);
    };
    if (best && order(best) <= order(job)) {
      continue;
    }
    if (!Allows(job->spec, *m->type, m->zone, m->spot) || Shuns(now, *job, *m) ||
        !job->spec.need.Fits(RoomFor(*m, *job, *used, now)) || Held(*job) ||
        !ZoneAllows(*job, m->zone) || !LimitAllows(*job, 1)) {
      continue;
    }
    best = job;
  }
  if (!best) return false;
  const int task = best->bound.front().first;
  best->bound.pop_front();
  m->work[static_cast<size_t>(best->bucket)] += WorkOn(best->spec, m->type->size - m->GangUse());
  StartOne(now, m, best, task, used, orders);
  return true;
}

// A job that can still meet its deadline stays off machines that gangs may have cleared: a task
// that is stopped runs from its beginning, and a deadline seldom leaves time for that. What can't
// meet its deadline any more, or has none, fills them meanwhile.
bool Leader::Shuns(Micros now, const Job& job, const Machine& m) const {
  return job.spec.due && now < job.arrived + *job.spec.due - job.spec.estimate.Scaled(0.8) &&
         scaler_.MayBeCleared(job.spec, *m.type, m.zone, m.spot, now);
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

// What a reign may spend on binding at once, in machines looked at: after a takeover hundreds of
// jobs wait for hundreds of machines, and a leader that binds them all in one go loses its lease,
// so that the next one stands before the same heap. The rest goes on with the next event.
constexpr size_t kBindBudget = 20000;

void Leader::BindWaiting(Micros now) {
  size_t spent = 0;
  auto it = jobs_.upper_bound(bound_last_);
  for (size_t n = 0; n < jobs_.size() && spent < kBindBudget; ++n, ++it) {
    if (it == jobs_.end()) it = jobs_.begin();
    bound_last_ = it->first;
    Job* job = it->second.get();
    while (!job->delayed.empty() && job->delayed.begin()->first <= now) {
      job->waiting.push_back(job->delayed.begin()->second);
      job->delayed.erase(job->delayed.begin());
    }
    if (job->gang() || job->waiting.empty() || job->queued >= options().bind_window || Held(*job)) {
      continue;
    }
    std::vector<Able> able;
    spent += machines_.size() + job->waiting.size();
    for (auto& [mid, m] : machines_) {
      if (!Ready(*m, now) || !Allows(job->spec, *m->type, m->zone, m->spot)) continue;
      if (!ZoneAllows(*job, m->zone) || Shuns(now, *job, *m)) continue;
      const Resources open = RoomFor(*m, *job, m->GangUse(), now);
      if (!job->spec.need.Fits(open)) continue;
      able.push_back({m.get(), open});
    }
    if (able.empty()) continue;
    LeastReceived turns(*job, able);
    while (!job->waiting.empty() && job->queued < options().bind_window) {
      const int task = job->waiting.front();
      job->waiting.pop_front();
      if (job->tasks[static_cast<size_t>(task)].stage != TaskStage::kWaiting) continue;
      Bind(now, job, task, *turns.Next());
    }
  }
}

}  // namespace badgershore
