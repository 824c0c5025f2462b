#include "core/leader/heartbeat_processor.h"

#include "core/leader/dispatch.h"
#include "core/leader/failure_detector.h"
#include "core/leader/fault_attribution.h"
#include "core/leader/job_table.h"
#include "core/leader/machine_table.h"
#include "core/leader/usage_accounting.h"
#include "core/placement/guardrails.h"

namespace badgershore {
namespace {

// Delays before a task is retried that the agent rejected, or a service replica restarted.
constexpr Micros kServiceRestartDelay = Seconds(1);
constexpr Micros kUnknownTaskDelay = Seconds(3);
constexpr Micros kDuplicateTaskDelay = Seconds(1);
constexpr Micros kInsufficientResourcesBackoff = Seconds(2);  // for all starts on the machine

}  // namespace

bool HeartbeatProcessor::Process(Micros now, Machine* machine, const Heartbeat& heartbeat,
                                 HeartbeatSource source) {
  if (heartbeat.agent_epoch < machine->agent_epoch ||
      (heartbeat.agent_epoch == machine->agent_epoch && heartbeat.sequence <= machine->sequence)) {
    return false;
  }
  if (heartbeat.agent_epoch > machine->agent_epoch && machine->agent_epoch != 0) {
    EndAgentEpoch(now, machine);
  }
  RecordContact(now, machine, heartbeat, source);
  if (machine->stage == MachineStage::kBooting) MarkUp(now, machine);
  if (heartbeat.preemption_notice && !machine->preemption_at) {
    RecordPreemptionNotice(now, machine, *heartbeat.preemption_notice);
  }
  std::set<TaskKey> listed;
  for (const TaskStatus& status : heartbeat.tasks) {
    listed.insert({status.ref, status.attempt});
    ProcessTask(now, machine, status);
  }
  RemoveUnlisted(now, machine, heartbeat, source, listed);
  if (machine->GangUse().cpu > 0) machine->last_gang_at = now;
  UpdateIdleSince(now, machine);
  return true;
}

// A new agent epoch begins when the agent's lease has expired: all tasks of the old epoch have
// ended, and the agent rejects starts that were sent for it.
void HeartbeatProcessor::EndAgentEpoch(Micros now, Machine* machine) {
  for (auto it = machine->allocations.begin(); it != machine->allocations.end();) {
    if (it->second.start_unsent) {
      ++it;
      continue;
    }
    machine_table().OnAllocationLost(now, machine, it->second);
    it = usage_accounting().Remove(machine, it);
  }
  machine->images.clear();
}

void HeartbeatProcessor::RecordContact(Micros now, Machine* machine, const Heartbeat& heartbeat,
                                       HeartbeatSource source) {
  if (heartbeat.agent_epoch != machine->agent_epoch) machine->heartbeat_sequence = 0;
  machine->agent_epoch = heartbeat.agent_epoch;
  machine->sequence = heartbeat.sequence;
  machine->last_contact_at = now;
  if (source == HeartbeatSource::kAgent) {
    machine->last_heartbeat_at = now;
    failure_detector().RecordHeartbeat(now);
  }
  if (machine->endpoint.empty()) machine->endpoint = heartbeat.endpoint;
  if (machine->type_name.empty()) {
    machine->type_name = heartbeat.type;
    machine->zone = heartbeat.zone;
    machine->spot = heartbeat.spot;
  }
}

void HeartbeatProcessor::MarkUp(Micros now, Machine* machine) {
  machine->stage = MachineStage::kUp;
  std::vector<Machine*> peers;
  for (const auto& [id, peer] : machine_table().machines()) {
    if (peer.get() != machine && peer->stage == MachineStage::kUp) peers.push_back(peer.get());
  }
  InitializeDispatchedWork(machine, peers);
  outbox()->Info("machine " + machine->id + " (" + machine->type_name +
                 (machine->spot ? ", spot" : "") + "): up " +
                 std::to_string(static_cast<int>((now - machine->rented_at).ToSeconds())) +
                 " s after it was requested");
}

void HeartbeatProcessor::RecordPreemptionNotice(Micros now, Machine* machine, Micros notice) {
  machine->preemption_at = now + notice;
  dispatch().Unbind(machine);
  outbox()->Info("machine " + machine->id + ": preemption notice, " +
                 std::to_string(notice.ToSeconds()) + " s left");
}

Job* HeartbeatProcessor::FindJob(const TaskRef& ref) const {
  auto it = job_table().jobs().find(ref.job);
  if (it == job_table().jobs().end()) return nullptr;
  Job* job = it->second.get();
  return ref.task < 0 || ref.task >= job->spec.tasks ? nullptr : job;
}

void HeartbeatProcessor::ProcessTask(Micros now, Machine* machine, const TaskStatus& status) {
  auto it = machine->allocations.find({status.ref, status.attempt});
  Allocation* allocation = it != machine->allocations.end()
                               ? &it->second
                               : AddUnknownTask(now, machine, status, FindJob(status.ref));
  allocation->reported = true;
  allocation->start_unsent = false;
  if (allocation->exited()) return;
  if (status.phase == TaskPhase::kExited) {
    OnTaskExited(now, machine, allocation, status.exit_reason);
    return;
  }
  const bool running =
      status.phase == TaskPhase::kRunning || status.phase == TaskPhase::kCheckpointing;
  if (running && allocation->job && allocation->job->IsGang()) {
    RecordGangRunning(now, allocation->job);
  }
  usage_accounting().MarkConfirmed(machine, allocation);
  usage_accounting().SetPhase(allocation, status.phase);
}

// The task may have been started by an earlier leader, or by this one before it assumed that the
// agent's lease had expired.
Allocation* HeartbeatProcessor::AddUnknownTask(Micros now, Machine* machine,
                                               const TaskStatus& status, Job* job) {
  Allocation* allocation =
      usage_accounting().AddAllocation(machine, status.ref, status.attempt, job);
  if (!job) {
    allocation->stop_requested = true;
    return allocation;
  }
  if (status.phase == TaskPhase::kExited) return allocation;
  TaskState& task = job->tasks[static_cast<size_t>(status.ref.task)];
  const bool placed_elsewhere = task.stage == TaskStage::kPlaced && task.machine != nullptr;
  if (task.stage == TaskStage::kDone || placed_elsewhere) {
    allocation->stop_requested = true;
    return allocation;
  }
  if (task.stage == TaskStage::kQueued) --job->queued;
  task.stage = TaskStage::kPlaced;
  task.machine = machine;
  task.attempt = status.attempt;
  task.bound_at = now;
  if (job->IsGang()) job->gang_attempt = status.attempt;
  machine->RecordImageUse(job->spec.image);
  return allocation;
}

void HeartbeatProcessor::RecordGangRunning(Micros now, Job* gang) {
  gang->has_run = true;
  if (std::exchange(gang->gang_attempt_ran, true)) return;
  gang->progressed_at = now;
  outbox()->Debug("gang " + gang->spec.id + " running " +
                  std::to_string((now - gang->submitted_at).ToMillis()) + " ms after submission");
}

void HeartbeatProcessor::OnTaskExited(Micros now, Machine* machine, Allocation* allocation,
                                      ExitReason reason) {
  usage_accounting().MarkExited(machine, allocation, reason);
  Job* job = allocation->job;
  if (!job) return;
  const int task = allocation->ref.task;
  const TaskState& state = job->tasks[static_cast<size_t>(task)];
  const bool is_current = state.stage == TaskStage::kPlaced && state.machine == machine &&
                          state.attempt == allocation->attempt;
  if (reason == ExitReason::kDone) {
    fault_attribution().OnTaskDone(now, machine, job);
    job_table().MarkDone(now, job, task);
    if (job->IsService() && is_current)
      job_table().RequeueTask(now, job, task, kServiceRestartDelay);
    return;
  }
  Micros delay;
  if (reason == ExitReason::kError) {
    delay = OnTaskFailed(now, machine, job, task);
  } else if (reason == ExitReason::kInsufficientResources) {
    machine->start_backoff_until = now + kInsufficientResourcesBackoff;
  } else if (reason == ExitReason::kUnknownTask) {
    delay = kUnknownTaskDelay;
  } else if (reason == ExitReason::kDuplicateTask) {
    delay = kDuplicateTaskDelay;
  }
  if (is_current) job_table().RequeueTask(now, job, task, delay);
}

// Returns the delay before the task is retried.
Micros HeartbeatProcessor::OnTaskFailed(Micros now, Machine* machine, Job* job, int task) {
  outbox()->Debug("task " + job->spec.id + "/" + std::to_string(task) + " failed on " +
                  machine->id);
  const FaultAttribution::Attribution attribution =
      fault_attribution().OnTaskFailed(now, machine, job, task);
  if (attribution.machine_at_fault) {
    machine_table().ReleaseMachine(now, machine, "tasks keep failing");
  }
  return attribution.retry_delay;
}

void HeartbeatProcessor::RemoveUnlisted(Micros now, Machine* machine, const Heartbeat& heartbeat,
                                        HeartbeatSource source, const std::set<TaskKey>& listed) {
  for (auto it = machine->allocations.begin(); it != machine->allocations.end();) {
    Allocation& allocation = it->second;
    // If the agent's next heartbeat does not list a started task, the agent did not receive the
    // start and never will: it has one heartbeat in flight and drops late answers. The response to
    // a direct call proves nothing, since the start may still be in transit.
    const bool was_received =
        allocation.reported ||
        (source == HeartbeatSource::kAgent && heartbeat.sequence > allocation.sent_sequence);
    const bool is_gone = !allocation.start_unsent && !listed.count(it->first) && was_received;
    if (!is_gone) {
      ++it;
      continue;
    }
    machine_table().OnAllocationLost(now, machine, allocation);
    it = usage_accounting().Remove(machine, it);
  }
}

void HeartbeatProcessor::UpdateIdleSince(Micros now, Machine* machine) const {
  const bool is_idle = machine->allocations.empty() && machine->queue.empty();
  if (!is_idle) {
    machine->idle_since = {-1};
  } else if (machine->idle_since.count < 0) {
    machine->idle_since = now;
  }
}

}  // namespace badgershore
