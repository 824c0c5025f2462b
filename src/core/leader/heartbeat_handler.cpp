#include "core/leader/heartbeat_handler.h"

#include "core/leader/agent_client.h"
#include "core/leader/dispatch.h"
#include "core/leader/heartbeat_processor.h"
#include "core/leader/job_table.h"
#include "core/leader/machine_table.h"
#include "core/leader/reconciler.h"
#include "core/leader/record_writer.h"

namespace badgershore {
namespace {

// Allows for rounding and for the time between computing an answer and sending it.
constexpr Micros kAgentLeaseMargin = Millis(200);
// An agent that still sends the old term this long after it was answered does not receive answers.
// In heartbeat intervals, plus a fixed margin.
constexpr double kUnknownTermIntervals = 2.5;
constexpr Micros kUnknownTermMargin = Seconds(4);

}  // namespace

// Only answers with starts have a time limit: the process may be paused between deciding on a start
// and sending it.
Micros HeartbeatHandler::ValidUntil(const std::vector<Command>& commands) const {
  return HasStarts(commands) ? authority().start_until() : kNever;
}

HeartbeatHandler::Outcome HeartbeatHandler::Handle(Micros now, RequestId request_id,
                                                   const Heartbeat& heartbeat,
                                                   std::vector<Command>* commands) {
  if (!authority().MayAnswerHeartbeats(now)) return Outcome::kReject;
  CommandBatch batch(commands);
  // Duplicate heartbeats can arrive late, even for removed machines. A machine's state must not
  // change before the heartbeat is known to be the agent's latest.
  if (machine_table().IsTombstoned(heartbeat.machine)) return Outcome::kSuperseded;
  Machine* machine = machine_table().Find(heartbeat.machine);
  if (machine && machine->IsSuperseded(heartbeat)) return Outcome::kSuperseded;
  // Starts are sent only to agents that have seen this term, since those reject commands of earlier
  // leaders.
  if (heartbeat.fencing_token != election()->term()) {
    return AnswerUnknownTerm(now, heartbeat, &batch);
  }
  if (!machine) {
    machine = machine_table().FindOrAdd(now, {heartbeat.machine, heartbeat.endpoint, heartbeat.type,
                                              heartbeat.zone, heartbeat.spot});
  }
  ExtendAgentLease(now, machine);
  const bool fresh =
      heartbeat_processor().Process(now, machine, heartbeat, HeartbeatSource::kAgent);
  machine->heartbeat_sequence = heartbeat.sequence;
  machine->connection = heartbeat.connection;
  machine->first_answered_at = {-1};
  if (!fresh) {  // a direct call has returned newer state
    AgentClient::AddStops(*machine, &batch);
    return Outcome::kAnswer;
  }
  reconciler().MarkReconciled(now, machine, ReconciliationProof::kHeartbeat);
  if (!machine->durable && authority().MayStart(now)) {
    record_writer().PersistMachine(now, machine);
    AddPending(now, machine, request_id);
    record_writer().WriteBatch(now);
    return Outcome::kAnswerLater;
  }
  AnswerPending(now, machine);  // older heartbeats, whose answers the agent no longer awaits
  AddCommands(now, machine, &batch);
  if (batch.empty() && ShouldDelayAnswer(now, *machine)) {
    AddPending(now, machine, request_id);
    return Outcome::kAnswerLater;
  }
  // A user may be waiting for the job to finish, so its end is written at once.
  if (record_writer().HasPendingJobEnds()) record_writer().WriteBatch(now);
  return Outcome::kAnswer;
}

void HeartbeatHandler::AddPending(Micros now, Machine* machine, RequestId request_id) const {
  machine->pending_heartbeats.push_back(request_id);
  machine->heartbeats_pending_since = now;
}

void HeartbeatHandler::ExtendAgentLease(Micros now, Machine* machine) const {
  machine->agent_lease_until =
      std::max(machine->agent_lease_until,
               now + settings().agent_lease.Scaled(1 + kClockDrift) + kAgentLeaseMargin);
}

// The age of such a heartbeat is unknown, so its state is not applied. The answer tells the agent
// the new term and stops its tasks of finished jobs; otherwise leaders that follow each other
// quickly could extend the lease of those tasks again and again. An agent that keeps sending the
// old term does not receive the answers. It is rejected after a while, so that its lease expires.
HeartbeatHandler::Outcome HeartbeatHandler::AnswerUnknownTerm(Micros now,
                                                              const Heartbeat& heartbeat,
                                                              CommandBatch* batch) {
  if (Machine* machine = machine_table().Find(heartbeat.machine)) {
    if (now > machine->agent_lease_until) {
      // The failure detector has yet to drop the allocations of the expired lease.
      if (!machine->reconciled || !machine->allocations.empty()) return Outcome::kReject;
      machine->first_answered_at = now;
    }
    if (machine->first_answered_at.count < 0) machine->first_answered_at = now;
    if (now - machine->first_answered_at >
        settings().heartbeat_interval.Scaled(kUnknownTermIntervals) + kUnknownTermMargin) {
      return Outcome::kReject;
    }
    ExtendAgentLease(now, machine);
  }
  for (const TaskStatus& task : heartbeat.tasks) {
    if (task.phase != TaskPhase::kExited && !job_table().jobs().contains(task.ref.job)) {
      if (!batch->Add({Command::Verb::kStop, task.ref, task.attempt, {}})) break;
    }
  }
  return Outcome::kAnswer;
}

void HeartbeatHandler::RejectPending() {
  for (const auto& [id, machine] : machine_table().machines()) {
    for (const RequestId request_id : std::exchange(machine->pending_heartbeats, {})) {
      outbox()->effects.heartbeat_responses.push_back({request_id, 503, "", 0, {}});
    }
  }
}

// The answer to an idle machine is delayed for a while. New tasks then start on it at once instead
// of with its next heartbeat, seconds later.
bool HeartbeatHandler::ShouldDelayAnswer(Micros now, const Machine& machine) const {
  return options().hold_checkin.count > 0 && machine.durable && machine.allocations.empty() &&
         machine.queue.empty() && !machine.preemption_at && machine_table().IsReady(machine, now) &&
         authority().MayStart(now);
}

void HeartbeatHandler::AnswerReady(Micros now) {
  for (const auto& [id, machine] : machine_table().machines()) {
    if (machine->pending_heartbeats.empty() || !machine->durable) continue;
    if (machine->allocations.empty() && machine->queue.empty() &&
        now - machine->heartbeats_pending_since < options().hold_checkin) {
      continue;
    }
    AnswerPending(now, machine.get());
  }
}

void HeartbeatHandler::AnswerPending(Micros now, Machine* machine) {
  const std::vector<RequestId>& pending = machine->pending_heartbeats;
  for (size_t i = 0; i < pending.size(); ++i) {
    HeartbeatResponse answer;
    answer.request_id = pending[i];
    answer.status = 200;
    answer.fencing_token = election()->term();
    // The agent may have given up waiting for all but the newest request.
    if (i + 1 == pending.size()) {
      CommandBatch batch(&answer.commands);
      AddCommands(now, machine, &batch);
    }
    answer.valid_until = ValidUntil(answer.commands);
    outbox()->effects.heartbeat_responses.push_back(std::move(answer));
  }
  machine->pending_heartbeats.clear();
}

void HeartbeatHandler::AddForgets(const Machine& machine, CommandBatch* batch) const {
  for (const auto& [key, allocation] : machine.allocations) {
    if (!allocation.exited()) continue;
    // The agent may forget a completion only once the leader's record of it is durable.
    const bool completion_unrecorded =
        allocation.exit_reason == ExitReason::kDone && allocation.job &&
        !allocation.job->IsService() &&
        !allocation.job->tasks[static_cast<size_t>(allocation.ref.task)].durable;
    if (completion_unrecorded) continue;
    if (!batch->Add({Command::Verb::kForget, allocation.ref, allocation.attempt, {}})) return;
  }
}

void HeartbeatHandler::AddReservedStarts(Machine* machine, CommandBatch* batch) const {
  for (auto& [key, allocation] : machine->allocations) {
    if (!allocation.start_unsent || !allocation.job || allocation.job->cancel_pending) continue;
    if (!batch->Add({Command::Verb::kStart, allocation.ref, allocation.attempt, {}})) return;
    allocation.start_unsent = false;
    allocation.sent_epoch = machine->agent_epoch;
    allocation.sent_sequence = machine->sequence;
  }
}

void HeartbeatHandler::AddCommands(Micros now, Machine* machine, CommandBatch* batch) {
  AgentClient::AddStops(*machine, batch);
  AddForgets(*machine, batch);
  if (!authority().MayStart(now) || !machine->durable || !machine->reconciled || !machine->type) {
    return;
  }
  if (machine->stage != MachineStage::kUp) return;
  AddReservedStarts(machine, batch);
  if (!machine_table().IsReady(*machine, now)) return;
  dispatch().BindWaiting(now);
  dispatch().StartTasksOn(now, machine, batch);
  if (!machine->allocations.empty()) machine->idle_since = {-1};
}

}  // namespace badgershore
