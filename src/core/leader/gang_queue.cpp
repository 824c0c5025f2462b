#include "core/leader/gang_queue.h"

#include <algorithm>
#include <tuple>

#include "core/leader/job_table.h"

namespace badgershore {
namespace {

// Age at which an unstarted gang may get a priority turn, as a factor of the age limit.
constexpr double kPriorityTurnAgeFactor = 1.25;
// The next priority turn is due after this many starts of the team's other gangs or this much time.
constexpr int kStartsBetweenPriorityTurns = 2;
constexpr Micros kPriorityTurnInterval = Seconds(30);

// The age limit of a gang that has missed its start objective is longer by this factor.
constexpr int kLateAgeFactor = 3;

double TotalWork(const Job& job) {
  return static_cast<double>(job.spec.need.cpu) * job.spec.tasks *
         job.spec.estimated_runtime.ToSeconds();
}

}  // namespace

GangOrder GangQueue::ComputeOrder(Micros now) {
  GangOrder order;
  for (auto& [id, job] : job_table().jobs()) {
    if (job->IsGang() && !job->finishing) order.gangs.push_back(job.get());
  }
  for (const Job* job : order.gangs) {
    if (!order.prioritized.contains(job->team)) {
      order.prioritized[job->team] = PrioritizedGang(now, job->team, order.gangs);
    }
  }
  // Late gangs go after those that can still meet their objective. Otherwise every gang would be
  // late under overload.
  const auto key = [&](const Job* j) {
    const bool late = now > j->start_by;
    const bool aged = now - j->submitted_at > options().age_limit.Scaled(late ? kLateAgeFactor : 1);
    return std::make_tuple(!j->IsGuaranteed(), j->spec.priority, !order.IsPrioritized(j), !aged,
                           late, aged ? j->submitted_at : j->spec.estimated_runtime);
  };
  std::sort(order.gangs.begin(), order.gangs.end(),
            [&](const Job* a, const Job* b) { return key(a) < key(b); });
  return order;
}

void GangQueue::RecordStart(Micros now, const Job& gang, bool prioritized) {
  PriorityTurn& turn = priority_turns_[gang.team];
  turn.other_starts = prioritized ? 0 : turn.other_starts + 1;
  if (turn.other_starts == 0) turn.next_at = now + kPriorityTurnInterval;
}

// The team's unstarted gang with the most total work among those well past the age limit; null
// between two turns. Turns are spaced because under overload all gangs would be late if every aged
// gang were prioritized.
const Job* GangQueue::PrioritizedGang(Micros now, int team, const std::vector<Job*>& gangs) {
  PriorityTurn& turn = priority_turns_[team];
  if (turn.other_starts < kStartsBetweenPriorityTurns && now < turn.next_at) return nullptr;
  const Job* best = nullptr;
  for (const Job* j : gangs) {
    if (j->team != team || j->IsFaulty() || j->placed > 0 || j->has_run) continue;
    if (now - j->submitted_at < options().age_limit.Scaled(kPriorityTurnAgeFactor)) continue;
    if (j->spec.id == turn.job_id) return j;  // it keeps its turn and thereby its reservation
    if (!best || TotalWork(*j) > TotalWork(*best) ||
        (TotalWork(*j) == TotalWork(*best) && j->submitted_at < best->submitted_at)) {
      best = j;
    }
  }
  turn.job_id = best ? best->spec.id : "";
  return best;
}

}  // namespace badgershore
