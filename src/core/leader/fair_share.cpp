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

constexpr Micros kInterval = Millis(500);
constexpr Micros kPreemptionWindow = Seconds(60);
// Long enough for the machine's next heartbeat after the preemption.
constexpr Micros kHoldDuration = Seconds(12);

// Cost of preempting a task with checkpoints, and of one without, which also loses its run time.
constexpr double kCheckpointedCost = 0.1;
constexpr double kLostTaskCost = 1;

double Fraction(int64_t used, int64_t all) {
  return all > 0 ? static_cast<double>(used) / static_cast<double>(all) : 0;
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
  const bool over_a = shares_[static_cast<size_t>(a.team)].over;
  const bool over_b = shares_[static_cast<size_t>(b.team)].over;
  return over_a == over_b ? 0 : over_b ? 1 : -1;
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
  next_tick_at_ = now + kInterval;
  for (Resources& r : stopping_) r = {};
  ReleaseExpiredHolds(now);
  UpdateShares(now);
  const std::vector<Job*> jobs = JobsShortOfGuarantee(now);
  if (jobs.empty() || !election()->MayStart(now)) return;
  CountStopping();
  for (Job* job : jobs) ReclaimGuarantee(now, job);
}

void FairShare::ReleaseExpiredHolds(Micros now) {
  for (const auto& [id, m] : machine_table().machines()) {
    if (m->held_for && now >= m->held_until) m->held_for = nullptr;
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

void FairShare::CountStopping() {
  for (const auto& [id, m] : machine_table().machines()) {
    for (const auto& [key, o] : m->allocations) {
      if (!o.stop_requested || o.exited() || o.team < 0) continue;
      Resources& r = stopping_[static_cast<size_t>(o.team)];
      r = r + o.need;
    }
  }
}

void FairShare::UpdateShares(Micros now) {
  Resources capacity;
  const bool crowded = IsCrowded(now, &capacity);
  const ShareSum sum = SumShares(capacity);
  const bool any_over = MarkTeamsOver(sum, crowded);
  ListPreferredJobs(sum, any_over);
}

// Whether the tasks that could start need more than the free resources; shares apply only then.
// Resets the teams' shares and records which teams have tasks to start.
bool FairShare::IsCrowded(Micros now, Resources* capacity) {
  Resources free;
  for (const auto& [id, m] : machine_table().machines()) {
    if (!machine_table().IsReady(*m, now)) continue;
    *capacity = *capacity + m->type->size;
    free = free + (m->type->size - m->Used());
  }
  Resources wanted;
  for (Share& s : shares_) s = {};
  for (const auto& [id, job] : job_table().jobs()) {
    const int open = job->WantedTasks() - job->placed;
    if (open <= 0 || job->finishing || job->team < 0) continue;
    if (!quota_checker().Allows(*job, 1)) continue;  // blocked by its own team's limit
    shares_[static_cast<size_t>(job->team)].wants = true;
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
    sum.active += shares_[i].wants || shares_[i].dominant > 0;
  }
  return sum;
}

bool FairShare::MarkTeamsOver(const ShareSum& sum, bool crowded) {
  bool any_over = false;
  for (Share& s : shares_) {
    s.over =
        crowded && sum.active > 1 && s.dominant > options().fair_margin * sum.dominant / sum.active;
    any_over |= s.over;
  }
  return any_over;
}

void FairShare::ListPreferredJobs(const ShareSum& sum, bool any_over) {
  preferred_jobs_.clear();
  for (const auto& [id, job] : job_table().jobs()) {
    if (job->IsGang() || job->team < 0 || job->WantedTasks() == job->placed || job->finishing)
      continue;
    const Share& s = shares_[static_cast<size_t>(job->team)];
    const bool under = any_over && s.dominant * sum.active < sum.dominant;
    if (job->IsGuaranteed() || under) preferred_jobs_.push_back(job.get());
  }
}

// Finds the tasks to preempt on the machine so that `tasks` tasks of the job fit, or as many as
// possible. Returns false if not even one fits.
bool FairShare::PlanOn(Micros now, Machine* m, const Job& job, int tasks,
                       PreemptionOption* out) const {
  Resources room = dispatch().RoomFor(*m, job, m->Used(), now);
  std::vector<Victim> victims;
  for (auto& [key, o] : m->allocations) {
    if (o.exited()) continue;
    if (o.stop_requested) {
      room = room + o.need;
    } else if (o.job && o.team != job.team && !o.job->IsGang() && !o.job->IsService() &&
               ExceedsGuaranteeWithout(o.team, o.need)) {
      const TaskState& t = o.job->tasks[static_cast<size_t>(o.ref.task)];
      victims.push_back({o.job->spec.checkpoint_interval.count == 0, now - t.bound_at, &o});
    }
  }
  std::sort(victims.begin(), victims.end(), [](const Victim& a, const Victim& b) {
    return std::tie(a.loses_run, a.ran) < std::tie(b.loses_run, b.ran);
  });
  out->machine = m;
  for (const Victim& victim : victims) {
    if (room.Holds(job.spec.need) >= tasks) break;
    room = room + victim.allocation->need;
    out->victims.push_back(victim.allocation);
    out->cost += victim.Cost();
  }
  out->tasks = static_cast<int>(std::min<int64_t>(room.Holds(job.spec.need), tasks));
  // Drops victims whose preemption doesn't let one more task fit.
  while (!out->victims.empty()) {
    const Resources less = room - out->victims.back()->need;
    if (less.Holds(job.spec.need) < out->tasks) break;
    room = less;
    out->victims.pop_back();
  }
  if (out->tasks > 0) out->cost /= out->tasks;
  return out->tasks > 0;
}

// Cheapest first.
std::vector<FairShare::PreemptionOption> FairShare::FindOptions(Micros now, const Job& job,
                                                                int tasks) const {
  std::vector<PreemptionOption> found;
  for (const auto& [id, m] : machine_table().machines()) {
    if (!machine_table().IsReady(*m, now) || m->held_for || m->reserved_for) continue;
    if (!Allows(job.spec, *m->type, m->zone, m->spot) ||
        !usage_accounting().ZoneAllows(job, m->zone)) {
      continue;
    }
    PreemptionOption option;
    if (PlanOn(now, m.get(), job, tasks, &option)) found.push_back(std::move(option));
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
  for (const auto& [id, m] : machine_table().machines()) {
    if (m->held_for == &job) missing -= m->held_tasks;
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
    if (!Execute(now, job, option, tasks)) continue;
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
bool FairShare::Execute(Micros now, Job* job, const PreemptionOption& option, int tasks) {
  int64_t cpu = 0;
  Micros longest_checkpoint;
  for (const Allocation* o : option.victims) {
    cpu += o->need.cpu;
    // An earlier option may already have preempted all that the team uses above its guarantee.
    if (!ExceedsGuaranteeWithout(o->team, o->need)) return false;
    longest_checkpoint = std::max(longest_checkpoint, o->job->spec.checkpoint_duration);
  }
  const int64_t most =
      std::max(job->spec.need.cpu,
               static_cast<int64_t>(static_cast<double>(quota_checker().Guarantee(job->team).cpu) *
                                    options().reclaim_share));
  PreemptedCpu& preempted = preempted_[static_cast<size_t>(job->team)];
  if (cpu > 0 && preempted.cpu + cpu > most) return false;
  for (Allocation* o : option.victims) {
    o->stop_requested = true;
    o->grace_period =
        o->job->spec.checkpoint_interval.count > 0 ? o->job->spec.checkpoint_duration : Micros{};
    Resources& r = stopping_[static_cast<size_t>(o->team)];
    r = r + o->need;
  }
  preempted.cpu += cpu;
  option.machine->held_for = job;
  option.machine->held_tasks = tasks;
  option.machine->held_until = now + kHoldDuration + longest_checkpoint;
  if (!option.victims.empty()) agent_client().SendStops(option.machine);
  return true;
}

}  // namespace badgershore
