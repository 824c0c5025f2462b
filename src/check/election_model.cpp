#include "check/election_model.h"

#include <algorithm>
#include <map>

#include "check/small_state.h"
#include "core/election/election.h"

namespace badgershore::check {
namespace {

constexpr Micros kLease = Millis(900), kStep = Millis(300);

class World : public Play {
 public:
  struct Node {
    std::unique_ptr<Outbox> outbox;
    std::unique_ptr<Election> election;
    std::vector<StateRequest> late;                         // sent, not executed yet
    std::vector<std::pair<RequestId, StateResponse>> held;  // executed, not answered yet
    std::vector<StateRequest> watches;
    bool retiring = false;
  };
  explicit World(const ElectionPlan& p) : plan(p), nodes(static_cast<size_t>(p.nodes)) {
    state.lease = kLease;
    state.ends_early = p.planted == PlantedInLease::kEarlyEnd ? Millis(500) : Micros{};
    state.no_guards = p.planted == PlantedInLease::kNoGuards;
    state.lease_of_name = p.planted == PlantedInLease::kLeaseOfName;
    for (size_t i = 0; i < nodes.size(); ++i) Start(i);
  }

  std::string Name(size_t i) const { return std::string(1, static_cast<char>('a' + i)); }
  Micros Clock(size_t i) const {
    return plan.planted == PlantedInLease::kSlowClock && i == 0 ? now.Scaled(0.3) : now;
  }

  void Start(size_t i) {
    Node& n = nodes[i];
    n.election.reset();
    n.late.clear();
    n.held.clear();
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

  enum class How { kAtOnce, kLateAnswer, kLateRequest, kLost };
  // Executes and answers the node's requests as `how` says. Watches are answered by News.
  void Serve(size_t i, How how) {
    Node& n = nodes[i];
    for (int round = 0; round < 6; ++round) {
      std::vector<StateRequest> ops = std::exchange(n.outbox->effects.state_requests, {});
      if (ops.empty()) return;
      for (StateRequest& op : ops) {
        if (op.kind == StateRequest::Kind::kWatch) {
          n.watches.push_back(op);
        } else if (how == How::kLateRequest) {
          n.late.push_back(op);
        } else {
          StateResponse r = state.Carry(now, i, op);
          if (how == How::kLost) r = StateResponse{};
          if (how == How::kLateAnswer) {
            n.held.emplace_back(op.id, r);
          } else {
            n.outbox->Deliver(Clock(i), op.id, r);
          }
        }
      }
    }
  }
  void News(size_t i) {
    Node& n = nodes[i];
    for (StateRequest& op : std::exchange(n.watches, {})) {
      StateResponse r = state.Since(op);
      if (r.entries.empty()) {
        n.watches.push_back(op);
      } else {
        n.outbox->Deliver(Clock(i), op.id, r);
      }
    }
  }

  void Do(const std::string& event) override {
    const size_t space = event.find(' ');
    const std::string what = event.substr(0, space);
    if (what == "time") {
      now += kStep;
      ++times;
      state.EndLeases(now);
      return;
    }
    if (what == "orphan") {
      const auto [of, op] = orphans.front();
      orphans.erase(orphans.begin());
      state.Carry(now, of, op);
      return;
    }
    const auto i = static_cast<size_t>(event[space + 1] - 'a');
    Node& n = nodes[i];
    if (what == "ends") {
      ++ends;
      // It restarts at once. Requests of its previous run are executed at any later time, or never.
      for (StateRequest& op : nodes[i].late) orphans.emplace_back(i, std::move(op));
      Start(i);
      return;
    }
    if (what == "retires") {
      ++retires;
      n.retiring = true;
      n.election->HandOver(Clock(i), Name((i + 1) % nodes.size()));
      return Serve(i, How::kAtOnce);
    }
    if (what == "answers") {
      for (auto& [id, r] : std::exchange(n.held, {})) n.outbox->Deliver(Clock(i), id, r);
      for (const StateRequest& op : std::exchange(n.late, {})) {
        StateResponse r = state.Carry(now, i, op);
        n.outbox->Deliver(Clock(i), op.id, r);
      }
      return Serve(i, How::kAtOnce);
    }
    lates += what == "late-answer" || what == "late-request";
    losses += what == "lost";
    News(i);
    n.election->Tick(Clock(i));
    Serve(i, what == "late-answer"    ? How::kLateAnswer
             : what == "late-request" ? How::kLateRequest
             : what == "lost"         ? How::kLost
                                      : How::kAtOnce);
  }

  std::vector<std::string> Events() const override {
    std::vector<std::string> out;
    if (times < plan.times) out.emplace_back("time -");
    if (!orphans.empty()) out.emplace_back("orphan -");
    for (size_t i = 0; i < nodes.size(); ++i) {
      const Node& n = nodes[i];
      const std::string name = Name(i);
      out.push_back("ticks " + name);
      if (lates < plan.lates) {
        out.push_back("late-answer " + name);
        out.push_back("late-request " + name);
      }
      if (losses < plan.losses) out.push_back("lost " + name);
      if (!n.late.empty() || !n.held.empty()) out.push_back("answers " + name);
      if (ends < plan.ends) out.push_back("ends " + name);
      if (retires < plan.retires && n.election->leads()) out.push_back("retires " + name);
    }
    return out;
  }
  std::string Key() const override {
    std::string key = std::to_string(times) + ' ' + std::to_string(ends) + ' ' +
                      std::to_string(lates) + ' ' + std::to_string(losses) + ' ' +
                      std::to_string(retires) + ' ' + std::to_string(state.epoch) + ';';
    for (const auto& [k, item] : state.items) {
      key += k + ' ' + std::to_string(item.stamp) + ' ' + std::to_string(item.lease) + ';';
    }
    for (const auto& [lease, until] : state.leases) {
      key += std::to_string(lease) + ' ' + std::to_string((until - now).count) + ';';
    }
    for (const auto& [of, op] : orphans) {
      key += "orphan" + std::to_string(of) + ' ' + std::to_string(static_cast<int>(op.kind)) + ' ' +
             std::to_string(op.lease) + ' ';
      for (const Precondition& g : op.preconditions) key += std::to_string(g.version) + ' ';
    }
    for (size_t i = 0; i < nodes.size(); ++i) {
      const Node& n = nodes[i];
      key += '|' + n.election->Fingerprint(Clock(i));
      for (const StateRequest& op : n.late) {
        key += " late" + std::to_string(static_cast<int>(op.kind)) + std::to_string(op.lease);
      }
      for (const auto& [id, r] : n.held) {
        key += " held" + std::to_string(static_cast<int>(r.outcome)) + std::to_string(r.revision);
      }
      for (const StateRequest& op : n.watches) key += " w" + std::to_string(op.revision);
    }
    return key;
  }
  std::string Broken() const override {
    std::string may;
    for (size_t i = 0; i < nodes.size(); ++i) {
      if (nodes[i].election->MayStart(Clock(i))) may += Name(i);
    }
    return may.size() > 1 ? "nodes " + may + " may start tasks at the same time" : "";
  }

 private:
  ElectionPlan plan;
  std::vector<Node> nodes;
  std::vector<std::pair<size_t, StateRequest>> orphans;  // sent by a previous run of a node
  Micros now = Seconds(10);
  int times = 0, ends = 0, lates = 0, losses = 0, retires = 0;
  SmallState state;
};

}  // namespace

Replayed ElectionModel(const ElectionPlan& plan) {
  return Replayed([plan] { return std::make_unique<World>(plan); });
}

}  // namespace badgershore::check
