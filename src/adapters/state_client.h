// The state service's edge: the core's operations as HTTP requests, within a share of its limits.
#pragma once

#include <functional>

#include "core/model/effects.h"
#include "core/model/settings.h"
#include "http/client.h"

namespace badgershore::adapters {

class StateClient {
 public:
  StateClient(io::Loop* loop, const PlatformSettings& settings);
  io::Task<StateResponse> Run(StateRequest op);
  http::Traffic traffic() const;  // requests and watches

 private:
  io::Task<bool> Pace();
  io::Loop* loop_;
  double rate_;
  double tokens_;
  Micros tokens_at_;
  int queued_ = 0;
  // While nothing answers, one request at a time goes out to try; the others fail at once.
  Micros answered_at_;
  int unanswered_ = 0;
  int trying_ = 0;
  http::Client requests_;
  http::Client watches_;
};

}  // namespace badgershore::adapters
