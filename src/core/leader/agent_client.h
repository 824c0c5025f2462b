// Direct calls from the leader to agents.
#pragma once

#include <deque>
#include <string>
#include <vector>

#include "core/leader/leader_component.h"
#include "core/model/fleet.h"
#include "core/model/message_size.h"

namespace badgershore {

// Calls agents without waiting for their next heartbeat: to stop tasks and to probe whether they
// are alive. Tasks are never started this way.
class AgentClient : public LeaderComponent {
 public:
  using LeaderComponent::LeaderComponent;

  // Limit on the probes sent in one tick. After a failover, hundreds at once can keep a slow leader
  // busy for longer than its lease.
  static constexpr int kMaxProbesPerTick = 60;

  // Whether a probe of the machine is due and can be sent.
  static bool CanProbe(Micros now, const Machine& machine) {
    return now >= machine.probe_at && !machine.probe_in_flight && !machine.endpoint.empty();
  }
  // Raises the fencing token at the agent and reads its state. Success reconciles the machine.
  void Probe(Micros now, Machine* machine);
  // Adds the machine's requested stops, as many as fit. The others are added to later messages:
  // tasks that have been told to write a checkpoint come last, so that none waits for ever.
  static void AddStops(const Machine& machine, CommandBatch* batch);
  // Sends the machine's requested stops, if there are any: at once, or in one of the next ticks if
  // many stops have been sent in this one. They are divided into calls within the limit of a
  // message.
  void SendStops(Machine* machine);
  // Sends the stops that were delayed.
  void Tick();

 private:
  static std::vector<Command> RequestedStops(const Machine& machine);
  CommandRequest RequestTo(const Machine& machine) const;
  void SendCommands(const CommandRequest& request);
  void OnProbeAnswer(Micros now, const std::string& id, uint64_t probed_epoch,
                     const CommandResponse& response);
  // The machine that has answered a call; null if it is gone, or if its agent has connected again
  // since the call was made. The answer may then be that of the agent before a restart.
  Machine* AnsweringMachine(const std::string& id, uint64_t connection) const;

  // Stops sent since the last tick, and the machines whose stops are delayed.
  size_t stops_sent_ = 0;
  std::deque<std::string> delayed_stops_;
};

}  // namespace badgershore
