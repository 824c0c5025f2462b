// Gangs: all members at once or none.
#include "core/leader/gangs.h"

#include "core/leader/agent_client.h"
#include "core/leader/dispatch.h"
#include "core/leader/job_table.h"
#include "core/leader/machine_table.h"
#include "core/leader/quota_checker.h"
#include "core/leader/quota_reservations.h"
#include "core/leader/reconciler.h"
#include "core/leader/sharing.h"
#include "core/leader/usage_accounting.h"
#include "core/placement/autoscale.h"

namespace badgershore {
namespace {

// A task that saved runs on after it has found a place, and its image, again.
constexpr Micros kRestart = Seconds(30);

// When a gang that has not begun may go before its turn, as a part of the age limit; and so many
// others of its team, or so long, come between two of them.
constexpr double kPressAfter = 1.25;
constexpr int kOthersBetween = 2;
constexpr Micros kPressEvery = Seconds(30);

}  // namespace

void Gangs::Tick(Micros now) {
  std::vector<Job*> gangs;
  for (auto& [id, job] : job_table().jobs()) {
    if (job->IsGang() && !job->finishing) gangs.push_back(job.get());
  }
  // As in the machines' queues: by rank, then the smallest estimate, but the aged before all. What
  // can't start in time any more goes after what can, or in a day of too many gangs every one
  // would be late; it ages all the same, three times as slowly.
  std::map<int, const Job*> pressed;  // by team
  for (const Job* job : gangs) {
    if (!pressed.contains(job->team)) pressed[job->team] = Pressed(now, job->team, gangs);
  }
  const auto order = [&](const Job* j) {
    const bool late = now > j->start_by;
    const bool aged = now - j->submitted_at > options().age_limit.Scaled(late ? 3 : 1);
    return std::make_tuple(!j->IsGuaranteed(), j->spec.priority, pressed.at(j->team) != j, !aged,
                           late, aged ? j->submitted_at : j->spec.estimated_runtime);
  };
  std::sort(gangs.begin(), gangs.end(),
            [&](const Job* a, const Job* b) { return order(a) < order(b); });
  waiting_.clear();
  quota_reservations().Clear();
  for (Job* job : gangs) {
    const bool waited = job->placed == 0;
    Follow(now, job);
    if (waited && job->placed > 0) {
      Turn& turn = turns_[job->team];
      turn.others = pressed.at(job->team) == job ? 0 : turn.others + 1;
      if (turn.others == 0) turn.at = now + kPressEvery;
    }
    // For one that fails wherever it starts nothing else is stopped.
    if (job->placed > 0 || now < job->backoff_until || reconciler().MayStillRun(*job) ||
        job->IsFaulty()) {
      Release(job);
      continue;
    }
    const bool allowed = quota_checker().Allows(*job, job->remaining());
    if (!allowed && !quota_checker().AllowsAfterPreemption(*job, job->remaining())) {
      Release(job);  // what is kept for it would stand empty
      job->quota_blocked_since = kNever;
    } else {
      waiting_.push_back(job);
      job->quota_blocked_since = allowed ? kNever : std::min(job->quota_blocked_since, now);
    }
    // One that goes before its turn keeps its part while its machines are being cleared, too.
    if (!allowed || pressed.at(job->team) == job)
      quota_reservations().Reserve(*job, job->remaining());
  }
  for (Job* job : waiting_) ReserveFor(now, job, pressed.at(job->team) == job);
  if (now >= limit_look_at_) {
    limit_look_at_ = now + Seconds(1);
    for (Job* job : waiting_) {
      if (job->quota_blocked_since < kNever &&
          now - job->quota_blocked_since > options().limit_patience) {
        MakeLimitRoom(now, *job);
        break;
      }
    }
  }
}

// Smallest first, and those that are late after those that are not, leaves the largest waiting for
// as long as others come. Of a team's gangs that have not begun well past the age limit the one
// with the most work goes first, but not before some others have gone: were it all of them, on a
// day of too many every one would be late.
const Job* Gangs::Pressed(Micros now, int team, const std::vector<Job*>& gangs) {
  Turn& turn = turns_[team];
  if (turn.others < kOthersBetween && now < turn.at) return nullptr;
  const auto work = [](const Job* j) {
    return static_cast<double>(j->spec.need.cpu) * j->spec.tasks *
           j->spec.estimated_runtime.ToSeconds();
  };
  const Job* best = nullptr;
  for (const Job* j : gangs) {
    if (j->team != team || j->IsFaulty() || j->placed > 0 || j->has_run) continue;
    if (now - j->submitted_at < options().age_limit.Scaled(kPressAfter)) continue;
    if (j->spec.id == turn.whose) return j;  // what is kept for it stays kept
    if (!best || work(j) > work(best) ||
        (work(j) == work(best) && j->submitted_at < best->submitted_at)) {
      best = j;
    }
  }
  turn.whose = best ? best->spec.id : "";
  return best;
}

void Gangs::Halt(Micros now, Job* job, Micros grace) {
  // All members are told at once: the save counts only within the peers' patience.
  for (auto& [id, m] : machine_table().machines()) {
    bool any = false;
    for (auto it = m->allocations.begin(); it != m->allocations.end();) {
      Allocation& o = it->second;
      if (o.job == job && o.start_unsent) {
        const int task = o.ref.task;
        const uint64_t attempt = o.attempt;
        it = usage_accounting().Remove(m.get(), it);
        const TaskState& t = job->tasks[static_cast<size_t>(task)];
        if (t.stage == TaskStage::kPlaced && t.machine == m.get() && t.attempt == attempt) {
          job_table().TaskBack(now, job, task, {});
        }
        continue;
      }
      if (o.job == job && !o.exited() && !o.stop_requested) {
        o.stop_requested = true;
        o.grace_period = grace;
        any = true;
      }
      ++it;
    }
    if (any) agent_client().SendStops(m.get());
  }
  job->gang_stopping = true;
}

void Gangs::Follow(Micros now, Job* job) {
  scaler().NoteGang(job->spec, now);
  if (job->placed == 0) {
    // Every member is proved gone; the next attempt is a new one.
    job->gang_attempt = 0;
    job->gang_attempt_ran = job->gang_stopping = false;
    if (now >= job->backoff_until && !reconciler().MayStillRun(*job)) Place(now, job);
    return;
  }
  if (job->gang_stopping || job->placed == job->remaining()) return;
  // A member is missing. Before the gang has run, a replacement completes it; afterwards the
  // others have nothing to wait for.
  if (job->gang_attempt_ran) return Halt(now, job, {});
  if (!reconciler().MayStillRun(*job)) Place(now, job);
}

bool Gangs::MayStop(const Allocation& o, const Job& gang) const {
  if (!o.job || o.job->IsGang()) return false;
  if (o.job->spec.priority > gang.spec.priority) return true;
  // Its team's guarantee goes before what others have beyond theirs.
  return gang.IsGuaranteed() && o.team != gang.team && !o.job->IsService() &&
         sharing().Beyond(o.team, o.need);
}

// What a task has run for and loses when it is stopped: one that saves loses the time that its
// saving and starting anew take.
Micros Gangs::LostBy(Micros now, const Allocation& o) const {
  const Micros ran =
      std::max(Micros{}, now - o.job->tasks[static_cast<size_t>(o.ref.task)].bound_at);
  if (o.job->spec.checkpoint_interval.count == 0) return ran;
  return std::min(ran, o.job->spec.checkpoint_duration + kRestart);
}

void Gangs::Stop(Allocation* o) {
  o->stop_requested = true;
  o->grace_period =
      o->job->spec.checkpoint_interval.count > 0 ? o->job->spec.checkpoint_duration : Micros{};
}

// Where a team's limit keeps a gang waiting, work of lower rank of the same team ends for it: most
// ends by itself, since no more of it starts; what is missing still is stopped, what ran least
// first.
void Gangs::MakeLimitRoom(Micros now, const Job& gang) {
  // What the gang itself claims is not missing.
  Resources missing = quota_checker().Shortfall(gang, 0);
  struct Choice {
    Micros lost;
    Machine* machine;
    Allocation* o;
  };
  std::vector<Choice> choices;
  for (const auto& [id, m] : machine_table().machines()) {
    for (auto& [key, o] : m->allocations) {
      if (o.exited() || o.team != gang.team) continue;
      if (o.stop_requested) {
        missing = missing - o.need;
      } else if (o.job && o.preemptible_priority > static_cast<int>(gang.spec.priority)) {
        choices.push_back({LostBy(now, o), m.get(), &o});
      }
    }
  }
  std::stable_sort(choices.begin(), choices.end(),
                   [](const Choice& a, const Choice& b) { return a.lost < b.lost; });
  std::map<std::string, Machine*> told;  // by id: the order of addresses differs between runs
  for (const Choice& c : choices) {
    if (missing.cpu <= 0 && missing.gpu <= 0) break;
    Stop(c.o);
    missing = missing - c.o->need;
    told[c.machine->id] = c.machine;
  }
  for (auto& [id, m] : told) agent_client().SendStops(m);
}

// What it costs, in CPU seconds, that the gang's member has this machine; nothing where it can't.
std::optional<double> Gangs::CostToClear(Micros now, const Machine& m, const Job& gang,
                                         bool after_gangs) const {
  Resources kept = after_gangs ? Resources{} : m.GangUse();
  double cost = 0;
  for (const auto& [key, o] : m.allocations) {
    if (o.exited() || (!after_gangs && o.job && o.job->IsGang())) continue;
    const auto cpu = static_cast<double>(o.need.cpu) / 1000;
    if (!o.job) {
      kept = kept + o.need;  // of a job that is over, and on its way out
      continue;
    }
    const TaskState& t = o.job->tasks[static_cast<size_t>(o.ref.task)];
    const double ran = std::max(0.0, (now - t.bound_at).ToSeconds());
    if (MayStop(o, gang)) {
      cost += LostBy(now, o).ToSeconds() * cpu;
    } else if (o.job->IsService()) {
      kept = kept + o.need;
    } else {
      // It may not be stopped: the gang waits for its end, which is worse than any loss.
      cost += 1e4 + 100 * cpu * std::max(1.0, o.job->spec.estimated_runtime.ToSeconds() - ran);
    }
  }
  if (!gang.spec.need.Fits(m.type->size - kept)) return std::nullopt;
  if (!m.HasImage(gang.spec.image) && m.type->fetch_gb_per_s > 0) {
    cost += gang.spec.image_gb / m.type->fetch_gb_per_s * static_cast<double>(gang.spec.need.cpu) /
            1000;
  }
  return cost;
}

// Even spreading leaves no machine empty enough for a gang. Where a gang waits and the fleet could
// hold all of it, the machines that lose least by it are kept for it, all or none: two gangs that
// each hold half of what they need would wait for each other. Work of lower rank makes way at
// once and runs again elsewhere.
//
// For one that goes before its turn (`pressed`) machines on which other gangs run are kept, too,
// those that end soonest: where all are taken, as many as it needs are never free at one time.
// Until they are, work of lower rank runs on in that room.
void Gangs::ReserveFor(Micros now, Job* gang, bool pressed) {
  if (!election()->MayStart(now)) return;
  const auto open_on = [&](const Machine& m) {
    return pressed ? m.type->size : m.type->size - m.GangUse();
  };
  struct Choice {
    Machine* machine;
    double cost;
  };
  std::vector<std::string> zones{""};
  if (gang->spec.same_zone) zones = settings().zones;
  std::vector<Choice> chosen;
  double least = 0;
  for (const std::string& only : zones) {
    std::vector<Choice> choices;
    for (auto& [id, m] : machine_table().machines()) {
      if (!machine_table().IsReady(*m, now) || !Allows(gang->spec, *m->type, m->zone, m->spot))
        continue;
      if ((!only.empty() && m->zone != only) || (m->reserved_for && m->reserved_for != gang))
        continue;
      std::optional<double> cost = CostToClear(now, *m, *gang, pressed);
      if (!cost) continue;
      // What was chosen before stays chosen: its tasks have been stopped already.
      if (m->reserved_for == gang) *cost = -1;
      if (m->failed_jobs.count(gang->spec.id)) *cost += 1e6;
      choices.push_back({m.get(), *cost});
    }
    std::sort(choices.begin(), choices.end(),
              [](const Choice& a, const Choice& b) { return a.cost < b.cost; });
    std::map<std::string, int> in_zone;
    std::vector<Choice> taken;
    int members = 0;
    double sum = 0;
    for (const Choice& c : choices) {
      if (members >= gang->remaining()) break;
      int& here = in_zone[c.machine->zone];
      if (gang->spec.spread && here >= (gang->spec.tasks + 1) / 2) continue;
      const auto holds = static_cast<int>(std::min<int64_t>(
          open_on(*c.machine).Holds(gang->spec.need), gang->remaining() - members));
      members += holds;
      here += holds;
      sum += c.cost;
      taken.push_back(c);
    }
    if (members < gang->remaining()) continue;
    if (chosen.empty() || sum < least) {
      chosen = taken;
      least = sum;
    }
  }
  Release(gang);
  gang->has_reservation = !chosen.empty();
  int members = 0;
  bool later = false;
  for (const Choice& c : chosen) {
    Machine* m = c.machine;
    m->reserved_for = gang;
    m->reserved_members = static_cast<int>(
        std::min<int64_t>(open_on(*m).Holds(gang->spec.need), gang->remaining() - members));
    members += m->reserved_members;
    later |= !gang->spec.need.Times(m->reserved_members).Fits(m->type->size - m->GangUse());
  }
  for (const Choice& c : chosen) {
    c.machine->reserved_after_gangs = later;
    if (!later) MakeWay(now, c.machine, *gang);
  }
}

void Gangs::Release(Job* gang) {
  if (!std::exchange(gang->has_reservation, false)) return;
  for (auto& [id, m] : machine_table().machines()) {
    if (m->reserved_for != gang) continue;
    m->reserved_for = nullptr;
    m->reserved_members = 0;
  }
}

// Stops what of lower rank stands in the way, that which has run least first.
void Gangs::MakeWay(Micros now, Machine* m, const Job& gang) {
  const Resources need = gang.spec.need.Times(m->reserved_members);
  Resources room = m->type->size - m->Used();
  std::vector<std::pair<Micros, Allocation*>> stoppable;
  for (auto& [key, o] : m->allocations) {
    if (o.exited()) continue;
    if (o.stop_requested) {
      room = room + o.need;
    } else if (MayStop(o, gang)) {
      stoppable.emplace_back(LostBy(now, o), &o);
    }
  }
  std::sort(stoppable.begin(), stoppable.end(),
            [](const auto& a, const auto& b) { return a.first < b.first; });
  double lost = 0;
  bool any = false;
  for (auto& [loss, o] : stoppable) {
    if (need.Fits(room)) break;
    Stop(o);
    any = true;
    room = room + o->need;
    lost += loss.ToSeconds() * static_cast<double>(o->need.cpu) / 1000;
  }
  if (!any) return;
  asker()->Debug("clearing " + m->id + " for gang " + gang.spec.id + ", " +
                 std::to_string(static_cast<int>(lost)) + " CPU seconds lost");
  dispatch().Unbind(m);
  agent_client().SendStops(m);
}

// A member that left a gang still gathering (`alone`, refused) is replaced under the same attempt.
// Until its worker has forgotten that attempt, the same machine can't take it again: a start would
// do nothing there, and here the new member would be counted under the old one's entry, which has
// exited. Elsewhere its image would have to be fetched once more, so it is waited for.
bool Gangs::AwaitsClear(Micros now, const Job& job, const std::vector<int>& members) const {
  for (const auto& [id, m] : machine_table().machines()) {
    if (!machine_table().IsReady(*m, now)) continue;
    for (int task : members) {
      if (m->allocations.contains({{job.spec.id, task}, job.gang_attempt})) return true;
    }
  }
  return false;
}

bool Gangs::Place(Micros now, Job* job) {
  std::vector<int> members;
  for (int i = 0; i < job->spec.tasks; ++i) {
    if (job->tasks[static_cast<size_t>(i)].stage == TaskStage::kWaiting) members.push_back(i);
  }
  if (members.empty() || !quota_checker().Allows(*job, static_cast<int>(members.size())))
    return false;
  if (job->gang_attempt != 0 && AwaitsClear(now, *job, members)) return false;
  struct Room {
    Machine* machine;
    Resources free;
  };
  std::vector<std::string> zones{""};
  if (job->spec.same_zone) zones = settings().zones;
  for (const std::string& only : zones) {
    std::vector<Room> rooms;
    for (auto& [id, m] : machine_table().machines()) {
      if (!machine_table().IsReady(*m, now) || !Allows(job->spec, *m->type, m->zone, m->spot))
        continue;
      if (!only.empty() && m->zone != only) continue;
      if (!usage_accounting().ZoneAllows(*job, m->zone) ||
          (m->reserved_for && m->reserved_for != job))
        continue;
      rooms.push_back({m.get(), dispatch().RoomFor(*m, *job, m->Used(), now)});
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
    if (job->gang_attempt == 0) job->gang_attempt = usage_accounting().NextAttempt();
    for (size_t k = 0; k < members.size(); ++k) {
      usage_accounting()
          .PlaceTask(now, chosen[k], job, members[k], job->gang_attempt)
          ->start_unsent = true;
    }
    Release(job);
    asker()->Debug("gang " + job->spec.id + " placed on " + chosen[0]->id + " after " +
                   std::to_string((now - job->submitted_at).ToMillis()) + " ms");
    return true;
  }
  return false;
}

void Gangs::Forget(Job* job) {
  Release(job);
  waiting_.erase(std::remove(waiting_.begin(), waiting_.end(), job), waiting_.end());
}

}  // namespace badgershore
