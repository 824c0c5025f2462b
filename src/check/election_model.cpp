#include "check/election_model.h"

#include <algorithm>
#include <map>

#include "core/desk/election.h"

namespace badgershore::check {
namespace {

constexpr Micros kLease = Millis(900), kStep = Millis(300);

}  // namespace

struct ElectionModel::Play {
  struct Node {
    std::unique_ptr<Asker> asker;
    std::unique_ptr<Election> election;
    std::vector<StateOp> late;                           // sent, not carried out yet
    std::vector<std::pair<RequestId, StateReply>> held;  // carried out, not answered yet
    std::vector<StateOp> watches;
    bool retiring = false;
  };
  struct Item {
    Record value;
    uint64_t stamp = 0, lease = 0;
  };

  explicit Play(const ElectionPlan& p) : plan(p), nodes(static_cast<size_t>(p.nodes)) {
    for (size_t i = 0; i < nodes.size(); ++i) Start(i);
  }

  std::string Name(size_t i) const { return std::string(1, static_cast<char>('a' + i)); }
  // The clock of a node.
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
    n.asker = std::make_unique<Asker>();
    Election::Callbacks callbacks;
    callbacks.won = [](Micros) {};
    callbacks.lost = [](Micros) {};
    callbacks.control = [](Micros, const Entry&) {};
    n.election = std::make_unique<Election>(n.asker.get(), Name(i), static_cast<int>(i), kLease,
                                            std::move(callbacks));
  }

  void EndLeases() {
    for (auto it = leases.begin(); it != leases.end();) {
      const bool early = plan.planted == PlantedInLease::kEarlyEnd;
      if (now < (early ? it->second - Millis(500) : it->second)) {
        ++it;
        continue;
      }
      const uint64_t lease = it->first;
      it = leases.erase(it);
      Drop(lease);
    }
  }
  void Drop(uint64_t lease) {
    for (auto it = items.begin(); it != items.end();) {
      if (it->second.lease != lease) {
        ++it;
        continue;
      }
      log.push_back({it->first, {}, ++epoch, true});
      it = items.erase(it);
    }
  }

  StateReply Carry(size_t i, const StateOp& op) {
    using K = StateOp::Kind;
    StateReply r;
    r.outcome = StateReply::Outcome::kOk;
    r.epoch = epoch;
    switch (op.kind) {
      case K::kList:
        for (const auto& [key, item] : items) r.entries.push_back({key, item.value, item.stamp});
        break;
      case K::kGrant:
        r.lease = plan.planted == PlantedInLease::kLeaseOfName ? i + 1 : ++last_lease;
        leases[r.lease] = now + op.span;
        break;
      case K::kTouch:
        if (!leases.contains(op.lease)) {
          r.outcome = StateReply::Outcome::kMissing;
        } else {
          leases[op.lease] = now + kLease;
        }
        break;
      case K::kRelease:
        leases.erase(op.lease);
        Drop(op.lease);
        break;
      case K::kCommit: {
        for (const Guard& g : op.guards) {
          auto it = items.find(g.key);
          if ((it == items.end() ? 0 : it->second.stamp) != g.stamp &&
              plan.planted != PlantedInLease::kNoGuards) {
            r.failed.push_back(g.key);
          }
        }
        for (const Change& c : op.changes) {
          if (c.lease != 0 && !leases.contains(c.lease)) {
            r.outcome = StateReply::Outcome::kInvalid;
            return r;
          }
        }
        if (!r.failed.empty()) {
          r.outcome = StateReply::Outcome::kConflict;
          return r;
        }
        r.epoch = ++epoch;
        for (const Change& c : op.changes) {
          if (c.erase) {
            items.erase(c.key);
          } else {
            items[c.key] = {c.value, epoch, c.lease};
          }
          log.push_back({c.key, c.value, epoch, c.erase});
        }
        break;
      }
      default:
        break;
    }
    return r;
  }

  enum class How { kAtOnce, kLateAnswer, kLateRequest, kLost };
  // What the node asks is carried out and answered as `how` says; watches have their own turn.
  void Serve(size_t i, How how) {
    Node& n = nodes[i];
    for (int round = 0; round < 6; ++round) {
      std::vector<StateOp> ops = std::exchange(n.asker->out.state, {});
      if (ops.empty()) return;
      for (StateOp& op : ops) {
        if (op.kind == StateOp::Kind::kWatch) {
          n.watches.push_back(op);
        } else if (how == How::kLateRequest) {
          n.late.push_back(op);
        } else {
          StateReply r = Carry(i, op);
          if (how == How::kLost) r = StateReply{};
          if (how == How::kLateAnswer) {
            n.held.emplace_back(op.id, r);
          } else {
            n.asker->Reply(Clock(i), op.id, r);
          }
        }
      }
    }
  }
  void News(size_t i) {
    Node& n = nodes[i];
    for (StateOp& op : std::exchange(n.watches, {})) {
      StateReply r;
      r.outcome = StateReply::Outcome::kOk;
      r.epoch = epoch;
      for (const Entry& e : log)
        if (e.stamp > op.revision) r.entries.push_back(e);
      if (r.entries.empty()) {
        n.watches.push_back(op);
      } else {
        n.asker->Reply(Clock(i), op.id, r);
      }
    }
  }

  void Do(const std::string& event) {
    const size_t space = event.find(' ');
    const std::string what = event.substr(0, space);
    if (what == "time") {
      now += kStep;
      ++times;
      EndLeases();
      return;
    }
    if (what == "orphan") {
      const auto [of, op] = orphans.front();
      orphans.erase(orphans.begin());
      Carry(of, op);
      return;
    }
    const auto i = static_cast<size_t>(event[space + 1] - 'a');
    Node& n = nodes[i];
    if (what == "ends") {
      ++ends;
      // Back at once. What its last life had under way is carried out at any later time, or never.
      for (StateOp& op : nodes[i].late) orphans.emplace_back(i, std::move(op));
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
      for (auto& [id, r] : std::exchange(n.held, {})) n.asker->Reply(Clock(i), id, r);
      for (const StateOp& op : std::exchange(n.late, {})) {
        StateReply r = Carry(i, op);
        n.asker->Reply(Clock(i), op.id, r);
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

  ElectionPlan plan;
  std::vector<Node> nodes;
  std::vector<std::pair<size_t, StateOp>> orphans;  // sent by a life that has ended
  Micros now = Seconds(10);
  int times = 0, ends = 0, lates = 0, losses = 0, retires = 0;
  std::map<std::string, Item> items;
  std::map<uint64_t, Micros> leases;
  std::vector<Entry> log;
  uint64_t epoch = 1, last_lease = 0;
};

ElectionModel::ElectionModel(const ElectionPlan& plan) : plan_(plan) {}
ElectionModel::ElectionModel(const ElectionModel& other)
    : plan_(other.plan_), events_(other.events_) {}
ElectionModel::ElectionModel(ElectionModel&& other) noexcept
    : plan_(other.plan_), events_(std::move(other.events_)) {}
ElectionModel::~ElectionModel() = default;

const ElectionModel::Play& ElectionModel::Now() const {
  if (!play_) {
    play_ = std::make_unique<Play>(plan_);
    for (const std::string& e : events_) play_->Do(e);
  }
  return *play_;
}

void ElectionModel::Happen(const std::string& event) {
  events_.push_back(event);
  if (play_) play_->Do(event);
}

std::vector<std::string> ElectionModel::Events() const {
  const Play& p = Now();
  std::vector<std::string> out;
  if (p.times < plan_.times) out.push_back("time -");
  if (!p.orphans.empty()) out.push_back("orphan -");
  for (size_t i = 0; i < p.nodes.size(); ++i) {
    const Play::Node& n = p.nodes[i];
    const std::string name = p.Name(i);
    out.push_back("ticks " + name);
    if (p.lates < plan_.lates) {
      out.push_back("late-answer " + name);
      out.push_back("late-request " + name);
    }
    if (p.losses < plan_.losses) out.push_back("lost " + name);
    if (!n.late.empty() || !n.held.empty()) out.push_back("answers " + name);
    if (p.ends < plan_.ends) out.push_back("ends " + name);
    if (p.retires < plan_.retires && n.election->leads()) out.push_back("retires " + name);
  }
  return out;
}

std::string ElectionModel::Key() const {
  const Play& p = Now();
  std::string key = std::to_string(p.times) + ' ' + std::to_string(p.ends) + ' ' +
                    std::to_string(p.lates) + ' ' + std::to_string(p.losses) + ' ' +
                    std::to_string(p.retires) + ' ' + std::to_string(p.epoch) + ';';
  for (const auto& [k, item] : p.items) {
    key += k + ' ' + std::to_string(item.stamp) + ' ' + std::to_string(item.lease) + ';';
  }
  for (const auto& [lease, until] : p.leases) {
    key += std::to_string(lease) + ' ' + std::to_string((until - p.now).count) + ';';
  }
  for (const auto& [of, op] : p.orphans) {
    key += "orphan" + std::to_string(of) + ' ' + std::to_string(static_cast<int>(op.kind)) + ' ' +
           std::to_string(op.lease) + ' ';
    for (const Guard& g : op.guards) key += std::to_string(g.stamp) + ' ';
  }
  for (size_t i = 0; i < p.nodes.size(); ++i) {
    const Play::Node& n = p.nodes[i];
    key += '|' + n.election->Show(p.Clock(i));
    for (const StateOp& op : n.late) {
      key += " late" + std::to_string(static_cast<int>(op.kind)) + std::to_string(op.lease);
    }
    for (const auto& [id, r] : n.held) {
      key += " held" + std::to_string(static_cast<int>(r.outcome)) + std::to_string(r.epoch);
    }
    for (const StateOp& op : n.watches) key += " w" + std::to_string(op.revision);
  }
  return key;
}

std::string ElectionModel::Broken() const {
  const Play& p = Now();
  std::string may;
  for (size_t i = 0; i < p.nodes.size(); ++i) {
    if (p.nodes[i].election->MayStart(p.Clock(i))) may += p.Name(i);
  }
  return may.size() > 1 ? "nodes " + may + " may start at once" : "";
}

}  // namespace badgershore::check
