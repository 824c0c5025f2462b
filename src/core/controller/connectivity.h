// What this controller reaches: the state service, and the workers that send heartbeats here.
#pragma once

#include "core/outbox/outbox.h"

namespace badgershore {

class Connectivity {
 public:
  explicit Connectivity(Outbox* outbox) : outbox_(outbox) {}

  // Reads a key when the state service has not answered anything for a while, so that reachability
  // is known on a controller without requests of its own.
  void Tick(Micros now);
  void OnStateResponse(Micros now, const StateResponse& response);
  void OnHeartbeat(Micros now) { heartbeat_at_ = now; }

  // The state service has answered within the last `span`.
  bool StateServiceAnsweredWithin(Micros now, Micros span) const {
    return now - state_answer_at_ < span;
  }
  bool StateServiceReachable(Micros now) const;
  bool ReceivesHeartbeats(Micros now) const;

 private:
  Outbox* outbox_;
  Micros state_answer_at_{-1000000000};
  Micros heartbeat_at_{-1000000000};
  Micros probe_at_;
  bool probing_ = false;
};

}  // namespace badgershore
