// A site of real processes on loopback: the state service and three controllers, with the emulated
// cloud and machines behind HTTP servers and one address for users.
#pragma once

#include <memory>
#include <string>

#include "error/error.h"
#include "rehearsal/world.h"
#include "site/process.h"
#include "site/relay.h"
#include "stats/durations.h"

namespace badgershore::rehearsal {

struct SiteOptions {
  std::string programs;  // the folder that holds badgershore and badgershore-state
  std::string dir;       // settings, state and logs
  std::string listen = "127.0.0.1:0";
  uint64_t seed = 1;
  int state_replicas = 1;          // 1, 3 or 5; controller i uses replica i modulo this
  std::string controller_options;  // contents of the options file (YAML); empty: none
};

class Site : public ProcessBackend {
 public:
  Site(io::Loop* loop, Scenario scenario, SiteOptions options);

  // Runs until the scenario is over, if it has jobs of its own, or until Stop. `over` is called
  // when all processes have exited.
  [[nodiscard]] badgershore::Result<void> Start(std::function<void()> on_exit);
  void Stop();
  std::string address() const { return relay_.address(); }
  bool ready() const { return relay_.ready(); }
  World& world() { return world_; }

  // Requests that agents, or users, have sent to the controllers.
  struct Traffic : http::Traffic {
    stats::Durations latencies;  // from request to response
  };
  const Traffic& heartbeat_traffic() const { return heartbeat_traffic_; }
  const Traffic& user_traffic() const { return user_traffic_; }
  const std::vector<std::string>& node_addresses() const { return node_addresses_; }
  const std::vector<std::string>& state_addresses() const { return state_addresses_; }
  // The replicas of the state service, then the controllers.
  const site::Processes& processes() const { return processes_; }
  std::string ProcessName(size_t child) const;
  // Kills a replica and deletes its data; it restarts with an empty disk.
  void LoseState(size_t replica, Micros back_after);
  // Must be set before Start.
  std::function<void(const Event&)> on_event;
  void OnProcessEnded(std::function<void(const std::string& name, int status)> callback) {
    processes_.on_ended = std::move(callback);
  }
  // Open and finished jobs, and machines that are up and that are starting.
  struct Counts {
    int open = 0, finished = 0, up = 0, starting = 0;
    bool operator==(const Counts&) const = default;
  };
  io::Task<Counts> Count();

  std::string OpenMachine(const std::string& id) override;
  void CloseMachine(const std::string& id) override;
  void CallNode(const std::string& from, size_t node, const wire::Call& call, Reply reply) override;
  void FetchJobSpec(const std::string& job,
                    std::function<void(std::optional<JobSpec>)> then) override;
  void KillNode(size_t node, Micros back_after) override {
    processes_.Kill(state_addresses_.size() + node, back_after);
  }
  void OnEvent(const Event& event) override {
    if (on_event) on_event(event);
  }
  void RestartState(Micros back_after) override { processes_.Kill(0, back_after); }

 private:
  io::Task<void> RunWorld();
  io::Task<void> RemoveStateData(size_t replica);
  io::Task<http::ServerResponse> HandleRequest(std::string host, http::Message m);
  io::Task<void> SendRequest(std::shared_ptr<http::Client> client, wire::Call call, Reply reply);
  std::shared_ptr<http::Client> ClientOf(const std::string& from, size_t node);
  std::vector<site::Command> Commands();
  void AddStateCommands(std::vector<site::Command>* out);
  std::string StateData(size_t replica) const;
  std::string Settings(size_t node) const;

  io::Loop* loop_;
  Scenario scenario_;
  SiteOptions options_;
  std::string cloud_addr_;
  std::vector<std::string> state_addresses_, node_addresses_, peer_addresses_;
  std::map<std::string, std::unique_ptr<http::Server>> machines_;
  struct WorkerConnection {
    size_t node = 0;
    std::shared_ptr<http::Client> client;
  };
  std::map<std::string, WorkerConnection> connections_;  // by machine
  Traffic heartbeat_traffic_, user_traffic_;
  http::Server cloud_;
  site::LoadBalancer relay_;
  site::Processes processes_;
  World world_;
  size_t next_state_replica_ = 0;
  bool stopping_ = false;
};

}  // namespace badgershore::rehearsal
