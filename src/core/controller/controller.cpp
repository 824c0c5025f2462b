#include "core/controller/controller.h"

namespace badgershore {
namespace {

constexpr Micros kStatusInterval = Millis(500);
// How long a handover waits for writes in flight.
constexpr Micros kHandoverWait = Millis(250);
// A leader that stepped down for a peer with heartbeats is not a candidate again for this long.
constexpr Micros kStepDownPause = Seconds(15);
// Jobs in one status whose cancellations the leader is asked to confirm; the others follow.
constexpr size_t kMaxUnconfirmedInStatus = 512;
// How long after the state service's last response this controller still counts as healthy.
constexpr Micros kHealthyFor = Seconds(3);

}  // namespace

Controller::Controller(PlatformSettings settings, Options options)
    : settings_(std::move(settings)),
      options_(std::move(options)),
      state_limits_(settings_.state, settings_.next_state),
      machine_types_(&settings_, &options_),
      connectivity_(&outbox_),
      peers_(&settings_, &connectivity_, &outbox_) {
  CreateElection();
  CreateJobApi();
}

void Controller::CreateElection() {
  int position = 0;
  for (const auto& member : settings_.members) position += member.name < settings_.member;
  Election::Callbacks callbacks;
  callbacks.on_elected = [this](Micros now) { OnElected(now); };
  callbacks.on_lost = [this](Micros) { OnLeadershipLost(); };
  callbacks.on_control_entry = [this](Micros, const Entry& entry) {
    machine_types_.OnControlEntry(entry);
    const auto* limits = std::get_if<LimitsRecord>(&entry.value);
    if (limits && !entry.deleted && !leader_) state_limits_.Load(*limits);
  };
  election_ = std::make_unique<Election>(&outbox_, settings_.member, position, options_.lease,
                                         std::move(callbacks));
  fence_ = std::make_unique<CancellationFence>(election_.get(), options_.lease);
}

void Controller::CreateJobApi() {
  JobApi::Callbacks callbacks;
  callbacks.infeasible_reason = [this](const JobSpec& spec) {
    return machine_types_.InfeasibleReason(spec);
  };
  callbacks.types_known = [this] { return machine_types_.complete(); };
  callbacks.on_cancellation_pending = [this](Micros now, const std::string& job) {
    OnCancellationPending(now, job);
  };
  callbacks.on_cancellation_recorded = [this](Micros now, const std::string& job) {
    OnCancellationRecorded(now, job);
  };
  callbacks.live_status = [this](const std::string& job) {
    return leader_ ? leader_->Status(job) : peers_.StatusOf(job);
  };
  job_api_ = std::make_unique<JobApi>(&outbox_, fence_.get(), std::move(callbacks));
}

void Controller::OnElected(Micros now) {
  outbox_.Info("leader elected in term " + std::to_string(election_->term()));
  LeaderContext context;
  context.outbox = &outbox_;
  context.settings = &settings_;
  context.options = &options_;
  context.election = election_.get();
  context.state_limits = &state_limits_;
  context.types = machine_types_.types();
  context.types_known = [this] { return machine_types_.complete(); };
  leader_ = std::make_unique<Leader>(std::move(context), now, time_of_day_ms_);
  leader_->Tick(now);
  next_status_at_ = now;  // peers learn of the new leader at once
}

void Controller::OnLeadershipLost() {
  previous_leader_ = std::move(leader_);
  previous_leader_->RejectPending();
}

void Controller::BeginHandover(Micros now) {
  if (!std::exchange(shutting_down_, true)) {
    handover_deadline_ = now + kHandoverWait;
    outbox_.Info("shutting down: handing leadership over to " + peers_.PreferredSuccessor(now));
    peers_.Leave(now);
  }
  // Waits for writes in flight, or the successor would not find their results. No tasks are started
  // in the meantime.
  if (leader_ && leader_->recording() && now < handover_deadline_) return;
  election_->HandOver(now, peers_.PreferredSuccessor(now));
}

bool Controller::IsHealthy(Micros now) const {
  if (shutting_down_) return false;
  if (!election_->synced()) return false;
  if (connectivity_.StateServiceRespondedWithin(now, kHealthyFor)) return true;
  // Without the state service, users should be sent elsewhere only if a peer reaches it.
  return !peers_.StateServiceReachableFromPeer(now);
}

// A leader that receives no heartbeats can't start tasks and would eventually release all machines,
// while their agents report to a peer that redirects them to this controller. If no peer receives
// heartbeats either, the leader stays, since the fault may be on the agents' side.
void Controller::StepDownForPeerWithHeartbeats(Micros now) {
  const std::string peer = peers_.PeerReceivingHeartbeats(now);
  if (peer.empty()) return;
  election_->StepDown(now, "no heartbeats received, but peer " + peer + " receives them",
                      kStepDownPause);
}

PeerStatus Controller::OwnStatus(Micros now) const {
  PeerStatus status;
  status.from = settings_.member;
  status.term = election_->seen_term();
  status.leader = election_->leader();
  status.state_service_reachable = connectivity_.StateServiceReachable(now);
  status.receives_heartbeats = connectivity_.ReceivesHeartbeats(now);
  return status;
}

void Controller::SendStatus(Micros now) {
  if (now < next_status_at_) return;
  next_status_at_ = now + kStatusInterval;
  PeerStatus status = OwnStatus(now);
  if (leader_) {
    status.job_statuses = leader_->Statuses();
  } else {
    status.unconfirmed = fence_->Jobs(kMaxUnconfirmedInStatus);
  }
  outbox_.effects.peer_statuses.push_back(std::move(status));
}

void Controller::OnCancellationPending(Micros now, const std::string& job) {
  if (leader_) return leader_->MarkCancelPending(now, job);
  PeerStatus status = OwnStatus(now);
  status.cancelling.push_back(job);
  outbox_.effects.peer_statuses.push_back(std::move(status));
}

void Controller::OnCancellationRecorded(Micros now, const std::string& job) {
  if (leader_) return ConfirmOwnCancellations(now);
  PeerStatus status = OwnStatus(now);
  status.cancelled.push_back(job);
  // Includes the earlier ones, since a status may be lost.
  status.unconfirmed = fence_->Jobs(kMaxUnconfirmedInStatus);
  outbox_.effects.peer_statuses.push_back(std::move(status));
}

bool Controller::ApplyCancellations(Micros now, const std::vector<std::string>& jobs) {
  for (const std::string& job : jobs) leader_->EndCancelledJob(now, job);
  return election_->MayStart(now);
}

void Controller::ConfirmOwnCancellations(Micros now) {
  const std::vector<std::string> jobs = fence_->Jobs(fence_->size());
  if (!ApplyCancellations(now, jobs)) return;
  for (const std::string& job : jobs) fence_->OnLeaderConfirmed(job);
}

void Controller::OnCancellationConfirmation(Micros now,
                                            const CancellationConfirmation& confirmation) {
  for (const std::string& job : confirmation.jobs) fence_->OnLeaderConfirmed(job);
  job_api_->AnswerFencedCancellations(now);
}

bool Controller::MaySend(Micros now, const HeartbeatResponse& response) const {
  if (now >= response.valid_until) return false;
  if (!HasStarts(response.commands)) return true;
  return leader_ && election_->MayStart(now) && response.fencing_token == election_->term() &&
         leader_->MayStart(response.commands);
}

void Controller::Tick(Micros now, int64_t time_of_day_ms) {
  time_of_day_ms_ = time_of_day_ms;
  peers_.Tick(now, time_of_day_ms);
  election_->SetPosition(peers_.ElectionPosition(now));
  election_->Tick(now);
  if (leader_) leader_->Tick(now);
  if (leader_ && leader_->ReceivesNoHeartbeats(now)) StepDownForPeerWithHeartbeats(now);
  connectivity_.Tick(now);
  SendStatus(now);
  if (leader_ && fence_->size() > 0) ConfirmOwnCancellations(now);
  job_api_->AnswerFencedCancellations(now);
  if (shutting_down_) BeginHandover(now);
  previous_leader_.reset();
}

void Controller::OnStateResponse(Micros now, RequestId id, StateResponse response) {
  connectivity_.OnStateResponse(now, response);
  refused_transactions_ += response.outcome == StateResponse::Outcome::kTooLarge;
  outbox_.Deliver(now, id, response);
  previous_leader_.reset();
}

void Controller::OnCloudResponse(Micros now, RequestId id, CloudResponse response) {
  outbox_.Deliver(now, id, response);
  previous_leader_.reset();
}

void Controller::OnCommandResponse(Micros now, RequestId id, CommandResponse response) {
  if (response.heartbeat) election_->NoteFencingToken(response.heartbeat->fencing_token);
  outbox_.Deliver(now, id, response);
  previous_leader_.reset();
}

bool Controller::AnswerAsLeader(Micros now, RequestId request_id, const Heartbeat& heartbeat,
                                HeartbeatResponse* answer) {
  const auto outcome = leader_->HandleHeartbeat(now, request_id, heartbeat, &answer->commands);
  if (outcome != Leader::HeartbeatOutcome::kSuperseded) connectivity_.OnHeartbeat(now);
  if (outcome == Leader::HeartbeatOutcome::kAnswerLater) return true;
  if (outcome == Leader::HeartbeatOutcome::kAnswer) {
    answer->status = 200;
    answer->fencing_token = election_->term();
    answer->valid_until = leader_->ValidUntil(answer->commands);
  } else if (outcome != Leader::HeartbeatOutcome::kSuperseded) {
    return false;
  }
  outbox_.effects.heartbeat_responses.push_back(std::move(*answer));
  return true;
}

void Controller::OnHeartbeat(Micros now, RequestId request_id, const Heartbeat& heartbeat) {
  election_->NoteFencingToken(heartbeat.fencing_token);
  HeartbeatResponse answer;
  answer.request_id = request_id;
  if (leader_ && heartbeat.fencing_token > election_->term()) {
    election_->StepDown(now, "an agent has seen a higher fencing token");
  }
  if (leader_ && AnswerAsLeader(now, request_id, heartbeat, &answer)) return;
  if (!leader_) connectivity_.OnHeartbeat(now);
  answer.leader = peers_.LeaderName(now, election_->seen_term(), election_->leader());
  answer.status = answer.leader.empty() ? 503 : 421;
  outbox_.effects.heartbeat_responses.push_back(std::move(answer));
  previous_leader_.reset();
}

void Controller::OnSubmit(Micros now, RequestId request_id, Submission submission) {
  job_api_->Submit(now, request_id, std::move(submission));
}

void Controller::OnQuery(Micros, RequestId request_id, const std::string& job) {
  job_api_->Query(request_id, job);
}

void Controller::OnCancel(Micros, RequestId request_id, const std::string& job) {
  job_api_->Cancel(request_id, job);
}

// Only a leader takes part in quota transfers. Senders repeat their messages, so a message that
// arrives too early may be dropped.
void Controller::OnCellMessage(Micros now, const limits::CellMessage& message) {
  if (leader_ && leader_->ready()) leader_->OnCell(now, message);
  previous_leader_.reset();
}

void Controller::OnMembershipMessage(Micros now, const membership::Message& message) {
  peers_.OnMembershipMessage(now, message);
}

void Controller::OnPeerStatus(Micros now, const PeerStatus& status) {
  // Terms come from the state service and only increase. A peer with a higher term shows that this
  // term has ended, even if the state service refuses this controller's requests.
  if (leader_ && status.term > election_->term()) {
    election_->StepDown(now, status.from + " reports term " + std::to_string(status.term));
    previous_leader_.reset();
  }
  if (leader_) {
    for (const std::string& job : status.cancelling) leader_->MarkCancelPending(now, job);
    for (const std::string& job : status.cancelled) leader_->EndCancelledJob(now, job);
    if (!status.unconfirmed.empty() && ApplyCancellations(now, status.unconfirmed)) {
      outbox_.effects.cancellation_confirmations.push_back(
          {settings_.member, status.from, status.unconfirmed});
    }
  }
  peers_.OnStatus(now, status);
}

}  // namespace badgershore
