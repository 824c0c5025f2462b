// The emulated network of a cell: delivery, partitions, timeouts and routing of requests.
#include <algorithm>

#include "core/model/message_size.h"
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
  Micros at = now_ + RandomDuration(0.0002, 0.0012);
  if (message_faults_.cannot_receive.contains(to)) return true;
  if (!reply && message_faults_.cannot_send.contains(from)) return true;
  if (from == kState || to == kState) at += message_faults_.StateDelay(&clock_);
  for (const Partition& partition : partitions_) {
    if (partition.until <= now_) continue;
    if (!(Matches(partition.a, from) && Matches(partition.b, to)) &&
        !(Matches(partition.b, from) && Matches(partition.a, to))) {
      continue;
    }
    if (partition.resets) return false;
    // Data on an open connection is delayed until the partition ends; a new connection fails.
    if (!reply && RandomFraction() < 0.5) return true;
    at = std::max(at, partition.until + RandomDuration(0.001, 0.5));
  }
  Schedule(at, std::move(then));
  return true;
}

void World::SendRequest(const std::string& from, const std::string& to, wire::Call call,
                        Reply reply) {
  const uint64_t id = ++next_call_;
  const int incarnation = IsNode(from) ? nodes_[NodeIndex(from)].incarnation : 0;
  const Micros timeout = call.timeout;
  CheckMessageSize(from, to, call.body);
  pending_requests_[id] = {from, to, incarnation, std::move(reply)};
  const bool sent = Deliver(
      from, to, false, [this, id, to, call = std::move(call)] { HandleRequest(id, to, call); });
  Schedule(now_ + (sent ? timeout : Millis(1)), [this, id] { CompleteRequest(id, kNoAnswer, ""); });
}

void World::CompleteRequest(uint64_t id, int status, const std::string& body) {
  auto it = pending_requests_.find(id);
  if (it == pending_requests_.end()) return;
  const PendingRequest p = std::move(it->second);
  pending_requests_.erase(it);
  if (IsNode(p.from)) {
    const Node& n = nodes_[NodeIndex(p.from)];
    if (!n.controller || n.incarnation != p.incarnation) return;
    if (n.paused_until > now_) {
      return Schedule(n.paused_until, [this, p, status, body] {
        const Node& node = nodes_[NodeIndex(p.from)];
        if (node.controller && node.incarnation == p.incarnation) p.reply(status, body);
      });
    }
  }
  p.reply(status, body);
}

void World::Respond(uint64_t id, int status, std::string body) {
  auto it = pending_requests_.find(id);
  if (it == pending_requests_.end()) return;  // the request has timed out
  CheckMessageSize(it->second.to, it->second.from, body);
  const bool sent =
      Deliver(it->second.to, it->second.from, true,
              [this, id, status, body = std::move(body)] { CompleteRequest(id, status, body); });
  if (!sent) Schedule(now_ + Millis(1), [this, id] { CompleteRequest(id, kNoAnswer, ""); });
}

void World::CheckMessageSize(const std::string& from, const std::string& to,
                             const std::string& body) {
  if (body.size() <= kMaxMessageBytes || (!IsMachine(from) && !IsMachine(to))) return;
  context_->result.violations.push_back(
      {"too_large", now_.ToSeconds(),
       std::to_string(body.size()) + " bytes from " + from + " to " + to});
}

// A request is handled even if its sender has already timed out.
void World::HandleRequest(uint64_t id, const std::string& to, const wire::Call& call) {
  if (IsNode(to) && backend_) {
    const auto caller = pending_requests_.find(id);
    if (caller == pending_requests_.end()) return;  // the request has timed out
    return backend_->CallNode(caller->second.from, NodeIndex(to), call,
                              [this, id](int status, const std::string& body) {
                                if (status == kNoAnswer) return;  // the request's timeout applies
                                Respond(id, status, body);
                              });
  }
  if (IsNode(to)) {
    const Micros duplicate_delay =
        call.target == "/checkin" && id != 0
            ? message_faults_.DuplicateDelay(&clock_, scenario_.site.agent_lease)
            : Micros{};
    if (duplicate_delay.count > 0)
      Schedule(now_ + duplicate_delay, [this, to, call] { HandleRequest(0, to, call); });
    if (call.target == "/checkin" && id != 0 && message_faults_.HoldsHeartbeat(&clock_)) {
      if (held_heartbeats_.empty()) leader_when_held_ = LeaderIndex();
      if (held_heartbeats_.size() < 500) held_heartbeats_.push_back(call);
    }
    return HandleNodeRequest(NodeIndex(to), id, call);
  }
  if (to == kState) return HandleStateRequest(id, call);
  if (to == kCloud) {
    Schedule(now_ + RandomDuration(0.04, 0.12), [this, id, call] {
      auto [status, body] = cloud_.Handle(now_, call);
      Respond(id, status, std::move(body));
    });
    return;
  }
  if (call.target == "/do" && id != 0) {
    const auto execute_again = [this, to, call] { HandleRequest(0, to, call); };
    const Micros delay = message_faults_.CommandDelay(&clock_);
    if (delay.count > 0) return Schedule(now_ + delay, execute_again);
    const Micros duplicate_delay =
        message_faults_.CommandDuplicateDelay(&clock_, scenario_.site.agent_lease);
    if (duplicate_delay.count > 0) Schedule(now_ + duplicate_delay, execute_again);
  }
  HandleMachineRequest(to, id, call);
}

}  // namespace badgershore::rehearsal
