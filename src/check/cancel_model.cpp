#include "check/cancel_model.h"

#include <algorithm>
#include <array>

#include "check/small_state.h"
#include "core/election/leader_authority.h"

namespace badgershore::check {
namespace {

// Short durations, in the same order as PROTOCOL's: leader's lease, agent lease, cancellation
// deadline.
constexpr Micros kLease = Seconds(2), kWorkerLease = Seconds(4), kCancel = Millis(9500);
constexpr Micros kTick = Millis(250), kWatch = Millis(500), kPatience = Seconds(4);
const std::string kJobKey = keys::kJob + "job-1";
// The clocks of the first controller and of the agent differ by the largest allowed error.
constexpr double kSlow = 0.9995, kFast = 1.0005;

class World : public Play {
 public:
  struct Watch {
    StateRequest op;
    Micros sent;
    std::optional<StateResponse> held;  // executed, not delivered yet
  };
  struct Node {
    std::unique_ptr<Outbox> outbox;
    std::unique_ptr<Election> election;
    std::unique_ptr<KeyRangeCache> jobs;
    std::unique_ptr<LeaderAuthority> authority;
    std::vector<Watch> watches;
    bool won = false, lost = false, knows = false;
    bool refused = false, hangs = false;
    Micros news_at{-1000000000};  // when the last list or watch response arrived
  };

  explicit World(const CancelPlan& p) : plan(p) {
    state.lease = kLease;
    JobSpec spec;
    spec.id = "job-1";
    ++state.epoch;
    state.Put(kJobKey, spec);
    for (size_t i = 0; i < nodes.size(); ++i) Start(i);
    // Elects a leader, to which the agent sends heartbeats and which starts the task.
    for (int i = 0; i < 4; ++i) Do("second");
    seconds = 0;
    for (const std::string& event : p.first) Do(event);
    troubles = 0;
  }

  Micros Clock(size_t i) const { return i == 0 ? now.Scaled(kSlow) : now; }
  Micros WorkerClock() const { return now.Scaled(1 / kFast); }

  void Start(size_t i) {
    Node& n = nodes[i];
    const bool refused = n.refused, hangs = n.hangs;
    n = Node();
    n.refused = refused;
    n.hangs = hangs;
    n.outbox = std::make_unique<Outbox>();
    Election::Callbacks callbacks;
    callbacks.on_elected = [&n](Micros) { n.won = true; };
    callbacks.on_lost = [&n](Micros) { n.lost = true; };
    callbacks.on_control_entry = [](Micros, const Entry&) {};
    n.election =
        std::make_unique<Election>(n.outbox.get(), std::string(1, static_cast<char>('a' + i)),
                                   static_cast<int>(i), kLease, std::move(callbacks));
  }

  // Creates the leader's state when a term begins, with the job records still to be read, and drops
  // it when the term ends.
  void LeaderContext(Node* n) {
    if (std::exchange(n->lost, false)) {
      n->authority.reset();
      n->jobs.reset();
      n->knows = false;
    }
    if (!std::exchange(n->won, false)) return;
    n->jobs = std::make_unique<KeyRangeCache>(
        n->outbox.get(), keys::kJob, [n](Micros, const Entry& e) { n->knows = !e.deleted; },
        [](Micros) {}, kWatch);
    n->authority = std::make_unique<LeaderAuthority>(n->election.get(), n->jobs.get(), kCancel,
                                                     kWorkerLease, kLease);
  }

  void Serve(size_t i) {
    Node& n = nodes[i];
    const bool served = !down && !n.refused;
    for (int round = 0; round < 8; ++round) {
      LeaderContext(&n);
      if (n.jobs) n.jobs->Tick(Clock(i));
      std::vector<StateRequest> ops = std::exchange(n.outbox->effects.state_requests, {});
      if (ops.empty()) break;
      for (StateRequest& op : ops) {
        if (op.kind == StateRequest::Kind::kWatch) {
          n.watches.push_back({op, now, {}});
          continue;
        }
        StateResponse r;
        r.outcome = StateResponse::Outcome::kRefused;
        const bool lost = n.hangs && op.kind == StateRequest::Kind::kList && op.key == keys::kJob;
        if (served && !lost) r = state.Carry(now, i, op);
        if (r.ok() && op.kind == StateRequest::Kind::kList && op.key == keys::kJob)
          n.news_at = Clock(i);
        n.outbox->Deliver(Clock(i), op.id, r);
      }
    }
    for (Watch& w : std::exchange(n.watches, {})) {
      if (!w.held && served) {
        StateResponse r = state.Since(w.op);
        if (!r.entries.empty() || now - w.sent >= w.op.duration) w.held = r;
      }
      const bool of_jobs = w.op.key == keys::kJob;
      if (w.held && !(n.hangs && of_jobs)) {
        if (of_jobs) n.news_at = Clock(i);
        n.outbox->Deliver(Clock(i), w.op.id, *w.held);
      } else if (now - w.sent > w.op.duration + kPatience) {
        StateResponse none;
        n.outbox->Deliver(Clock(i), w.op.id, none);
      } else {
        n.watches.push_back(std::move(w));
      }
    }
  }

  bool MayAnswer(size_t i) const {
    const Node& n = nodes[i];
    const Micros span = kCancel - kWorkerLease - Seconds(2);
    switch (plan.planted) {
      case PlantedInAuthority::kUnreadAnswers:
        if (!n.jobs->synced()) return Clock(i) < n.election->confirmed_at() + span;
        break;
      case PlantedInAuthority::kRenewalIsKnowledge:
        return n.jobs->synced() && Clock(i) < n.election->confirmed_at() + span;
      case PlantedInAuthority::kArrivalIsKnowledge:
        return n.jobs->synced() &&
               Clock(i) < std::min(n.election->confirmed_at(), n.news_at) + span;
      default:
        break;
    }
    return n.jobs->synced() && n.authority->MayAnswer(Clock(i));
  }

  void Report() {
    const Node& n = nodes[at];
    if (!n.election->leads() || !n.authority || !MayAnswer(at)) return;
    const uint64_t term = n.election->term();
    if (term < fencing_token) return;
    const bool greeted = std::exchange(fencing_token, term) != term;
    lease_end = WorkerClock() + kWorkerLease;
    if (on && n.jobs->synced() && !n.knows &&
        !(greeted && plan.planted == PlantedInAuthority::kNoHaltInGreeting)) {
      on = false;
    }
    if (!on && !greeted && n.knows && n.authority->MayStart(Clock(at))) {
      on = true;
      if (cancelled >= Micros{} && now - cancelled > kCancel) late = "starts";
    }
  }

  void Tick() {
    now += kTick;
    if (!down) state.EndLeases(now);
    for (size_t i = 0; i < nodes.size(); ++i) {
      nodes[i].election->Tick(Clock(i));
      Serve(i);
    }
    if (WorkerClock() >= lease_end) {  // the agent kills all tasks and starts a new epoch
      on = false;
      lease_end = WorkerClock() + kWorkerLease;
    }
    if (on && cancelled >= Micros{} && now - cancelled > kCancel) late = "is running";
  }

  void Do(const std::string& event) override {
    if (event == "second") {
      ++seconds;
      for (int i = 0; i < 4; ++i) Tick();
      return Report();
    }
    if (event == "cancel") {
      ++state.epoch;
      state.Erase(kJobKey);
      cancelled = now;
      return;
    }
    ++troubles;
    const size_t i = event.back() == 'b' ? 1 : 0;
    if (event == "outage") {
      down = !down;
      if (!down) {
        for (auto& [id, until] : state.leases) until = now + kLease;
      }
    } else if (event.starts_with("refuse")) {
      nodes[i].refused = !nodes[i].refused;
    } else if (event.starts_with("hang")) {
      nodes[i].hangs = !nodes[i].hangs;
    } else if (event == "moves") {
      at = 1 - at;
    } else {
      Start(i);
    }
  }

  std::vector<std::string> Events() const override {
    std::vector<std::string> out;
    if (seconds < plan.seconds) out.emplace_back("second");
    if (cancelled < Micros{} && !down) out.emplace_back("cancel");
    if (troubles >= plan.troubles) return out;
    out.insert(out.end(),
               {"outage", "moves", "refuse a", "refuse b", "hang a", "hang b", "ends a", "ends b"});
    return out;
  }
  std::string Key() const override {
    const auto until = [&](Micros at) { return std::to_string((at - now).count) + ' '; };
    std::string key = std::to_string(seconds) + ' ' + std::to_string(troubles) + ' ' +
                      std::to_string(at) + std::to_string(down) + std::to_string(on) + ' ' +
                      std::to_string(fencing_token) + ' ' + until(lease_end) + until(cancelled) +
                      std::to_string(state.epoch);
    for (const auto& [lease, end] : state.leases) key += std::to_string(lease) + until(end);
    for (size_t i = 0; i < nodes.size(); ++i) {
      const Node& n = nodes[i];
      key += '|' + n.election->Fingerprint(Clock(i)) + std::to_string(n.refused) +
             std::to_string(n.hangs) + std::to_string(n.knows);
      if (n.jobs) {
        key += std::to_string(n.jobs->synced()) + until(n.jobs->known_as_of()) + until(n.news_at);
      }
      key += until(n.election->confirmed_at());
      for (const Watch& w : n.watches) {
        key += 'w' + std::to_string(w.op.revision) + until(w.sent) + (w.held ? "h" : "");
      }
    }
    return key;
  }
  std::string Broken() const override {
    return late.empty() ? "" : "a task of the cancelled job " + late + " after the deadline";
  }

 private:
  CancelPlan plan;
  std::array<Node, 2> nodes;
  SmallState state;
  Micros now = Seconds(100);
  int seconds = 0, troubles = 0;
  bool down = false, on = false;
  size_t at = 0;
  uint64_t fencing_token = 0;
  Micros lease_end = kNever, cancelled{-1};
  std::string late;
};

}  // namespace

Replayed CancelModel(const CancelPlan& plan) {
  return Replayed([plan] { return std::make_unique<World>(plan); });
}

}  // namespace badgershore::check
