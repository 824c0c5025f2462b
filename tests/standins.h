// Fakes of the state service, the cloud and an agent that follow the published protocols.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "http/client.h"
#include "http/server.h"
#include "io/loop.h"

namespace badgershore::standins {

class StateService {
 public:
  explicit StateService(io::Loop* loop);
  bool Start(const std::string& addr) { return server_.Start(addr).has_value(); }
  void SetDown(bool down) { is_down_ = down; }
  bool Has(const std::string& key) const { return items_.count(key) > 0; }

 private:
  struct Item {
    std::string value;
    uint64_t version = 0, lease = 0;
  };
  struct Event {
    std::string key, value;
    uint64_t version = 0;
    bool deleted = false;
  };
  io::Task<http::ServerResponse> Handle(http::Message m);
  http::ServerResponse HandleCommit(const std::string& body);
  void Expire();
  void Delete(const std::string& key);

  io::Loop* loop_;
  http::Server server_;
  bool is_down_ = false;
  uint64_t revision_ = 0, next_lease_ = 0;
  std::map<std::string, Item> items_;
  std::vector<Event> log_;
  struct Lease {
    Micros duration, expires_at;
  };
  std::map<uint64_t, Lease> leases_;
};

class Cloud {
 public:
  explicit Cloud(io::Loop* loop);
  bool Start(const std::string& addr) { return server_.Start(addr).has_value(); }
  std::set<std::string> released;

 private:
  io::Task<http::ServerResponse> Handle(http::Message m);
  http::Server server_;
};

// An agent that runs every task for `run` and sends four heartbeats a second.
class Agent {
 public:
  Agent(io::Loop* loop, std::string name, std::vector<std::string> controllers,
        Micros task_duration);
  void Start() { io::Spawn(SendHeartbeats()); }
  int tasks_started = 0;
  bool started_twice = false;  // a task was started while another attempt of it was running

 private:
  struct Running {
    uint64_t attempt = 0;
    Micros ends_at;
    bool exited = false, done = false;
  };
  io::Task<void> SendHeartbeats();
  void ExecuteCommands(const std::string& body);

  io::Loop* loop_;
  std::string name_;
  std::vector<std::string> controllers_;
  size_t controller_index_ = 0;
  Micros task_duration_;
  uint64_t sequence_ = 0, fencing_token_ = 0;
  std::map<std::string, Running> tasks_;
};

}  // namespace badgershore::standins
