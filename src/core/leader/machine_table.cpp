#include "core/leader/machine_table.h"

#include "core/leader/dispatch.h"
#include "core/leader/job_table.h"
#include "core/leader/provisioner.h"
#include "core/leader/reconciler.h"
#include "core/leader/record_writer.h"
#include "core/leader/usage_accounting.h"
#include "core/placement/guardrails.h"

namespace badgershore {
namespace {

constexpr Micros kTombstoneLifetime = Seconds(600);
// How long after its release the cloud may still list a machine, in list lags, plus a fixed margin.
constexpr double kReleaseRetryLags = 4;
constexpr Micros kReleaseRetryMargin = Seconds(10);

}  // namespace

Machine* MachineTable::Find(const std::string& id) const {
  auto it = machines_.find(id);
  return it == machines_.end() ? nullptr : it->second.get();
}

Machine* MachineTable::FindOrAdd(Micros now, const MachineRecord& record) {
  if (Machine* known = Find(record.id)) return known;
  auto machine = std::make_unique<Machine>();
  machine->id = record.id;
  machine->endpoint = record.endpoint;
  machine->type_name = record.type;
  machine->zone = record.zone;
  machine->spot = record.spot;
  machine->rented_at = now;
  machine->dispatched_work.assign(kSizeBuckets, 0.0);
  auto type = types().find(record.type);
  if (type != types().end()) machine->type = &type->second;
  return (machines_[record.id] = std::move(machine)).get();
}

void MachineTable::Load(Micros now, const MachineRecord& record) {
  Machine* machine = FindOrAdd(now, record);
  if (!machine->reconciled) return;
  machine->durable = true;
  machine->stage = MachineStage::kUp;
  machine->last_contact_at = machine->last_heartbeat_at = now;
  // An earlier leader may have extended the agent's lease for the longest time for which a leader
  // may do so without the state service.
  machine->agent_lease_until = now + (settings().cancel_deadline - settings().agent_lease) +
                               settings().agent_lease.Scaled(1 + kClockDrift);
  reconciler().MarkUnreconciled(machine);
}

bool MachineTable::IsReady(const Machine& machine, Micros now) const {
  // Starts are sent in heartbeat responses, so no task can be started on a machine without
  // heartbeats even if it answers direct calls.
  return machine.stage == MachineStage::kUp && machine.type && machine.reconciled &&
         !machine.draining && !machine.preemption_at &&
         now - machine.last_heartbeat_at < options().silent_probe + settings().heartbeat_interval &&
         now >= machine.start_backoff_until;
}

size_t MachineTable::ScanCost() const {
  size_t cost = machines_.size();
  for (const auto& [id, machine] : machines_) cost += machine->allocations.size();
  return cost;
}

void MachineTable::UpdateType(Machine* machine) {
  if (machine->type) return;
  auto type = types().find(machine->type_name);
  if (type == types().end()) return;
  machine->type = &type->second;
  usage_accounting().RefreshUncertainUse(machine);
}

void MachineTable::OnAllocationLost(Micros now, Machine* machine, const Allocation& allocation) {
  Job* job = allocation.job;
  if (!job || allocation.exited()) return;
  const TaskState& task = job->tasks[static_cast<size_t>(allocation.ref.task)];
  if (task.stage == TaskStage::kPlaced && task.machine == machine &&
      task.attempt == allocation.attempt) {
    job_table().RequeueTask(now, job, allocation.ref.task, {});
  }
}

void MachineTable::DropAllocations(Micros now, Machine* machine) {
  for (auto& [key, allocation] : machine->allocations) OnAllocationLost(now, machine, allocation);
  usage_accounting().RemoveAll(machine);
}

void MachineTable::Remove(Micros now, const std::string& id) {
  auto it = machines_.find(id);
  if (it == machines_.end()) return;
  Machine* machine = it->second.get();
  reconciler().MarkReconciled(now, machine, ReconciliationProof::kRemoval);
  dispatch().Unbind(machine);
  DropAllocations(now, machine);
  for (RequestId request_id : machine->pending_heartbeats) {
    outbox()->effects.heartbeat_responses.push_back({request_id, 503, "", 0, {}});
  }
  record_writer().RemoveMachine(now, id);
  tombstones_[id] = now;
  machines_.erase(it);
}

void MachineTable::ReleaseMachine(Micros now, Machine* machine, const std::string& reason) {
  if (machine->stage == MachineStage::kTerminating) return;
  // Without a confirmed lease another leader may be using the machine. Once the lease is confirmed,
  // the check that led here is repeated.
  if (!election()->MayStart(now)) return;
  outbox()->Info("releasing machine " + machine->id + " (" + machine->type_name +
                 (machine->spot ? ", spot" : "") + "): " + reason + ", held " +
                 std::to_string(static_cast<int>((now - machine->rented_at).ToSeconds())) + " s");
  dispatch().Unbind(machine);
  machine->stage = MachineStage::kTerminating;
  provisioner().RequestScaleIn(machine->id);
}

bool MachineTable::ShouldRetryRelease(Micros now, const std::string& id) {
  Micros& since = tombstones_.at(id);
  if (now - since <= settings().cloud_list_lag.Scaled(kReleaseRetryLags) + kReleaseRetryMargin) {
    return false;
  }
  since = now;
  return true;
}

void MachineTable::ExpireTombstones(Micros now) {
  for (auto it = tombstones_.begin(); it != tombstones_.end();) {
    it = now - it->second > kTombstoneLifetime ? tombstones_.erase(it) : std::next(it);
  }
}

}  // namespace badgershore
