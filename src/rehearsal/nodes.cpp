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
  s.peer_listen = prefix_ + s.member;
  for (size_t k = 0; k < nodes_.size(); ++k) {
    if (k != index) s.members.push_back({NodeName(k), NodeName(k)});
  }
  ++n.life;
  n.frozen_until = {};
  Options options;
  options.cells = Cells();
  n.core = std::make_unique<Controller>(s, options);
  n.callers.clear();
  n.rate = store::RateLimiter(s.state_rps * 0.9 / static_cast<double>(nodes_.size()), now_);
  Later(now_ + Between(0.001, 0.1), [this, index, life = n.life] { TickNode(index, life); });
}

void World::KillNode(size_t index, Micros back_after) {
  Node& n = nodes_[index];
  if (!n.core && !outside_) return;
  Note("ends " + NodeName(index));
  if (outside_) return outside_->KillNode(index, back_after);
  n.core.reset();
  ++n.life;
  for (auto& [id, p] : pending_) {  // connections to it are reset
    if (p.to == NodeName(index))
      Later(now_ + Millis(1), [this, id = id] { Finish(id, kNoAnswer, ""); });
  }
  Later(now_ + back_after, [this, index] { StartNode(index); });
}

int World::Leader() const {
  if (outside_) return seen_leader_;
  for (size_t i = 0; i < nodes_.size(); ++i) {
    if (nodes_[i].core && nodes_[i].core->leads()) return static_cast<int>(i);
  }
  return -1;
}

void World::TickNode(size_t index, int life) {
  Node& n = nodes_[index];
  if (!n.core || n.life != life) return;
  if (n.frozen_until > now_) {
    return Later(n.frozen_until, [this, index, life] { TickNode(index, life); });
  }
  n.core->Tick(now_, now_.ToMillis());
  if (const badgershore::Leader* leader = n.core->leader()) {
    const std::string fault = leader->VerifyCounts();
    if (!fault.empty()) stage_->result.broken.push_back({"count", now_.ToSeconds(), fault});
  }
  PumpNode(index);
  if (!kept_reports_.empty() && Leader() >= 0 && Leader() != kept_under_) BringKeptReports();
  Later(now_ + kTick, [this, index, life] { TickNode(index, life); });
}

// Delivers the held heartbeats to a new leader while it reads its records, reconciles machines and
// starts its first tasks.
void World::BringKeptReports() {
  for (const wire::Call& call : std::exchange(kept_reports_, {})) {
    for (size_t k = 0; k < nodes_.size(); ++k) {
      Later(now_ + Between(0.01, 3), [this, k, call] { Serve(0, NodeName(k), call); });
    }
  }
}

// Messages to a paused process are handled when it resumes.
void World::WhenAwake(size_t index, std::function<void(Controller*)> then) {
  const Node& n = nodes_[index];
  if (!n.core) return;
  if (n.frozen_until > now_) {
    return Later(n.frozen_until, [this, index, life = n.life, then = std::move(then)] {
      if (nodes_[index].life == life) WhenAwake(index, then);
    });
  }
  then(n.core.get());
  PumpNode(index);
}

void World::NodeState(size_t index, const StateRequest& op) {
  const RequestId id = op.id;
  wire::Call call = wire::FormatStateCall(op);
  Send(NodeName(index), kState, std::move(call),
       [this, index, id, op](int status, const std::string& body) {
         StateResponse r;
         if (status == kNotSent) {
           r.outcome = StateResponse::Outcome::kRefused;
         } else if (status != kNoAnswer) {
           r = wire::ParseStateAnswer(op, status, body);
         }
         nodes_[index].core->OnStateResponse(now_, id, std::move(r));
         PumpNode(index);
       });
}

void World::PumpNode(size_t index) {
  Node& n = nodes_[index];
  const std::string name = NodeName(index);
  Effects out = n.core->TakeEffects();
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
    stage_->result.log += at + name + " " + line.text + "\n";
  }
  for (const HeartbeatResponse& a : out.heartbeat_responses)
    answer(a.request_id, a.status, wire::FormatCheckinAnswer(a));
  for (const ApiResponse& a : out.api_responses)
    answer(a.request_id, a.status, wire::FormatAnswer(a));
  for (const PeerStatus& note : out.peer_statuses) {
    for (size_t k = 0; k < nodes_.size(); ++k) {
      if (k == index) continue;
      Deliver(name, NodeName(k), false, [this, k, note] {
        WhenAwake(k, [this, note](Controller* core) { core->OnPeerStatus(now_, note); });
      });
    }
  }
  for (const membership::Message& m : out.membership_messages) {
    const size_t k = NodeIndex(m.to);
    Deliver(name, m.to, false, [this, k, m] {
      WhenAwake(k, [this, m](Controller* core) { core->OnMembershipMessage(now_, m); });
    });
  }
  for (const CellDelivery& send : out.cell_deliveries) TellCell(index, send);
  for (StateRequest& op : out.state_requests) {
    const bool paced =
        op.kind != StateRequest::Kind::kRenewLease && op.kind != StateRequest::Kind::kGrantLease &&
        op.kind != StateRequest::Kind::kRevokeLease && op.kind != StateRequest::Kind::kWatch;
    if (!paced || n.rate.TryAcquire(now_, 1)) {
      NodeState(index, op);
      continue;
    }
    // As in the state client: retried every 20 ms, refused after 1 s.
    auto attempt = std::make_shared<std::function<void()>>();
    *attempt = [this, index, op, life = n.life, start = now_,
                weak = std::weak_ptr<std::function<void()>>(attempt)] {
      Node& node = nodes_[index];
      if (!node.core || node.life != life) return;
      if (node.rate.TryAcquire(now_, 1)) return NodeState(index, op);
      if (now_ - start > Seconds(1)) {
        StateResponse r;
        r.outcome = StateResponse::Outcome::kRefused;
        node.core->OnStateResponse(now_, op.id, r);
        return PumpNode(index);
      }
      Later(now_ + Millis(20), [self = weak.lock()] { (*self)(); });
    };
    Later(now_ + Millis(20), [attempt] { (*attempt)(); });
  }
  for (const CloudRequest& op : out.cloud_requests) {
    Send(name, kCloud, wire::FormatCloudCall(op),
         [this, index, op](int status, const std::string& body) {
           CloudResponse r;
           if (status == kNotSent) {
             r.outcome = CloudResponse::Outcome::kThrottled;
           } else if (status != kNoAnswer) {
             r = wire::ParseCloudAnswer(op, status, body);
           }
           nodes_[index].core->OnCloudResponse(now_, op.id, std::move(r));
           PumpNode(index);
         });
  }
  for (const CommandRequest& op : out.command_requests) {
    wire::Call call{"POST", "/do", wire::FormatDirect(op), Seconds(3)};
    Send(name, op.endpoint, std::move(call),
         [this, index, id = op.id](int status, const std::string& body) {
           CommandResponse r;
           r.status = std::max(status, 0);
           if (status > 0) r.heartbeat = wire::ParseReport(body);
           nodes_[index].core->OnCommandResponse(now_, id, std::move(r));
           PumpNode(index);
         });
  }
}

void World::ServeNode(size_t index, uint64_t id, const wire::Call& call) {
  Node& n = nodes_[index];
  if (!n.core) return Respond(id, kNotSent, "");
  if (n.frozen_until > now_) {
    return Later(n.frozen_until, [this, index, id, call] { ServeNode(index, id, call); });
  }
  if (call.target == "/healthz") return Respond(id, n.core->IsHealthy(now_) ? 200 : 503, "{}");
  const RequestId token = ++n.next_token;
  n.callers[token] = id;
  if (call.target == "/checkin") {
    n.core->OnHeartbeat(now_, token, *wire::ParseReport(call.body));
  } else if (call.target == "/work") {
    n.core->OnSubmit(now_, token, wire::ParseSubmission(call.body, now_.ToMillis()));
  } else if (call.target.ends_with("/withdraw")) {
    n.core->OnCancel(now_, token, call.target.substr(6, call.target.size() - 15));
  } else {
    n.core->OnQuery(now_, token, call.target.substr(6));
  }
  PumpNode(index);
}

CellsPlan World::Cells() const {
  CellsPlan plan;
  if (!all_) return plan;
  plan.self = name_;
  for (size_t i = 0; i < scenario_.cells.size(); ++i) {
    CellSite site;
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
void World::TellCell(size_t index, const CellDelivery& send) {
  (void)index;
  for (World* other : *all_) {
    if (other->name_ != send.message.to) continue;
    Micros at = now_ + Between(0.005, 0.03);
    for (const Stage::CellCut& cut : stage_->cuts) {
      if (cut.until <= now_) continue;
      const auto named = [&](const std::string& a, const std::string& b) {
        return (cut.a == a || cut.a == "all") && cut.b == b;
      };
      if (!named(name_, other->name_) && !named(other->name_, name_)) continue;
      if (Chance() < 0.9) return;
      at = std::max(at, cut.until + Between(0.001, 2));
    }
    for (const std::string& to : send.addresses) {
      const size_t k = NodeIndex(to);
      Later(at, [other, k, note = send.message] {
        other->WhenAwake(
            k, [other, note](Controller* core) { core->OnCellMessage(other->now_, note); });
      });
    }
  }
}

}  // namespace badgershore::rehearsal
