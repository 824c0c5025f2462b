#include "core/leader/fair_share.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "core/leader/agent_client.h"
#include "core/leader/dispatch.h"
#include "core/leader/job_table.h"
#include "core/leader/machine_table.h"
#include "core/leader/quota_checker.h"
#include "core/leader/reconciler.h"
#include "core/leader/usage_accounting.h"

namespace badgershore {
namespace {

constexpr Micros kUpdateInterval = Millis(500);
constexpr Micros kPreemptionWindow = Seconds(60);
// Long enough for the machine's next heartbeat after the preemption.
constexpr Micros kHoldDuration = Seconds(12);

// Cost of preempting a task with checkpoints, and of one without, which also loses its run time.
constexpr double kCheckpointedCost = 0.1;
constexpr double kLostTaskCost = 1;

double Fraction(int64_t used, int64_t total) {
  return total > 0 ? static_cast<double>(used) / static_cast<double>(total) : 0;
}

struct Victim {
  bool loses_run;  // writes no checkpoints
  Micros ran;
  Allocation* allocation;

  double Cost() const {
    return (loses_run ? kLostTaskCost + ran.ToSeconds() : kCheckpointedCost) *
           static_cast<double>(allocation->need.cpu + 1);
  }
};

}  // namespace

FairShare::FairShare(const LeaderContext* context)
    : LeaderComponent(context),
      shares_(settings().teams.size()),
      preempted_(settings().teams.size()),
      stopping_(settings().teams.size()) {}

int FairShare::ComparePrecedence(const Job& a, const Job& b) const {
  if (a.IsGuaranteed() != b.IsGuaranteed()) return a.IsGuaranteed() ? 1 : -1;
  if (a.team == b.team || a.team < 0 || b.team < 0 || a.spec.priority != b.spec.priority) return 0;
  const bool a_above_share = shares_[static_cast<size_t>(a.team)].above_share;
  const bool b_above_share = shares_[static_cast<size_t>(b.team)].above_share;
  return a_above_share == b_above_share ? 0 : b_above_share ? 1 : -1;
}

bool FairShare::ExceedsGuaranteeWithout(int team, const Resources& resources) const {
  if (team < 0) return false;
  const Resources left =
      usage_accounting().Used(team) - stopping_[static_cast<size_t>(team)] - resources;
  const Resources& own = quota_checker().Guarantee(team);
  return left.cpu >= own.cpu && left.gpu >= own.gpu;
}

void FairShare::Remove(const Job* job) {
  preferred_jobs_.erase(std::remove(preferred_jobs_.begin(), preferred_jobs_.end(), job),
                        preferred_jobs_.end());
}

void FairShare::Tick(Micros now) {
  if (shares_.size() < 2 || now < next_tick_at_) return;
  next_tick_at_ = now + kUpdateInterval;
  for (Resources& r : stopping_) r = {};
  ReleaseExpiredHolds(now);
  UpdateShares(now);
  const std::vector<Job*> jobs = JobsShortOfGuarantee(now);
  if (jobs.empty() || !election()->MayStart(now)) return;
  CountStoppingTasks();
  for (Job* job : reclaim_budget_.Choose(jobs, machine_table().ScanCost() + 1)) {
    ReclaimGuarantee(now, job);
  }
}

void FairShare::ReleaseExpiredHolds(Micros now) {
  for (const auto& [id, machine] : machine_table().machines()) {
    if (machine->held_for && now >= machine->held_until) machine->held_for = nullptr;
  }
}

// The jobs that have waited long enough for their guarantee to justify preemption, oldest first.
std::vector<Job*> FairShare::JobsShortOfGuarantee(Micros now) const {
  std::vector<Job*> jobs;
  for (Job* job : preferred_jobs_) {
    if (job->IsGuaranteed() && now - job->guarantee_short_since >= options().reclaim_wait) {
      jobs.push_back(job);
    }
  }
  std::stable_sort(jobs.begin(), jobs.end(),
                   [](const Job* a, const Job* b) { return a->submitted_at < b->submitted_at; });
  return jobs;
}

void FairShare::CountStoppingTasks() {
  for (const auto& [id, machine] : machine_table().machines()) {
    for (const auto& [key, allocation] : machine->allocations) {
      if (!allocation.stop_requested || allocation.exited() || allocation.team < 0) continue;
      Resources& r = stopping_[static_cast<size_t>(allocation.team)];
      r = r + allocation.need;
    }
  }
}

void FairShare::UpdateShares(Micros now) {
  Resources capacity;
  const bool contended = IsContended(now, &capacity);
  const ShareSum sum = SumShares(capacity);
  const bool any_above_share = MarkTeamsAboveShare(sum, contended);
  ListPreferredJobs(sum, any_above_share);
}

// Whether the tasks that could start need more than the free resources; shares apply only then.
// Resets the teams' shares and records which teams have tasks to start.
bool FairShare::IsContended(Micros now, Resources* capacity) {
  Resources free;
  for (const auto& [id, machine] : machine_table().machines()) {
    if (!machine_table().IsReady(*machine, now)) continue;
    *capacity = *capacity + machine->type->Capacity();
    free = free + (machine->type->Capacity() - machine->Used());
  }
  Resources wanted;
  for (Share& s : shares_) s = {};
  for (const auto& [id, job] : job_table().jobs()) {
    const int open = job->WantedTasks() - job->placed;
    if (open <= 0 || job->finishing || job->team < 0) continue;
    if (!quota_checker().Allows(*job, 1)) continue;  // blocked by its own team's limit
    shares_[static_cast<size_t>(job->team)].has_startable_tasks = true;
    wanted = wanted + job->spec.need.Times(open);
  }
  return wanted.cpu > free.cpu || wanted.mem > free.mem || wanted.gpu > free.gpu;
}

FairShare::ShareSum FairShare::SumShares(const Resources& capacity) {
  ShareSum sum;
  for (size_t i = 0; i < shares_.size(); ++i) {
    const Resources& used = usage_accounting().Used(static_cast<int>(i));
    shares_[i].dominant =
        std::max({Fraction(used.cpu, capacity.cpu), Fraction(used.gpu, capacity.gpu),
                  Fraction(used.mem, capacity.mem)});
    sum.dominant += shares_[i].dominant;
    sum.active += shares_[i].has_startable_tasks || shares_[i].dominant > 0;
  }
  return sum;
}

bool FairShare::MarkTeamsAboveShare(const ShareSum& sum, bool contended) {
  bool any_above_share = false;
  for (Share& s : shares_) {
    s.above_share = contended && sum.active > 1 &&
                    s.dominant > options().fair_margin * sum.dominant / sum.active;
    any_above_share |= s.above_share;
  }
  return any_above_share;
}

void FairShare::ListPreferredJobs(const ShareSum& sum, bool any_above_share) {
  preferred_jobs_.clear();
  for (const auto& [id, job] : job_table().jobs()) {
    if (job->IsGang() || job->team < 0 || job->WantedTasks() == job->placed || job->finishing)
      continue;
    const Share& s = shares_[static_cast<size_t>(job->team)];
    const bool below_share = any_above_share && s.dominant * sum.active < sum.dominant;
    if (job->IsGuaranteed() || below_share) preferred_jobs_.push_back(job.get());
  }
}

// Finds the tasks to preempt on the machine so that `tasks` tasks of the job fit, or as many as
// possible. Returns false if not even one fits.
bool FairShare::PlanPreemption(Micros now, Machine* machine, const Job& job, int tasks,
                               PreemptionOption* option) const {
  Resources room = dispatch().AvailableResourcesFor(*machine, job, machine->Used(), now);
  std::vector<Victim> victims;
  for (auto& [key, allocation] : machine->allocations) {
    if (allocation.exited()) continue;
    if (allocation.stop_requested) {
      room = room + allocation.need;
    } else if (allocation.job && allocation.team != job.team && !allocation.job->IsGang() &&
               !allocation.job->IsService() &&
               ExceedsGuaranteeWithout(allocation.team, allocation.need)) {
      const TaskState& t = allocation.job->tasks[static_cast<size_t>(allocation.ref.task)];
      victims.push_back(
          {allocation.job->spec.checkpoint_interval.count == 0, now - t.bound_at, &allocation});
    }
  }
  std::sort(victims.begin(), victims.end(), [](const Victim& a, const Victim& b) {
    return std::tie(a.loses_run, a.ran) < std::tie(b.loses_run, b.ran);
  });
  option->machine = machine;
  for (const Victim& victim : victims) {
    if (room.Holds(job.spec.need) >= tasks) break;
    room = room + victim.allocation->need;
    option->victims.push_back(victim.allocation);
    option->cost += victim.Cost();
  }
  option->tasks = static_cast<int>(std::min<int64_t>(room.Holds(job.spec.need), tasks));
  // Drops victims whose preemption doesn't let one more task fit.
  while (!option->victims.empty()) {
    const Resources less = room - option->victims.back()->need;
    if (less.Holds(job.spec.need) < option->tasks) break;
    room = less;
    option->victims.pop_back();
  }
  if (option->tasks > 0) option->cost /= option->tasks;
  return option->tasks > 0;
}

// Cheapest first.
std::vector<FairShare::PreemptionOption> FairShare::FindOptions(Micros now, const Job& job,
                                                                int tasks) const {
  std::vector<PreemptionOption> found;
  for (const auto& [id, machine] : machine_table().machines()) {
    if (!machine_table().IsReady(*machine, now) || machine->held_for || machine->reserved_for)
      continue;
    if (!Allows(job.spec, *machine->type, machine->zone, machine->spot) ||
        !ZoneAllows(job, machine->zone)) {
      continue;
    }
    PreemptionOption option;
    if (PlanPreemption(now, machine.get(), job, tasks, &option)) found.push_back(std::move(option));
  }
  std::stable_sort(
      found.begin(), found.end(),
      [](const PreemptionOption& a, const PreemptionOption& b) { return a.cost < b.cost; });
  return found;
}

// The number of tasks within the guarantee that are neither placed nor have a machine held for
// them.
int FairShare::MissingTasks(const Job& job) const {
  int missing = std::min(job.tasks_within_guarantee, job.remaining()) - job.placed;
  for (const auto& [id, machine] : machine_table().machines()) {
    if (machine->held_for == &job) missing -= machine->held_tasks;
  }
  return missing;
}

// Holds resources for the job's tasks that are missing from the guarantee. Where none are free,
// preempts tasks of teams above their own guarantee. The reclaiming team stays within its guarantee
// and the others keep theirs, so two teams can't preempt each other in turns.
void FairShare::ReclaimGuarantee(Micros now, Job* job) {
  int missing = MissingTasks(*job);
  if (missing <= 0 || reconciler().MayStillRun(*job) || !quota_checker().Allows(*job, 1)) return;
  PreemptedCpu& preempted = preempted_[static_cast<size_t>(job->team)];
  if (now - preempted.window_start >= kPreemptionWindow) preempted = {0, now};
  int held = 0, stopped = 0;
  for (const PreemptionOption& option : FindOptions(now, *job, missing)) {
    if (missing <= 0) break;
    const int tasks = std::min(option.tasks, missing);
    if (!ExecutePreemption(now, job, option, tasks)) continue;
    stopped += static_cast<int>(option.victims.size());
    held += tasks;
    missing -= tasks;
  }
  if (stopped > 0) {
    outbox()->Debug("preempted " + std::to_string(stopped) +
                    " tasks of other teams for the guarantee of " + job->spec.team + ": " +
                    std::to_string(held) + " tasks of " + job->spec.id);
  }
}

// Returns false, without any effect, if the option would preempt too much.
bool FairShare::ExecutePreemption(Micros now, Job* job, const PreemptionOption& option, int tasks) {
  int64_t cpu = 0;
  Micros longest_checkpoint;
  for (const Allocation* allocation : option.victims) {
    cpu += allocation->need.cpu;
    // An earlier option may already have preempted all that the team uses above its guarantee.
    if (!ExceedsGuaranteeWithout(allocation->team, allocation->need)) return false;
    longest_checkpoint = std::max(longest_checkpoint, allocation->job->spec.checkpoint_duration);
  }
  const int64_t max_cpu =
      std::max(job->spec.need.cpu,
               static_cast<int64_t>(static_cast<double>(quota_checker().Guarantee(job->team).cpu) *
                                    options().reclaim_share));
  PreemptedCpu& preempted = preempted_[static_cast<size_t>(job->team)];
  if (cpu > 0 && preempted.cpu + cpu > max_cpu) return false;
  for (Allocation* allocation : option.victims) {
    allocation->stop_requested = true;
    allocation->grace_period = allocation->job->spec.checkpoint_interval.count > 0
                                   ? allocation->job->spec.checkpoint_duration
                                   : Micros{};
    Resources& r = stopping_[static_cast<size_t>(allocation->team)];
    r = r + allocation->need;
  }
  preempted.cpu += cpu;
  option.machine->held_for = job;
  option.machine->held_tasks = tasks;
  option.machine->held_until = now + kHoldDuration + longest_checkpoint;
  if (!option.victims.empty()) agent_client().SendStops(option.machine);
  return true;
}

}  // namespace badgershore
