// Requests to the outside, each with what to do when its reply comes in.
#pragma once

#include <functional>
#include <unordered_map>
#include <utility>

#include "core/model/effects.h"

namespace badgershore {

class Asker {
 public:
  using OnState = std::function<void(Micros now, StateResponse&)>;
  using OnCloud = std::function<void(Micros now, CloudResponse&)>;
  using OnDirect = std::function<void(Micros now, CommandResponse&)>;

  Effects out;

  void State(StateRequest op, OnState then) {
    op.id = ++next_;
    state_.emplace(op.id, std::move(then));
    out.state_requests.push_back(std::move(op));
  }
  void Cloud(CloudRequest op, OnCloud then) {
    op.id = ++next_;
    cloud_.emplace(op.id, std::move(then));
    out.cloud_requests.push_back(std::move(op));
  }
  void Direct(CommandRequest op, OnDirect then) {
    op.id = ++next_;
    direct_.emplace(op.id, std::move(then));
    out.command_requests.push_back(std::move(op));
  }
  void Reply(Micros now, RequestId id, StateResponse& r) { Run(state_, now, id, r); }
  void Reply(Micros now, RequestId id, CloudResponse& r) { Run(cloud_, now, id, r); }
  void Reply(Micros now, RequestId id, CommandResponse& r) { Run(direct_, now, id, r); }

  void Log(LogLine::Level level, std::string text) { out.log.push_back({level, std::move(text)}); }
  void Info(std::string text) { Log(LogLine::Level::kInfo, std::move(text)); }
  void Debug(std::string text) { Log(LogLine::Level::kDebug, std::move(text)); }

 private:
  template <typename Map, typename R>
  static void Run(Map& map, Micros now, RequestId id, R& reply) {
    auto it = map.find(id);
    if (it == map.end()) return;
    auto then = std::move(it->second);
    map.erase(it);
    then(now, reply);
  }
  RequestId next_ = 0;
  std::unordered_map<RequestId, OnState> state_;
  std::unordered_map<RequestId, OnCloud> cloud_;
  std::unordered_map<RequestId, OnDirect> direct_;
};

}  // namespace badgershore
