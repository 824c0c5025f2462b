#include "core/outbox/outbox.h"

#include <utility>

namespace badgershore {
namespace {

template <typename Callbacks, typename Response>
void RunCallback(Callbacks& callbacks, Micros now, RequestId id, Response& response) {
  auto it = callbacks.find(id);
  if (it == callbacks.end()) return;
  // Removed first: the callback may send requests, which insert into the map.
  auto callback = std::move(it->second);
  callbacks.erase(it);
  callback(now, response);
}

}  // namespace

void Outbox::SendState(StateRequest request, StateCallback on_response) {
  request.id = ++last_id_;
  state_callbacks_.emplace(request.id, std::move(on_response));
  effects.state_requests.push_back(std::move(request));
}

void Outbox::SendCloud(CloudRequest request, CloudCallback on_response) {
  request.id = ++last_id_;
  cloud_callbacks_.emplace(request.id, std::move(on_response));
  effects.cloud_requests.push_back(std::move(request));
}

void Outbox::SendCommand(CommandRequest request, CommandCallback on_response) {
  request.id = ++last_id_;
  command_callbacks_.emplace(request.id, std::move(on_response));
  effects.command_requests.push_back(std::move(request));
}

void Outbox::Deliver(Micros now, RequestId id, StateResponse& response) {
  RunCallback(state_callbacks_, now, id, response);
}

void Outbox::Deliver(Micros now, RequestId id, CloudResponse& response) {
  RunCallback(cloud_callbacks_, now, id, response);
}

void Outbox::Deliver(Micros now, RequestId id, CommandResponse& response) {
  RunCallback(command_callbacks_, now, id, response);
}

void Outbox::Log(LogLine::Level level, std::string text) {
  effects.log.push_back({level, std::move(text)});
}

void Outbox::Info(std::string text) { Log(LogLine::Level::kInfo, std::move(text)); }

void Outbox::Debug(std::string text) { Log(LogLine::Level::kDebug, std::move(text)); }

}  // namespace badgershore
