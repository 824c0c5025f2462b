// A site of real processes on loopback: the state service and three controllers, with the
// emulated cloud and machines behind HTTP and one address for users in front.
#pragma once

#include <memory>
#include <string>

#include "rehearsal/world.h"
#include "site/process.h"
#include "site/relay.h"

namespace badgershore::rehearsal {

struct SiteOptions {
  std::string programs;  // the folder that holds badgershore and badgershore-state
  std::string dir;       // settings, state and logs
  std::string listen = "127.0.0.1:0";
  uint64_t seed = 1;
};

class Site : public Outside {
 public:
  Site(io::Loop* loop, const Scenario& scenario, SiteOptions options);

  // Ends when the scenario is over (`scenario` has jobs of its own) or at Stop; `over` is called
  // when no process is left.
  bool Start(std::function<void()> over, std::string* error);
  void Stop();
  std::string address() const { return relay_.address(); }
  bool ready() const { return relay_.ready(); }
  World& world() { return world_; }
  // What users would see: jobs that live and that are over, machines up and asked for.
  struct Counts {
    int live = 0, over = 0, up = 0, starting = 0;
    bool operator==(const Counts&) const = default;
  };
  io::Task<Counts> Count();

  std::string OpenMachine(const std::string& id) override;
  void CloseMachine(const std::string& id) override;
  void CallNode(size_t node, const wire::Call& call, Reply reply) override;
  void Describe(const std::string& job, std::function<void(std::optional<JobSpec>)> then) override;
  void KillNode(size_t node, Micros back_after) override { processes_.Kill(node + 1, back_after); }
  void RestartState(Micros back_after) override { processes_.Kill(0, back_after); }

 private:
  io::Task<void> Drive();
  io::Task<http::ServerAnswer> Serve(std::string host, http::Message m);
  io::Task<void> Call(std::string addr, wire::Call call, Reply reply);
  std::vector<site::Command> Commands();
  std::string Settings(size_t node) const;

  io::Loop* loop_;
  Scenario scenario_;
  SiteOptions options_;
  std::string state_addr_, cloud_addr_;
  std::vector<std::string> nodes_, backs_;
  std::map<std::string, std::unique_ptr<http::Server>> machines_;
  http::Server cloud_;
  site::Relay relay_;
  site::Processes processes_;
  World world_;
  bool stopping_ = false;
};

}  // namespace badgershore::rehearsal
