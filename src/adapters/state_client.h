// HTTP client for the state service.
#pragma once

#include <functional>

#include "core/model/effects.h"
#include "core/model/settings.h"
#include "core/outbox/adaptive_rate.h"
#include "http/client.h"

namespace badgershore::adapters {

// Limits requests to this controller's share of the service's rate limit with a token bucket. Lease
// requests and watches are exempt. While the service does not respond, one request at a time is
// sent and the others are refused immediately.
class StateClient {
 public:
  StateClient(io::Loop* loop, const PlatformSettings& settings);
  // kRefused: certainly not executed. kUnknown: sent, but no response in time.
  io::Task<StateResponse> Send(StateRequest request);
  // Total of requests and watches.
  http::Traffic traffic() const;

 private:
  // Returns false if no token was available in time or too many requests wait for one.
  io::Task<bool> WaitForToken();
  void AdaptRate(const StateRequest& request, const StateResponse& response);

  io::Loop* loop_;
  AdaptiveRate rate_;  // requests per second; also the size of the bucket
  double tokens_;
  Micros tokens_updated_at_;
  int waiting_for_token_ = 0;
  Micros last_response_at_;
  int requests_without_response_ = 0;
  int in_flight_ = 0;  // without watches
  http::Client requests_;
  http::Client watches_;
};

}  // namespace badgershore::adapters
