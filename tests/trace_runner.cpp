// Runs a trace against the core and checks the core's effects. See tests/traces/README.md.
//
// The core has no clock and no sockets, so the trace provides its whole environment: an in-memory
// state service (which can refuse requests, send no responses, or carry requests out late), a
// cloud, and the agents' heartbeats.
#include <deque>
#include <fstream>
#include <iostream>
#include <map>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include "core/controller/controller.h"

namespace badgershore {
namespace {

std::vector<std::string> Split(const std::string& s, char by) {
  std::vector<std::string> out;
  std::string word;
  std::istringstream in(s);
  while (std::getline(in, word, by)) {
    const size_t a = word.find_first_not_of(' ');
    if (a == std::string::npos) continue;
    out.push_back(word.substr(a, word.find_last_not_of(' ') - a + 1));
  }
  return out;
}

// The words of a step: plain words, and "key=value" words by key.
struct Words {
  std::vector<std::string> plain;
  std::map<std::string, std::string> named;
  explicit Words(const std::string& line) {
    for (const std::string& w : Split(line, ' ')) {
      const size_t eq = w.find('=');
      if (eq == std::string::npos) {
        plain.push_back(w);
      } else {
        named[w.substr(0, eq)] = w.substr(eq + 1);
      }
    }
  }
  std::string At(size_t i) const { return i < plain.size() ? plain[i] : ""; }
  bool Has(const std::string& flag) const {
    return std::find(plain.begin(), plain.end(), flag) != plain.end();
  }
  double Number(const std::string& key, double otherwise) const {
    auto it = named.find(key);
    return it == named.end() ? otherwise : std::stod(it->second);
  }
  std::string Text(const std::string& key, const std::string& otherwise = "") const {
    auto it = named.find(key);
    return it == named.end() ? otherwise : it->second;
  }
};

// Attempts are written as TERM.COUNT.
std::string ShowAttempt(uint64_t a) {
  return std::to_string(a >> 24) + "." + std::to_string(a & 0xffffff);
}
uint64_t ReadAttempt(const std::string& s) {
  const size_t dot = s.find('.');
  return (std::stoull(s.substr(0, dot)) << 24) + std::stoull(s.substr(dot + 1));
}
std::string ShowSeconds(Micros m) {
  std::ostringstream out;
  out << m.ToSeconds();
  return out.str();
}
std::string ShowOrders(const std::vector<Command>& orders) {
  std::string out;
  for (const Command& o : orders) {
    if (!out.empty()) out += "; ";
    out += o.verb == Command::Verb::kStart  ? "start "
           : o.verb == Command::Verb::kStop ? "halt "
                                            : "clear ";
    out += o.ref.job + "/" + std::to_string(o.ref.task) + "@" + ShowAttempt(o.attempt);
    if (o.verb == Command::Verb::kStop) out += " grace " + ShowSeconds(o.grace_period);
  }
  return out.empty() ? "nothing" : out;
}

struct Stop {
  std::string what;
};

class Store {
 public:
  enum class Mode { kUp, kRefusing, kSilent, kLosing };
  Mode mode = Mode::kUp;
  uint64_t epoch = 0;
  struct Item {
    Record value;
    uint64_t stamp = 0, lease = 0;
  };
  std::map<std::string, Item> items;
  std::vector<Entry> history;
  std::vector<StateRequest> held;  // received while kSilent, to be carried out late
  uint64_t leases = 100;
  std::set<uint64_t> live_leases;

  void Put(const std::string& key, Record value, uint64_t lease = 0) {
    items[key] = Item{std::move(value), epoch, lease};
    history.push_back(Entry{key, items[key].value, epoch, false});
  }
  void Erase(const std::string& key) {
    if (items.erase(key)) history.push_back(Entry{key, {}, epoch, true});
  }
  void EndLease(uint64_t lease) {
    live_leases.erase(lease);
    std::vector<std::string> gone;
    for (auto& [k, i] : items)
      if (i.lease == lease) gone.push_back(k);
    if (!gone.empty()) ++epoch;
    for (const std::string& k : gone) Erase(k);
  }
  static bool Under(const std::string& key, const std::string& prefix) {
    return key.compare(0, prefix.size(), prefix) == 0;
  }
  StateResponse Do(const StateRequest& op) {
    using K = StateRequest::Kind;
    using O = StateResponse::Outcome;
    StateResponse r;
    r.outcome = O::kOk;
    r.revision = epoch;
    switch (op.kind) {
      case K::kGet: {
        auto it = items.find(op.key);
        if (it == items.end()) {
          r.outcome = O::kNotFound;
        } else {
          r.entries.push_back(Entry{op.key, it->second.value, it->second.stamp, false});
        }
        break;
      }
      case K::kList:
        for (auto& [k, i] : items) {
          if (Under(k, op.key) && k > op.start_after)
            r.entries.push_back(Entry{k, i.value, i.stamp, false});
        }
        break;
      case K::kCompareAndSwap: {
        for (const Precondition& g : op.preconditions) {
          auto it = items.find(g.key);
          if ((it == items.end() ? 0 : it->second.stamp) != g.version)
            r.failed_keys.push_back(g.key);
        }
        if (!r.failed_keys.empty()) {
          r.outcome = O::kConflict;
          break;
        }
        for (const Mutation& c : op.mutations) {
          if (c.lease != 0 && !live_leases.count(c.lease)) {
            r.outcome = O::kInvalid;
            return r;
          }
        }
        ++epoch;
        for (const Mutation& c : op.mutations) {
          if (c.is_delete) {
            Erase(c.key);
          } else {
            Put(c.key, c.value, c.lease);
          }
        }
        r.revision = epoch;
        break;
      }
      case K::kGrantLease:
        r.lease = ++leases;
        live_leases.insert(r.lease);
        break;
      case K::kRenewLease:
        if (!live_leases.count(op.lease)) r.outcome = O::kNotFound;
        break;
      case K::kRevokeLease:
        EndLease(op.lease);
        break;
      case K::kWatch:
        for (const Entry& e : history) {
          if (e.version > op.revision && Under(e.key, op.key)) r.entries.push_back(e);
        }
        break;
    }
    return r;
  }
};

class Player {
 public:
  Player() {
    settings_.member = "m-0";
    settings_.site = "a";
    settings_.members = {{"m-1", "x:1"}, {"m-2", "x:2"}};
    settings_.zones = {"a", "b"};
    settings_.objectives.push_back({"finished", "timely", Seconds(60), 0.9});
    settings_.objectives.push_back({"wait", "prompt", Seconds(5), 0.9});
    settings_.teams = {{"team", {}, {}}, {"small", {}, {2000, 0, 0}}, {"sure", {2000, 0, 0}, {}}};
    settings_.heartbeat_interval = Seconds(1);
    settings_.agent_lease = Seconds(10);
    settings_.gang_start_timeout = Seconds(30);
    settings_.gang_failure_timeout = Seconds(4);
    settings_.cancel_deadline = Seconds(40);
    settings_.cloud_list_lag = Seconds(2);
    MachineType box;
    box.name = "box";
    box.size = {4000, 0, 8000};
    box.price = 1;
    box.spot_price = 0.3;
    box.boot = Seconds(30);
    MachineType big = box;
    big.name = "big";
    big.size = {32000, 0, 64000};
    big.price = 6;
    big.spot_price = 2;
    types_ = {box, big};
    rents_ = false;
    // Heartbeats are answered at once unless the trace sets this option.
    options_.hold_checkin = {};
  }

  void Line(const std::string& line) {
    const size_t bar = line.find('|');
    const Words w(line.substr(0, bar));
    const std::string tail = bar == std::string::npos ? "" : line.substr(bar + 1);
    const std::string verb = w.At(0);
    if (verb == "option") return Option(w);
    if (!core_) core_ = std::make_unique<Controller>(settings_, options_);
    if (verb == "advance") return Advance(Seconds(std::stod(w.At(1))));
    if (verb == "stands") {  // the process pauses while its clocks go on
      now_ = now_ + Seconds(std::stod(w.At(1)));
      return;
    }
    if (verb == "restart") {
      core_ = std::make_unique<Controller>(settings_, options_);
      watches_.clear();
      direct_.clear();
      return;
    }
    if (verb == "retire") {
      core_->BeginHandover(now_);
      return Pump();
    }
    if (verb == "job") return SubmitJob(w);
    if (verb == "query") {
      core_->OnQuery(now_, ++token_, w.At(1));
      return Pump();
    }
    if (verb == "withdraw") {
      core_->OnCancel(now_, ++token_, w.At(1));
      return Pump();
    }
    if (verb == "answers") return Expect(line.substr(8), last_answer_);
    if (verb == "report") {
      last_reports_[w.At(1)] = line;
      return SendReport(w, tail);
    }
    if (verb == "keeps") {
      for (int s = 0; s < std::stoi(w.At(1)); ++s) {
        Advance(Seconds(1));
        for (size_t i = 2; i < w.plain.size(); ++i) Line(last_reports_.at(w.At(i)));
      }
      return;
    }
    if (verb == "gets") return Expect(line.substr(5), last_checkin_);
    if (verb == "sees") return Sees(line.substr(5));
    if (verb == "logs") {
      for (const std::string& said : logs_)
        if (said.find(line.substr(5)) != std::string::npos) return;
      throw Stop{"no log line contains this text"};
    }
    if (verb == "unseen") return Unseen(line.substr(7));
    if (verb == "forget") return seen_.clear();
    if (verb == "direct") return AnswerDirect(w, tail);
    if (verb == "state") return SetState(w.At(1));
    if (verb == "store") return CheckStore(w);
    if (verb == "elsewhere") return Elsewhere(w);
    if (verb == "cloud") return SetCloud(w, tail);
    if (verb == "peer") {
      PeerStatus note;
      note.from = w.At(1);
      note.term = static_cast<uint64_t>(w.Number("term", 1));
      note.leader = w.Text("leader", "m-0");
      note.state_service_reachable = w.Has("state");
      note.receives_heartbeats = w.Has("hears");
      if (w.named.contains("calls_off")) note.cancelling = {w.Text("calls_off")};
      if (w.named.contains("called_off")) note.cancelled = {w.Text("called_off")};
      core_->OnPeerStatus(now_, note);
      return Pump();
    }
    if (verb == "leads" || verb == "follows") {
      if (core_->leads() != (verb == "leads")) throw Stop{"the controller has the other role"};
      return;
    }
    throw Stop{"unknown step"};
  }

 private:
  void Option(const Words& w) {
    options_.rebind_wait = Seconds(w.Number("rebind_wait", options_.rebind_wait.ToSeconds()));
    options_.stuck_after = Seconds(w.Number("stuck_after", options_.stuck_after.ToSeconds()));
    options_.hold_checkin = Seconds(w.Number("hold_checkin", 0));
    options_.age_limit = Seconds(w.Number("age_limit", options_.age_limit.ToSeconds()));
  }

  void Advance(Micros by) {
    const Micros end = now_ + by;
    while (now_ < end) {
      now_ = std::min(end, now_ + Millis(100));
      core_->Tick(now_, 1000000 + now_.ToMillis());
      Pump();
    }
  }

  // Carries out the core's effects until there are no more.
  void Pump() {
    for (int round = 0; round < 200; ++round) {
      Effects out = core_->TakeEffects();
      for (const HeartbeatResponse& a : out.heartbeat_responses) {
        if (a.request_id != checkin_token_) continue;
        last_checkin_ = std::to_string(a.status);
        if (a.status == 200) {
          last_checkin_ +=
              " baton " + std::to_string(a.fencing_token) + ": " + ShowOrders(a.commands);
        }
        if (a.status == 421) last_checkin_ += " " + a.leader;
      }
      for (const ApiResponse& a : out.api_responses) {
        static const char* kPhases[] = {"pending", "running", "done", "withdrawn"};
        last_answer_ = std::to_string(a.status);
        if (a.status == 200 || a.status == 201) {
          last_answer_ += std::string(" ") + kPhases[static_cast<int>(a.phase)];
        }
      }
      for (CommandRequest& d : out.command_requests) {
        std::string text = "direct " + d.machine + " baton " + std::to_string(d.fencing_token) +
                           ": " + ShowOrders(d.commands);
        seen_.push_back(text);
        direct_[d.machine].push_back(d);
      }
      for (const LogLine& l : out.log) logs_.push_back(l.text);
      for (const CloudRequest& c : out.cloud_requests) RunCloud(c);
      bool any = !out.cloud_requests.empty();
      for (StateRequest& op : out.state_requests) any |= RunStateOp(op);
      any |= RunWatches();
      if (!any) return;
    }
    throw Stop{"the core keeps sending requests"};
  }

  bool RunStateOp(const StateRequest& op) {
    if (op.kind == StateRequest::Kind::kWatch) {
      watches_.push_back({op, now_});
      return false;
    }
    StateResponse r;
    if (lists_hang_ && op.kind == StateRequest::Kind::kList) {
      core_->OnStateResponse(now_, op.id, std::move(r));
      return false;  // the core retries, but not at the same time
    }
    switch (store_.mode) {
      case Store::Mode::kUp:
        r = store_.Do(op);
        break;
      case Store::Mode::kRefusing:
        r.outcome = StateResponse::Outcome::kRefused;
        break;
      case Store::Mode::kSilent:
        store_.held.push_back(op);
        r.outcome = StateResponse::Outcome::kUnknown;
        break;
      case Store::Mode::kLosing:
        store_.Do(op);
        r.outcome = StateResponse::Outcome::kUnknown;
        break;
    }
    core_->OnStateResponse(now_, op.id, std::move(r));
    return true;
  }

  // A watch without changes gets its response after its maximum wait. If watches hang, the request
  // times out a second later.
  bool RunWatches() {
    const bool served = store_.mode == Store::Mode::kUp && !watches_hang_;
    std::vector<OpenWatch> open;
    std::swap(open, watches_);
    bool any = false;
    for (OpenWatch& w : open) {
      StateResponse r;
      if (served) r = store_.Do(w.op);
      const Micros until = w.sent + w.op.duration + (served ? Micros{} : Seconds(1));
      if (r.entries.empty() && now_ < until) {
        watches_.push_back(w);
      } else {
        any = true;
        core_->OnStateResponse(now_, w.op.id, std::move(r));
      }
    }
    return any;
  }

  void RunCloud(const CloudRequest& op) {
    CloudResponse r;
    r.outcome = cloud_up_ ? CloudResponse::Outcome::kOk : CloudResponse::Outcome::kThrottled;
    if (op.kind == CloudRequest::Kind::kScaleOut) {
      seen_.push_back("rent " + std::to_string(op.count) + " " + op.type +
                      (op.spot ? " spot" : ""));
      if (names_.count(op.request_name))
        throw Stop{"two scale-out requests have the same name: " + op.request_name};
      if (cloud_up_ && !rents_) r.outcome = CloudResponse::Outcome::kNoCapacity;
      for (int i = 0; rents_ && i < op.count; ++i) {
        r.created.push_back("n-9" + std::to_string(++rented_));
      }
      if (rents_ && cloud_up_ && !cloud_silent_) names_.insert(op.request_name);
    }
    if (op.kind == CloudRequest::Kind::kScaleIn) {
      for (const std::string& m : op.machines) seen_.push_back("return " + m);
    }
    if (cloud_up_ && op.kind == CloudRequest::Kind::kListMachineTypes) r.types = types_;
    if (cloud_up_ && op.kind == CloudRequest::Kind::kListInstances) r.instances = listed_;
    if (cloud_silent_) r.outcome = CloudResponse::Outcome::kUnknown;
    core_->OnCloudResponse(now_, op.id, std::move(r));
  }

  void SubmitJob(const Words& w) {
    Submission s;
    JobSpec spec;
    spec.id = s.id = w.At(1);
    spec.job_class = w.Text("lane", "lane");
    spec.team = w.Text("team", "team");
    spec.kind = w.Has("gang")      ? JobKind::kGang
                : w.Has("service") ? JobKind::kService
                                   : JobKind::kArray;
    spec.priority = w.Has("high")   ? Priority::kHigh
                    : w.Has("idle") ? Priority::kIdle
                                    : Priority::kNormal;
    spec.tasks = static_cast<int>(w.Number("tasks", 1));
    spec.need = {static_cast<int64_t>(w.Number("cpus", 1) * 1000), 0,
                 static_cast<int64_t>(w.Number("mem", 1) * 1000)};
    spec.image = "image";
    spec.estimated_runtime = Seconds(w.Number("estimate", 30));
    if (w.named.contains("due")) spec.deadline = Seconds(w.Number("due", 0));
    spec.checkpoint_interval = Seconds(w.Number("checkpoint", 0));
    spec.checkpoint_duration = Seconds(w.Number("save", 0));
    spec.same_zone = w.Has("same_zone");
    spec.spread = w.Has("spread");
    spec.allow_spot = w.Has("spot");
    if (!w.Text("type").empty()) spec.machine_types = std::vector<std::string>{w.Text("type")};
    if (!w.Text("zone").empty()) spec.zone = w.Text("zone");
    spec.submitted_ms = 1000000 + now_.ToMillis();
    if (!w.Has("malformed")) s.spec = spec;
    core_->OnSubmit(now_, ++token_, s);
    Pump();
  }

  Heartbeat ReadReport(const Words& w, const std::string& machine, const std::string& tail) {
    Heartbeat r;
    r.machine = machine;
    r.endpoint = "e:" + machine;
    r.type = w.Has("big") ? "big" : "box";
    r.zone = w.Text("zone", "a");
    r.spot = w.Has("spot");
    r.agent_epoch = static_cast<uint64_t>(w.Number("tenure", 1));
    r.sequence =
        w.named.count("tally") ? static_cast<uint64_t>(w.Number("tally", 0)) : ++sequence_[machine];
    sequence_[machine] = std::max(sequence_[machine], r.sequence);
    r.fencing_token = static_cast<uint64_t>(w.Number("baton", 1));
    if (w.named.count("notice")) r.preemption_notice = Seconds(w.Number("notice", 0));
    static const std::map<std::string, TaskPhase> kStates = {
        {"fetching", TaskPhase::kFetchingImage},
        {"gathering", TaskPhase::kWaitingForGang},
        {"running", TaskPhase::kRunning},
        {"flushing", TaskPhase::kCheckpointing},
        {"exited", TaskPhase::kExited}};
    static const std::map<std::string, ExitReason> kCauses = {
        {"done", ExitReason::kDone},
        {"halted", ExitReason::kStopped},
        {"peers", ExitReason::kGangMemberLost},
        {"alone", ExitReason::kGangIncomplete},
        {"error", ExitReason::kError},
        {"full", ExitReason::kInsufficientResources},
        {"busy", ExitReason::kDuplicateTask},
        {"unknown", ExitReason::kUnknownTask}};
    for (const std::string& item : Split(tail, ';')) {
      const Words t(item);
      const std::string name = t.At(0);
      const size_t slash = name.find('/'), at = name.find('@');
      TaskStatus task;
      task.ref = {name.substr(0, slash), std::stoi(name.substr(slash + 1, at - slash - 1))};
      task.attempt = ReadAttempt(name.substr(at + 1));
      task.phase = kStates.at(t.At(1));
      if (task.phase == TaskPhase::kExited) task.exit_reason = kCauses.at(t.At(2));
      r.tasks.push_back(task);
    }
    return r;
  }

  void SendReport(const Words& w, const std::string& tail) {
    last_checkin_ = "no answer yet";
    checkin_token_ = ++token_;
    core_->OnHeartbeat(now_, checkin_token_, ReadReport(w, w.At(1), tail));
    Pump();
  }

  void AnswerDirect(const Words& w, const std::string& tail) {
    auto& waiting = direct_[w.At(1)];
    if (waiting.empty()) throw Stop{"no direct call to " + w.At(1) + " is waiting for a response"};
    const CommandRequest op = waiting.front();
    waiting.pop_front();
    CommandResponse r;
    r.status = std::stoi(w.At(2));
    if (r.status != 0) r.heartbeat = ReadReport(w, w.At(1), tail);
    core_->OnCommandResponse(now_, op.id, std::move(r));
    Pump();
  }

  void SetState(const std::string& mode) {
    if (mode == "up")
      store_.mode = Store::Mode::kUp;
    else if (mode == "refuses")
      store_.mode = Store::Mode::kRefusing;
    else if (mode == "silent")
      store_.mode = Store::Mode::kSilent;
    else if (mode == "watches-hang" || mode == "watches-answer")
      watches_hang_ = mode == "watches-hang";
    else if (mode == "lists-hang" || mode == "lists-answer")
      lists_hang_ = mode == "lists-hang";
    else if (mode == "loses-answers")
      store_.mode = Store::Mode::kLosing;
    else if (mode == "delivers-late") {
      std::vector<StateRequest> held;
      std::swap(held, store_.held);
      for (const StateRequest& op : held) store_.Do(op);
    } else
      throw Stop{"unknown mode of the state service"};
    Pump();
  }

  void CheckStore(const Words& w) {
    auto it = store_.items.find(w.At(2));
    bool there = it != store_.items.end();
    if (w.At(2).compare(0, keys::kFleet.size(), keys::kFleet) == 0) {
      // A page holds the records of many machines.
      there = false;
      for (it = store_.items.begin(); it != store_.items.end() && !there;) {
        if (const auto* page = std::get_if<FleetPage>(&it->second.value)) {
          for (const MachineRecord& m : page->machines) there |= keys::kFleet + m.id == w.At(2);
        }
        if (!there) ++it;
      }
    }
    if (w.At(1) == "lacks") {
      if (there) throw Stop{"the key exists"};
      return;
    }
    if (!there) throw Stop{"the key does not exist"};
    if (const auto* end = std::get_if<JobEndRecord>(&it->second.value)) {
      const std::string is = end->cancelled ? "withdrawn" : "done";
      if (!w.At(3).empty() && w.At(3) != is) throw Stop{"the job's end record says " + is};
    }
  }

  void Elsewhere(const Words& w) {
    ++store_.epoch;
    if (w.At(1) == "withdraw") {
      store_.Put(keys::kJobEnd + w.At(2), JobEndRecord{true, 0});
      store_.Erase(keys::kJob + w.At(2));
    } else if (w.At(1) == "leads") {
      const uint64_t term = static_cast<uint64_t>(w.Number("term", 2));
      store_.Put(keys::kLeader, LeaderRecord{w.At(2), term}, 1);
      store_.Put(keys::kTerm, TermRecord{term, w.At(2)});
    } else if (w.At(1) == "dies") {
      store_.Erase(keys::kLeader);
    } else if (w.At(1) == "ends-our-lease") {
      for (uint64_t l : std::set<uint64_t>(store_.live_leases)) store_.EndLease(l);
    } else if (w.At(1) == "records") {
      store_.Put(keys::kFleet + w.At(2),
                 FleetPage{{MachineRecord{w.At(2), "e:" + w.At(2), w.Has("big") ? "big" : "box",
                                          w.Text("zone", "a"), w.Has("spot")}}});
    } else {
      throw Stop{"unknown event"};
    }
    Pump();
  }

  void SetCloud(const Words& w, const std::string& tail) {
    const std::string what = w.At(1);
    if (what == "down")
      cloud_up_ = false;
    else if (what == "up")
      cloud_up_ = true, cloud_silent_ = false;
    else if (what == "silent")
      cloud_silent_ = true;
    else if (what == "rents")
      rents_ = true;
    else if (what == "full")
      rents_ = false;
    else if (what == "lists") {
      listed_.clear();
      for (const std::string& item : Split(tail, ';')) {
        const Words m(item);
        CloudInstance l;
        l.id = m.At(0);
        l.endpoint = "e:" + l.id;
        l.type = m.Has("big") ? "big" : "box";
        l.zone = m.Text("zone", "a");
        l.spot = m.Has("spot");
        l.phase = m.Has("running")  ? CloudInstance::Phase::kRunning
                  : m.Has("failed") ? CloudInstance::Phase::kFailed
                                    : CloudInstance::Phase::kStarting;
        l.age = Seconds(m.Number("age", 0));
        listed_.push_back(l);
      }
    } else
      throw Stop{"unknown mode of the cloud"};
    Pump();
  }

  static void Expect(const std::string& expected, const std::string& got) {
    if (expected != got) throw Stop{"got: " + got};
  }
  void Sees(const std::string& expected) {
    for (auto it = seen_.begin(); it != seen_.end(); ++it) {
      if (*it == expected) {
        seen_.erase(it);
        return;
      }
    }
    std::string all;
    for (const std::string& s : seen_) all += "\n    " + s;
    throw Stop{"not seen; seen were:" + all};
  }
  void Unseen(const std::string& start) {
    for (const std::string& s : seen_) {
      if (s.compare(0, start.size(), start) == 0) throw Stop{"was seen: " + s};
    }
  }

  PlatformSettings settings_;
  Options options_;
  std::unique_ptr<Controller> core_;
  Micros now_ = Seconds(100);
  Store store_;
  struct OpenWatch {
    StateRequest op;
    Micros sent;
  };
  std::vector<OpenWatch> watches_;
  bool watches_hang_ = false, lists_hang_ = false;
  std::map<std::string, std::deque<CommandRequest>> direct_;
  std::vector<std::string> seen_;
  std::vector<std::string> logs_;
  std::map<std::string, std::string> last_reports_;
  std::set<std::string> names_;
  std::vector<MachineType> types_;
  std::vector<CloudInstance> listed_;
  bool cloud_up_ = true, cloud_silent_ = false, rents_ = false;
  int rented_ = 0;
  RequestId token_ = 0, checkin_token_ = 0;
  std::map<std::string, uint64_t> sequence_;
  std::string last_checkin_, last_answer_;
};

int Run(const char* file) {
  std::ifstream in(file);
  if (!in) {
    std::cerr << file << ": can't read the file\n";
    return 2;
  }
  Player player;
  std::string line;
  int number = 0, steps = 0;
  while (std::getline(in, line)) {
    ++number;
    const size_t hash = line.find('#');
    if (hash != std::string::npos) line.resize(hash);
    const size_t a = line.find_first_not_of(' ');
    if (a == std::string::npos) continue;
    line = line.substr(a, line.find_last_not_of(' ') - a + 1);
    ++steps;
    try {
      player.Line(line);
    } catch (const Stop& stop) {
      std::cerr << file << ":" << number << ": " << line << "\n  " << stop.what << "\n";
      return 1;
    } catch (const std::exception& e) {
      std::cerr << file << ":" << number << ": " << line << "\n  malformed step: " << e.what()
                << "\n";
      return 1;
    }
  }
  std::cout << steps << " steps\n";
  return steps > 0 ? 0 : 1;
}

}  // namespace
}  // namespace badgershore

int main(int argc, char** argv) {
  if (argc != 2) {
    std::cerr << "usage: trace_runner FILE\n";
    return 2;
  }
  return badgershore::Run(argv[1]);
}
