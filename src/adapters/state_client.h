// HTTP client of the state service.
#pragma once

#include <functional>

#include "core/model/effects.h"
#include "core/model/settings.h"
#include "http/client.h"

namespace badgershore::adapters {

// Keeps to this controller's share of the service's request rate by a token bucket. Requests for
// leases and watches are exempt. While the service does not answer, one request at a time goes out
// and the others are refused at once.
class StateClient {
 public:
  StateClient(io::Loop* loop, const PlatformSettings& settings);
  // kRefused: surely not carried out. kUnknown: sent, but not answered in time.
  io::Task<StateResponse> Send(StateRequest request);
  // Of requests and watches together.
  http::Traffic traffic() const;

 private:
  // False: no token came in time, or too many requests wait for one.
  io::Task<bool> WaitForToken();

  io::Loop* loop_;
  double rate_;  // requests a second, and the bucket's size
  double tokens_;
  Micros tokens_at_;
  int waiting_for_token_ = 0;
  Micros answered_at_;
  int unanswered_ = 0;  // requests since the last answer
  int in_flight_ = 0;   // watches apart
  http::Client requests_;
  http::Client watches_;
};

}  // namespace badgershore::adapters
