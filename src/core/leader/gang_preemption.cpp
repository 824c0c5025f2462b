#include "core/leader/gang_preemption.h"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "core/leader/agent_client.h"
#include "core/leader/dispatch.h"
#include "core/leader/fair_share.h"
#include "core/leader/machine_table.h"
#include "core/leader/quota_checker.h"
#include "core/leader/runtime_forecast.h"

namespace badgershore {
namespace {

// Time until a checkpointed task runs again, which includes finding a machine and fetching the
// image.
constexpr Micros kRestartTime = Seconds(30);

// Cost of waiting for the end of a task that may not be preempted; higher than that of any
// preemption.
constexpr double kWaitForEndCost = 1e4;
constexpr double kWaitForEndFactor = 100;

// An allocation that may be preempted, and the run time that its preemption loses.
struct Victim {
  Micros lost;
  Machine* machine;
  Allocation* allocation;
};

bool LosesLess(const Victim& a, const Victim& b) { return a.lost < b.lost; }

void RequestStop(Allocation* allocation) {
  allocation->stop_requested = true;
  allocation->grace_period = allocation->job->spec.checkpoint_interval.count > 0
                                 ? allocation->job->spec.checkpoint_duration
                                 : Micros{};
}

}  // namespace

bool GangPreemption::MayPreempt(const Allocation& allocation, const Job& gang) const {
  if (!allocation.job || allocation.job->IsGang()) return false;
  if (allocation.job->spec.priority > gang.spec.priority) return true;
  // A team's guarantee takes precedence over other teams' use above their guarantees.
  return gang.IsGuaranteed() && allocation.team != gang.team && !allocation.job->IsService() &&
         fair_share().ExceedsGuaranteeWithout(allocation.team, allocation.need);
}

// A task with checkpoints loses only the time that a checkpoint and a restart take.
Micros GangPreemption::LostRunTime(Micros now, const Allocation& allocation) const {
  const Micros ran = std::max(
      Micros{}, now - allocation.job->tasks[static_cast<size_t>(allocation.ref.task)].bound_at);
  if (allocation.job->spec.checkpoint_interval.count == 0) return ran;
  return std::min(ran, allocation.job->spec.checkpoint_duration + kRestartTime);
}

std::optional<GangPreemption::Clearing> GangPreemption::PlanClearing(Micros now,
                                                                     const Machine& machine,
                                                                     const Job& gang,
                                                                     bool after_gangs) const {
  Resources kept = after_gangs ? Resources{} : machine.GangUse();
  Clearing clearing;
  for (const auto& [key, allocation] : machine.allocations) {
    if (allocation.exited() || (!after_gangs && allocation.job && allocation.job->IsGang()))
      continue;
    const auto cpu = static_cast<double>(allocation.need.cpu) / 1000;
    if (!allocation.job) {
      kept = kept + allocation.need;  // its job has ended, and it is being stopped
      continue;
    }
    const Micros remainder = ExpectedRemainder(now, allocation);
    if (MayPreempt(allocation, gang)) {
      clearing.cost += LostRunTime(now, allocation).ToSeconds() * cpu;
    } else if (remainder > MaxHold(now, gang, options().age_limit)) {
      kept = kept + allocation.need;
    } else {
      clearing.cost +=
          kWaitForEndCost + kWaitForEndFactor * cpu * std::max(1.0, remainder.ToSeconds());
    }
  }
  clearing.room = machine.type->Capacity() - kept;
  if (!gang.spec.need.Fits(clearing.room)) return std::nullopt;
  if (!machine.HasImage(gang.spec.image) && machine.type->fetch_gb_per_s > 0) {
    clearing.cost += gang.spec.image_gb / machine.type->fetch_gb_per_s *
                     static_cast<double>(gang.spec.need.cpu) / 1000;
  }
  return clearing;
}

void GangPreemption::PreemptForGang(Micros now, Machine* machine, const Job& gang) {
  const Resources need = gang.spec.need.Times(machine->reserved_members);
  Resources room = machine->type->Capacity() - machine->Used();
  std::vector<Victim> victims;
  for (auto& [key, allocation] : machine->allocations) {
    if (allocation.exited()) continue;
    if (allocation.stop_requested) {
      room = room + allocation.need;
    } else if (MayPreempt(allocation, gang)) {
      victims.push_back({LostRunTime(now, allocation), machine, &allocation});
    }
  }
  std::sort(victims.begin(), victims.end(), LosesLess);
  double lost = 0;
  int preempted = 0;
  for (const Victim& victim : victims) {
    if (need.Fits(room)) break;
    Allocation* allocation = victim.allocation;
    RequestStop(allocation);
    ++preempted;
    room = room + allocation->need;
    lost += victim.lost.ToSeconds() * static_cast<double>(allocation->need.cpu) / 1000;
  }
  if (preempted == 0) return;
  outbox()->Debug("preempted " + std::to_string(preempted) + " tasks on machine " + machine->id +
                  " for gang " + gang.spec.id + ", " + std::to_string(static_cast<int>(lost)) +
                  " CPU seconds lost");
  dispatch().Unbind(machine);
  agent_client().SendStops(machine);
}

void GangPreemption::PreemptForQuota(Micros now, const Job& gang) {
  // The gang's own reservation is part of the shortfall already, so its members aren't added again.
  Resources missing = quota_checker().Shortfall(gang, 0);
  std::vector<Victim> victims;
  for (const auto& [id, machine] : machine_table().machines()) {
    for (auto& [key, allocation] : machine->allocations) {
      if (allocation.exited() || allocation.team != gang.team) continue;
      if (allocation.stop_requested) {
        missing = missing - allocation.need;
      } else if (allocation.job &&
                 allocation.preemptible_priority > static_cast<int>(gang.spec.priority)) {
        victims.push_back({LostRunTime(now, allocation), machine.get(), &allocation});
      }
    }
  }
  std::stable_sort(victims.begin(), victims.end(), LosesLess);
  std::map<std::string, Machine*> affected;  // by id, since pointer order differs between runs
  for (const Victim& victim : victims) {
    if (missing.cpu <= 0 && missing.gpu <= 0) break;
    RequestStop(victim.allocation);
    missing = missing - victim.allocation->need;
    affected[victim.machine->id] = victim.machine;
  }
  for (auto& [id, machine] : affected) agent_client().SendStops(machine);
}

}  // namespace badgershore
