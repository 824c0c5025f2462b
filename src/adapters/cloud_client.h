// HTTP client of the cloud.
#pragma once

#include "core/model/effects.h"
#include "core/model/settings.h"
#include "http/client.h"

namespace badgershore::adapters {

// Spaces requests evenly within the cloud's rate limit.
class CloudClient {
 public:
  CloudClient(io::Loop* loop, const PlatformSettings& settings);
  // kThrottled also where the request was not sent, or not before its `valid_until`.
  io::Task<CloudResponse> Send(CloudRequest request);

 private:
  io::Loop* loop_;
  double rate_;  // requests a second
  Micros next_send_at_;
  http::Client client_;
};

}  // namespace badgershore::adapters
