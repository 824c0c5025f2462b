// The controllers of a cell: the production code, connected to the emulated network.
#include <algorithm>

#include "rehearsal/world.h"

namespace badgershore::rehearsal {
namespace {

constexpr Micros kTick = Millis(100);

}  // namespace

void World::StartNode(size_t index) {
  Node& n = nodes_[index];
  PlatformSettings s = scenario_.site;
  s.teams = teams_;
  s.member = NodeName(index);
  s.client_listen = s.member;
  s.peer_listen = history_prefix_ + s.member;
  for (size_t k = 0; k < nodes_.size(); ++k) {
    if (k != index) s.members.push_back({NodeName(k), NodeName(k)});
  }
  ++n.incarnation;
  n.paused_until = {};
  Options options;
  options.cells = Cells();
  n.controller = std::make_unique<Controller>(s, options);
  n.callers.clear();
  n.state_rate_limiter =
      store::RateLimiter(s.state.requests_per_s * 0.9 / static_cast<double>(nodes_.size()), now_);
  Schedule(now_ + RandomDuration(0.001, 0.1),
           [this, index, incarnation = n.incarnation] { TickNode(index, incarnation); });
}

void World::KillNode(size_t index, Micros back_after) {
  Node& n = nodes_[index];
  if (!n.controller && !backend_) return;
  RecordNote("ends " + NodeName(index));
  if (backend_) return backend_->KillNode(index, back_after);
  n.controller.reset();
  ++n.incarnation;
  for (auto& [id, p] : pending_requests_) {  // connections to it are reset
    if (p.to == NodeName(index))
      Schedule(now_ + Millis(1), [this, id = id] { CompleteRequest(id, kNoAnswer, ""); });
  }
  Schedule(now_ + back_after, [this, index] { StartNode(index); });
}

int World::LeaderIndex() const {
  if (backend_) return last_known_leader_;
  for (size_t i = 0; i < nodes_.size(); ++i) {
    if (nodes_[i].controller && nodes_[i].controller->leads()) return static_cast<int>(i);
  }
  return -1;
}

void World::TickNode(size_t index, int incarnation) {
  Node& n = nodes_[index];
  if (!n.controller || n.incarnation != incarnation) return;
  if (n.paused_until > now_) {
    return Schedule(n.paused_until, [this, index, incarnation] { TickNode(index, incarnation); });
  }
  n.controller->Tick(now_, now_.ToMillis());
  if (const badgershore::Leader* leader = n.controller->leader()) {
    const std::string fault = leader->VerifyCounts();
    if (!fault.empty()) context_->result.violations.push_back({"count", now_.ToSeconds(), fault});
  }
  ProcessNodeEffects(index);
  if (!held_heartbeats_.empty() && LeaderIndex() >= 0 && LeaderIndex() != leader_when_held_)
    DeliverHeldHeartbeats();
  Schedule(now_ + kTick, [this, index, incarnation] { TickNode(index, incarnation); });
}

// Delivers the held heartbeats to a new leader while it reads its records, reconciles machines and
// starts its first tasks.
void World::DeliverHeldHeartbeats() {
  for (const wire::Call& call : std::exchange(held_heartbeats_, {})) {
    for (size_t k = 0; k < nodes_.size(); ++k) {
      Schedule(now_ + RandomDuration(0.01, 3),
               [this, k, call] { HandleRequest(0, NodeName(k), call); });
    }
  }
}

// Messages to a paused process are handled when it resumes.
void World::RunWhenResumed(size_t index, std::function<void(Controller*)> then) {
  const Node& n = nodes_[index];
  if (!n.controller) return;
  if (n.paused_until > now_) {
    return Schedule(n.paused_until,
                    [this, index, incarnation = n.incarnation, then = std::move(then)] {
                      if (nodes_[index].incarnation == incarnation) RunWhenResumed(index, then);
                    });
  }
  then(n.controller.get());
  ProcessNodeEffects(index);
}

void World::SendStateRequest(size_t index, const StateRequest& op) {
  const RequestId id = op.id;
  wire::Call call = wire::FormatStateRequest(op);
  SendRequest(NodeName(index), kState, std::move(call),
              [this, index, id, op](int status, const std::string& body) {
                StateResponse r;
                if (status == kNotSent) {
                  r.outcome = StateResponse::Outcome::kRefused;
                } else if (status != kNoAnswer) {
                  r = wire::ParseStateResponse(op, status, body);
                }
                nodes_[index].controller->OnStateResponse(now_, id, std::move(r));
                ProcessNodeEffects(index);
              });
}

void World::ProcessNodeEffects(size_t index) {
  Node& n = nodes_[index];
  const std::string name = NodeName(index);
  Effects out = n.controller->TakeEffects();
  const auto answer = [&](RequestId token, int status, std::string body) {
    auto it = n.callers.find(token);
    if (it == n.callers.end()) return;
    Respond(it->second, status, std::move(body));
    n.callers.erase(it);
  };
  for (const LogLine& line : out.log) {
    if (line.level == LogLine::Level::kDebug) continue;
    char at[32];
    std::snprintf(at, sizeof(at), "%.6f ", now_.ToSeconds());
    context_->result.log += at + name + " " + line.text + "\n";
  }
  for (const HeartbeatResponse& a : out.heartbeat_responses)
    answer(a.request_id, a.status, wire::FormatHeartbeatResponse(a));
  for (const ApiResponse& a : out.api_responses)
    answer(a.request_id, a.status, wire::FormatApiResponse(a));
  for (const PeerStatus& message : out.peer_statuses) {
    for (size_t k = 0; k < nodes_.size(); ++k) {
      if (k == index) continue;
      Deliver(name, NodeName(k), false, [this, k, message] {
        RunWhenResumed(k, [this, message](Controller* controller) {
          controller->OnPeerStatus(now_, message);
        });
      });
    }
  }
  for (const membership::Message& m : out.membership_messages) {
    const size_t k = NodeIndex(m.to);
    Deliver(name, m.to, false, [this, k, m] {
      RunWhenResumed(
          k, [this, m](Controller* controller) { controller->OnMembershipMessage(now_, m); });
    });
  }
  for (const CancellationConfirmation& confirmation : out.cancellation_confirmations) {
    const size_t k = NodeIndex(confirmation.to);
    Deliver(name, confirmation.to, false, [this, k, confirmation] {
      RunWhenResumed(k, [this, confirmation](Controller* controller) {
        controller->OnCancellationConfirmation(now_, confirmation);
      });
    });
  }
  for (const CellDelivery& send : out.cell_deliveries) SendToCell(index, send);
  for (StateRequest& op : out.state_requests) {
    const bool paced =
        op.kind != StateRequest::Kind::kRenewLease && op.kind != StateRequest::Kind::kGrantLease &&
        op.kind != StateRequest::Kind::kRevokeLease && op.kind != StateRequest::Kind::kWatch;
    if (!paced || n.state_rate_limiter.TryAcquire(now_, 1)) {
      SendStateRequest(index, op);
      continue;
    }
    // As in the state client: retried every 20 ms, refused after 1 s.
    auto attempt = std::make_shared<std::function<void()>>();
    *attempt = [this, index, op, incarnation = n.incarnation, start = now_,
                weak = std::weak_ptr<std::function<void()>>(attempt)] {
      Node& node = nodes_[index];
      if (!node.controller || node.incarnation != incarnation) return;
      if (node.state_rate_limiter.TryAcquire(now_, 1)) return SendStateRequest(index, op);
      if (now_ - start > Seconds(1)) {
        StateResponse r;
        r.outcome = StateResponse::Outcome::kRefused;
        node.controller->OnStateResponse(now_, op.id, r);
        return ProcessNodeEffects(index);
      }
      Schedule(now_ + Millis(20), [self = weak.lock()] { (*self)(); });
    };
    Schedule(now_ + Millis(20), [attempt] { (*attempt)(); });
  }
  for (const CloudRequest& op : out.cloud_requests) {
    SendRequest(name, kCloud, wire::FormatCloudRequest(op),
                [this, index, op](int status, const std::string& body) {
                  CloudResponse r;
                  if (status == kNotSent) {
                    r.outcome = CloudResponse::Outcome::kThrottled;
                  } else if (status != kNoAnswer) {
                    r = wire::ParseCloudResponse(op, status, body);
                  }
                  nodes_[index].controller->OnCloudResponse(now_, op.id, std::move(r));
                  ProcessNodeEffects(index);
                });
  }
  for (const CommandRequest& op : out.command_requests) {
    wire::Call call{"POST", "/do", wire::FormatCommandRequest(op), Seconds(3)};
    SendRequest(name, op.endpoint, std::move(call),
                [this, index, id = op.id](int status, const std::string& body) {
                  CommandResponse r;
                  r.status = std::max(status, 0);
                  if (status > 0) r.heartbeat = wire::ParseHeartbeat(body);
                  nodes_[index].controller->OnCommandResponse(now_, id, std::move(r));
                  ProcessNodeEffects(index);
                });
  }
}

void World::HandleNodeRequest(size_t index, uint64_t id, const wire::Call& call) {
  Node& n = nodes_[index];
  if (!n.controller) return Respond(id, kNotSent, "");
  if (n.paused_until > now_) {
    return Schedule(n.paused_until,
                    [this, index, id, call] { HandleNodeRequest(index, id, call); });
  }
  if (call.target == "/healthz")
    return Respond(id, n.controller->IsHealthy(now_) ? 200 : 503, "{}");
  const RequestId token = ++n.next_token;
  n.callers[token] = id;
  if (call.target == "/checkin") {
    Heartbeat heartbeat = *wire::ParseHeartbeat(call.body);
    // Each heartbeat has a connection of its own, opened when it was sent. A duplicate (id 0) has a
    // new one.
    heartbeat.connection = id != 0 ? id : ++next_call_;
    n.controller->OnHeartbeat(now_, token, heartbeat);
  } else if (call.target == "/work") {
    n.controller->OnSubmit(now_, token, wire::ParseSubmission(call.body, now_.ToMillis()));
  } else if (call.target.ends_with("/withdraw")) {
    n.controller->OnCancel(now_, token, call.target.substr(6, call.target.size() - 15));
  } else {
    n.controller->OnQuery(now_, token, call.target.substr(6));
  }
  ProcessNodeEffects(index);
}

CellsConfig World::Cells() const {
  CellsConfig plan;
  if (!all_cells_) return plan;
  plan.self = name_;
  for (size_t i = 0; i < scenario_.cells.size(); ++i) {
    CellConfig site;
    site.name = scenario_.cells[i];
    for (size_t k = 0; k < nodes_.size(); ++k) {
      site.addresses.push_back((i == 0 ? "" : site.name + "/") + NodeName(k));
    }
    plan.cells.push_back(std::move(site));
  }
  return plan;
}

// Across a partition between cells a message is lost or delayed, as on a connection that stays
// open.
void World::SendToCell(size_t index, const CellDelivery& send) {
  (void)index;
  for (World* other : *all_cells_) {
    if (other->name_ != send.message.to) continue;
    Micros at = now_ + RandomDuration(0.005, 0.03);
    for (const ScenarioContext::CellPartition& partition : context_->cell_partitions) {
      if (partition.until <= now_) continue;
      const auto named = [&](const std::string& a, const std::string& b) {
        return (partition.a == a || partition.a == "all") && partition.b == b;
      };
      if (!named(name_, other->name_) && !named(other->name_, name_)) continue;
      if (RandomFraction() < 0.9) return;
      at = std::max(at, partition.until + RandomDuration(0.001, 2));
    }
    for (const std::string& to : send.addresses) {
      const size_t k = NodeIndex(to);
      Schedule(at, [other, k, message = send.message] {
        other->RunWhenResumed(k, [other, message](Controller* controller) {
          controller->OnCellMessage(other->now_, message);
        });
      });
    }
  }
}

}  // namespace badgershore::rehearsal
