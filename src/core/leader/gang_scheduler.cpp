#include "core/leader/gang_scheduler.h"

#include <algorithm>

#include "core/leader/agent_client.h"
#include "core/leader/gang_placement.h"
#include "core/leader/gang_preemption.h"
#include "core/leader/gang_reservations.h"
#include "core/leader/job_table.h"
#include "core/leader/machine_table.h"
#include "core/leader/quota_checker.h"
#include "core/leader/quota_reservations.h"
#include "core/leader/reconciler.h"
#include "core/leader/usage_accounting.h"
#include "core/placement/autoscaler.h"

namespace badgershore {
namespace {

constexpr Micros kQuotaPreemptionInterval = Seconds(1);

}  // namespace

void GangScheduler::Tick(Micros now) {
  const GangOrder order = gang_queue().ComputeOrder(now);
  std::vector<Job*> waiting;
  quota_reservations().Clear();
  for (Job* gang : order.gangs) {
    const bool prioritized = order.IsPrioritized(gang);
    const bool was_unplaced = gang->placed == 0;
    AdvanceAttempt(now, gang);
    if (was_unplaced && gang->placed > 0) gang_queue().RecordStart(now, *gang, prioritized);
    if (gang->is_being_placed) {
      // Its other members are placed in the next ticks, which must not exceed the team's limit.
      quota_reservations().ReserveForPlacement(*gang, gang->remaining() - gang->placed);
      continue;
    }
    if (!NeedsMachines(now, *gang)) {
      gang_reservations().ReleaseReservation(gang);
    } else if (CheckGangQuota(now, gang, prioritized)) {
      waiting.push_back(gang);
    }
  }
  // Each gang's reservation looks at all machines with their tasks.
  for (Job* gang : reservation_budget_.Choose(waiting, machine_table().ScanCost() + 1)) {
    gang_reservations().ReserveFor(now, gang, order.IsPrioritized(gang));
  }
  PreemptForBlockedGang(now, waiting);
}

void GangScheduler::AdvanceAttempt(Micros now, Job* gang) {
  scaler().RecordGangDemand(gang->spec, now);
  if (gang->placed == 0) {
    // All members are known to have ended, so the next placement begins a new attempt.
    gang->gang_attempt = 0;
    gang->gang_attempt_ran = gang->gang_stopping = gang->is_being_placed = false;
    if (now >= gang->backoff_until && !reconciler().MayStillRun(*gang)) {
      gang_placement().Place(now, gang);
    }
    return;
  }
  if (gang->gang_stopping || gang->placed == gang->remaining()) return;
  // Some members are not placed yet, or a member is missing. If the gang has not run yet in this
  // attempt, the member is replaced. Otherwise a replacement could not join, and the remaining
  // members are stopped.
  if (gang->gang_attempt_ran) return StopGang(now, gang, {});
  if (!reconciler().MayStillRun(*gang)) gang_placement().Place(now, gang);
}

// No machines are reserved for a faulty gang, so that no other task is preempted for it.
bool GangScheduler::NeedsMachines(Micros now, const Job& gang) const {
  return gang.placed == 0 && now >= gang.backoff_until && !reconciler().MayStillRun(gang) &&
         !gang.IsFaulty();
}

// Whether the team's limit lets the gang run, now or after preemption of the team's tasks of lower
// priority. Reserves the quota that the gang waits for if it can start soon.
bool GangScheduler::CheckGangQuota(Micros now, Job* gang, bool prioritized) {
  const bool allowed = quota_checker().Allows(*gang, gang->remaining());
  const bool attainable =
      allowed || quota_checker().AllowsAfterPreemption(*gang, gang->remaining());
  if (attainable) {
    gang->quota_blocked_since = allowed ? kNever : std::min(gang->quota_blocked_since, now);
  } else {
    gang_reservations().ReleaseReservation(gang);  // its reserved machines would stay idle
    gang->quota_blocked_since = kNever;
  }
  // A prioritized gang also keeps its quota while its machines are being cleared. A gang that can't
  // start soon, for example beside services, keeps no quota from others.
  const bool waits = !allowed || prioritized;
  if (waits && (attainable || quota_reservations().AllowsSoon(now, *gang))) {
    quota_reservations().ReserveForWaiting(now, *gang);
  }
  return attainable;
}

// Preempts for one gang at a time: the first one that its team's limit has blocked for longer than
// the option limit_patience.
void GangScheduler::PreemptForBlockedGang(Micros now, const std::vector<Job*>& waiting) {
  if (now < next_quota_preemption_at_) return;
  next_quota_preemption_at_ = now + kQuotaPreemptionInterval;
  for (const Job* gang : waiting) {
    if (gang->quota_blocked_since < kNever &&
        now - gang->quota_blocked_since > options().limit_patience) {
      gang_preemption().PreemptForQuota(now, *gang);
      break;
    }
  }
}

void GangScheduler::StopGang(Micros now, Job* gang, Micros grace) {
  for (auto& [id, machine] : machine_table().machines()) {
    if (StopMembersOn(now, machine.get(), gang, grace)) agent_client().SendStops(machine.get());
  }
  gang->gang_stopping = true;
  gang->is_being_placed = false;
}

// Returns whether stops have to be sent to the machine.
bool GangScheduler::StopMembersOn(Micros now, Machine* machine, Job* gang, Micros grace) {
  bool has_stops = false;
  auto [it, end] = machine->AllocationsOf(gang->spec.id);
  while (it != end) {
    Allocation& allocation = it->second;
    if (allocation.job == gang && allocation.start_unsent) {
      const int task = allocation.ref.task;
      const uint64_t attempt = allocation.attempt;
      it = usage_accounting().Remove(machine, it);
      const TaskState& t = gang->tasks[static_cast<size_t>(task)];
      if (t.stage == TaskStage::kPlaced && t.machine == machine && t.attempt == attempt) {
        job_table().RequeueTask(now, gang, task, {});
      }
      continue;
    }
    if (allocation.job == gang && !allocation.exited() && !allocation.stop_requested) {
      allocation.stop_requested = true;
      allocation.grace_period = grace;
      has_stops = true;
    }
    ++it;
  }
  return has_stops;
}

void GangScheduler::Remove(Job* gang) { gang_reservations().ReleaseReservation(gang); }

}  // namespace badgershore
