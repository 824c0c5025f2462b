// Outgoing requests of the core and the callbacks that wait for their responses.
#pragma once

#include <functional>
#include <string>
#include <unordered_map>

#include "core/model/effects.h"

namespace badgershore {

// Collects the core's outgoing requests and other effects (see Effects), and routes each response
// to the callback of the request with the same id. Callbacks run inside Deliver, on the caller's
// thread.
class Outbox {
 public:
  using StateCallback = std::function<void(Micros now, StateResponse&)>;
  using CloudCallback = std::function<void(Micros now, CloudResponse&)>;
  using CommandCallback = std::function<void(Micros now, CommandResponse&)>;

  // Pending effects; the owner takes and carries them out after each input.
  Effects effects;

  // Queue a request under a new id; `on_response` is called at most once.
  void SendState(StateRequest request, StateCallback on_response);
  void SendCloud(CloudRequest request, CloudCallback on_response);
  void SendCommand(CommandRequest request, CommandCallback on_response);

  // Pass a response to the callback of request `id`. Unknown and duplicate ids are ignored.
  void Deliver(Micros now, RequestId id, StateResponse& response);
  void Deliver(Micros now, RequestId id, CloudResponse& response);
  void Deliver(Micros now, RequestId id, CommandResponse& response);

  void Log(LogLine::Level level, std::string text);
  void Info(std::string text);
  void Debug(std::string text);

 private:
  RequestId last_id_ = 0;
  std::unordered_map<RequestId, StateCallback> state_callbacks_;
  std::unordered_map<RequestId, CloudCallback> cloud_callbacks_;
  std::unordered_map<RequestId, CommandCallback> command_callbacks_;
};

}  // namespace badgershore
