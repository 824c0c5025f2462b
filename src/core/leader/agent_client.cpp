#include "core/leader/agent_client.h"

#include "core/leader/heartbeat_processor.h"
#include "core/leader/machine_table.h"
#include "core/leader/reconciler.h"

namespace badgershore {
namespace {

constexpr Micros kProbeInterval = Seconds(1);
// Stops sent in one tick. The stops of the largest gang still leave within its failure timeout.
constexpr size_t kMaxStopsPerTick = 4096;

}  // namespace

CommandRequest AgentClient::RequestTo(const Machine& machine) const {
  CommandRequest request;
  request.machine = machine.id;
  request.endpoint = machine.endpoint;
  request.fencing_token = election()->term();
  request.agent_epoch = machine.agent_epoch;
  return request;
}

std::vector<Command> AgentClient::RequestedStops(const Machine& machine) {
  std::vector<Command> stops;
  std::vector<Command> repeated;
  for (const auto& [key, allocation] : machine.allocations) {
    if (!allocation.stop_requested || allocation.exited() || allocation.start_unsent) continue;
    std::vector<Command>& list = allocation.phase == TaskPhase::kCheckpointing ? repeated : stops;
    list.push_back(
        {Command::Verb::kStop, allocation.ref, allocation.attempt, allocation.grace_period});
  }
  stops.insert(stops.end(), repeated.begin(), repeated.end());
  return stops;
}

void AgentClient::AddStops(const Machine& machine, CommandBatch* batch) {
  for (const Command& stop : RequestedStops(machine)) {
    if (!batch->Add(stop)) return;
  }
}

void AgentClient::SendStops(Machine* machine) {
  if (machine->endpoint.empty() || machine->agent_epoch == 0) return;
  if (stops_sent_ >= kMaxStopsPerTick) return delayed_stops_.push_back(machine->id);
  const std::vector<Command> stops = RequestedStops(*machine);
  stops_sent_ += stops.size();
  for (auto next = stops.begin(); next != stops.end();) {
    CommandRequest request = RequestTo(*machine);
    CommandBatch batch(&request.commands);
    while (next != stops.end() && batch.Add(*next)) ++next;
    SendCommands(request);
  }
}

Machine* AgentClient::AnsweringMachine(const std::string& id, uint64_t connection) const {
  Machine* machine = machine_table().Find(id);
  return machine && machine->connection == connection ? machine : nullptr;
}

void AgentClient::SendCommands(const CommandRequest& request) {
  const uint64_t connection = machine_table().Find(request.machine)->connection;
  outbox()->SendCommand(request, Guarded([this, id = request.machine, connection](
                                             Micros now, CommandResponse& response) {
                          Machine* answered = AnsweringMachine(id, connection);
                          if (!answered || !response.heartbeat || response.status != 200) return;
                          heartbeat_processor().Process(now, answered, *response.heartbeat,
                                                        HeartbeatSource::kDirectCall);
                        }));
}

void AgentClient::Tick() {
  stops_sent_ = 0;
  for (size_t n = delayed_stops_.size(); n > 0 && stops_sent_ < kMaxStopsPerTick; --n) {
    Machine* machine = machine_table().Find(delayed_stops_.front());
    delayed_stops_.pop_front();
    if (machine) SendStops(machine);
  }
}

void AgentClient::Probe(Micros now, Machine* machine) {
  if (machine->probe_in_flight || machine->endpoint.empty()) return;
  machine->probe_in_flight = true;
  if (machine->first_probed_at.count < 0) machine->first_probed_at = now;
  machine->probe_at = now + kProbeInterval;
  CommandRequest request = RequestTo(*machine);
  request.agent_epoch = std::max<uint64_t>(machine->agent_epoch, 1);
  outbox()->SendCommand(
      request, Guarded([this, id = machine->id, probed_epoch = request.agent_epoch,
                        connection = machine->connection](Micros t, CommandResponse& response) {
        if (Machine* probed = machine_table().Find(id)) {
          probed->probe_in_flight = false;
        }
        if (AnsweringMachine(id, connection)) {
          OnProbeAnswer(t, id, probed_epoch, response);
        }
      }));
}

void AgentClient::OnProbeAnswer(Micros now, const std::string& id, uint64_t probed_epoch,
                                const CommandResponse& response) {
  Machine* machine = machine_table().Find(id);
  if (!machine) return;
  if (!response.heartbeat || response.heartbeat->machine != id) return;
  const Heartbeat& heartbeat = *response.heartbeat;
  if (heartbeat.fencing_token > election()->term()) {
    return election()->StepDown(now, "machine " + id + " has seen a higher fencing token");
  }
  const bool accepted = response.status == 200;
  const bool epoch_was_known = heartbeat.agent_epoch == probed_epoch;
  if (accepted || !epoch_was_known) {
    heartbeat_processor().Process(now, machine, heartbeat, HeartbeatSource::kDirectCall);
  }
  if (accepted) {
    reconciler().MarkReconciled(now, machine, ReconciliationProof::kDirectCall);
  } else if (!epoch_was_known && !machine->reconciled) {
    Probe(now, machine);  // the epoch is known now
  }
}

}  // namespace badgershore
