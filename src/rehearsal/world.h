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

using config::JobClass;
using config::Trouble;
using config::Withdrawal;

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
  std::vector<Broken> broken;
  // By class: seconds from a job's submission to the response that it is done.
  std::map<std::string, std::vector<double>> waits;
  std::map<Service::Key, Service::Served> service;
  double price = 0, simulated_s = 0;
  // The longest that a task of a cancelled job was on a machine after the cancellation was
  // confirmed.
  double latest_cancelled_s = 0;
  int started_cancelled = 0, crossed = 0;  // see Checker
  std::string history, log;                // lines
  std::vector<std::string> beliefs;        // the leader's view of each job that is open at the end
  bool clean() const { return broken.empty() && open == 0; }
};

// Real controllers and a real state service, for a scenario that runs in real time.
class Outside {
 public:
  using Reply = std::function<void(int status, const std::string& body)>;
  virtual ~Outside() = default;
  // Returns the address at which the machine receives requests. Its own requests arrive through
  // World::Receive.
  virtual std::string OpenMachine(const std::string& id) = 0;
  virtual void CloseMachine(const std::string& id) = 0;
  // `from`: the machine that sends the request, or "users".
  virtual void CallNode(const std::string& from, size_t node, const wire::Call& call,
                        Reply reply) = 0;
  virtual void Describe(const std::string& job,
                        std::function<void(std::optional<JobSpec>)> then) = 0;
  virtual void KillNode(size_t node, Micros back_after) = 0;
  virtual void RestartState(Micros back_after) = 0;
  virtual void Observe(const Event&) {}
};

// State that all cells of a scenario share.
struct Stage {
  Stage(const Scenario& scenario, uint64_t seed);
  Clock clock;
  Checker checker;
  Service service;
  Result result;
  struct CellCut {
    std::string a, b;  // cells
    Micros until;
  };
  std::vector<CellCut> cuts;
  double spent = 0, useful = 0;  // money
};

// One cell: controllers, state service, cloud, machines and users.
class World {
 public:
  World(const Scenario& scenario, uint64_t seed, Outside* outside = nullptr);
  // Cell number `cell` of a scenario with several; `all` lists the cells.
  World(const Scenario& scenario, Stage* stage, size_t cell, std::vector<World*>* all);
  // Runs the whole scenario in simulated time.
  Result Run();

  // In real time: call Begin, then RunUntil no later than NextAt, until over().
  void Begin(Micros now);
  void RunUntil(Micros now);
  Micros NextAt() const { return clock_.NextAt(); }
  bool over() const;
  void Leave();  // adds this cell to the result
  Result End();
  // Handles a request of a real controller to the cloud or to a machine.
  void Receive(const std::string& to, const wire::Call& call, Outside::Reply reply);
  const Cloud& cloud() const { return cloud_; }

 private:
  using Reply = Outside::Reply;
  // In place of an HTTP status: no process listens there; no response arrived.
  static constexpr int kNotSent = -1, kNoAnswer = 0;

  World(const Scenario& scenario, std::shared_ptr<Stage> stage, size_t cell,
        std::vector<World*>* all, Outside* outside);

  // Time.
  void Later(Micros at, std::function<void()> then) { clock_.Later(at, std::move(then)); }
  double Chance() { return clock_.Chance(); }
  Micros Between(double least_s, double most_s) { return clock_.Between(least_s, most_s); }

  // Network. Returns false where a partition resets the connection: then nothing is delivered.
  bool Deliver(const std::string& from, const std::string& to, bool reply,
               std::function<void()> then);
  void Send(const std::string& from, const std::string& to, wire::Call call, Reply reply);
  void Finish(uint64_t id, int status, const std::string& body);
  void Serve(uint64_t id, const std::string& to, const wire::Call& call);
  void ServeNode(size_t index, uint64_t id, const wire::Call& call);
  void ServeState(uint64_t id, const wire::Call& call);
  void ServeMachine(const std::string& machine, uint64_t id, const wire::Call& call);
  void Respond(uint64_t id, int status, std::string body);
  bool Matches(const std::string& who, const std::string& host) const;

  // Controllers.
  void StartNode(size_t index);
  void KillNode(size_t index, Micros back_after);
  void TickNode(size_t index, int life);
  void WhenAwake(size_t index, std::function<void(Controller*)> then);
  void PumpNode(size_t index);
  void NodeState(size_t index, const StateRequest& op);
  void BringKeptReports();
  int Leader() const;

  // State service.
  // Until when the state service refuses the sender of this request.
  Micros RefusedUntil(uint64_t id) const;
  void AskState(uint64_t id, const store::Request& request);
  void PumpState();
  void StartState();  // with the contents of disk_
  void RestartState(Micros span);

  // Workers.
  void MachineUp(const Cloud::Machine& m);
  void MachineGone(const std::string& id);
  void PumpMachine(const std::string& id);
  // A hung machine does nothing until then; messages to it are handled afterwards.
  Micros HungUntil(const std::string& id) const;
  void Hang(const std::string& id, Micros span);
  void LookForLeftWork();
  void TaskOff(const std::string& machine, const TaskKey& task);

  // Users.
  void PlanJobs();
  void Submit(const std::string& job, Micros first);
  void Poll(const std::string& job, bool again);
  void Withdraw(const std::string& job);
  void AskUnknown();
  void Ask(const std::string& job, const std::string& node);  // without a retry
  void LookClosely(const std::string& job);
  void RequestOddly();
  void CallOff(const Trouble& t);
  std::string PickNode();
  void ProbeNode(size_t index);

  // Other cells.
  void TellCell(size_t index, const CellDelivery& send);
  CellsPlan Cells() const;
  void RestoreState();

  void Strike(const Trouble& t);
  void See(Event e);
  void Note(const std::string& text);

  struct Pending {
    std::string from, to;
    int life = 0;  // of the sender, if it is a controller
    Reply reply;
  };
  struct Cut {
    std::string a, b;
    Micros until;
    bool resets = false;
  };
  struct Node {
    std::unique_ptr<Controller> core;
    int life = 0;
    store::RateLimiter rate{0, {}};
    std::map<RequestId, uint64_t> callers;  // controller's request id -> network request id
    RequestId next_token = 0;
    Micros frozen_until;   // process pause; its clock goes on
    Micros refused_until;  // by the state service, which serves the other controllers
  };
  struct Worker {
    std::unique_ptr<agent::Agent> agent;
    MachineRecord record;
    double fetch_gb_per_s = 1;
    bool sick = false;
    Micros hung_until;
    std::set<TaskKey> on;
    Micros armed = kNever;
    std::map<std::string, uint64_t> fetches;
  };
  struct UserJob {
    std::string body, lane;
    JobFacts facts;
    Micros run, first;
    int left = 0;    // tasks that are not completed
    int starts = 0;  // task starts so far
    bool calls_off = false, submitted = false, accepted = false, final = false, gave_up = false,
         rechecked = false;
  };

  const Scenario& scenario_;
  std::shared_ptr<Stage> stage_;
  Clock& clock_;
  Micros& now_;
  Outside* outside_;
  size_t cell_;
  std::string name_, prefix_;  // of the cell; prefix of its machines' names in the history
  std::vector<World*>* all_;   // the scenario's cells; null: there is only this one
  std::vector<Team> teams_;    // with their current limits
  std::map<uint64_t, Pending> pending_;
  uint64_t next_call_ = 0;
  std::vector<Cut> cuts_;
  std::vector<Node> nodes_{3};

  std::unique_ptr<store::StateMachine> state_;
  store::StateImage disk_, old_disk_;  // old: a backup that an operator made
  std::optional<store::Batch> writing_;
  int state_life_ = 0;
  Micros state_armed_ = kNever;
  std::map<store::RequestId, std::pair<uint64_t, store::Request>> state_calls_;
  store::RequestId next_state_token_ = 0;
  bool state_down_ = false, disk_full_ = false;
  double mute_share_ = 0, late_share_ = 0;
  Distortions distortions_;
  std::vector<wire::Call> kept_reports_;
  int kept_under_ = -1;  // the leader when the first of them was captured
  bool look_closely_ = false, odd_ = false;
  double cancel_at_end_ = 0;
  int odd_jobs_ = 0;
  Waiting waiting_;
  Micros late_until_;

  site::Balancer balancer_{3};
  int seen_leader_ = -1;  // with real controllers: the one that last accepted a heartbeat
  Micros start_;
  Cloud cloud_;
  Work work_;
  std::map<std::string, Worker> workers_;
  std::map<std::string, UserJob> jobs_;
};

// Runs a scenario with any number of cells in simulated time.
Result Play(const Scenario& scenario, uint64_t seed);

}  // namespace badgershore::rehearsal
