// A leader's controller with emulated agents, cloud and state service, for tests and measurements
// of jobs with many tasks.
#pragma once

#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "check/small_state.h"
#include "core/controller/controller.h"

namespace badgershore {

constexpr int kMachineCount = 40;
constexpr Micros kTick = Millis(100);
constexpr Micros kHeartbeatInterval = Seconds(1);
constexpr double kSmallTaskCpus = 0.01;  // 3,200 tasks fit on a machine
inline const std::string kLargeJob = "job-000001";

// A machine's agent. Its tasks run until CompleteAll is called.
struct Agent {
  std::string id;
  uint64_t sequence = 0, fencing_token = 0;
  std::map<TaskKey, TaskStatus> tasks;
  bool waits_for_gang = false;

  void Execute(const std::vector<Command>& commands) {
    for (const Command& command : commands) {
      const TaskKey key{command.ref, command.attempt};
      if (command.verb == Command::Verb::kStart) {
        tasks.try_emplace(key, TaskStatus{command.ref, command.attempt, TaskPhase::kRunning,
                                          ExitReason::kNone, false});
      } else if (command.verb == Command::Verb::kForget) {
        tasks.erase(key);
      } else if (auto it = tasks.find(key); it != tasks.end()) {
        it->second.phase = TaskPhase::kExited;
        it->second.exit_reason = ExitReason::kStopped;
      }
    }
  }
  void CompleteAll() {
    for (auto& [key, task] : tasks) {
      task.phase = TaskPhase::kExited;
      task.exit_reason = ExitReason::kDone;
    }
  }
  Heartbeat NextHeartbeat() {
    Heartbeat heartbeat;
    heartbeat.machine = id;
    heartbeat.endpoint = "agent:" + id;
    heartbeat.type = "grande";
    heartbeat.zone = "a";
    heartbeat.agent_epoch = 1;
    heartbeat.sequence = ++sequence;
    heartbeat.fencing_token = fencing_token;
    for (const auto& [key, task] : tasks) {
      heartbeat.tasks.push_back(task);
      if (waits_for_gang && task.phase == TaskPhase::kRunning)
        heartbeat.tasks.back().phase = TaskPhase::kWaitingForGang;
    }
    return heartbeat;
  }
};

// A leader with `kMachineCount` machines, on which one job is submitted, runs, and ends. All time
// is simulated.
class EmulatedSite {
 public:
  // May change the settings before a controller starts.
  using Configure = std::function<void(PlatformSettings*, Options*)>;

  explicit EmulatedSite(int machines = kMachineCount, const Configure& configure = {}) {
    settings_.member = "m-0";
    settings_.site = "a";
    settings_.zones = {"a"};
    settings_.teams = {{"team", {}, {}}};
    settings_.heartbeat_interval = kHeartbeatInterval;
    settings_.agent_lease = Seconds(10);
    settings_.gang_start_timeout = Seconds(30);
    settings_.gang_failure_timeout = Seconds(4);
    settings_.cancel_deadline = Seconds(40);
    settings_.cloud_list_lag = Seconds(2);
    options_.hold_checkin = {};
    state_.renew_duration = options_.lease;
    type_.name = "grande";
    type_.size = {32000, 0, 64000};
    type_.price = 1;
    type_.spot_price = 1;
    type_.boot = Seconds(40);
    AddMachines(machines);
    StartController(configure);
    Advance(Seconds(8));
  }

  void AddMachines(int count) {
    for (int i = 0; i < count; ++i) {
      char id[16];
      std::snprintf(id, sizeof(id), "n-%06d", next_machine_++);
      agents_[id].id = id;
    }
  }

  // The state service has lost everything.
  void ClearState() {
    state_ = {};
    state_.renew_duration = options_.lease;
  }

  // The machine is gone with its tasks.
  void LoseMachine(const std::string& id) {
    std::erase_if(heartbeat_requests_,
                  [&id](const auto& request) { return request.second->id == id; });
    agents_.erase(id);
  }

  std::vector<std::string> Machines() const {
    std::vector<std::string> ids;
    for (const auto& [id, agent] : agents_) ids.push_back(id);
    return ids;
  }

  // A new controller takes the place of the present one, as after a crash.
  void StartController(const Configure& configure = {}) {
    if (configure) configure(&settings_, &options_);
    controller_ = std::make_unique<Controller>(settings_, options_);
    watches_.clear();
  }

  void Submit(JobKind kind, int tasks, double cpus, const std::string& id = kLargeJob,
              const std::string& image = "image", const std::string& team = "team") {
    if (id == kLargeJob) gang_members_ = kind == JobKind::kGang ? static_cast<size_t>(tasks) : 0;
    JobSpec spec;
    spec.id = id;
    spec.job_class = "class";
    spec.team = team;
    spec.kind = kind;
    spec.tasks = tasks;
    spec.need = {static_cast<int64_t>(cpus * 1000), 0, 1};
    spec.image = image;
    spec.estimated_runtime = Seconds(60);
    spec.submitted_ms = TimeOfDayMs();
    Submission submission{id, spec, ""};
    Step([&] { controller_->OnSubmit(now_, ++last_request_, submission); });
  }

  void Cancel() {
    Step([&] { controller_->OnCancel(now_, ++last_request_, kLargeJob); });
  }

  void CompleteAll() {
    for (auto& [id, agent] : agents_) agent.CompleteAll();
  }

  // From now on all machines are unreachable.
  void SilenceAgents() { agents_are_silent_ = true; }
  void RestoreAgents() { agents_are_silent_ = false; }

  void Advance(Micros duration) {
    const Micros end = now_ + duration;
    while (now_ < end) {
      now_ = now_ + kTick;
      state_.ExpireLeases(now_);
      Step([&] { controller_->Tick(now_, TimeOfDayMs()); });
      if (now_ < next_heartbeats_at_ || agents_are_silent_) continue;
      next_heartbeats_at_ = now_ + kHeartbeatInterval;
      GatherGang();
      for (auto& [id, agent] : agents_) {
        const Heartbeat heartbeat = agent.NextHeartbeat();
        heartbeat_requests_[++last_request_] = &agent;
        Step([&] { controller_->OnHeartbeat(now_, last_request_, heartbeat); });
      }
    }
  }

  Agent& agent(const std::string& id) { return agents_.at(id); }

  size_t TasksOnAgents() const {
    size_t tasks = 0;
    for (const auto& [id, agent] : agents_) tasks += agent.tasks.size();
    return tasks;
  }

  Micros now() const { return now_; }
  const check::FakeStateService& state() const { return state_; }
  const Controller& controller() const { return *controller_; }

  // Returns the response to a request that the state service refuses; nullopt: it is carried out.
  std::function<std::optional<StateResponse>(const StateRequest&)> refuse_state_request =
      [](const StateRequest&) { return std::nullopt; };
  // Called after each transaction.
  std::function<void()> on_transaction = [] {};

  std::vector<ApiResponse> api_responses;

  // Runs each step, one input to the controller, and sees the effects that it has afterwards.
  std::function<void(const std::function<void()>& step, const Effects& effects)> observe_step =
      [](const std::function<void()>& step, const Effects&) { step(); };

 private:
  // A gang's members start together once all of them are on machines.
  void GatherGang() {
    const bool waits = gang_members_ > 0 && TasksOnAgents() < gang_members_ && !gang_started_;
    gang_started_ = gang_members_ > 0 && !waits;
    for (auto& [id, agent] : agents_) agent.waits_for_gang = waits;
  }

  int64_t TimeOfDayMs() const { return 1000000 + now_.ToMillis(); }

  template <typename Input>
  void Step(Input input) {
    RunStep(input);
    // Responses are inputs of their own.
    while (!responses_.empty()) {
      const std::function<void()> respond = std::move(responses_.back());
      responses_.pop_back();
      RunStep(respond);
    }
  }

  template <typename Input>
  void RunStep(const Input& input) {
    Effects effects;
    const auto step = [&] {
      input();
      effects = controller_->TakeEffects();
    };
    observe_step(step, effects);
    CarryOut(effects);
  }

  void CarryOut(const Effects& effects) {
    for (const HeartbeatResponse& r : effects.heartbeat_responses) {
      auto it = heartbeat_requests_.find(r.request_id);
      if (it == heartbeat_requests_.end()) continue;
      if (r.status == 200) {
        it->second->fencing_token = r.fencing_token;
        it->second->Execute(r.commands);
      }
      heartbeat_requests_.erase(it);
    }
    for (const CommandRequest& r : effects.command_requests) {
      if (agents_are_silent_ || !agents_.contains(r.machine)) {
        responses_.push_back(
            [this, id = r.id] { controller_->OnCommandResponse(now_ + kTick, id, {}); });
        continue;
      }
      Agent& agent = agents_.at(r.machine);
      agent.fencing_token = r.fencing_token;
      agent.Execute(r.commands);
      CommandResponse response{200, agent.NextHeartbeat()};
      responses_.push_back(
          [this, id = r.id, response] { controller_->OnCommandResponse(now_, id, response); });
    }
    for (const ApiResponse& r : effects.api_responses) api_responses.push_back(r);
    for (const CloudRequest& r : effects.cloud_requests) RespondFromCloud(r);
    for (const StateRequest& r : effects.state_requests) RespondFromState(r);
    ServeWatches();
  }

  // No machine can be rented.
  void RespondFromCloud(const CloudRequest& request) {
    CloudResponse response;
    response.outcome = request.kind == CloudRequest::Kind::kScaleOut
                           ? CloudResponse::Outcome::kNoCapacity
                           : CloudResponse::Outcome::kOk;
    if (request.kind == CloudRequest::Kind::kListMachineTypes) response.types = {type_};
    responses_.push_back(
        [this, id = request.id, response] { controller_->OnCloudResponse(now_, id, response); });
  }

  void RespondFromState(const StateRequest& request) {
    if (request.kind == StateRequest::Kind::kWatch) return watches_.push_back({request, now_});
    if (const auto refusal = refuse_state_request(request)) return Respond(request.id, *refusal);
    StateResponse response = state_.Execute(now_, 0, request);
    if (request.kind == StateRequest::Kind::kCompareAndSwap && response.ok()) on_transaction();
    if (request.kind == StateRequest::Kind::kGet) {
      auto it = state_.items.find(request.key);
      if (it == state_.items.end()) {
        response.outcome = StateResponse::Outcome::kNotFound;
      } else {
        response.entries = {{request.key, it->second.value, it->second.version}};
      }
    }
    Respond(request.id, std::move(response));
  }

  void ServeWatches() {
    for (Watch& watch : std::exchange(watches_, {})) {
      StateResponse response = state_.ChangesSince(watch.request);
      if (response.entries.empty() && now_ - watch.sent_at < watch.request.duration) {
        watches_.push_back(std::move(watch));
      } else {
        Respond(watch.request.id, std::move(response));
      }
    }
  }

  void Respond(RequestId id, StateResponse response) {
    responses_.push_back([this, id, response = std::move(response)] {
      controller_->OnStateResponse(now_, id, response);
    });
  }

  struct Watch {
    StateRequest request;
    Micros sent_at;
  };
  PlatformSettings settings_;
  Options options_;
  MachineType type_;
  check::FakeStateService state_;
  std::unique_ptr<Controller> controller_;
  Micros now_ = Seconds(100);
  Micros next_heartbeats_at_;
  int next_machine_ = 0;
  RequestId last_request_ = 0;
  size_t gang_members_ = 0;
  bool gang_started_ = false;
  bool agents_are_silent_ = false;
  std::map<std::string, Agent> agents_;
  std::map<RequestId, Agent*> heartbeat_requests_;
  std::vector<std::function<void()>> responses_;
  std::vector<Watch> watches_;
};

}  // namespace badgershore
