// Machines' queues, starts, and the paper's dispatch of waiting tasks.
#include "core/leader/dispatch.h"

#include "core/leader/fault_attribution.h"
#include "core/leader/job_table.h"
#include "core/leader/machine_table.h"
#include "core/leader/quota_checker.h"
#include "core/leader/reconciler.h"
#include "core/leader/sharing.h"
#include "core/leader/usage_accounting.h"
#include "core/placement/autoscale.h"

namespace badgershore {

Resources Dispatch::RoomFor(const Machine& m, const Job& job, const Resources& used,
                            Micros now) const {
  Resources room = m.type->size - used;
  // Room made for a guarantee is that job's.
  if (m.held_for && m.held_for != &job && now < m.held_until) {
    room = room - m.held_for->spec.need.Times(m.held_tasks);
  }
  if (job.IsGang() || !m.reserved_for) return room;
  // Where a waiting gang is to go, other work of no higher rank leaves it its room.
  const Job& gang = *m.reserved_for;
  if (m.reserved_after_gangs && job.spec.priority > gang.spec.priority) return room;
  const bool first =
      gang.spec.priority <= job.spec.priority || now - gang.submitted_at > options().age_limit;
  return first ? room - gang.spec.need.Times(m.reserved_members) : room;
}

void Dispatch::StartOne(Micros now, Machine* m, Job* job, int task, Resources* used,
                        std::vector<Command>* orders) {
  --job->queued;
  if (m->held_for == job && --m->held_tasks <= 0) m->held_for = nullptr;  // the room is taken
  const uint64_t attempt = usage_accounting().NextAttempt();
  usage_accounting().PlaceTask(now, m, job, task, attempt);
  *used = *used + job->spec.need;
  orders->push_back({Command::Verb::kStart, {job->spec.id, task}, attempt, {}});
}

void Dispatch::StartFrom(Micros now, Machine* m, std::vector<Command>* orders) {
  Resources used = m->Used();
  // A report's answer stays far below 64 KiB; the rest goes with the next one.
  while (orders->size() < 300) {
    // A full machine is the usual case when there is much to do: no look at every queue for it.
    if (!job_table().least_need().Fits(m->type->size - used)) break;
    if (TakePressing(now, m, &used, orders)) continue;
    if (TakeQueued(now, m, &used, orders)) continue;
    if (TakeRebound(now, m, &used, orders)) continue;
    break;
  }
}

// Past the age limit the oldest goes first, and where more waits than there is room for, a large
// old job would keep all others from beginning: the first task of one that has not begun goes
// before.
int Dispatch::Claim(Micros now, const Job& job) const {
  if (job.IsUnstarted(now, options().age_limit)) return 2;
  return job.IsAged(now, options().age_limit) ? 1 : 0;
}

// A task that needs much of a machine never finds it empty enough where small ones come all the
// time. For one job of each team and kind of machine, the oldest that has not begun, a machine
// leaves free what becomes free, until its first task is there.
void Dispatch::KeepForUnbegun(Micros now) {
  if (now < keep_at_) return;
  keep_at_ = now + Seconds(1);
  std::map<int, Job*> oldest;  // by team
  for (auto& [id, ptr] : job_table().jobs()) {
    Job* job = ptr.get();
    if (job->IsGang() || job->queued == 0 || !job->IsUnstarted(now, options().age_limit)) continue;
    if (!quota_checker().Allows(*job, 1) || reconciler().MayStillRun(*job)) continue;
    Job*& first = oldest[job->team];
    if (!first || job->submitted_at < first->submitted_at) first = job;
  }
  for (const auto& [team, job] : oldest) {
    Machine* best = nullptr;
    for (const auto& [id, m] : machine_table().machines()) {
      if (m->held_for == job && now < m->held_until) {
        best = m.get();
        break;
      }
      if (!machine_table().IsReady(*m, now) || m->reserved_for ||
          (m->held_for && now < m->held_until) || !Allows(job->spec, *m->type, m->zone, m->spot) ||
          !usage_accounting().ZoneAllows(*job, m->zone) ||
          !job->spec.need.Fits(m->type->size - m->GangUse())) {
        continue;
      }
      const auto room = [](const Machine& on) { return (on.type->size - on.Used()).cpu; };
      if (!best || room(*m) > room(*best)) best = m.get();
    }
    if (!best) continue;
    best->held_for = job;
    best->held_tasks = 1;
    best->held_until = now + Seconds(3);
  }
}

// The machine's smallest waiting estimate that fits; higher ranks before lower ones, and what has
// waited past the age limit before all, the oldest first.
bool Dispatch::TakeQueued(Micros now, Machine* m, Resources* used, std::vector<Command>* orders) {
  QueueEntry* best = nullptr;
  int best_claim = 0;
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
    const int claim = Claim(now, *job);
    // The queue is in order of estimate, so among the others the first that fits stays.
    const int before = best ? sharing().Before(*job, *best->job) : 1;
    const bool better =
        before > 0 ||
        (before == 0 && (claim > best_claim || (claim > 0 && claim == best_claim &&
                                                job->submitted_at < best->job->submitted_at)));
    if (!better || !quota_checker().Allows(*job, 1)) continue;
    if (!job->spec.need.Fits(RoomFor(*m, *job, *used, now)) || reconciler().MayStillRun(*job) ||
        !usage_accounting().ZoneAllows(*job, m->zone)) {
      continue;
    }
    best = &entry;
    best_claim = claim;
  }
  if (!best) return false;
  const int task = best->tasks.front().first;
  best->tasks.pop_front();
  StartOne(now, m, best->job, task, used, orders);
  return true;
}

// The oldest queued task that has waited long enough to move; null: none has.
const std::pair<int, Micros>* Dispatch::Movable(Micros now, Job* job) const {
  if (job->queued == 0) return nullptr;
  while (!job->bound.empty()) {
    const TaskState& t = job->tasks[static_cast<size_t>(job->bound.front().first)];
    if (t.stage == TaskStage::kQueued && t.bound_at == job->bound.front().second) break;
    job->bound.pop_front();
  }
  // Where machines are retired and kept in turns its tasks are bound anew again and again; one that
  // has not begun does not wait for that.
  const Micros wait = job->IsUnstarted(now, options().age_limit) ? Micros{} : options().rebind_wait;
  if (job->bound.empty() || now - job->bound.front().second < wait) return nullptr;
  return &job->bound.front();
}

bool Dispatch::FitsHere(Micros now, const Job& job, const Machine& m, const Resources& used) const {
  return Allows(job.spec, *m.type, m.zone, m.spot) && !Shuns(now, job, m) &&
         job.spec.need.Fits(RoomFor(m, job, used, now)) && !reconciler().MayStillRun(job) &&
         usage_accounting().ZoneAllows(job, m.zone);
}

void Dispatch::MoveHere(Micros now, Machine* m, Job* job, Resources* used,
                        std::vector<Command>* orders) {
  const int task = job->bound.front().first;
  job->bound.pop_front();
  m->dispatched_work[static_cast<size_t>(job->bucket)] +=
      WorkOn(job->spec, m->type->size - m->GangUse());
  StartOne(now, m, job, task, used, orders);
}

// What is within a guarantee, or of a team that has less than its share, does not wait for its own
// machine's turn: it moves to any that has room, before that machine's queue.
bool Dispatch::TakePressing(Micros now, Machine* m, Resources* used, std::vector<Command>* orders) {
  Job* best = nullptr;
  for (Job* job : sharing().pressing()) {
    if (!Movable(now, job) || !quota_checker().Allows(*job, 1)) continue;
    if (best) {
      const int before = sharing().Before(*job, *best);
      if (before < 0 ||
          (before == 0 && std::make_tuple(job->spec.priority, job->submitted_at) >=
                              std::make_tuple(best->spec.priority, best->submitted_at))) {
        continue;
      }
    }
    if (!FitsHere(now, *job, *m, *used)) continue;
    best = job;
  }
  if (!best) return false;
  MoveHere(now, m, best, used, orders);
  return true;
}

// A task that has waited long in another machine's queue moves to this one, which has room.
bool Dispatch::TakeRebound(Micros now, Machine* m, Resources* used, std::vector<Command>* orders) {
  Job* best = nullptr;
  for (auto& [id, ptr] : job_table().jobs()) {
    Job* job = ptr.get();
    if (!Movable(now, job) || !quota_checker().Allows(*job, 1)) continue;
    const auto order = [&](const Job* j) {
      return std::make_tuple(-Claim(now, *j), j->spec.priority, j->spec.estimated_runtime);
    };
    const int before = best ? sharing().Before(*job, *best) : 1;
    if (before < 0 || (before == 0 && order(best) <= order(job))) continue;
    if (!FitsHere(now, *job, *m, *used)) continue;
    best = job;
  }
  if (!best) return false;
  MoveHere(now, m, best, used, orders);
  return true;
}

// A job that can still meet its deadline stays off machines that gangs may have cleared: a task
// that is stopped runs from its beginning, and a deadline seldom leaves time for that. What can't
// meet its deadline any more, or has none, fills them meanwhile.
bool Dispatch::Shuns(Micros now, const Job& job, const Machine& m) const {
  return job.spec.deadline &&
         now < job.submitted_at + *job.spec.deadline - job.spec.estimated_runtime.Scaled(0.8) &&
         scaler().MayBeCleared(job.spec, *m.type, m.zone, m.spot, now);
}

void Dispatch::Bind(Micros now, Job* job, int task, const Able& able) {
  Machine* m = able.machine;
  TaskState& t = job->tasks[static_cast<size_t>(task)];
  t.stage = TaskStage::kQueued;
  t.machine = m;
  t.bound_at = now;
  ++job->queued;
  job->bound.emplace_back(task, now);
  m->dispatched_work[static_cast<size_t>(job->bucket)] += WorkOn(job->spec, able.open);
  QueueEntry& entry =
      m->queue[QueueKey{job->spec.priority, job->spec.estimated_runtime, job->spec.id}];
  entry.job = job;
  entry.tasks.emplace_back(task, now);
  m->idle_since = {-1};
}

// What a term may spend on binding at once, in machines looked at: after a takeover hundreds of
// jobs wait for hundreds of machines, and a leader that binds them all in one go loses its lease,
// so that the next one stands before the same heap. The rest goes on with the next event.
constexpr double kBindBudget = 20000;
// And in a second, however many events come: with hundreds of reports a second, each of which may
// bind, the former alone let a leader spend all its time so while more waited than there was room
// for.
constexpr double kBindRate = 400000;

void Dispatch::BindWaiting(Micros now) {
  bind_budget_ = std::min(
      kBindBudget, bind_budget_ + kBindRate * (now - std::exchange(budget_at_, now)).ToSeconds());
  struct Candidate {
    Machine* machine;
    Resources gangs;
  };
  std::vector<Candidate> ready;  // looked for once a call, and only where something is to be bound
  bool looked = false;
  auto it = job_table().jobs().upper_bound(bound_last_);
  for (size_t n = 0; n < job_table().jobs().size() && bind_budget_ > 0; ++n, ++it) {
    if (it == job_table().jobs().end()) it = job_table().jobs().begin();
    bound_last_ = it->first;
    Job* job = it->second.get();
    while (!job->delayed.empty() && job->delayed.begin()->first <= now) {
      job->waiting.push_back(job->delayed.begin()->second);
      job->delayed.erase(job->delayed.begin());
    }
    if (job->IsGang() || job->waiting.empty() || job->queued >= options().bind_window ||
        !quota_checker().Allows(*job, 1) || reconciler().MayStillRun(*job) ||
        fault_attribution().StartsAllowed(now, *job) == 0) {
      continue;
    }
    if (!std::exchange(looked, true)) {
      bind_budget_ -= static_cast<double>(machine_table().machines().size());
      for (auto& [mid, m] : machine_table().machines()) {
        if (machine_table().IsReady(*m, now)) ready.push_back({m.get(), m->GangUse()});
      }
    }
    std::vector<Able> able;
    bind_budget_ -= static_cast<double>(ready.size() + job->waiting.size());
    for (const auto& [m, gangs] : ready) {
      if (!Allows(job->spec, *m->type, m->zone, m->spot)) continue;
      if (!usage_accounting().ZoneAllows(*job, m->zone) || Shuns(now, *job, *m)) continue;
      const Resources open = RoomFor(*m, *job, gangs, now);
      if (!job->spec.need.Fits(open)) continue;
      able.push_back({m, open});
    }
    if (able.empty()) continue;
    LeastReceived turns(*job, able);
    int may = fault_attribution().StartsAllowed(now, *job);
    while (!job->waiting.empty() && job->queued < options().bind_window && may > 0) {
      const int task = job->waiting.front();
      job->waiting.pop_front();
      if (job->tasks[static_cast<size_t>(task)].stage != TaskStage::kWaiting) continue;
      Bind(now, job, task, *turns.Next());
      --may;
    }
  }
}

void Dispatch::Unbind(Job* job) {
  for (const auto& [id, m] : machine_table().machines()) {
    m->queue.erase(QueueKey{job->spec.priority, job->spec.estimated_runtime, job->spec.id});
  }
  for (int i = 0; i < job->spec.tasks; ++i) {
    TaskState& t = job->tasks[static_cast<size_t>(i)];
    if (t.stage != TaskStage::kQueued) continue;
    t.stage = TaskStage::kWaiting;
    t.machine = nullptr;
    job->waiting.push_back(i);
  }
  job->queued = 0;
  job->bound.clear();
}

void Dispatch::Unbind(Machine* m) {
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

}  // namespace badgershore
