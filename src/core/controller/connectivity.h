// Whether this controller reaches the state service and receives heartbeats from agents.
#pragma once

#include "core/outbox/outbox.h"

namespace badgershore {

class Connectivity {
 public:
  explicit Connectivity(Outbox* outbox) : outbox_(outbox) {}

  // Probes the state service by reading a key if it has sent no response for a while, so that its
  // reachability is also known on a controller that has no other requests.
  void Tick(Micros now);
  void OnStateResponse(Micros now, const StateResponse& response);
  void OnHeartbeat(Micros now) { last_heartbeat_at_ = now; }

  // Whether a response of the state service arrived within the last `span`.
  bool StateServiceRespondedWithin(Micros now, Micros span) const {
    return now - last_state_response_at_ < span;
  }
  bool StateServiceReachable(Micros now) const;
  bool ReceivesHeartbeats(Micros now) const;

 private:
  Outbox* outbox_;
  Micros last_state_response_at_{-1000000000};
  Micros last_heartbeat_at_{-1000000000};
  Micros next_probe_at_;
  bool probing_ = false;
};

}  // namespace badgershore
