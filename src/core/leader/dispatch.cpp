#include "core/leader/dispatch.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "core/leader/fair_share.h"
#include "core/leader/fault_attribution.h"
#include "core/leader/job_table.h"
#include "core/leader/machine_table.h"
#include "core/leader/quota_checker.h"
#include "core/leader/reconciler.h"
#include "core/leader/runtime_forecast.h"
#include "core/leader/usage_accounting.h"
#include "core/placement/autoscaler.h"

namespace badgershore {
namespace {

// Start priorities. An unstarted job's first task goes before aged jobs: otherwise a large old job
// would keep all others from starting under overload.
constexpr int kNormalStart = 0;
constexpr int kAgedStart = 1;
constexpr int kUnstartedStart = 2;

// No starts are added to a heartbeat response with this many commands, which bounds the time of one
// step. A response may hold fewer, see CommandBatch.
constexpr size_t kMaxCommands = 300;

// Limits on the machines examined while binding: burst and rate per second. Binding all tasks of a
// large fleet in one call after a failover would take so long that the leader lost its lease. The
// burst limit alone is not enough: with hundreds of heartbeats a second the leader could still
// spend all its time on binding.
constexpr double kBindBudget = 20000;
constexpr double kBindBudgetPerSecond = 400000;

constexpr Micros kHoldInterval = Seconds(1);
constexpr Micros kHoldDuration = Seconds(3);

// A job can't meet its deadline any more if less than this part of its estimate remains.
constexpr double kDeadlineEstimateFactor = 0.8;

bool IsCurrent(const QueuedTask& queued, const Job& job, const Machine* machine) {
  const TaskState& t = job.tasks[static_cast<size_t>(queued.task)];
  return t.stage == TaskStage::kQueued && t.machine == machine && t.bound_at == queued.bound_at;
}

// Drops tasks at the head of the entry that are no longer bound to the machine.
void DropStaleTasks(const Machine* machine, QueueEntry* entry) {
  while (!entry->tasks.empty() && !IsCurrent(entry->tasks.front(), *entry->job, machine)) {
    entry->tasks.pop_front();
  }
}

void RequeueDelayedTasks(Micros now, Job* job) {
  while (!job->delayed.empty() && job->delayed.begin()->first <= now) {
    job->waiting.push_back(job->delayed.begin()->second);
    job->delayed.erase(job->delayed.begin());
  }
}

}  // namespace

Resources Dispatch::AvailableResourcesFor(const Machine& machine, const Job& job,
                                          const Resources& used, Micros now) const {
  Resources room = machine.type->Capacity() - used;
  if (machine.held_for && machine.held_for != &job && now < machine.held_until) {
    room = room - machine.held_for->spec.need.Times(machine.held_tasks);
  }
  if (job.IsGang() || !machine.reserved_for) return room;
  // Jobs whose priority is not higher than a waiting gang's can't use its reservation.
  const Job& gang = *machine.reserved_for;
  if (machine.reserved_after_gangs && job.spec.priority > gang.spec.priority) return room;
  const bool gang_first =
      gang.spec.priority <= job.spec.priority || now - gang.submitted_at > options().age_limit;
  return gang_first ? room - gang.spec.need.Times(machine.reserved_members) : room;
}

void Dispatch::StartTask(Micros now, Machine* machine, Job* job, int task, Resources* used,
                         CommandBatch* batch) {
  --job->queued;
  if (machine->held_for == job && --machine->held_tasks <= 0) machine->held_for = nullptr;
  const uint64_t attempt = usage_accounting().NextAttempt();
  usage_accounting().PlaceTask(now, machine, job, task, attempt);
  *used = *used + job->spec.need;
  batch->Add({Command::Verb::kStart, {job->spec.id, task}, attempt, {}});
}

void Dispatch::StartTasksOn(Micros now, Machine* machine, CommandBatch* batch) {
  Resources used = machine->Used();
  while (batch->size() < kMaxCommands && !batch->IsFull()) {
    // Under load most machines are full. This check avoids searching their queues.
    if (!job_table().smallest_need().Fits(machine->type->Capacity() - used)) break;
    if (StartPreferred(now, machine, &used, batch)) continue;
    if (StartQueued(now, machine, &used, batch)) continue;
    if (StartRebound(now, machine, &used, batch)) continue;
    break;
  }
}

int Dispatch::StartPriority(Micros now, const Job& job) const {
  if (job.IsUnstarted(now, options().age_limit)) return kUnstartedStart;
  return job.IsAged(now, options().age_limit) ? kAgedStart : kNormalStart;
}

// Without a hold, a task that needs most of a machine would never fit while small tasks keep
// arriving.
void Dispatch::HoldMachinesForUnstartedJobs(Micros now) {
  if (now < next_hold_at_) return;
  next_hold_at_ = now + kHoldInterval;
  const std::map<int, Job*> jobs = OldestUnstartedJobs(now);
  if (jobs.empty()) return;
  const std::vector<ExpectedMachine> machines = ExpectedMachines(now);
  for (const auto& [team, job] : jobs) {
    Machine* machine = MachineToHold(now, *job, machines);
    if (!machine || !machine->hold_period.Renew(now, HoldPeriod::kMaxDuration)) continue;
    machine->held_for = job;
    machine->held_tasks = 1;
    machine->held_until = now + kHoldDuration;
  }
}

// Keyed by team.
std::map<int, Job*> Dispatch::OldestUnstartedJobs(Micros now) const {
  std::map<int, Job*> oldest;
  for (auto& [id, owned_job] : job_table().jobs()) {
    Job* job = owned_job.get();
    if (job->IsGang() || job->queued == 0 || !job->IsUnstarted(now, options().age_limit)) continue;
    if (!quota_checker().Allows(*job, 1) || reconciler().MayStillRun(*job)) continue;
    Job*& first = oldest[job->team];
    if (!first || job->submitted_at < first->submitted_at) first = job;
  }
  return oldest;
}

std::vector<Dispatch::ExpectedMachine> Dispatch::ExpectedMachines(Micros now) const {
  std::vector<ExpectedMachine> machines;
  for (const auto& [id, machine] : machine_table().machines()) {
    if (!machine_table().IsReady(*machine, now)) continue;
    machines.push_back({machine.get(), ExpectedRoom(now, *machine, HoldPeriod::kMaxDuration)});
  }
  return machines;
}

// The machine that is already held for the job, else the one with the most free CPU; null if there
// is none.
Machine* Dispatch::MachineToHold(Micros now, const Job& job,
                                 const std::vector<ExpectedMachine>& machines) const {
  const auto free_cpu = [](const Machine& machine) {
    return (machine.type->Capacity() - machine.Used()).cpu;
  };
  Machine* best = nullptr;
  for (const auto& [machine, room] : machines) {
    if (machine->held_for == &job && now < machine->held_until) return machine;
    if (machine->reserved_for || machine->hold_period.IsOpen(now) ||
        (machine->held_for && now < machine->held_until) ||
        !Allows(job.spec, *machine->type, machine->zone, machine->spot) ||
        !ZoneAllows(job, machine->zone) || !job.spec.need.Fits(room)) {
      continue;
    }
    if (!best || free_cpu(*machine) > free_cpu(*best)) best = machine;
  }
  return best;
}

// Whether `a` is started from a machine's queue before `b`, whose estimate is not longer than that
// of `a`.
bool Dispatch::StartsBefore(Micros now, const Job& a, const Job& b) const {
  const int precedence = fair_share().ComparePrecedence(a, b);
  if (precedence != 0) return precedence > 0;
  const int priority_a = StartPriority(now, a);
  const int priority_b = StartPriority(now, b);
  if (priority_a != priority_b) return priority_a > priority_b;
  return priority_a != kNormalStart && a.submitted_at < b.submitted_at;
}

// The entry whose first task starts next on the machine; null if none fits. Higher priorities go
// first, then aged jobs, then the shortest estimate.
QueueEntry* Dispatch::NextQueued(Micros now, Machine* machine, const Resources& used) {
  QueueEntry* best = nullptr;
  for (auto it = machine->queue.begin(); it != machine->queue.end();) {
    QueueEntry& entry = it->second;
    const Job& job = *entry.job;
    DropStaleTasks(machine, &entry);
    if (entry.tasks.empty()) {
      it = machine->queue.erase(it);
      continue;
    }
    ++it;
    // The queue is sorted by estimate, so among equals the first that fits is kept.
    if (best && !StartsBefore(now, job, *best->job)) continue;
    if (!quota_checker().Allows(job, 1)) continue;
    if (!job.spec.need.Fits(AvailableResourcesFor(*machine, job, used, now)) ||
        reconciler().MayStillRun(job) || !ZoneAllows(job, machine->zone)) {
      continue;
    }
    best = &entry;
  }
  return best;
}

bool Dispatch::StartQueued(Micros now, Machine* machine, Resources* used, CommandBatch* batch) {
  QueueEntry* entry = NextQueued(now, machine, *used);
  if (!entry) return false;
  const int task = entry->tasks.front().task;
  entry->tasks.pop_front();
  StartTask(now, machine, entry->job, task, used, batch);
  return true;
}

// Whether the job's oldest queued task has waited long enough to move to another machine.
bool Dispatch::HasRebindableTask(Micros now, Job* job) const {
  if (job->queued == 0) return false;
  while (!job->bound.empty()) {
    const QueuedTask& oldest = job->bound.front();
    const TaskState& t = job->tasks[static_cast<size_t>(oldest.task)];
    if (t.stage == TaskStage::kQueued && t.bound_at == oldest.bound_at) break;
    job->bound.pop_front();
  }
  // No delay for an unstarted job: while machines join and leave, its tasks are rebound repeatedly
  // and would never have waited long enough.
  const Micros wait = job->IsUnstarted(now, options().age_limit) ? Micros{} : options().rebind_wait;
  return !job->bound.empty() && now - job->bound.front().bound_at >= wait;
}

bool Dispatch::CanStartOn(Micros now, const Job& job, const Machine& machine,
                          const Resources& used) const {
  return Allows(job.spec, *machine.type, machine.zone, machine.spot) &&
         !AvoidsMachine(now, job, machine) &&
         job.spec.need.Fits(AvailableResourcesFor(machine, job, used, now)) &&
         !reconciler().MayStillRun(job) && ZoneAllows(job, machine.zone);
}

void Dispatch::RebindAndStart(Micros now, Machine* machine, Job* job, Resources* used,
                              CommandBatch* batch) {
  const int task = job->bound.front().task;
  job->bound.pop_front();
  machine->dispatched_work[static_cast<size_t>(job->bucket)] +=
      NormalizedWork(job->spec, machine->type->Capacity() - machine->GangUse());
  StartTask(now, machine, job, task, used, batch);
}

// Tasks within a guarantee, or of a team below its share, start before the machine's own queue, on
// any machine where they fit.
bool Dispatch::StartPreferred(Micros now, Machine* machine, Resources* used, CommandBatch* batch) {
  const auto order = [](const Job* j) {
    return std::make_tuple(j->spec.priority, j->submitted_at);
  };
  Job* best = nullptr;
  for (Job* job : fair_share().preferred_jobs()) {
    if (!HasRebindableTask(now, job) || !quota_checker().Allows(*job, 1)) continue;
    if (best) {
      const int precedence = fair_share().ComparePrecedence(*job, *best);
      if (precedence < 0 || (precedence == 0 && order(job) >= order(best))) continue;
    }
    if (!CanStartOn(now, *job, *machine, *used)) continue;
    best = job;
  }
  if (!best) return false;
  RebindAndStart(now, machine, best, used, batch);
  return true;
}

// Moves a task that has waited long in another machine's queue to this machine, where it fits.
bool Dispatch::StartRebound(Micros now, Machine* machine, Resources* used, CommandBatch* batch) {
  const auto order = [&](const Job* j) {
    return std::make_tuple(-StartPriority(now, *j), j->spec.priority, j->spec.estimated_runtime);
  };
  Job* best = nullptr;
  for (auto& [id, owned_job] : job_table().jobs()) {
    Job* job = owned_job.get();
    if (!HasRebindableTask(now, job) || !quota_checker().Allows(*job, 1)) continue;
    const int precedence = best ? fair_share().ComparePrecedence(*job, *best) : 1;
    if (precedence < 0 || (precedence == 0 && order(best) <= order(job))) continue;
    if (!CanStartOn(now, *job, *machine, *used)) continue;
    best = job;
  }
  if (!best) return false;
  RebindAndStart(now, machine, best, used, batch);
  return true;
}

// A job that can still meet its deadline avoids machines that gangs may preempt: a preempted task
// starts over, and a deadline seldom leaves time for that.
bool Dispatch::AvoidsMachine(Micros now, const Job& job, const Machine& machine) const {
  return job.spec.deadline &&
         now < job.submitted_at + *job.spec.deadline -
                   job.spec.estimated_runtime.Scaled(kDeadlineEstimateFactor) &&
         scaler().MayBePreemptedByGangs(job.spec, *machine.type, machine.zone, machine.spot, now);
}

void Dispatch::Bind(Micros now, Job* job, int task, const EligibleMachine& eligible) {
  Machine* machine = eligible.machine;
  TaskState& t = job->tasks[static_cast<size_t>(task)];
  t.stage = TaskStage::kQueued;
  t.machine = machine;
  t.bound_at = now;
  ++job->queued;
  job->bound.push_back({task, now});
  machine->dispatched_work[static_cast<size_t>(job->bucket)] +=
      NormalizedWork(job->spec, eligible.open);
  QueueEntry& entry =
      machine->queue[QueueKey{job->spec.priority, job->spec.estimated_runtime, job->spec.id}];
  entry.job = job;
  entry.tasks.push_back({task, now});
  machine->idle_since = {-1};
}

void Dispatch::RefillBindBudget(Micros now) {
  const Micros elapsed = now - std::exchange(bind_budget_at_, now);
  bind_budget_ = std::min(kBindBudget, bind_budget_ + kBindBudgetPerSecond * elapsed.ToSeconds());
}

bool Dispatch::NeedsBinding(Micros now, const Job& job) const {
  return !job.IsGang() && !job.waiting.empty() && job.queued < options().bind_window &&
         quota_checker().Allows(job, 1) && !reconciler().MayStillRun(job) &&
         fault_attribution().StartsAllowed(now, job) != 0;
}

std::vector<Dispatch::ReadyMachine> Dispatch::ReadyMachines(Micros now) const {
  std::vector<ReadyMachine> ready;
  for (auto& [id, machine] : machine_table().machines()) {
    if (machine_table().IsReady(*machine, now))
      ready.push_back({machine.get(), machine->GangUse()});
  }
  return ready;
}

std::vector<EligibleMachine> Dispatch::EligibleMachines(
    Micros now, const Job& job, const std::vector<ReadyMachine>& ready) const {
  std::vector<EligibleMachine> eligible;
  for (const auto& [machine, gang_use] : ready) {
    if (!Allows(job.spec, *machine->type, machine->zone, machine->spot)) continue;
    if (!ZoneAllows(job, machine->zone) || AvoidsMachine(now, job, *machine)) continue;
    const Resources open = AvailableResourcesFor(*machine, job, gang_use, now);
    if (!job.spec.need.Fits(open)) continue;
    eligible.push_back({machine, open});
  }
  return eligible;
}

void Dispatch::BindTasks(Micros now, Job* job, const std::vector<EligibleMachine>& eligible) {
  LeastWorkPolicy policy(*job, eligible);
  int allowed = fault_attribution().StartsAllowed(now, *job);
  while (!job->waiting.empty() && job->queued < options().bind_window && allowed > 0) {
    const int task = job->waiting.front();
    job->waiting.pop_front();
    if (job->tasks[static_cast<size_t>(task)].stage != TaskStage::kWaiting) continue;
    Bind(now, job, task, *policy.Next());
    --allowed;
  }
}

void Dispatch::BindWaiting(Micros now) {
  RefillBindBudget(now);
  const JobTable::Jobs& jobs = job_table().jobs();
  std::optional<std::vector<ReadyMachine>> ready;  // computed once, when the first job needs it
  auto it = jobs.upper_bound(last_bound_job_);
  for (size_t n = 0; n < jobs.size() && bind_budget_ > 0; ++n, ++it) {
    if (it == jobs.end()) it = jobs.begin();
    last_bound_job_ = it->first;
    Job* job = it->second.get();
    RequeueDelayedTasks(now, job);
    if (!NeedsBinding(now, *job)) continue;
    if (!ready) {
      bind_budget_ -= static_cast<double>(machine_table().machines().size());
      ready = ReadyMachines(now);
    }
    // No more tasks are bound than the window has room for, however many wait.
    const auto window = static_cast<size_t>(options().bind_window - job->queued);
    bind_budget_ -= static_cast<double>(ready->size() + std::min(window, job->waiting.size()));
    const std::vector<EligibleMachine> eligible = EligibleMachines(now, *job, *ready);
    if (!eligible.empty()) BindTasks(now, job, eligible);
  }
}

void Dispatch::Unbind(Job* job) {
  for (const auto& [id, machine] : machine_table().machines()) {
    machine->queue.erase(QueueKey{job->spec.priority, job->spec.estimated_runtime, job->spec.id});
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

void Dispatch::Unbind(Machine* machine) {
  for (auto& [key, entry] : machine->queue) {
    for (auto it = entry.tasks.rbegin(); it != entry.tasks.rend(); ++it) {
      if (!IsCurrent(*it, *entry.job, machine)) continue;
      TaskState& t = entry.job->tasks[static_cast<size_t>(it->task)];
      t.stage = TaskStage::kWaiting;
      t.machine = nullptr;
      --entry.job->queued;
      entry.job->waiting.push_front(it->task);
    }
  }
  machine->queue.clear();
}

}  // namespace badgershore
