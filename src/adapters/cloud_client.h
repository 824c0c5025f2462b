// HTTP client for the cloud's API.
#pragma once

#include "core/model/effects.h"
#include "core/model/settings.h"
#include "http/client.h"

namespace badgershore::adapters {

// Spaces requests evenly within the cloud's rate limit.
class CloudClient {
 public:
  CloudClient(io::Loop* loop, const PlatformSettings& settings);
  // Returns kThrottled also if the request was not sent, for example because its `valid_until` had
  // passed.
  io::Task<CloudResponse> Send(CloudRequest request);

 private:
  io::Loop* loop_;
  double rate_;  // requests a second
  Micros next_send_at_;
  http::Client client_;
};

}  // namespace badgershore::adapters
