#include "check/election_model.h"

#include <algorithm>
#include <map>

#include "check/small_state.h"
#include "core/election/election.h"

namespace badgershore::check {
namespace {

constexpr Micros kLease = Millis(900), kStep = Millis(300);

class World : public ReplayableModel {
 public:
  struct Node {
    std::unique_ptr<Outbox> outbox;
    std::unique_ptr<Election> election;
    std::vector<StateRequest> delayed_requests;  // sent, not executed yet
    // Of requests that are executed, but not answered yet.
    std::vector<std::pair<RequestId, StateResponse>> delayed_responses;
    std::vector<StateRequest> watches;
    bool retiring = false;
  };
  explicit World(const ElectionPlan& p) : plan(p), nodes(static_cast<size_t>(p.nodes)) {
    state.renew_duration = kLease;
    state.expire_early = p.fault == ElectionFault::kEarlyExpiry ? Millis(500) : Micros{};
    state.ignore_preconditions = p.fault == ElectionFault::kIgnoredPreconditions;
    state.reuse_lease_ids = p.fault == ElectionFault::kReusedLeaseId;
    for (size_t i = 0; i < nodes.size(); ++i) StartNode(i);
  }

  std::string Name(size_t i) const { return std::string(1, static_cast<char>('a' + i)); }
  Micros Clock(size_t i) const {
    return plan.fault == ElectionFault::kSlowClock && i == 0 ? now.Scaled(0.3) : now;
  }

  void StartNode(size_t i) {
    Node& n = nodes[i];
    n.election.reset();
    n.delayed_requests.clear();
    n.delayed_responses.clear();
    n.watches.clear();
    n.retiring = false;
    n.outbox = std::make_unique<Outbox>();
    Election::Callbacks callbacks;
    callbacks.on_elected = [](Micros) {};
    callbacks.on_lost = [](Micros) {};
    callbacks.on_control_entry = [](Micros, const Entry&) {};
    n.election = std::make_unique<Election>(n.outbox.get(), Name(i), static_cast<int>(i), kLease,
                                            std::move(callbacks));
  }

  enum class Delivery { kImmediate, kDelayedResponse, kDelayedRequest, kLost };
  // Executes and answers the node's requests as `delivery` says. Watches are answered by
  // DeliverWatches.
  void ExecuteRequests(size_t i, Delivery delivery) {
    Node& n = nodes[i];
    for (int round = 0; round < 6; ++round) {
      std::vector<StateRequest> ops = std::exchange(n.outbox->effects.state_requests, {});
      if (ops.empty()) return;
      for (StateRequest& op : ops) {
        if (op.kind == StateRequest::Kind::kWatch) {
          n.watches.push_back(op);
        } else if (delivery == Delivery::kDelayedRequest) {
          n.delayed_requests.push_back(op);
        } else {
          StateResponse r = state.Execute(now, i, op);
          if (delivery == Delivery::kLost) r = StateResponse{};
          if (delivery == Delivery::kDelayedResponse) {
            n.delayed_responses.emplace_back(op.id, r);
          } else {
            n.outbox->Deliver(Clock(i), op.id, r);
          }
        }
      }
    }
  }
  void DeliverWatches(size_t i) {
    Node& n = nodes[i];
    for (StateRequest& op : std::exchange(n.watches, {})) {
      StateResponse r = state.ChangesSince(op);
      if (r.entries.empty()) {
        n.watches.push_back(op);
      } else {
        n.outbox->Deliver(Clock(i), op.id, r);
      }
    }
  }

  void Apply(const std::string& event) override {
    const size_t space = event.find(' ');
    const std::string action = event.substr(0, space);
    if (action == "time") {
      now += kStep;
      ++time_steps;
      state.ExpireLeases(now);
      return;
    }
    if (action == "orphan") {
      const auto [of, op] = orphaned_requests.front();
      orphaned_requests.erase(orphaned_requests.begin());
      state.Execute(now, of, op);
      return;
    }
    const auto i = static_cast<size_t>(event[space + 1] - 'a');
    Node& n = nodes[i];
    if (action == "ends") {
      ++restarts;
      // It restarts at once. Requests of its previous run are executed at any later time, or never.
      for (StateRequest& op : nodes[i].delayed_requests)
        orphaned_requests.emplace_back(i, std::move(op));
      StartNode(i);
      return;
    }
    if (action == "retires") {
      ++handovers;
      n.retiring = true;
      n.election->HandOver(Clock(i), Name((i + 1) % nodes.size()));
      return ExecuteRequests(i, Delivery::kImmediate);
    }
    if (action == "answers") {
      for (auto& [id, r] : std::exchange(n.delayed_responses, {}))
        n.outbox->Deliver(Clock(i), id, r);
      for (const StateRequest& op : std::exchange(n.delayed_requests, {})) {
        StateResponse r = state.Execute(now, i, op);
        n.outbox->Deliver(Clock(i), op.id, r);
      }
      return ExecuteRequests(i, Delivery::kImmediate);
    }
    delays += action == "late-answer" || action == "late-request";
    losses += action == "lost";
    DeliverWatches(i);
    n.election->Tick(Clock(i));
    ExecuteRequests(i, action == "late-answer"    ? Delivery::kDelayedResponse
                       : action == "late-request" ? Delivery::kDelayedRequest
                       : action == "lost"         ? Delivery::kLost
                                                  : Delivery::kImmediate);
  }

  std::vector<std::string> Events() const override {
    std::vector<std::string> out;
    if (time_steps < plan.time_steps) out.emplace_back("time -");
    if (!orphaned_requests.empty()) out.emplace_back("orphan -");
    for (size_t i = 0; i < nodes.size(); ++i) {
      const Node& n = nodes[i];
      const std::string name = Name(i);
      out.push_back("ticks " + name);
      if (delays < plan.delays) {
        out.push_back("late-answer " + name);
        out.push_back("late-request " + name);
      }
      if (losses < plan.losses) out.push_back("lost " + name);
      if (!n.delayed_requests.empty() || !n.delayed_responses.empty())
        out.push_back("answers " + name);
      if (restarts < plan.restarts) out.push_back("ends " + name);
      if (handovers < plan.handovers && n.election->leads()) out.push_back("retires " + name);
    }
    return out;
  }
  std::string Key() const override {
    std::string key = std::to_string(time_steps) + ' ' + std::to_string(restarts) + ' ' +
                      std::to_string(delays) + ' ' + std::to_string(losses) + ' ' +
                      std::to_string(handovers) + ' ' + std::to_string(state.revision) + ';';
    for (const auto& [k, item] : state.items) {
      key += k + ' ' + std::to_string(item.version) + ' ' + std::to_string(item.lease) + ';';
    }
    for (const auto& [lease, until] : state.leases) {
      key += std::to_string(lease) + ' ' + std::to_string((until - now).count) + ';';
    }
    for (const auto& [of, op] : orphaned_requests) {
      key += "orphan" + std::to_string(of) + ' ' + std::to_string(static_cast<int>(op.kind)) + ' ' +
             std::to_string(op.lease) + ' ';
      for (const Precondition& g : op.preconditions) key += std::to_string(g.version) + ' ';
    }
    for (size_t i = 0; i < nodes.size(); ++i) {
      const Node& n = nodes[i];
      key += '|' + n.election->Fingerprint(Clock(i));
      for (const StateRequest& op : n.delayed_requests) {
        key += " late" + std::to_string(static_cast<int>(op.kind)) + std::to_string(op.lease);
      }
      for (const auto& [id, r] : n.delayed_responses) {
        key += " held" + std::to_string(static_cast<int>(r.outcome)) + std::to_string(r.revision);
      }
      for (const StateRequest& op : n.watches) key += " w" + std::to_string(op.revision);
    }
    return key;
  }
  std::string Violation() const override {
    std::string eligible;
    for (size_t i = 0; i < nodes.size(); ++i) {
      if (nodes[i].election->MayStart(Clock(i))) eligible += Name(i);
    }
    return eligible.size() > 1 ? "nodes " + eligible + " may start tasks at the same time" : "";
  }

 private:
  ElectionPlan plan;
  std::vector<Node> nodes;
  // Sent by a previous run of a node.
  std::vector<std::pair<size_t, StateRequest>> orphaned_requests;
  Micros now = Seconds(10);
  int time_steps = 0, restarts = 0, delays = 0, losses = 0, handovers = 0;
  FakeStateService state;
};

}  // namespace

ReplayedWorld ElectionModel(const ElectionPlan& plan) {
  return ReplayedWorld([plan] { return std::make_unique<World>(plan); });
}

}  // namespace badgershore::check
