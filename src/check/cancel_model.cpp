#include "check/cancel_model.h"

#include <algorithm>
#include <array>

#include "check/small_state.h"
#include "core/election/cancellation_fence.h"
#include "core/election/leader_authority.h"

namespace badgershore::check {
namespace {

// Short durations, in the same order as PROTOCOL's: leader's lease, agent lease, cancellation
// deadline.
constexpr Micros kLease = Seconds(2), kAgentLease = Seconds(4), kCancelDeadline = Millis(9500);
constexpr Micros kTick = Millis(250), kWatchTimeout = Millis(500), kResponseTimeout = Seconds(4);
const std::string kJobKey = keys::kJob + "job-1";
// The clocks of the first controller and of the agent differ by the largest allowed error.
constexpr double kSlowClockRate = 0.9995, kFastClockRate = 1.0005;

class World : public ReplayableModel {
 public:
  struct Watch {
    StateRequest op;
    Micros sent;
    std::optional<StateResponse> response;  // executed, not delivered yet
  };
  struct Node {
    std::unique_ptr<Outbox> outbox;
    std::unique_ptr<Election> election;
    std::unique_ptr<KeyRangeCache> jobs;
    std::unique_ptr<LeaderAuthority> authority;
    std::vector<Watch> watches;
    bool won = false, lost = false, job_exists = false;
    bool state_refuses = false, withholds_responses = false, paused = false;
    bool cut_from_recorder = false;
    bool cancellation_applied = false;     // on the word of the controller that recorded it
    Micros last_response_at{-1000000000};  // when the last list or watch response arrived
  };

  explicit World(const CancelPlan& p) : plan(p) {
    state.renew_duration = kLease;
    JobSpec spec;
    spec.id = "job-1";
    ++state.revision;
    state.Put(kJobKey, spec);
    for (size_t i = 0; i < nodes.size(); ++i) StartNode(i);
    StartNode(&recorder, kRecorder);
    recorder.election->HandOver(now, "");  // never a candidate
    fence = std::make_unique<CancellationFence>(recorder.election.get(), kLease);
    // Elects a leader, to which the agent sends heartbeats and which starts the task.
    for (int i = 0; i < 4; ++i) Apply("second");
    seconds = 0;
    for (const std::string& event : p.initial_events) Apply(event);
    faults = 0;
  }

  Micros Clock(size_t i) const { return i == 0 ? now.Scaled(kSlowClockRate) : now; }
  // The recorder's clock is the fast one: it waits for the least time.
  Micros RecorderClock() const { return now.Scaled(kFastClockRate); }
  Micros AgentClock() const { return now.Scaled(1 / kFastClockRate); }

  void StartNode(size_t i) { StartNode(&nodes[i], i); }

  void StartNode(Node* node, size_t i) {
    Node& n = *node;
    const bool state_refuses = n.state_refuses, withholds_responses = n.withholds_responses;
    const bool cut_from_recorder = n.cut_from_recorder;
    n = Node();
    n.cut_from_recorder = cut_from_recorder;
    n.state_refuses = state_refuses;
    n.withholds_responses = withholds_responses;
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
  void UpdateLeaderState(Node* n) {
    if (std::exchange(n->lost, false)) {
      n->authority.reset();
      n->jobs.reset();
      n->job_exists = n->cancellation_applied = false;
    }
    if (!std::exchange(n->won, false)) return;
    n->jobs = std::make_unique<KeyRangeCache>(
        n->outbox.get(), keys::kJob,
        [n](Micros, const Entry& e) { n->job_exists = !e.deleted && !n->cancellation_applied; },
        [](Micros) {}, kWatchTimeout);
    n->authority = std::make_unique<LeaderAuthority>(n->election.get(), n->jobs.get(),
                                                     kCancelDeadline, kAgentLease, kLease);
  }

  void ExecuteRequests(size_t i) { ExecuteRequests(&nodes[i], i, Clock(i)); }

  void ExecuteRequests(Node* node, size_t i, Micros clock) {
    Node& n = *node;
    const bool served = !state_down && !n.state_refuses;
    for (int round = 0; round < 8; ++round) {
      UpdateLeaderState(&n);
      if (n.jobs) n.jobs->Tick(clock);
      std::vector<StateRequest> ops = std::exchange(n.outbox->effects.state_requests, {});
      if (ops.empty()) break;
      for (StateRequest& op : ops) {
        if (op.kind == StateRequest::Kind::kWatch) {
          n.watches.push_back({op, now, {}});
          continue;
        }
        StateResponse r;
        r.outcome = StateResponse::Outcome::kRefused;
        const bool list_lost =
            n.withholds_responses && op.kind == StateRequest::Kind::kList && op.key == keys::kJob;
        if (served && !list_lost) r = state.Execute(now, i, op);
        if (r.ok() && op.kind == StateRequest::Kind::kList && op.key == keys::kJob)
          n.last_response_at = clock;
        n.outbox->Deliver(clock, op.id, r);
      }
    }
    for (Watch& w : std::exchange(n.watches, {})) {
      if (!w.response && served) {
        StateResponse r = state.ChangesSince(w.op);
        if (!r.entries.empty() || now - w.sent >= w.op.duration) w.response = r;
      }
      const bool watches_jobs = w.op.key == keys::kJob;
      if (w.response && !(n.withholds_responses && watches_jobs)) {
        if (watches_jobs) n.last_response_at = clock;
        n.outbox->Deliver(clock, w.op.id, *w.response);
      } else if (now - w.sent > w.op.duration + kResponseTimeout) {
        StateResponse none;
        n.outbox->Deliver(clock, w.op.id, none);
      } else {
        n.watches.push_back(std::move(w));
      }
    }
  }

  bool MayAnswerHeartbeats(size_t i) const {
    const Node& n = nodes[i];
    const Micros answer_span = kCancelDeadline - kAgentLease - Seconds(2);
    switch (plan.fault) {
      case AuthorityFault::kAnswerBeforeRead:
        if (!n.jobs->synced()) return Clock(i) < n.election->confirmed_at() + answer_span;
        break;
      case AuthorityFault::kCountFromRenewal:
        return n.jobs->synced() && Clock(i) < n.election->confirmed_at() + answer_span;
      case AuthorityFault::kCountFromArrival:
        return n.jobs->synced() &&
               Clock(i) < std::min(n.election->confirmed_at(), n.last_response_at) + answer_span;
      default:
        break;
    }
    return n.jobs->synced() && n.authority->MayAnswerHeartbeats(Clock(i));
  }

  // The recorder asks the leader, and tells the user once the fence allows it.
  void ConfirmCancellation() {
    if (!plan.confirmations || cancelled_at < Micros{}) return;
    for (size_t i = 0; i < nodes.size(); ++i) {
      Node& n = nodes[i];
      if (n.cut_from_recorder || n.paused || !n.election->leads() || !n.authority) continue;
      n.job_exists = false;
      n.cancellation_applied = true;
      if (n.election->MayStart(Clock(i)) || plan.fault == AuthorityFault::kConfirmPastLease)
        fence->OnLeaderConfirmed("job-1");
    }
    told = told || plan.fault == AuthorityFault::kReportWhenRecorded ||
           fence->Check(RecorderClock(), "job-1") != CancellationFence::Basis::kNone;
  }

  void SendHeartbeat() {
    const Node& n = nodes[agent_node];
    if (n.paused) return;
    if (!n.election->leads() || !n.authority || !MayAnswerHeartbeats(agent_node)) return;
    const uint64_t term = n.election->term();
    if (term < fencing_token) return;
    const bool first_response = std::exchange(fencing_token, term) != term;
    lease_end = AgentClock() + kAgentLease;
    if (task_running && n.jobs->synced() && !n.job_exists &&
        !(first_response && plan.fault == AuthorityFault::kNoStopInFirstResponse)) {
      task_running = false;
    }
    if (!task_running && !first_response && n.job_exists &&
        n.authority->MayStart(Clock(agent_node))) {
      task_running = true;
      if (cancelled_at >= Micros{} && now - cancelled_at > kCancelDeadline)
        violation = "starts after the deadline";
      if (plan.confirmations && told) violation = "starts after its user was told";
    }
  }

  void Tick() {
    now += kTick;
    if (!state_down) state.ExpireLeases(now);
    for (size_t i = 0; i < nodes.size(); ++i) {
      if (nodes[i].paused) continue;
      nodes[i].election->Tick(Clock(i));
      ExecuteRequests(i);
    }
    recorder.election->Tick(RecorderClock());
    ExecuteRequests(&recorder, kRecorder, RecorderClock());
    ConfirmCancellation();
    if (AgentClock() >= lease_end) {  // the agent kills all tasks and starts a new epoch
      task_running = false;
      lease_end = AgentClock() + kAgentLease;
    }
    if (task_running && cancelled_at >= Micros{} && now - cancelled_at > kCancelDeadline)
      violation = "is running after the deadline";
  }

  void Apply(const std::string& event) override {
    if (event == "second") {
      ++seconds;
      for (int i = 0; i < 4; ++i) Tick();
      return SendHeartbeat();
    }
    if (event == "cancel") {
      ++state.revision;
      state.Erase(kJobKey);
      cancelled_at = now;
      fence->Add(RecorderClock(), "job-1", state.revision);
      return ConfirmCancellation();
    }
    if (event == "exits") {
      task_running = false;
      exited = true;
      return;
    }
    ++faults;
    const size_t i = event.back() == 'b' ? 1 : 0;
    if (event == "outage") {
      state_down = !state_down;
      if (!state_down) {
        for (auto& [id, until] : state.leases) until = now + kLease;
      }
    } else if (event.starts_with("refuse")) {
      nodes[i].state_refuses = !nodes[i].state_refuses;
    } else if (event.starts_with("hang")) {
      nodes[i].withholds_responses = !nodes[i].withholds_responses;
    } else if (event.starts_with("pause")) {
      nodes[i].paused = !nodes[i].paused;
      // A message that waited is handled before the process finds that it no longer leads.
      if (!nodes[i].paused) ConfirmCancellation();
    } else if (event.starts_with("cut")) {
      nodes[i].cut_from_recorder = !nodes[i].cut_from_recorder;
    } else if (event == "moves") {
      agent_node = 1 - agent_node;
    } else {
      StartNode(i);
    }
  }

  std::vector<std::string> Events() const override {
    std::vector<std::string> out;
    if (seconds < plan.seconds) out.emplace_back("second");
    if (cancelled_at < Micros{} && !state_down) out.emplace_back("cancel");
    if (plan.confirmations && task_running && !exited) out.emplace_back("exits");
    if (faults >= plan.faults) return out;
    out.insert(out.end(),
               {"outage", "moves", "refuse a", "refuse b", "hang a", "hang b", "ends a", "ends b"});
    if (plan.confirmations) out.insert(out.end(), {"cut a", "cut b", "pause a", "pause b"});
    return out;
  }
  std::string Key() const override {
    const auto until = [&](Micros time) { return std::to_string((time - now).count) + ' '; };
    std::string key = std::to_string(seconds) + ' ' + std::to_string(faults) + ' ' +
                      std::to_string(agent_node) + std::to_string(state_down) +
                      std::to_string(task_running) + ' ' + std::to_string(fencing_token) + ' ' +
                      until(lease_end) + until(cancelled_at) + std::to_string(state.revision) +
                      std::to_string(told) + std::to_string(exited);
    for (const auto& [lease, end] : state.leases) key += std::to_string(lease) + until(end);
    for (size_t i = 0; i < nodes.size(); ++i) {
      const Node& n = nodes[i];
      key += '|' + n.election->Fingerprint(Clock(i)) + std::to_string(n.state_refuses) +
             std::to_string(n.withholds_responses) + std::to_string(n.job_exists) +
             std::to_string(n.paused) + std::to_string(n.cut_from_recorder) +
             std::to_string(n.cancellation_applied);
      if (n.jobs) {
        key += std::to_string(n.jobs->synced()) + until(n.jobs->known_as_of()) +
               until(n.last_response_at);
      }
      key += until(n.election->confirmed_at());
      for (const Watch& w : n.watches) {
        key += 'w' + std::to_string(w.op.revision) + until(w.sent) + (w.response ? "h" : "");
      }
    }
    // The recorder behaves the same whenever its view of the leader key and the fence are the same.
    key +=
        '|' + std::to_string(recorder.election->leader_changed_at()) + ' ' +
        std::to_string(fence->Check(RecorderClock(), "job-1") != CancellationFence::Basis::kNone);
    for (const Watch& w : recorder.watches)
      key += 'w' + std::to_string(w.op.revision) + until(w.sent);
    return key;
  }
  std::string Violation() const override {
    return violation.empty() ? "" : "a task of the cancelled job " + violation;
  }

 private:
  CancelPlan plan;
  static constexpr size_t kRecorder = 2;

  std::array<Node, 2> nodes;
  Node recorder;
  std::unique_ptr<CancellationFence> fence;
  FakeStateService state;
  Micros now = Seconds(100);
  int seconds = 0, faults = 0;
  bool state_down = false, task_running = false, told = false;
  bool exited = false;  // an attempt of the task has failed, so that it has to be started again
  size_t agent_node = 0;
  uint64_t fencing_token = 0;
  Micros lease_end = kNever, cancelled_at{-1};
  std::string violation;
};

}  // namespace

ReplayedWorld CancelModel(const CancelPlan& plan) {
  return ReplayedWorld([plan] { return std::make_unique<World>(plan); });
}

}  // namespace badgershore::check
