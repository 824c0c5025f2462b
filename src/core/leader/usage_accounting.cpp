#include "core/leader/usage_accounting.h"

#include "core/leader/job_table.h"
#include "core/leader/machine_table.h"
#include "core/leader/quota_log.h"
#include "core/model/message_size.h"

namespace badgershore {
namespace {

// Resources that may be in use on the machine beyond its known allocations, of which the agent has
// confirmed `confirmed_use`. Zero for an unknown type.
Resources UncertainUse(const Machine& machine, const Resources& confirmed_use, int unknown_tasks) {
  if (!machine.type) return {};
  // Starts of an earlier leader may still arrive and take the resources of tasks that end
  // meanwhile.
  if (!machine.reconciled) return machine.type->Capacity();
  return unknown_tasks > 0 ? machine.type->Capacity() - confirmed_use : Resources{};
}

// What an exited task still uses: reports list it until the agent is told to forget it.
Resources UseAfterExit(const Allocation& allocation) { return {0, 0, 0, allocation.need.report}; }

}  // namespace

UsageAccounting::UsageAccounting(const LeaderContext* context)
    : LeaderComponent(context), teams_(settings().teams.size()) {}

Allocation* UsageAccounting::PlaceTask(Micros now, Machine* machine, Job* job, int task,
                                       uint64_t attempt) {
  TaskState& state = job->tasks[static_cast<size_t>(task)];
  state.stage = TaskStage::kPlaced;
  state.machine = machine;
  state.bound_at = now;
  state.attempt = attempt;
  if (!job->IsGang()) job->progressed_at = now;
  Allocation* allocation = AddAllocation(machine, {job->spec.id, task}, attempt, job);
  allocation->sent_epoch = machine->agent_epoch;
  allocation->sent_sequence = machine->sequence;
  machine->RecordImageUse(job->spec.image);
  machine->idle_since = {-1};
  if (job->IsGang()) machine->last_gang_at = now;
  quota_log().RecordPlacement(*job, task, *machine);
  return allocation;
}

Allocation* UsageAccounting::AddAllocation(Machine* machine, const TaskRef& ref, uint64_t attempt,
                                           Job* job) {
  auto [it, inserted] = machine->allocations.try_emplace({ref, attempt});
  Allocation& allocation = it->second;
  if (!inserted) {
    SubtractAllUse(machine, &allocation);
    allocation = Allocation{};
  }
  allocation.ref = ref;
  allocation.attempt = attempt;
  allocation.job = job;
  if (job) {
    allocation.need = job->spec.need;
    allocation.team = job->team;
    ++job->placed;
    ++job->zone_count[machine->zone];
  } else {
    allocation.need.report = MaxReportedTaskBytes(ref.job);
  }
  if (job && !job->IsGang() && !job->IsService()) {
    allocation.preemptible_priority = static_cast<int>(job->spec.priority);
  }
  AddUse(machine, &allocation);
  return &allocation;
}

void UsageAccounting::AddUse(Machine* machine, Allocation* allocation) {
  allocation->counted = true;
  const Resources& need = allocation->need;
  machine->used = machine->used + need;
  if (allocation->job && allocation->job->IsGang()) {
    allocation->counted_for_gangs = true;
    machine->gang_use = machine->gang_use + need;
  }
  TeamUse& team = teams_[allocation->team];
  team.used = team.used + need;
  if (allocation->preemptible_priority >= 0) {
    Resources& preemptible =
        team.preemptible[static_cast<size_t>(allocation->preemptible_priority)];
    preemptible = preemptible + need;
  }
  if (allocation->team < 0) AddUnknownTasks(machine, 1);
  RefreshUncertainUse(machine);
}

void UsageAccounting::SubtractUse(Machine* machine, Allocation* allocation) {
  if (!std::exchange(allocation->counted, false)) return;
  const Resources& need = allocation->need;
  machine->used = machine->used - need;
  SubtractGangUse(machine, allocation);
  if (std::exchange(allocation->confirmed, false)) {
    machine->confirmed_use = machine->confirmed_use - need;
  }
  TeamUse& team = teams_[allocation->team];
  team.used = team.used - need;
  if (allocation->preemptible_priority >= 0) {
    Resources& preemptible =
        team.preemptible[static_cast<size_t>(allocation->preemptible_priority)];
    preemptible = preemptible - need;
  }
  if (allocation->team < 0) AddUnknownTasks(machine, -1);
  RefreshUncertainUse(machine);
}

void UsageAccounting::SubtractAllUse(Machine* machine, Allocation* allocation) {
  SubtractUse(machine, allocation);
  if (allocation->exited()) machine->used = machine->used - UseAfterExit(*allocation);
}

void UsageAccounting::SubtractGangUse(Machine* machine, Allocation* allocation) {
  if (!std::exchange(allocation->counted_for_gangs, false)) return;
  machine->gang_use = machine->gang_use - allocation->need;
}

// `tasks` may be negative.
void UsageAccounting::AddUnknownTasks(Machine* machine, int tasks) {
  machines_with_unknown_tasks_ -= machine->unknown_tasks > 0;
  machine->unknown_tasks += tasks;
  machines_with_unknown_tasks_ += machine->unknown_tasks > 0;
}

void UsageAccounting::MarkConfirmed(Machine* machine, Allocation* allocation) {
  if (!allocation->counted || std::exchange(allocation->confirmed, true)) return;
  machine->confirmed_use = machine->confirmed_use + allocation->need;
  RefreshUncertainUse(machine);
}

void UsageAccounting::RefreshUncertainUse(Machine* machine) {
  const bool unbounded = !machine->type && (!machine->reconciled || machine->unknown_tasks > 0);
  const Resources uncertain_use =
      UncertainUse(*machine, machine->confirmed_use, machine->unknown_tasks);
  uncertain_use_ = uncertain_use_ - machine->uncertain_use + uncertain_use;
  machine->uncertain_use = uncertain_use;
  unbounded_machines_ +=
      static_cast<int>(unbounded) - static_cast<int>(machine->uncertain_use_unbounded);
  machine->uncertain_use_unbounded = unbounded;
}

void UsageAccounting::ReleaseFromJob(Allocation* allocation, const Machine& machine) {
  if (!allocation->job || allocation->exited()) return;
  Job* job = allocation->job;
  --job->placed;
  --job->zone_count[machine.zone];
  if (allocation->phase == TaskPhase::kRunning) --job->running;
}

void UsageAccounting::SetPhase(Allocation* allocation, TaskPhase phase) {
  if (allocation->job) {
    const bool was_running = allocation->phase == TaskPhase::kRunning;
    const bool is_running = phase == TaskPhase::kRunning;
    if (is_running && !was_running) ++allocation->job->running;
    if (!is_running && was_running) --allocation->job->running;
  }
  allocation->phase = phase;
}

void UsageAccounting::MarkExited(Machine* machine, Allocation* allocation, ExitReason reason) {
  ReleaseFromJob(allocation, *machine);
  SubtractUse(machine, allocation);
  allocation->phase = TaskPhase::kExited;
  allocation->exit_reason = reason;
  machine->used = machine->used + UseAfterExit(*allocation);
}

Allocations::iterator UsageAccounting::Remove(Machine* machine, Allocations::iterator it) {
  ReleaseFromJob(&it->second, *machine);
  SubtractAllUse(machine, &it->second);
  return machine->allocations.erase(it);
}

void UsageAccounting::RemoveAll(Machine* machine) {
  for (auto it = machine->allocations.begin(); it != machine->allocations.end();) {
    it = Remove(machine, it);
  }
}

void UsageAccounting::DetachJob(Machine* machine, const Job* job) {
  const auto [begin, end] = machine->AllocationsOf(job->spec.id);
  for (auto it = begin; it != end; ++it) {
    Allocation& allocation = it->second;
    if (allocation.job != job) continue;
    SubtractGangUse(machine, &allocation);
    allocation.job = nullptr;
  }
}

std::string UsageAccounting::VerifyCounts() const {
  Recount recount(settings().teams.size());
  for (const auto& [id, machine] : machine_table().machines()) {
    if (!RecountMachine(*machine, &recount)) return "use of machine " + id;
  }
  if (!(recount.uncertain_use == uncertain_use_)) return "uncertain use of all machines";
  std::string difference = VerifyTeams(recount);
  return difference.empty() ? VerifyJobs(&recount) : difference;
}

// Adds the machine to the recount. Returns false if the machine's own counts differ.
bool UsageAccounting::RecountMachine(const Machine& machine, Recount* recount) {
  Resources used;
  Resources gang_use;
  Resources confirmed_use;
  int unknown_tasks = 0;
  for (const auto& [key, allocation] : machine.allocations) {
    if (allocation.exited()) {
      used = used + UseAfterExit(allocation);
      continue;
    }
    used = used + allocation.need;
    if (allocation.job && allocation.job->IsGang()) gang_use = gang_use + allocation.need;
    if (allocation.confirmed) confirmed_use = confirmed_use + allocation.need;
    unknown_tasks += allocation.team < 0;
    TeamUse& team = recount->teams[allocation.team];
    team.used = team.used + allocation.need;
    if (allocation.preemptible_priority >= 0) {
      Resources& preemptible =
          team.preemptible[static_cast<size_t>(allocation.preemptible_priority)];
      preemptible = preemptible + allocation.need;
    }
    if (!allocation.job) continue;
    JobTasks& tasks = recount->jobs[allocation.job];
    ++tasks.placed;
    tasks.running += allocation.phase == TaskPhase::kRunning;
    ++tasks.by_zone[machine.zone];
  }
  recount->uncertain_use =
      recount->uncertain_use + UncertainUse(machine, confirmed_use, unknown_tasks);
  return used == machine.used && gang_use == machine.gang_use &&
         confirmed_use == machine.confirmed_use && unknown_tasks == machine.unknown_tasks;
}

std::string UsageAccounting::VerifyTeams(const Recount& recount) const {
  for (int team = -1; team < teams_.known_teams(); ++team) {
    const TeamUse& counted = recount.teams[team];
    const TeamUse& kept = teams_[team];
    if (counted.used == kept.used && counted.preemptible == kept.preemptible) continue;
    const std::string name =
        team < 0 ? "no team" : "team " + settings().teams[static_cast<size_t>(team)].name;
    return "use of " + name + ": " + std::to_string(kept.used.cpu) + " kept, " +
           std::to_string(counted.used.cpu) + " counted (millicores)";
  }
  return "";
}

std::string UsageAccounting::VerifyJobs(Recount* recount) const {
  for (const auto& [id, job] : job_table().jobs()) {
    const JobTasks& counted = recount->jobs[job.get()];
    bool same = counted.placed == job->placed && counted.running == job->running;
    for (const auto& [zone, tasks] : job->zone_count) {
      auto it = counted.by_zone.find(zone);
      same = same && tasks == (it == counted.by_zone.end() ? 0 : it->second);
    }
    if (!same) return "tasks of job " + id;
  }
  return "";
}

}  // namespace badgershore
