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

std::vector<std::string> Split(const std::string& s, char separator) {
  std::vector<std::string> out;
  std::string word;
  std::istringstream in(s);
  while (std::getline(in, word, separator)) {
    const size_t a = word.find_first_not_of(' ');
    if (a == std::string::npos) continue;
    out.push_back(word.substr(a, word.find_last_not_of(' ') - a + 1));
  }
  return out;
}

// The words of a step: positional words, and "key=value" words by key.
struct StepWords {
  std::vector<std::string> positional;
  std::map<std::string, std::string> named;
  explicit StepWords(const std::string& line) {
    for (const std::string& w : Split(line, ' ')) {
      const size_t eq = w.find('=');
      if (eq == std::string::npos) {
        positional.push_back(w);
      } else {
        named[w.substr(0, eq)] = w.substr(eq + 1);
      }
    }
  }
  std::string At(size_t i) const { return i < positional.size() ? positional[i] : ""; }
  bool Has(const std::string& flag) const {
    return std::find(positional.begin(), positional.end(), flag) != positional.end();
  }
  double Number(const std::string& key, double default_value) const {
    auto it = named.find(key);
    return it == named.end() ? default_value : std::stod(it->second);
  }
  std::string Text(const std::string& key, const std::string& default_value = "") const {
    auto it = named.find(key);
    return it == named.end() ? default_value : it->second;
  }
};

// Attempts are written as TERM.COUNT.
std::string FormatAttempt(uint64_t a) {
  return std::to_string(a >> 24) + "." + std::to_string(a & 0xffffff);
}
uint64_t ParseAttempt(const std::string& s) {
  const size_t dot = s.find('.');
  return (std::stoull(s.substr(0, dot)) << 24) + std::stoull(s.substr(dot + 1));
}
std::string FormatSeconds(Micros m) {
  std::ostringstream out;
  out << m.ToSeconds();
  return out.str();
}
std::string FormatCommands(const std::vector<Command>& commands) {
  std::string out;
  for (const Command& o : commands) {
    if (!out.empty()) out += "; ";
    out += o.verb == Command::Verb::kStart  ? "start "
           : o.verb == Command::Verb::kStop ? "halt "
                                            : "clear ";
    out += o.ref.job + "/" + std::to_string(o.ref.task) + "@" + FormatAttempt(o.attempt);
    if (o.verb == Command::Verb::kStop) out += " grace " + FormatSeconds(o.grace_period);
  }
  return out.empty() ? "nothing" : out;
}

struct TraceFailure {
  std::string message;
};

class StateServiceEmulator {
 public:
  enum class Mode { kUp, kRefusing, kUnresponsive, kLosingResponses };
  Mode mode = Mode::kUp;
  uint64_t revision = 0;
  struct Item {
    Record value;
    uint64_t version = 0, lease = 0;
  };
  std::map<std::string, Item> items;
  std::vector<Entry> history;
  // Requests that arrived while kUnresponsive, to be carried out late.
  std::vector<StateRequest> delayed_requests;
  uint64_t last_lease = 100;
  std::set<uint64_t> live_leases;

  void Put(const std::string& key, Record value, uint64_t lease = 0) {
    items[key] = Item{std::move(value), revision, lease};
    history.push_back(Entry{key, items[key].value, revision, false});
  }
  void Erase(const std::string& key) {
    if (items.erase(key)) history.push_back(Entry{key, {}, revision, true});
  }
  void RemoveLease(uint64_t lease) {
    live_leases.erase(lease);
    std::vector<std::string> leased_keys;
    for (auto& [k, i] : items)
      if (i.lease == lease) leased_keys.push_back(k);
    if (!leased_keys.empty()) ++revision;
    for (const std::string& k : leased_keys) Erase(k);
  }
  static bool HasPrefix(const std::string& key, const std::string& prefix) {
    return key.compare(0, prefix.size(), prefix) == 0;
  }
  StateResponse Execute(const StateRequest& request) {
    using K = StateRequest::Kind;
    using O = StateResponse::Outcome;
    StateResponse r;
    r.outcome = O::kOk;
    r.revision = revision;
    switch (request.kind) {
      case K::kGet: {
        auto it = items.find(request.key);
        if (it == items.end()) {
          r.outcome = O::kNotFound;
        } else {
          r.entries.push_back(Entry{request.key, it->second.value, it->second.version, false});
        }
        break;
      }
      case K::kList:
        for (auto& [k, i] : items) {
          if (HasPrefix(k, request.key) && k > request.start_after)
            r.entries.push_back(Entry{k, i.value, i.version, false});
        }
        break;
      case K::kCompareAndSwap: {
        for (const Precondition& g : request.preconditions) {
          auto it = items.find(g.key);
          if ((it == items.end() ? 0 : it->second.version) != g.version)
            r.failed_keys.push_back(g.key);
        }
        if (!r.failed_keys.empty()) {
          r.outcome = O::kConflict;
          break;
        }
        for (const Mutation& c : request.mutations) {
          if (c.lease != 0 && !live_leases.count(c.lease)) {
            r.outcome = O::kInvalid;
            return r;
          }
        }
        ++revision;
        for (const Mutation& c : request.mutations) {
          if (c.is_delete) {
            Erase(c.key);
          } else {
            Put(c.key, c.value, c.lease);
          }
        }
        r.revision = revision;
        break;
      }
      case K::kGrantLease:
        r.lease = ++last_lease;
        live_leases.insert(r.lease);
        break;
      case K::kRenewLease:
        if (!live_leases.count(request.lease)) r.outcome = O::kNotFound;
        break;
      case K::kRevokeLease:
        RemoveLease(request.lease);
        break;
      case K::kWatch:
        for (const Entry& e : history) {
          if (e.version > request.revision && HasPrefix(e.key, request.key)) r.entries.push_back(e);
        }
        break;
    }
    return r;
  }
};

class TraceRunner {
 public:
  TraceRunner() {
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
    cloud_has_capacity_ = false;
    // Heartbeats are answered at once unless the trace sets this option.
    options_.hold_checkin = {};
  }

  void RunStep(const std::string& line) {
    const size_t bar = line.find('|');
    const StepWords w(line.substr(0, bar));
    const std::string tail = bar == std::string::npos ? "" : line.substr(bar + 1);
    const std::string verb = w.At(0);
    if (verb == "option") return SetOptions(w);
    if (!core_) core_ = std::make_unique<Controller>(settings_, options_);
    if (verb == "advance") return Advance(Seconds(std::stod(w.At(1))));
    if (verb == "stands") {  // the process pauses while its clocks go on
      now_ = now_ + Seconds(std::stod(w.At(1)));
      return;
    }
    if (verb == "restart") {
      core_ = std::make_unique<Controller>(settings_, options_);
      watches_.clear();
      open_commands_.clear();
      return;
    }
    if (verb == "retire") {
      core_->BeginHandover(now_);
      return CarryOutEffects();
    }
    if (verb == "job") return SubmitJob(w);
    if (verb == "query") {
      last_api_response_ = "no answer yet";
      core_->OnQuery(now_, ++last_request_id_, w.At(1));
      return CarryOutEffects();
    }
    if (verb == "withdraw") {
      last_api_response_ = "no answer yet";
      core_->OnCancel(now_, ++last_request_id_, w.At(1));
      return CarryOutEffects();
    }
    if (verb == "answers") return ExpectEqual(line.substr(8), last_api_response_);
    if (verb == "report") {
      last_heartbeat_steps_[w.At(1)] = line;
      return SendHeartbeat(w, tail);
    }
    if (verb == "keeps") {
      for (int s = 0; s < std::stoi(w.At(1)); ++s) {
        Advance(Seconds(1));
        for (size_t i = 2; i < w.positional.size(); ++i) RunStep(last_heartbeat_steps_.at(w.At(i)));
      }
      return;
    }
    if (verb == "gets") return ExpectEqual(line.substr(5), last_heartbeat_response_);
    if (verb == "may-leave" || verb == "may-not-leave") {
      if (core_->MaySend(now_, last_sent_response_) != (verb == "may-leave"))
        throw TraceFailure{"the response is judged otherwise"};
      return;
    }
    if (verb == "sees") return ExpectSeen(line.substr(5));
    if (verb == "logs") {
      for (const std::string& logged_line : logged_lines_)
        if (logged_line.find(line.substr(5)) != std::string::npos) return;
      throw TraceFailure{"no log line contains this text"};
    }
    if (verb == "unseen") return ExpectNotSeen(line.substr(7));
    if (verb == "forget") return seen_effects_.clear();
    if (verb == "direct") return RespondToCommand(w, tail);
    if (verb == "state") return SetStateServiceMode(w.At(1));
    if (verb == "store") return CheckStateService(w);
    if (verb == "elsewhere") return ApplyExternalEvent(w);
    if (verb == "cloud") return SetCloudMode(w, tail);
    if (verb == "peer") {
      PeerStatus status;
      status.from = w.At(1);
      status.term = static_cast<uint64_t>(w.Number("term", 1));
      status.leader = w.Text("leader", "m-0");
      status.state_service_reachable = w.Has("state");
      status.receives_heartbeats = w.Has("hears");
      if (w.named.contains("calls_off")) status.cancelling = {w.Text("calls_off")};
      if (w.named.contains("called_off")) status.cancelled = {w.Text("called_off")};
      if (w.named.contains("asks")) status.unconfirmed = {w.Text("asks")};
      if (w.named.contains("confirms"))
        core_->OnCancellationConfirmation(now_, {w.At(1), "m-0", {w.Text("confirms")}});
      core_->OnPeerStatus(now_, status);
      return CarryOutEffects();
    }
    if (verb == "leads" || verb == "follows") {
      if (core_->leads() != (verb == "leads"))
        throw TraceFailure{"the controller has the other role"};
      return;
    }
    throw TraceFailure{"unknown step"};
  }

 private:
  void SetOptions(const StepWords& w) {
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
      CarryOutEffects();
    }
  }

  // Carries out the core's effects until there are no more.
  void CarryOutEffects() {
    for (int round = 0; round < 200; ++round) {
      Effects out = core_->TakeEffects();
      for (const HeartbeatResponse& a : out.heartbeat_responses) {
        if (a.request_id != heartbeat_request_id_) continue;
        last_sent_response_ = a;
        last_heartbeat_response_ = std::to_string(a.status);
        if (a.status == 200) {
          last_heartbeat_response_ +=
              " baton " + std::to_string(a.fencing_token) + ": " + FormatCommands(a.commands);
        }
        if (a.status == 421) last_heartbeat_response_ += " " + a.leader;
      }
      for (const ApiResponse& a : out.api_responses) {
        static const char* kPhases[] = {"pending", "running", "done", "withdrawn"};
        last_api_response_ = std::to_string(a.status);
        if (a.status == 200 || a.status == 201) {
          last_api_response_ += std::string(" ") + kPhases[static_cast<int>(a.phase)];
        }
      }
      for (CommandRequest& d : out.command_requests) {
        std::string text = "direct " + d.machine + " baton " + std::to_string(d.fencing_token) +
                           ": " + FormatCommands(d.commands);
        seen_effects_.push_back(text);
        open_commands_[d.machine].push_back(d);
      }
      for (const CancellationConfirmation& c : out.cancellation_confirmations) {
        for (const std::string& job : c.jobs)
          seen_effects_.push_back("confirms " + c.to + " " + job);
      }
      for (const LogLine& l : out.log) logged_lines_.push_back(l.text);
      for (const CloudRequest& c : out.cloud_requests) ServeCloudRequest(c);
      bool progressed = !out.cloud_requests.empty();
      for (StateRequest& request : out.state_requests) progressed |= ExecuteStateRequest(request);
      progressed |= ServeWatches();
      if (!progressed) return;
    }
    throw TraceFailure{"the core keeps sending requests"};
  }

  bool ExecuteStateRequest(const StateRequest& request) {
    if (request.kind == StateRequest::Kind::kWatch) {
      watches_.push_back({request, now_});
      return false;
    }
    StateResponse r;
    if (lists_hang_ && request.kind == StateRequest::Kind::kList) {
      core_->OnStateResponse(now_, request.id, std::move(r));
      return false;  // the core retries, but not at the same time
    }
    switch (state_service_.mode) {
      case StateServiceEmulator::Mode::kUp:
        r = state_service_.Execute(request);
        break;
      case StateServiceEmulator::Mode::kRefusing:
        r.outcome = StateResponse::Outcome::kRefused;
        break;
      case StateServiceEmulator::Mode::kUnresponsive:
        state_service_.delayed_requests.push_back(request);
        r.outcome = StateResponse::Outcome::kUnknown;
        break;
      case StateServiceEmulator::Mode::kLosingResponses:
        state_service_.Execute(request);
        r.outcome = StateResponse::Outcome::kUnknown;
        break;
    }
    core_->OnStateResponse(now_, request.id, std::move(r));
    return true;
  }

  // A watch without changes gets its response after its maximum wait. If watches hang, the request
  // times out a second later.
  bool ServeWatches() {
    const bool served = state_service_.mode == StateServiceEmulator::Mode::kUp && !watches_hang_;
    std::vector<OpenWatch> open;
    std::swap(open, watches_);
    bool progressed = false;
    for (OpenWatch& w : open) {
      StateResponse r;
      if (served) r = state_service_.Execute(w.request);
      const Micros until = w.sent + w.request.duration + (served ? Micros{} : Seconds(1));
      if (r.entries.empty() && now_ < until) {
        watches_.push_back(w);
      } else {
        progressed = true;
        core_->OnStateResponse(now_, w.request.id, std::move(r));
      }
    }
    return progressed;
  }

  void ServeCloudRequest(const CloudRequest& request) {
    CloudResponse r;
    r.outcome = cloud_up_ ? CloudResponse::Outcome::kOk : CloudResponse::Outcome::kThrottled;
    if (request.kind == CloudRequest::Kind::kScaleOut) {
      seen_effects_.push_back("rent " + std::to_string(request.count) + " " + request.type +
                              (request.spot ? " spot" : ""));
      if (scale_out_names_.count(request.request_name))
        throw TraceFailure{"two scale-out requests have the same name: " + request.request_name};
      if (cloud_up_ && !cloud_has_capacity_) r.outcome = CloudResponse::Outcome::kNoCapacity;
      for (int i = 0; cloud_has_capacity_ && i < request.count; ++i) {
        r.created.push_back("n-9" + std::to_string(++created_instances_));
      }
      if (cloud_has_capacity_ && cloud_up_ && !cloud_unresponsive_)
        scale_out_names_.insert(request.request_name);
    }
    if (request.kind == CloudRequest::Kind::kScaleIn) {
      for (const std::string& m : request.machines) seen_effects_.push_back("return " + m);
    }
    if (cloud_up_ && request.kind == CloudRequest::Kind::kListMachineTypes) r.types = types_;
    if (cloud_up_ && request.kind == CloudRequest::Kind::kListInstances)
      r.instances = listed_instances_;
    if (cloud_unresponsive_) r.outcome = CloudResponse::Outcome::kUnknown;
    core_->OnCloudResponse(now_, request.id, std::move(r));
  }

  void SubmitJob(const StepWords& w) {
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
    last_api_response_ = "no answer yet";
    core_->OnSubmit(now_, ++last_request_id_, s);
    CarryOutEffects();
  }

  Heartbeat ParseHeartbeat(const StepWords& w, const std::string& machine,
                           const std::string& tail) {
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
    r.connection = static_cast<uint64_t>(w.Number("connection", 0));
    if (w.named.count("notice")) r.preemption_notice = Seconds(w.Number("notice", 0));
    static const std::map<std::string, TaskPhase> kTaskPhases = {
        {"fetching", TaskPhase::kFetchingImage},
        {"gathering", TaskPhase::kWaitingForGang},
        {"running", TaskPhase::kRunning},
        {"flushing", TaskPhase::kCheckpointing},
        {"exited", TaskPhase::kExited}};
    static const std::map<std::string, ExitReason> kExitReasons = {
        {"done", ExitReason::kDone},
        {"halted", ExitReason::kStopped},
        {"peers", ExitReason::kGangMemberLost},
        {"alone", ExitReason::kGangIncomplete},
        {"error", ExitReason::kError},
        {"full", ExitReason::kInsufficientResources},
        {"busy", ExitReason::kDuplicateTask},
        {"unknown", ExitReason::kUnknownTask}};
    for (const std::string& item : Split(tail, ';')) {
      const StepWords t(item);
      const std::string name = t.At(0);
      const size_t slash = name.find('/'), at = name.find('@');
      TaskStatus task;
      task.ref = {name.substr(0, slash), std::stoi(name.substr(slash + 1, at - slash - 1))};
      task.attempt = ParseAttempt(name.substr(at + 1));
      task.phase = kTaskPhases.at(t.At(1));
      if (task.phase == TaskPhase::kExited) task.exit_reason = kExitReasons.at(t.At(2));
      r.tasks.push_back(task);
    }
    return r;
  }

  void SendHeartbeat(const StepWords& w, const std::string& tail) {
    last_heartbeat_response_ = "no answer yet";
    heartbeat_request_id_ = ++last_request_id_;
    core_->OnHeartbeat(now_, heartbeat_request_id_, ParseHeartbeat(w, w.At(1), tail));
    CarryOutEffects();
  }

  void RespondToCommand(const StepWords& w, const std::string& tail) {
    auto& waiting = open_commands_[w.At(1)];
    if (waiting.empty()) throw TraceFailure{"no direct call waits for a response from " + w.At(1)};
    const CommandRequest request = waiting.front();
    waiting.pop_front();
    CommandResponse r;
    r.status = std::stoi(w.At(2));
    if (r.status != 0) r.heartbeat = ParseHeartbeat(w, w.At(1), tail);
    core_->OnCommandResponse(now_, request.id, std::move(r));
    CarryOutEffects();
  }

  void SetStateServiceMode(const std::string& mode) {
    if (mode == "up")
      state_service_.mode = StateServiceEmulator::Mode::kUp;
    else if (mode == "refuses")
      state_service_.mode = StateServiceEmulator::Mode::kRefusing;
    else if (mode == "silent")
      state_service_.mode = StateServiceEmulator::Mode::kUnresponsive;
    else if (mode == "watches-hang" || mode == "watches-answer")
      watches_hang_ = mode == "watches-hang";
    else if (mode == "lists-hang" || mode == "lists-answer")
      lists_hang_ = mode == "lists-hang";
    else if (mode == "loses-answers")
      state_service_.mode = StateServiceEmulator::Mode::kLosingResponses;
    else if (mode == "delivers-late") {
      std::vector<StateRequest> delayed_requests;
      std::swap(delayed_requests, state_service_.delayed_requests);
      for (const StateRequest& request : delayed_requests) state_service_.Execute(request);
    } else
      throw TraceFailure{"unknown mode of the state service"};
    CarryOutEffects();
  }

  void CheckStateService(const StepWords& w) {
    auto it = state_service_.items.find(w.At(2));
    bool exists = it != state_service_.items.end();
    if (w.At(2).compare(0, keys::kFleet.size(), keys::kFleet) == 0) {
      // A page holds the records of many machines.
      exists = false;
      for (it = state_service_.items.begin(); it != state_service_.items.end() && !exists;) {
        if (const auto* page = std::get_if<FleetPage>(&it->second.value)) {
          for (const MachineRecord& m : page->machines) exists |= keys::kFleet + m.id == w.At(2);
        }
        if (!exists) ++it;
      }
    }
    if (w.At(1) == "lacks") {
      if (exists) throw TraceFailure{"the key exists"};
      return;
    }
    if (!exists) throw TraceFailure{"the key does not exist"};
    if (const auto* end = std::get_if<JobEndRecord>(&it->second.value)) {
      const std::string recorded = end->cancelled ? "withdrawn" : "done";
      if (!w.At(3).empty() && w.At(3) != recorded)
        throw TraceFailure{"the job's end record says " + recorded};
    }
  }

  void ApplyExternalEvent(const StepWords& w) {
    ++state_service_.revision;
    if (w.At(1) == "withdraw") {
      state_service_.Put(keys::kJobEnd + w.At(2), JobEndRecord{true, 0});
      state_service_.Erase(keys::kJob + w.At(2));
    } else if (w.At(1) == "leads") {
      const uint64_t term = static_cast<uint64_t>(w.Number("term", 2));
      state_service_.Put(keys::kLeader, LeaderRecord{w.At(2), term}, 1);
      state_service_.Put(keys::kTerm, TermRecord{term, w.At(2)});
    } else if (w.At(1) == "dies") {
      state_service_.Erase(keys::kLeader);
    } else if (w.At(1) == "ends-our-lease") {
      for (uint64_t l : std::set<uint64_t>(state_service_.live_leases))
        state_service_.RemoveLease(l);
    } else if (w.At(1) == "records") {
      state_service_.Put(
          keys::kFleet + w.At(2),
          FleetPage{{MachineRecord{w.At(2), "e:" + w.At(2), w.Has("big") ? "big" : "box",
                                   w.Text("zone", "a"), w.Has("spot")}}});
    } else {
      throw TraceFailure{"unknown event"};
    }
    CarryOutEffects();
  }

  void SetCloudMode(const StepWords& w, const std::string& tail) {
    const std::string mode = w.At(1);
    if (mode == "down")
      cloud_up_ = false;
    else if (mode == "up")
      cloud_up_ = true, cloud_unresponsive_ = false;
    else if (mode == "silent")
      cloud_unresponsive_ = true;
    else if (mode == "rents")
      cloud_has_capacity_ = true;
    else if (mode == "full")
      cloud_has_capacity_ = false;
    else if (mode == "lists") {
      listed_instances_.clear();
      for (const std::string& item : Split(tail, ';')) {
        const StepWords m(item);
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
        listed_instances_.push_back(l);
      }
    } else
      throw TraceFailure{"unknown mode of the cloud"};
    CarryOutEffects();
  }

  static void ExpectEqual(const std::string& expected, const std::string& got) {
    if (expected != got) throw TraceFailure{"got: " + got};
  }
  void ExpectSeen(const std::string& expected) {
    for (auto it = seen_effects_.begin(); it != seen_effects_.end(); ++it) {
      if (*it == expected) {
        seen_effects_.erase(it);
        return;
      }
    }
    std::string all;
    for (const std::string& s : seen_effects_) all += "\n    " + s;
    throw TraceFailure{"not seen; seen were:" + all};
  }
  void ExpectNotSeen(const std::string& start) {
    for (const std::string& s : seen_effects_) {
      if (s.compare(0, start.size(), start) == 0) throw TraceFailure{"was seen: " + s};
    }
  }

  PlatformSettings settings_;
  Options options_;
  std::unique_ptr<Controller> core_;
  Micros now_ = Seconds(100);
  StateServiceEmulator state_service_;
  struct OpenWatch {
    StateRequest request;
    Micros sent;
  };
  std::vector<OpenWatch> watches_;
  bool watches_hang_ = false, lists_hang_ = false;
  std::map<std::string, std::deque<CommandRequest>> open_commands_;
  std::vector<std::string> seen_effects_;
  std::vector<std::string> logged_lines_;
  std::map<std::string, std::string> last_heartbeat_steps_;
  std::set<std::string> scale_out_names_;
  std::vector<MachineType> types_;
  std::vector<CloudInstance> listed_instances_;
  bool cloud_up_ = true, cloud_unresponsive_ = false, cloud_has_capacity_ = false;
  int created_instances_ = 0;
  RequestId last_request_id_ = 0, heartbeat_request_id_ = 0;
  std::map<std::string, uint64_t> sequence_;
  std::string last_heartbeat_response_, last_api_response_;
  HeartbeatResponse last_sent_response_;
};

int Run(const char* file) {
  std::ifstream in(file);
  if (!in) {
    std::cerr << file << ": can't read the file\n";
    return 2;
  }
  TraceRunner runner;
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
      runner.RunStep(line);
    } catch (const TraceFailure& failure) {
      std::cerr << file << ":" << number << ": " << line << "\n  " << failure.message << "\n";
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
