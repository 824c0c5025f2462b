// A scenario in simulated time, in one thread: the production code of three controllers, of the
// state service and of the agents, with an emulated cloud, users and network. All randomness comes
// from one seed, so that the same scenario and seed give the same history to the byte.
#pragma once

#include <memory>

#include "core/controller/controller.h"
#include "rehearsal/clock.h"
#include "rehearsal/cloud.h"
#include "rehearsal/distortions.h"
#include "rehearsal/history.h"
#include "rehearsal/service.h"
#include "rehearsal/waiting.h"
#include "rehearsal/work.h"
#include "site/core/balance.h"
#include "store/state_machine.h"

namespace badgershore::rehearsal {

using config::Cancellation;
using config::Fault;
using config::JobClass;

// Host names on the network: node-N, state, cloud, users, and machine ids.
inline const std::string kState = "state", kCloud = "cloud";
inline std::string NodeName(size_t index) { return "node-" + std::to_string(index); }
inline bool IsNode(const std::string& host) { return host.starts_with("node-"); }
inline size_t NodeIndex(const std::string& host) { return static_cast<size_t>(host.back() - '0'); }
inline bool IsMachine(const std::string& host) { return host.starts_with("n-"); }

struct Result {
  std::string scenario;
  uint64_t seed = 0;
  int done = 0, withdrawn = 0, open = 0;
  std::map<std::string, std::string> final_states;
  std::vector<Violation> violations;
  // By class: seconds from a job's submission to the response that it is done.
  std::map<std::string, std::vector<double>> waits;
  std::map<ServiceStats::Key, ServiceStats::ClassStats> service;
  double price = 0, simulated_s = 0;
  // The longest that a task of a cancelled job was on a machine after the cancellation was
  // confirmed.
  double latest_cancelled_s = 0;
  int started_cancelled = 0, reordered_responses = 0;  // see Checker
  std::string history, log;                            // lines
  std::vector<std::string> leader_views;  // the leader's view of each job that is open at the end
  bool clean() const { return violations.empty() && open == 0; }
};

// Real controllers and a real state service, for a scenario that runs in real time.
class ProcessBackend {
 public:
  using Reply = std::function<void(int status, const std::string& body)>;
  virtual ~ProcessBackend() = default;
  // Returns the address at which the machine receives requests. Its own requests arrive through
  // World::HandleExternalRequest.
  virtual std::string OpenMachine(const std::string& id) = 0;
  virtual void CloseMachine(const std::string& id) = 0;
  // `from`: the machine that sends the request, or "users".
  virtual void CallNode(const std::string& from, size_t node, const wire::Call& call,
                        Reply reply) = 0;
  virtual void FetchJobSpec(const std::string& job,
                            std::function<void(std::optional<JobSpec>)> then) = 0;
  virtual void KillNode(size_t node, Micros back_after) = 0;
  virtual void RestartState(Micros back_after) = 0;
  virtual void OnEvent(const Event&) {}
};

// State that all cells of a scenario share.
struct ScenarioContext {
  ScenarioContext(const Scenario& scenario, uint64_t seed);
  Clock clock;
  Checker checker;
  ServiceStats service;
  Result result;
  struct CellPartition {
    std::string a, b;  // cells
    Micros until;
  };
  std::vector<CellPartition> cell_partitions;
  double total_cost = 0, useful_cost = 0;  // money
};

// One cell: controllers, state service, cloud, machines and users.
class World {
 public:
  World(const Scenario& scenario, uint64_t seed, ProcessBackend* backend = nullptr);
  // Cell number `cell` of a scenario with several; `all` lists the cells.
  World(const Scenario& scenario, ScenarioContext* context, size_t cell, std::vector<World*>* all);
  // Runs the whole scenario in simulated time.
  Result Run();

  // In real time: call Begin, then RunUntil no later than NextAt, until IsOver().
  void Begin(Micros now);
  void RunUntil(Micros now);
  Micros NextAt() const { return clock_.NextAt(); }
  bool IsOver() const;
  void CollectResults();  // adds this cell to the result
  Result FinishRun();
  // Handles a request of a real controller to the cloud or to a machine.
  void HandleExternalRequest(const std::string& to, const wire::Call& call,
                             ProcessBackend::Reply reply);
  const Cloud& cloud() const { return cloud_; }

 private:
  using Reply = ProcessBackend::Reply;
  // In place of an HTTP status: no process listens there; no response arrived.
  static constexpr int kNotSent = -1, kNoAnswer = 0;

  World(const Scenario& scenario, std::shared_ptr<ScenarioContext> context, size_t cell,
        std::vector<World*>* all, ProcessBackend* backend);

  // Time.
  void Schedule(Micros at, std::function<void()> then) { clock_.Schedule(at, std::move(then)); }
  double RandomFraction() { return clock_.RandomFraction(); }
  Micros RandomDuration(double least_s, double most_s) {
    return clock_.RandomDuration(least_s, most_s);
  }

  // Network. Returns false where a partition resets the connection: then nothing is delivered.
  bool Deliver(const std::string& from, const std::string& to, bool reply,
               std::function<void()> then);
  void SendRequest(const std::string& from, const std::string& to, wire::Call call, Reply reply);
  void CompleteRequest(uint64_t id, int status, const std::string& body);
  void HandleRequest(uint64_t id, const std::string& to, const wire::Call& call);
  void HandleNodeRequest(size_t index, uint64_t id, const wire::Call& call);
  void HandleStateRequest(uint64_t id, const wire::Call& call);
  void HandleMachineRequest(const std::string& machine, uint64_t id, const wire::Call& call);
  // Delivers a duplicate of a response to a heartbeat to the machine's present agent.
  void DeliverDuplicateResponse(const std::string& machine, uint64_t report_id,
                                const HeartbeatResponse& response);
  void Respond(uint64_t id, int status, std::string body);
  // Reports a message to or from a machine that exceeds the protocol's limit as a violation.
  void CheckMessageSize(const std::string& from, const std::string& to, const std::string& body);
  bool Matches(const std::string& who, const std::string& host) const;

  // Controllers.
  void StartNode(size_t index);
  void KillNode(size_t index, Micros back_after);
  void TickNode(size_t index, int incarnation);
  void RunWhenResumed(size_t index, std::function<void(Controller*)> then);
  void ProcessNodeEffects(size_t index);
  void SendStateRequest(size_t index, const StateRequest& op);
  void DeliverHeldHeartbeats();
  int LeaderIndex() const;

  // State service.
  // Until when the state service refuses the sender of this request.
  Micros StateRefusedUntil(uint64_t id) const;
  void SubmitStateRequest(uint64_t id, const store::Request& request);
  void ProcessStateEffects();
  store::Limits StoreLimits() const;
  void StartState();  // with the contents of disk_
  void RestartState(Micros span);

  // Workers.
  void OnMachineUp(const Cloud::Machine& m);
  void OnMachineGone(const std::string& id);
  void RestartMachine(const std::string& id);
  void ProcessAgentActions(const std::string& id);
  // A hung machine does nothing until then; messages to it are handled afterwards.
  Micros HungUntil(const std::string& id) const;
  void HangMachine(const std::string& id, Micros span);
  void CheckStarvedJobs();
  void RecordTaskExit(const std::string& machine, const TaskKey& task);

  // Users.
  void ScheduleJobs();
  void SubmitJob(const std::string& job, Micros first);
  void PollJob(const std::string& job, bool is_recheck);
  void CancelJob(const std::string& job);
  void QueryUnknownJob();
  void QueryOnce(const std::string& job, const std::string& node);  // without a retry
  void SendQueryBurst(const std::string& job);
  void SendUnusualRequests();
  void CancelRunningJobs(const Fault& t);
  std::string ChooseNode();
  void ProbeNode(size_t index);

  // Other cells.
  void SendToCell(size_t index, const CellDelivery& send);
  CellsConfig Cells() const;
  void RestoreStateBackup();

  void InjectFault(const Fault& t);
  void RecordEvent(Event e);
  void RecordNote(const std::string& text);

  struct PendingRequest {
    std::string from, to;
    int incarnation = 0;  // of the sender, if it is a controller
    Reply reply;
  };
  struct Partition {
    std::string a, b;
    Micros until;
    bool resets = false;
  };
  struct Node {
    std::unique_ptr<Controller> controller;
    int incarnation = 0;
    store::RateLimiter state_rate_limiter{0, {}};
    std::map<RequestId, uint64_t> callers;  // controller's request id -> network request id
    RequestId next_token = 0;
    Micros paused_until;         // process pause; its clock goes on
    Micros state_refused_until;  // by the state service, which serves the other controllers
  };
  struct Worker {
    std::unique_ptr<agent::Agent> agent;
    uint64_t incarnation = 0;  // different for each agent, also on the same machine
    MachineRecord record;
    double fetch_gb_per_s = 1;
    bool fails_tasks = false;
    Micros hung_until;
    std::set<TaskKey> running_tasks;
    Micros next_tick = kNever;
    std::map<std::string, uint64_t> fetches;
  };
  struct UserJob {
    std::string body, job_class;
    JobFacts facts;
    Micros run, first_submitted;
    int remaining_tasks = 0;  // tasks that are not completed
    int starts = 0;           // task starts so far
    bool cancel_requested = false, submitted = false, accepted = false, is_final = false,
         abandoned = false, rechecked = false;
  };

  const Scenario& scenario_;
  std::shared_ptr<ScenarioContext> context_;
  Clock& clock_;
  Micros& now_;
  ProcessBackend* backend_;
  size_t cell_;
  std::string name_, history_prefix_;  // of the cell; prefix of its machines' names in the history
  std::vector<World*>* all_cells_;     // the scenario's cells; null: there is only this one
  std::vector<Team> teams_;            // with their current limits
  std::map<uint64_t, PendingRequest> pending_requests_;
  uint64_t next_call_ = 0;
  std::vector<Partition> partitions_;
  std::vector<Node> nodes_{3};

  std::unique_ptr<store::StateMachine> state_;
  StateServiceLimits state_limits_;       // those in force
  store::StateImage disk_, disk_backup_;  // disk_backup_: made by an operator
  std::optional<store::Batch> pending_write_;
  int state_incarnation_ = 0;
  Micros state_next_tick_ = kNever;
  std::map<store::RequestId, std::pair<uint64_t, store::Request>> state_calls_;
  store::RequestId next_state_token_ = 0;
  bool state_down_ = false, disk_full_ = false;
  double lost_response_share_ = 0, delayed_write_share_ = 0;
  MessageFaults message_faults_;
  std::vector<wire::Call> held_heartbeats_;
  int leader_when_held_ = -1;  // the leader when the first of them was captured
  bool query_bursts_ = false, unusual_requests_ = false;
  double cancel_at_end_share_ = 0;
  int unusual_jobs_ = 0;
  StarvationDetector starvation_detector_;
  Micros delayed_writes_until_;

  site::Balancer balancer_{3};
  int last_known_leader_ = -1;  // with real controllers: the one that last accepted a heartbeat
  Micros start_time_;
  Cloud cloud_;
  TaskEmulator task_emulator_;
  std::map<std::string, Worker> workers_;
  uint64_t agent_incarnations_ = 0;
  std::map<std::string, UserJob> jobs_;
};

// Runs a scenario with any number of cells in simulated time.
Result Simulate(const Scenario& scenario, uint64_t seed);

}  // namespace badgershore::rehearsal
