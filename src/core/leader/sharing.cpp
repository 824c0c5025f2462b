#include "core/leader/sharing.h"

#include <algorithm>

#include "core/leader/agent_client.h"
#include "core/leader/dispatch.h"
#include "core/leader/job_table.h"
#include "core/leader/machine_table.h"
#include "core/leader/quota_checker.h"
#include "core/leader/reconciler.h"
#include "core/leader/usage_accounting.h"

namespace badgershore {
namespace {

constexpr Micros kLookEvery = Millis(500);
constexpr Micros kStopWindow = Seconds(60);
constexpr Micros kKeepRoom = Seconds(12);  // for a check-in of the machine, after the stop

double Part_(int64_t used, int64_t all) {
  return all > 0 ? static_cast<double>(used) / static_cast<double>(all) : 0;
}

}  // namespace

Sharing::Sharing(const LeaderContext* context)
    : Part(context),
      shares_(settings().teams.size()),
      stopped_(settings().teams.size()),
      stopping_(settings().teams.size()) {}

int Sharing::Before(const Job& a, const Job& b) const {
  if (a.IsGuaranteed() != b.IsGuaranteed()) return a.IsGuaranteed() ? 1 : -1;
  if (a.team == b.team || a.team < 0 || b.team < 0 || a.spec.priority != b.spec.priority) return 0;
  const bool over_a = shares_[static_cast<size_t>(a.team)].over;
  const bool over_b = shares_[static_cast<size_t>(b.team)].over;
  return over_a == over_b ? 0 : over_b ? 1 : -1;
}

bool Sharing::Beyond(int team, const Resources& what) const {
  if (team < 0) return false;
  const Resources left =
      usage_accounting().Used(team) - stopping_[static_cast<size_t>(team)] - what;
  const Resources& own = quota_checker().Guarantee(team);
  return left.cpu >= own.cpu && left.gpu >= own.gpu;
}

void Sharing::Forget(const Job* job) {
  pressing_.erase(std::remove(pressing_.begin(), pressing_.end(), job), pressing_.end());
}

void Sharing::Tick(Micros now) {
  if (shares_.size() < 2 || now < at_) return;
  at_ = now + kLookEvery;
  for (Resources& r : stopping_) r = {};
  for (const auto& [id, m] : machine_table().machines()) {
    if (m->held_for && now >= m->held_until) m->held_for = nullptr;
  }
  Weigh(now);
  std::vector<Job*> short_of;
  for (Job* job : pressing_) {
    if (job->IsGuaranteed() && now - job->guarantee_short_since >= options().reclaim_wait) {
      short_of.push_back(job);
    }
  }
  if (short_of.empty() || !election()->MayStart(now)) return;
  for (const auto& [id, m] : machine_table().machines()) {
    for (const auto& [key, o] : m->allocations) {
      if (!o.stop_requested || o.exited() || o.team < 0) continue;
      Resources& r = stopping_[static_cast<size_t>(o.team)];
      r = r + o.need;
    }
  }
  std::stable_sort(short_of.begin(), short_of.end(),
                   [](const Job* a, const Job* b) { return a->submitted_at < b->submitted_at; });
  for (Job* job : short_of) Reclaim(now, job);
}

// Shares count only once there is not room for all that could start.
void Sharing::Weigh(Micros now) {
  Resources all, free;
  for (const auto& [id, m] : machine_table().machines()) {
    if (!machine_table().IsReady(*m, now)) continue;
    all = all + m->type->size;
    free = free + (m->type->size - m->Used());
  }
  Resources wanted;
  for (Share& s : shares_) s = {};
  for (const auto& [id, job] : job_table().jobs()) {
    const int open = job->WantedTasks() - job->placed;
    if (open <= 0 || job->finishing || job->team < 0) continue;
    if (!quota_checker().Allows(*job, 1)) continue;  // it waits for its own team
    shares_[static_cast<size_t>(job->team)].wants = true;
    wanted = wanted + job->spec.need.Times(open);
  }
  const bool crowded = wanted.cpu > free.cpu || wanted.mem > free.mem || wanted.gpu > free.gpu;
  double sum = 0;
  int active = 0;
  for (size_t i = 0; i < shares_.size(); ++i) {
    const Resources& used = usage_accounting().Used(static_cast<int>(i));
    shares_[i].dominant =
        std::max({Part_(used.cpu, all.cpu), Part_(used.gpu, all.gpu), Part_(used.mem, all.mem)});
    sum += shares_[i].dominant;
    active += shares_[i].wants || shares_[i].dominant > 0;
  }
  bool any_over = false;
  for (Share& s : shares_) {
    s.over = crowded && active > 1 && s.dominant > options().fair_margin * sum / active;
    any_over |= s.over;
  }
  pressing_.clear();
  for (const auto& [id, job] : job_table().jobs()) {
    if (job->IsGang() || job->team < 0 || job->WantedTasks() == job->placed || job->finishing)
      continue;
    const Share& s = shares_[static_cast<size_t>(job->team)];
    const bool under = any_over && s.dominant * active < sum;
    if (job->IsGuaranteed() || under) pressing_.push_back(job.get());
  }
}

// What would have to be stopped on the machine for so many tasks of the job, or as many as can be;
// false: not for one.
bool Sharing::FreeOn(Micros now, Machine* m, const Job& job, int tasks, Freed* out) const {
  Resources room = dispatch().RoomFor(*m, job, m->Used(), now);
  struct Choice {
    bool lost;  // it does not save
    Micros ran;
    Allocation* o;
  };
  std::vector<Choice> choices;
  for (auto& [key, o] : m->allocations) {
    if (o.exited()) continue;
    if (o.stop_requested) {
      room = room + o.need;  // on its way out
    } else if (o.job && o.team != job.team && !o.job->IsGang() && !o.job->IsService() &&
               Beyond(o.team, o.need)) {
      const TaskState& t = o.job->tasks[static_cast<size_t>(o.ref.task)];
      choices.push_back({o.job->spec.checkpoint_interval.count == 0, now - t.bound_at, &o});
    }
  }
  std::sort(choices.begin(), choices.end(), [](const Choice& a, const Choice& b) {
    return std::tie(a.lost, a.ran) < std::tie(b.lost, b.ran);
  });
  out->machine = m;
  for (const Choice& c : choices) {
    if (room.Holds(job.spec.need) >= tasks) break;
    room = room + c.o->need;
    out->victims.push_back(c.o);
    out->cost += (c.lost ? 1 + c.ran.ToSeconds() : 0.1) * static_cast<double>(c.o->need.cpu + 1);
  }
  out->tasks = static_cast<int>(std::min<int64_t>(room.Holds(job.spec.need), tasks));
  // Victims that did not bring room for one more are left alone.
  while (!out->victims.empty()) {
    const Resources less = room - out->victims.back()->need;
    if (less.Holds(job.spec.need) < out->tasks) break;
    room = less;
    out->victims.pop_back();
  }
  if (out->tasks > 0) out->cost /= out->tasks;
  return out->tasks > 0;
}

std::vector<Sharing::Freed> Sharing::PlacesFor(Micros now, const Job& job, int tasks) const {
  std::vector<Freed> places;
  for (const auto& [id, m] : machine_table().machines()) {
    if (!machine_table().IsReady(*m, now) || m->held_for || m->reserved_for) continue;
    if (!Allows(job.spec, *m->type, m->zone, m->spot) ||
        !usage_accounting().ZoneAllows(job, m->zone)) {
      continue;
    }
    Freed place;
    if (FreeOn(now, m.get(), job, tasks, &place)) places.push_back(std::move(place));
  }
  std::stable_sort(places.begin(), places.end(),
                   [](const Freed& a, const Freed& b) { return a.cost < b.cost; });
  return places;
}

// Room for the tasks that the guarantee is short of: where there is some it is kept, elsewhere what
// other teams run beyond theirs is stopped, what saves first, then what ran least. A team that
// takes stays within its guarantee and one that gives keeps its own, so no two take in turns.
void Sharing::Reclaim(Micros now, Job* job) {
  int missing = std::min(job->tasks_within_guarantee, job->remaining()) - job->placed;
  for (const auto& [id, m] : machine_table().machines()) {
    if (m->held_for == job) missing -= m->held_tasks;
  }
  if (missing <= 0 || reconciler().MayStillRun(*job) || !quota_checker().Allows(*job, 1)) return;
  auto& [stopped, since] = stopped_[static_cast<size_t>(job->team)];
  if (now - since >= kStopWindow) {
    stopped = 0;
    since = now;
  }
  const int64_t most =
      std::max(job->spec.need.cpu,
               static_cast<int64_t>(static_cast<double>(quota_checker().Guarantee(job->team).cpu) *
                                    options().reclaim_share));
  int tasks = 0, told = 0;
  for (const Freed& place : PlacesFor(now, *job, missing)) {
    if (missing <= 0) break;
    int64_t cpu = 0;
    bool whole = true;
    Micros save;
    for (const Allocation* o : place.victims) {
      cpu += o->need.cpu;
      // Another place may have used up what the team has beyond its guarantee.
      whole = whole && Beyond(o->team, o->need);
      save = std::max(save, o->job->spec.checkpoint_duration);
    }
    if (!whole || (cpu > 0 && stopped + cpu > most)) continue;
    for (Allocation* o : place.victims) {
      o->stop_requested = true;
      o->grace_period =
          o->job->spec.checkpoint_interval.count > 0 ? o->job->spec.checkpoint_duration : Micros{};
      Resources& r = stopping_[static_cast<size_t>(o->team)];
      r = r + o->need;
      ++told;
    }
    stopped += cpu;
    const int holds = std::min(place.tasks, missing);
    place.machine->held_for = job;
    place.machine->held_tasks = holds;
    place.machine->held_until = now + kKeepRoom + save;
    tasks += holds;
    missing -= holds;
    if (!place.victims.empty()) agent_client().SendStops(place.machine);
  }
  if (told > 0) {
    asker()->Debug("guarantee of " + job->spec.team + ": " + std::to_string(told) +
                   " tasks of others stopped for " + std::to_string(tasks) + " of " + job->spec.id);
  }
}

}  // namespace badgershore
