#include "core/controller/connectivity.h"

namespace badgershore {
namespace {

// How long after the last response or heartbeat the other side still counts as reachable.
constexpr Micros kReachableFor = Seconds(2);
constexpr Micros kProbeInterval = Millis(900);

}  // namespace

void Connectivity::Tick(Micros now) {
  if (probing_ || now < next_probe_at_ || now - last_state_response_at_ <= kProbeInterval) return;
  probing_ = true;
  next_probe_at_ = now + kProbeInterval;
  StateRequest request;
  request.key = keys::kLeader;
  outbox_->SendState(request, [this](Micros, StateResponse&) { probing_ = false; });
}

void Connectivity::OnStateResponse(Micros now, const StateResponse& response) {
  if (response.outcome != StateResponse::Outcome::kRefused &&
      response.outcome != StateResponse::Outcome::kUnknown) {
    last_state_response_at_ = now;
  }
}

bool Connectivity::StateServiceReachable(Micros now) const {
  return StateServiceRespondedWithin(now, kReachableFor);
}

bool Connectivity::ReceivesHeartbeats(Micros now) const {
  return now - last_heartbeat_at_ < kReachableFor;
}

}  // namespace badgershore
