#include "core/leader/failure_detector.h"

#include <algorithm>

#include "core/leader/agent_client.h"
#include "core/leader/gang_scheduler.h"
#include "core/leader/heartbeat_handler.h"
#include "core/leader/machine_table.h"
#include "core/leader/reconciler.h"
#include "core/placement/autoscaler.h"

namespace badgershore {
namespace {

// The longest time between an answer and the agent's next heartbeat, in heartbeat intervals.
constexpr double kMaxHeartbeatIntervals = 1.25;
// How long an agent takes to reconnect to this leader after a stall, in addition to one heartbeat
// interval. Agents try other controllers after 4 s without an answer.
constexpr Micros kReconnectTime = Seconds(6);
constexpr Micros kHeartbeatDelivery = Seconds(1);

constexpr Micros kMaxPendingAge = Millis(1500);  // of a heartbeat whose answer is delayed

constexpr Micros kDefaultBootTime = Seconds(60);  // of machines of unknown type
constexpr Micros kBootMargin = Seconds(5);

// Unreconciled machines are released early if at most one machine in this many is unreconciled.
constexpr size_t kFewUnreconciled = 10;
constexpr size_t kVeryFewUnreconciled = 50;

constexpr Micros kCheckpointMargin = Seconds(3);  // between a checkpoint's end and preemption

// The leader receives no heartbeats at all if this many expected ones are missing, and for at least
// this long.
constexpr int kMissingHeartbeats = 8;
constexpr Micros kMinHeartbeatGap = Seconds(4);

}  // namespace

bool FailureDetector::ReceivesNoHeartbeats(Micros now) const {
  if (up_ == 0 || last_heartbeat_at_.count < 0 || now < grace_until_) return false;
  const Micros expected_gap = settings().heartbeat_interval.Scaled(1.0 * kMissingHeartbeats / up_);
  return now - last_heartbeat_at_ > std::max(kMinHeartbeatGap, expected_gap);
}

void FailureDetector::OnProcessStall(Micros now) {
  grace_until_ =
      now + settings().heartbeat_interval.Scaled(kMaxHeartbeatIntervals) + kReconnectTime;
  for (const auto& [id, machine] : machine_table().machines()) machine->missing_since = {-1};
}

void FailureDetector::Tick(Micros now) {
  // After a stall all machines seem unresponsive and their leases expired, although another leader
  // may have taken over. No task counts as ended until the state service has confirmed this
  // leader's lease.
  const bool holds_lease = election()->MayStart(now);
  const Liveness liveness = UpdateTypesAndCount(now);
  up_ = liveness.up;
  int probes = reconciler().ProbeUnreconciled(now);
  for (const auto& [id, machine] : machine_table().machines()) {
    CheckMachine(now, machine.get(), liveness, holds_lease, &probes);
  }
  machine_table().ExpireTombstones(now);
}

FailureDetector::Liveness FailureDetector::UpdateTypesAndCount(Micros now) const {
  const Micros contact_timeout = options().silent_probe;
  const Micros heartbeat_timeout = options().silent_probe + settings().heartbeat_interval;
  Liveness liveness;
  for (const auto& [id, machine] : machine_table().machines()) {
    machine_table().UpdateType(machine.get());
    if (machine->stage != MachineStage::kUp) continue;
    ++liveness.up;
    liveness.contacted += now - machine->last_contact_at < contact_timeout;
    liveness.heartbeating += now - machine->last_heartbeat_at < heartbeat_timeout;
  }
  return liveness;
}

void FailureDetector::CheckMachine(Micros now, Machine* machine, const Liveness& liveness,
                                   bool holds_lease, int* probes) {
  if (!machine->pending_heartbeats.empty() &&
      now - machine->heartbeats_pending_since > kMaxPendingAge) {
    heartbeat_handler().AnswerPending(now, machine);
  }
  if (holds_lease) ExpireAgentLease(now, machine);
  if (machine->stage == MachineStage::kBooting) return CheckBoot(now, machine);
  if (machine->stage != MachineStage::kUp) return;
  ProbeIfDue(now, machine, probes);
  if (const char* failure = FailureReason(now, *machine, liveness)) {
    scaler().RecordUnreachable(machine->zone, false, now);
    machine_table().ReleaseMachine(now, machine, failure);
    return;
  }
  if (machine->preemption_at) CheckpointBeforePreemption(now, machine);
}

void FailureDetector::ExpireAgentLease(Micros now, Machine* machine) {
  if (machine->agent_lease_until.count <= 0 || now <= machine->agent_lease_until) return;
  if (machine->allocations.empty() && machine->reconciled) return;
  outbox()->Info("machine " + machine->id + ": lease expired");
  machine_table().DropAllocations(now, machine);
  reconciler().MarkReconciled(now, machine, ReconciliationProof::kLeaseExpiry);
  machine->first_answered_at = {-1};
}

void FailureDetector::CheckBoot(Micros now, Machine* machine) {
  const Micros boot_time = machine->type ? machine->type->boot : kDefaultBootTime;
  const Micros timeout = boot_time.Scaled(options().boot_patience) + kBootMargin;
  if (now >= grace_until_ && now - machine->rented_at > timeout) {
    scaler().RecordUnreachable(machine->zone, true, now);
    machine_table().ReleaseMachine(now, machine, "boot timeout");
  }
}

void FailureDetector::ProbeIfDue(Micros now, Machine* machine, int* probes) {
  const bool is_unresponsive = now - machine->last_contact_at > options().silent_probe;
  if (machine->reconciled && !is_unresponsive) return;
  if (*probes >= AgentClient::kMaxProbesPerTick || !AgentClient::CanProbe(now, *machine)) return;
  ++*probes;
  agent_client().Probe(now, machine);
}

const char* FailureDetector::FailureReason(Micros now, const Machine& machine,
                                           const Liveness& liveness) const {
  if (now < grace_until_) return nullptr;
  if (IsUnreachableAfterFailover(now, machine, liveness))
    return "not reconciled: no answer in this term";
  // If the fault is probably this leader's, machines are released only after their agent's lease
  // has expired too: releasing them earlier would lose all running tasks.
  const Micros contact_timeout =
      options().silent_return +
      (liveness.IsMostlyUnresponsive() ? settings().agent_lease : settings().heartbeat_interval);
  if (now - machine.last_contact_at > contact_timeout) {
    return ReceivesAnswers(now, machine) ? "agent unreachable"
                                         : "agent unreachable since the term began";
  }
  // After two agent leases without heartbeats no task runs on the machine and none can be started.
  const Micros heartbeat_timeout = options().silent_return + settings().agent_lease.Scaled(2);
  if (liveness.IsMostlyHeartbeating() && now - machine.last_heartbeat_at > heartbeat_timeout) {
    return "no heartbeats, although probes are answered";
  }
  return nullptr;
}

// One unreachable machine blocks all jobs that may still run on it. If nearly all other machines
// have answered it is released early, since its removal by the cloud also reconciles it.
bool FailureDetector::IsUnreachableAfterFailover(Micros now, const Machine& machine,
                                                 const Liveness& liveness) const {
  if (machine.reconciled || ReceivesAnswers(now, machine)) return false;
  const size_t unreconciled = reconciler().unreconciled().size();
  const auto up = static_cast<size_t>(liveness.up);
  const bool is_one_of_few = unreconciled * kFewUnreconciled <= up;
  if (is_one_of_few && now - term_began_at() > options().resolve_wait) return true;
  const bool is_one_of_very_few = unreconciled * kVeryFewUnreconciled <= up;
  return is_one_of_very_few && machine.first_probed_at.count >= 0 &&
         now - machine.first_probed_at > options().resolve_soon;
}

// Whether the agent receives answers: it has sent a heartbeat of this term, or was answered so
// recently that its next heartbeat is still due. An agent that was answered long ago and has not
// sent a heartbeat of this term does not receive answers.
bool FailureDetector::ReceivesAnswers(Micros now, const Machine& machine) const {
  if (machine.sequence > 0) return true;
  if (machine.first_answered_at.count < 0) return false;
  return now - machine.first_answered_at <
         settings().heartbeat_interval.Scaled(kMaxHeartbeatIntervals) + kHeartbeatDelivery;
}

// Stops tasks with checkpoints just early enough to write one before the preemption, so that they
// lose no work.
void FailureDetector::CheckpointBeforePreemption(Micros now, Machine* machine) {
  std::map<std::string, Job*> gangs_to_checkpoint;  // by id; members write checkpoints together
  bool has_stops = false;
  for (auto& [key, allocation] : machine->allocations) {
    Job* job = allocation.job;
    if (allocation.stop_requested || allocation.exited() || !job) continue;
    if (job->spec.checkpoint_interval.count == 0) continue;
    const Micros checkpoint_duration = job->spec.checkpoint_duration;
    if (*machine->preemption_at - now > checkpoint_duration + kCheckpointMargin) continue;
    if (job->IsGang()) {
      gangs_to_checkpoint[job->spec.id] = job;
    } else {
      allocation.stop_requested = has_stops = true;
      allocation.grace_period = checkpoint_duration;
    }
  }
  if (has_stops) agent_client().SendStops(machine);
  for (const auto& [id, job] : gangs_to_checkpoint) {
    gang_scheduler().StopGang(now, job, job->spec.checkpoint_duration);
  }
}

}  // namespace badgershore
