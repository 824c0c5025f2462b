// Stand-ins for a small site: state service, cloud, workers, users, and proxies between them and
// the controllers. They follow PROTOCOL-badgershore.md. Everything listens on loopback addresses.
#pragma once

#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>
#include <sys/types.h>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace review {

double Now();  // seconds since the program started, by the steady clock
void SleepFor(double seconds);

// Appends a line with the time to record.txt. Thread-safe.
void OpenRecord(const std::string& file);
void Record(const char* format, ...) __attribute__((format(printf, 1, 2)));

// ---- HTTP ----
struct HttpMessage {
  std::string method, target;
  int status = 0;
  std::string body;
  size_t longest_body_line = 0;
};
struct HttpReply {
  int status = 200;
  std::string body = "{}";
  bool silent = false;  // send no answer and close the connection
};

// Reads one message from the socket; false at its end, on an error or at the deadline.
bool ReadMessage(int fd, bool request, std::string* buffer, HttpMessage* out, double deadline);
bool SendAll(int fd, const std::string& data);
int ListenOn(int* port);  // 127.0.0.1, a free port
int ConnectTo(const std::string& address, double timeout);

class HttpServer {
 public:
  using Handler = std::function<HttpReply(const HttpMessage&)>;
  explicit HttpServer(Handler handler);
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

 private:
  void Accept();
  void Serve(int fd);
  Handler handler_;
  int fd_ = -1, port_ = 0;
};

// Sends one request on a connection of its own. Status 0: no answer in time.
HttpMessage Call(const std::string& address, const std::string& method, const std::string& target,
                 const std::string& body, double timeout);

// Forwards TCP connections to an address. While it is cut, it holds everything back: connections
// hang, and what was sent is delivered when the cut ends.
class Proxy {
 public:
  explicit Proxy(std::string to);
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
  std::atomic<bool> cut{false};

 private:
  void Accept();
  void Forward(int from, int to);
  std::string to_;
  int fd_ = -1, port_ = 0;
};

// ---- State service ----
struct StateLimits {
  double rps = 120, write_rps = 15;
  double value_kb = 8;
  size_t txn_ops = 8;
};
class StateService {
 public:
  explicit StateService(StateLimits limits);
  std::string address() const { return server_->address(); }
  void SetLimits(StateLimits limits);
  std::atomic<bool> down{false};
  std::atomic<int> commits{0}, too_large{0};  // changes made, and refused with 400

 private:
  struct Item {
    std::string value;
    uint64_t version = 0, lease = 0;
  };
  struct Change {
    std::string key, value;
    uint64_t version = 0;
    bool deleted = false;
  };
  struct Lease {
    double duration = 0, until = 0;
  };
  HttpReply Handle(const HttpMessage& request);
  HttpReply Get(const std::string& key);
  HttpReply List(const HttpMessage& request);
  HttpReply Commit(const HttpMessage& request);
  HttpReply Changes(const HttpMessage& request);
  HttpReply Grants(const HttpMessage& request, const std::string& path);
  bool Admit(double* tokens, double rate, double amount, double* at);
  void ExpireLeases();
  void Delete(const std::string& key);
  std::string EpochField() const { return "\"epoch\":" + std::to_string(revision_); }

  StateLimits limits_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Item> items_;
  std::vector<Change> log_;
  std::map<uint64_t, Lease> leases_;
  uint64_t revision_ = 0, last_lease_ = 0;
  double tokens_ = 0, tokens_at_ = 0, write_tokens_ = 0, write_tokens_at_ = 0;
  bool was_down_ = false;
  std::unique_ptr<HttpServer> server_;
};

// ---- Machines ----
struct MachineKind {
  std::string name;
  double cpus = 4, mem_gb = 32, fetch_gb_per_s = 1, boot_s = 40;
};
struct WorkerTimes {
  double report_s = 3, lease_s = 18, gang_wait_s = 30, gang_peer_s = 6, cancel_s = 43;
};

// What users know of a job; workers fetch the description from here.
struct JobInfo {
  int legs = 1;
  double cpus = 1, mem_gb = 1, image_gb = 0.1, run_s = 5;
  std::string image = "img-1";
  double cancelled_at = -1;  // when a user was told that the job is cancelled
};
class Jobs {
 public:
  void Add(const std::string& id, const JobInfo& info);
  bool Find(const std::string& id, JobInfo* out);
  void SetCancelled(const std::string& id, double at);

 private:
  std::mutex mutex_;
  std::map<std::string, JobInfo> jobs_;
};

// A start command that a worker accepted.
struct StartEvent {
  std::string leg, machine;
  uint64_t attempt = 0;
  double report_sent_at = 0;  // when the report was sent whose answer carried it
  double at = 0;
};
// What workers tell the test. Called with the worker's lock held.
struct WorkerEvents {
  std::function<void(const StartEvent&)> on_start;
  // `cause`: done, halted, killed (the lease ended) or gone (the machine was returned).
  std::function<void(const std::string& leg, const std::string& machine, const char* cause)> on_end;
};

class Worker {
 public:
  Worker(std::string name, MachineKind kind, std::string zone, WorkerTimes times,
         std::vector<std::pair<std::string, std::string>> nodes, Jobs* jobs, WorkerEvents events);
  std::string name() const { return name_; }
  std::string address() const { return server_->address(); }
  const MachineKind& kind() const { return kind_; }
  void Stop();  // the machine is gone, with all that is on it
  std::atomic<int> starts{0}, done{0}, sessions{1}, refused_reports{0}, dropped_answers{0};
  std::atomic<size_t> largest_report{0}, largest_answer_line{0};
  int TasksOn();

 private:
  struct Task {
    uint64_t attempt = 0;
    std::string phase, cause;
    double ready_at = 0, ends_at = 0;
    double cpus = 0, mem_gb = 0;
  };
  void Run();
  void Tick();
  void End(const std::string& key, Task* task, const char* cause);
  void SendReport();
  std::string ReportBody();  // counts up the tally
  void Advance(double now);  // lease and tasks
  void Execute(const rapidjson::Value& orders, double report_sent_at);
  void Start(const std::string& leg, uint64_t attempt, double report_sent_at);
  HttpReply Handle(const HttpMessage& request);

  std::string name_;
  MachineKind kind_;
  std::string zone_;
  WorkerTimes times_;
  std::vector<std::pair<std::string, std::string>> nodes_;  // name, address
  Jobs* jobs_;
  WorkerEvents events_;
  std::mutex mutex_;
  std::map<std::string, Task> tasks_;
  std::map<std::string, double> images_;  // when each is there
  uint64_t session_ = 1, tally_ = 0, token_ = 0;
  size_t node_ = 0;
  double session_began_ = 0, answered_report_sent_ = 0;
  bool changed_ = false;
  bool redirected_ = false;  // by a 421 that names another node
  std::atomic<bool> stopped_{false};
  std::mt19937 random_;
  std::unique_ptr<HttpServer> server_;
};

// ---- Cloud ----
class Cloud {
 public:
  Cloud(std::vector<MachineKind> kinds, std::string zone, WorkerTimes times, Jobs* jobs);
  std::string address() const { return server_->address(); }
  // Machines may be rented up to this number; those that are up at the start count.
  int capacity = 0;
  double boot_s = 2;  // how long a rented machine takes to come up
  std::vector<std::pair<std::string, std::string>> nodes;
  WorkerEvents events;
  Worker* AddMachine(const std::string& kind, bool up_at_once);
  std::vector<Worker*> Up();

 private:
  struct Machine {
    std::string kind;
    double rented_at = 0, up_at = 0;
    bool spot = false;
    std::shared_ptr<Worker> worker;
  };
  HttpReply Handle(const HttpMessage& request);
  HttpReply Rent(const HttpMessage& request);
  HttpReply Return(const HttpMessage& request);
  HttpReply List(const HttpMessage& request);
  std::shared_ptr<Worker> MakeWorker(const std::string& id, const std::string& kind);
  void Boot();

  std::vector<MachineKind> kinds_;
  std::string zone_;
  WorkerTimes times_;
  Jobs* jobs_;
  std::mutex mutex_;
  std::map<std::string, Machine> machines_;
  std::map<std::string, std::string> answers_;  // by the rental's name
  std::vector<std::shared_ptr<Worker>> gone_;
  int last_machine_ = 0;
  std::unique_ptr<HttpServer> server_;
};

// ---- Controllers ----
// Three controllers, started with the command of the deploy file. Each reaches the state service,
// the cloud and each peer through a proxy of its own.
class Controllers {
 public:
  // `command`: the program and its arguments, without the settings file.
  // `next`: the limits that the state service will have later, or null.
  Controllers(std::string command, std::string folder, std::string zone, WorkerTimes times,
              StateLimits limits, const StateLimits* next, const std::string& teams_json,
              double mem_mb, int connections, const std::string& state, const std::string& cloud);
  ~Controllers();
  void Start(int i);
  void Kill(int i);  // SIGKILL
  void Signal(int i, int signal);
  pid_t pid(int i) const { return pid_[i]; }
  bool Ended(int i);  // ended by itself; collects the process
  const std::string& address(int i) const { return client_[i]; }
  std::string name(int i) const { return "sett-" + std::to_string(i); }
  std::vector<std::pair<std::string, std::string>> Nodes() const;
  // The controller that leads according to /metrics, or -1.
  int Leader();
  int WaitForLeader(double timeout);
  double ResidentMb(int i) const;
  void CutState(int i, bool cut) { to_state_[i]->cut = cut; }
  void CutPeers(int i, bool cut);

 private:
  std::string command_, folder_;
  std::string client_[3], back_[3];
  pid_t pid_[3] = {0, 0, 0};
  std::unique_ptr<Proxy> to_state_[3], to_cloud_[3];
  std::unique_ptr<Proxy> to_peer_[3][3];
};

// ---- Users ----
struct JobReply {
  int status = 0;
  std::string phase;
  int done = 0, running = 0;
};
std::string JobBody(const std::string& id, const std::string& lane, const std::string& owner,
                    const std::string& shape, const std::string& rank, const JobInfo& info);
JobReply Submit(const std::string& node, const std::string& body);
JobReply Poll(const std::string& node, const std::string& id);
JobReply Withdraw(const std::string& node, const std::string& id);

}  // namespace review
