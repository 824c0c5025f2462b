// Requests to the outside, each with what to do when its reply comes in.
#pragma once

#include <functional>
#include <unordered_map>
#include <utility>

#include "core/model/effects.h"

namespace badgershore {

class Asker {
 public:
  using OnState = std::function<void(Micros now, StateReply&)>;
  using OnCloud = std::function<void(Micros now, CloudReply&)>;
  using OnDirect = std::function<void(Micros now, DirectReply&)>;

  Effects out;

  void State(StateOp op, OnState then) {
    op.id = ++next_;
    state_.emplace(op.id, std::move(then));
    out.state.push_back(std::move(op));
  }
  void Cloud(CloudOp op, OnCloud then) {
    op.id = ++next_;
    cloud_.emplace(op.id, std::move(then));
    out.cloud.push_back(std::move(op));
  }
  void Direct(DirectOp op, OnDirect then) {
    op.id = ++next_;
    direct_.emplace(op.id, std::move(then));
    out.direct.push_back(std::move(op));
  }
  void Reply(Micros now, RequestId id, StateReply& r) { Run(state_, now, id, r); }
  void Reply(Micros now, RequestId id, CloudReply& r) { Run(cloud_, now, id, r); }
  void Reply(Micros now, RequestId id, DirectReply& r) { Run(direct_, now, id, r); }

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
