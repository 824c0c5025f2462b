// The emulated network of a cell: delivery, partitions, timeouts and routing of requests.
#include <algorithm>

#include "rehearsal/world.h"

namespace badgershore::rehearsal {

bool World::Matches(const std::string& who, const std::string& host) const {
  if (who == "all") return true;
  if (who == "machines") return IsMachine(host);
  if (who == "nodes") return IsNode(host);
  if (who.starts_with("zone-")) {
    auto it = workers_.find(host);
    return it != workers_.end() && it->second.record.zone == who.substr(5);
  }
  return who == host;
}

bool World::Deliver(const std::string& from, const std::string& to, bool reply,
                    std::function<void()> then) {
  Micros at = now_ + Between(0.0002, 0.0012);
  if (distortions_.deaf.contains(to)) return true;
  if (!reply && distortions_.mute.contains(from)) return true;
  if (from == kState || to == kState) at += distortions_.StateDelay(&clock_);
  for (const Cut& cut : cuts_) {
    if (cut.until <= now_) continue;
    if (!(Matches(cut.a, from) && Matches(cut.b, to)) &&
        !(Matches(cut.b, from) && Matches(cut.a, to))) {
      continue;
    }
    if (cut.resets) return false;
    // Data on an open connection is delayed until the partition ends; a new connection fails.
    if (!reply && Chance() < 0.5) return true;
    at = std::max(at, cut.until + Between(0.001, 0.5));
  }
  Later(at, std::move(then));
  return true;
}

void World::Send(const std::string& from, const std::string& to, wire::Call call, Reply reply) {
  const uint64_t id = ++next_call_;
  const int life = IsNode(from) ? nodes_[NodeIndex(from)].life : 0;
  const Micros timeout = call.timeout;
  pending_[id] = {from, to, life, std::move(reply)};
  const bool sent =
      Deliver(from, to, false, [this, id, to, call = std::move(call)] { Serve(id, to, call); });
  Later(now_ + (sent ? timeout : Millis(1)), [this, id] { Finish(id, kNoAnswer, ""); });
}

void World::Finish(uint64_t id, int status, const std::string& body) {
  auto it = pending_.find(id);
  if (it == pending_.end()) return;
  const Pending p = std::move(it->second);
  pending_.erase(it);
  if (IsNode(p.from)) {
    const Node& n = nodes_[NodeIndex(p.from)];
    if (!n.core || n.life != p.life) return;
    if (n.frozen_until > now_) {
      return Later(n.frozen_until, [this, p, status, body] {
        const Node& node = nodes_[NodeIndex(p.from)];
        if (node.core && node.life == p.life) p.reply(status, body);
      });
    }
  }
  p.reply(status, body);
}

void World::Respond(uint64_t id, int status, std::string body) {
  auto it = pending_.find(id);
  if (it == pending_.end()) return;  // the request has timed out
  const bool sent =
      Deliver(it->second.to, it->second.from, true,
              [this, id, status, body = std::move(body)] { Finish(id, status, body); });
  if (!sent) Later(now_ + Millis(1), [this, id] { Finish(id, kNoAnswer, ""); });
}

// A request is handled even if its sender has already timed out.
void World::Serve(uint64_t id, const std::string& to, const wire::Call& call) {
  if (IsNode(to) && outside_) {
    const auto caller = pending_.find(id);
    if (caller == pending_.end()) return;  // the request has timed out
    return outside_->CallNode(caller->second.from, NodeIndex(to), call,
                              [this, id](int status, const std::string& body) {
                                if (status == kNoAnswer) return;  // the request's timeout applies
                                Respond(id, status, body);
                              });
  }
  if (IsNode(to)) {
    const Micros again = call.target == "/checkin" && id != 0
                             ? distortions_.CopyDelay(&clock_, scenario_.site.agent_lease)
                             : Micros{};
    if (again.count > 0) Later(now_ + again, [this, to, call] { Serve(0, to, call); });
    if (call.target == "/checkin" && id != 0 && distortions_.KeepsCopy(&clock_)) {
      if (kept_reports_.empty()) kept_under_ = Leader();
      if (kept_reports_.size() < 500) kept_reports_.push_back(call);
    }
    return ServeNode(NodeIndex(to), id, call);
  }
  if (to == kState) return ServeState(id, call);
  if (to == kCloud) {
    Later(now_ + Between(0.04, 0.12), [this, id, call] {
      auto [status, body] = cloud_.Handle(now_, call);
      Respond(id, status, std::move(body));
    });
    return;
  }
  ServeMachine(to, id, call);
}

}  // namespace badgershore::rehearsal
