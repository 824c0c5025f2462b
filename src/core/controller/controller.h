// One controller of a cell: it handles inputs and collects effects, and uses no clock, socket or
// thread of its own.
#pragma once

#include <memory>
#include <string>
#include <utility>

#include "core/api/job_api.h"
#include "core/controller/connectivity.h"
#include "core/controller/machine_type_catalog.h"
#include "core/controller/peer_view.h"
#include "core/election/cancellation_fence.h"
#include "core/election/election.h"
#include "core/leader/leader.h"
#include "core/outbox/outbox.h"
#include "core/outbox/state_limits.h"

namespace badgershore {

// Combines the election, the users' job API and, while this controller leads, the Leader. Calls
// must not overlap. After each input the owner takes the effects and carries them out.
class Controller {
 public:
  Controller(PlatformSettings settings, Options options);

  // Inputs. `now` is monotonic. The response, which is among the effects, has the `request_id` of
  // its request.
  void Tick(Micros now, int64_t time_of_day_ms);
  void OnStateResponse(Micros now, RequestId id, StateResponse response);
  void OnCloudResponse(Micros now, RequestId id, CloudResponse response);
  void OnCommandResponse(Micros now, RequestId id, CommandResponse response);
  void OnHeartbeat(Micros now, RequestId request_id, const Heartbeat& heartbeat);
  void OnSubmit(Micros now, RequestId request_id, Submission submission);
  void OnQuery(Micros now, RequestId request_id, const std::string& job);
  void OnCancel(Micros now, RequestId request_id, const std::string& job);
  void OnPeerStatus(Micros now, const PeerStatus& status);
  void OnMembershipMessage(Micros now, const membership::Message& message);
  void OnCellMessage(Micros now, const limits::CellMessage& message);
  void OnCancellationConfirmation(Micros now, const CancellationConfirmation& confirmation);

  // Asked right before the response leaves the process: whether its starts, if it has any, are
  // still allowed.
  bool MaySend(Micros now, const HeartbeatResponse& response) const;

  // Called when the process is to terminate: a leader hands over to a peer. Idempotent; each tick
  // continues the handover until `handover_done`.
  void BeginHandover(Micros now);
  bool handover_done() const { return shutting_down_ && !election_->leads(); }

  // Whether the load balancer should send users here.
  bool IsHealthy(Micros now) const;
  bool leads() const { return election_->leads(); }
  // Recorded cancellations that users have not been told of yet.
  size_t unconfirmed_cancellations() const { return fence_->size(); }
  const StateLimits& state_limits() const { return state_limits_; }
  // Transactions that the state service has refused as too large or malformed.
  uint64_t refused_transactions() const { return refused_transactions_; }
  Effects TakeEffects() { return std::exchange(outbox_.effects, Effects{}); }
  // Null before the first tick.
  const membership::Members* members() const { return peers_.members(); }
  // Null while this controller does not lead.
  const Leader* leader() const { return leader_.get(); }

 private:
  void CreateElection();
  void CreateJobApi();
  void OnElected(Micros now);
  void OnLeadershipLost();
  PeerStatus OwnStatus(Micros now) const;
  void SendStatus(Micros now);
  void OnCancellationPending(Micros now, const std::string& job);
  void OnCancellationRecorded(Micros now, const std::string& job);
  // As the leader: applies the durable cancellations, and returns whether this leader's word that
  // it starts no more tasks of the jobs holds for all leaders.
  bool ApplyCancellations(Micros now, const std::vector<std::string>& jobs);
  void ConfirmOwnCancellations(Micros now);
  // Steps down as the leader if a peer receives heartbeats and this controller does not.
  void StepDownForPeerWithHeartbeats(Micros now);
  // Lets the leader answer the heartbeat; false if the agent must be redirected or rejected.
  bool AnswerAsLeader(Micros now, RequestId request_id, const Heartbeat& heartbeat,
                      HeartbeatResponse* answer);

  PlatformSettings settings_;
  Options options_;
  Outbox outbox_;
  StateLimits state_limits_;
  MachineTypeCatalog machine_types_;
  Connectivity connectivity_;
  PeerView peers_;
  std::unique_ptr<Election> election_;
  std::unique_ptr<CancellationFence> fence_;
  std::unique_ptr<JobApi> job_api_;
  std::unique_ptr<Leader> leader_;
  // Leader of the term that just ended, kept until no call to it can be on the stack.
  std::unique_ptr<Leader> previous_leader_;
  int64_t time_of_day_ms_ = 0;
  uint64_t refused_transactions_ = 0;
  Micros next_status_at_;
  bool shutting_down_ = false;
  Micros handover_deadline_;  // when the handover stops waiting for writes in flight
};

}  // namespace badgershore
