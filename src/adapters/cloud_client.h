// The cloud's edge: rentals, returns, lists and types, within its rate.
#pragma once

#include "core/model/effects.h"
#include "core/model/settings.h"
#include "http/client.h"

namespace badgershore::adapters {

class CloudClient {
 public:
  CloudClient(io::Loop* loop, const PlatformSettings& settings);
  io::Task<CloudResponse> Run(CloudRequest op);

 private:
  io::Loop* loop_;
  double rate_;
  Micros next_;
  http::Client client_;
};

}  // namespace badgershore::adapters
