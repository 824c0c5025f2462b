// Responses to agents' heartbeats, with the commands to stop, forget and start tasks.
#pragma once

#include <vector>

#include "core/leader/leader_component.h"
#include "core/model/fleet.h"
#include "core/model/message_size.h"

namespace badgershore {

// Decides how each heartbeat is answered and keeps the heartbeats whose answer is delayed.
class HeartbeatHandler : public LeaderComponent {
 public:
  using LeaderComponent::LeaderComponent;

  enum class Outcome {
    kAnswer,       // answer now, with the returned commands
    kAnswerLater,  // the answer follows among the effects, under the request's id
    kReject,       // this controller may not answer; the agent tries other controllers
    kSuperseded,   // the agent has sent a newer heartbeat and no longer awaits this answer
  };

  // Processes a heartbeat. `commands` is filled in for Outcome::kAnswer only.
  Outcome Handle(Micros now, RequestId request_id, const Heartbeat& heartbeat,
                 std::vector<Command>* commands);
  // Answers all pending heartbeats of the machine.
  void AnswerPending(Micros now, Machine* machine);
  // Answers the pending heartbeats of machines that have work, or that have waited long enough.
  void AnswerReady(Micros now);
  // The time until which an answer with these commands may be sent; kNever: no limit.
  Micros ValidUntil(const std::vector<Command>& commands) const;
  // Rejects all pending heartbeats; for the end of the term.
  void RejectPending();

 private:
  // For an agent that has not seen this term's fencing token yet.
  Outcome AnswerUnknownTerm(Micros now, const Heartbeat& heartbeat, CommandBatch* batch);
  // Records that an answer extends the agent's lease, during which its tasks keep running.
  void ExtendAgentLease(Micros now, Machine* machine) const;
  bool ShouldDelayAnswer(Micros now, const Machine& machine) const;
  void AddPending(Micros now, Machine* machine, RequestId request_id) const;
  // What does not fit in the batch is added to the next answer.
  void AddForgets(const Machine& machine, CommandBatch* batch) const;
  void AddReservedStarts(Machine* machine, CommandBatch* batch) const;
  void AddCommands(Micros now, Machine* machine, CommandBatch* batch);
};

}  // namespace badgershore
