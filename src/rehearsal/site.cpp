#include "rehearsal/site.h"

#include <filesystem>
#include <fstream>
#include <utility>

#include "wire/json.h"
#include "wire/records.h"

namespace badgershore::rehearsal {
namespace {

constexpr Micros kStep = Millis(5);
constexpr http::Limits kLimits{8 * 1024, 16 * 1024, 4 * 1024 * 1024};

std::vector<std::string> Addresses(size_t n) {
  std::vector<std::string> out;
  for (size_t i = 0; i < n; ++i) out.push_back(site::FreeAddress());
  return out;
}

}  // namespace

Site::Site(io::Loop* loop, Scenario scenario, SiteOptions options)
    : loop_(loop),
      scenario_(std::move(scenario)),
      options_(std::move(options)),
      cloud_addr_(site::FreeAddress()),
      state_addresses_(Addresses(static_cast<size_t>(options_.state_replicas))),
      node_addresses_(Addresses(3)),
      peer_addresses_(Addresses(3)),
      cloud_(
          loop, [this](http::Message m) { return HandleRequest("cloud", std::move(m)); }, 256),
      relay_(loop, node_addresses_),
      processes_(loop, Commands()),
      world_(scenario_, options_.seed, this) {}

std::string Site::Settings(size_t node) const {
  const PlatformSettings& s = scenario_.site;
  wire::Writer w;
  w.Begin().Put("member", "node-" + std::to_string(node)).Put("site", s.zones[0]);
  w.Put("client_listen", node_addresses_[node])
      .Put("back", peer_addresses_[node])
      .Key("members")
      .BeginList();
  for (size_t i = 0; i < node_addresses_.size(); ++i) {
    if (i == node) continue;
    w.Begin().Put("member", "node-" + std::to_string(i)).Put("site", s.zones[0]);
    w.Put("addr", peer_addresses_[i]).End();
  }
  w.EndList()
      .Key("external")
      .Begin()
      .Put("cloud", cloud_addr_)
      .Put("state", state_addresses_[node % state_addresses_.size()])
      .End();
  w.Key("params").Begin().Key("zones").BeginList();
  for (const std::string& z : s.zones) w.Str(z);
  w.EndList().Key("teams").BeginList();
  for (const Team& t : s.teams) {
    w.Begin().Put("name", t.name).Put("cpus", static_cast<double>(t.guarantee.cpu) / 1000);
    w.Put("cpus_max", static_cast<double>(t.limit.cpu) / 1000).End();
  }
  w.EndList().Key("objectives").BeginList();
  for (const Objective& o : s.objectives) {
    w.Begin().Put("kind", o.kind).Put("class", o.job_class).Put("within_s", o.within.ToSeconds());
    w.Put("share", o.share).End();
  }
  w.EndList().Key("workers").Begin().Put("report_s", s.heartbeat_interval.ToSeconds());
  w.Put("lease_s", s.agent_lease.ToSeconds()).Put("gang_wait_s", s.gang_start_timeout.ToSeconds());
  w.Put("gang_peer_s", s.gang_failure_timeout.ToSeconds())
      .Put("cancel_s", s.cancel_deadline.ToSeconds())
      .End();
  w.Key("state").Begin().Put("rps", s.state.requests_per_s).Put("write_rps", s.state.changes_per_s);
  w.Put("value_kb", s.state.value_kb).Put("txn_ops", s.state.mutations).End();
  w.Key("cloud").Begin().Put("rps", s.cloud_rps);
  w.Put("list_lag_s", s.cloud_list_lag.ToSeconds()).End();
  w.Key("quota")
      .Begin()
      .Put("mem_mb", s.quota_mem_mb)
      .Put("max_connections", s.quota_connections)
      .End();
  return w.End().End().Done();
}

std::vector<site::Command> Site::Commands() {
  const std::string& dir = options_.dir;
  std::filesystem::create_directories(dir);
  const PlatformSettings& s = scenario_.site;
  std::ofstream(dir + "/state.yaml")
      << "limits:\n  rps: " << s.state.requests_per_s << "\n  write_rps: " << s.state.changes_per_s
      << "\n  value_kb: " << s.state.value_kb << "\n  txn_ops: " << s.state.mutations << "\n";
  std::vector<site::Command> out;
  AddStateCommands(&out);
  for (size_t i = 0; i < node_addresses_.size(); ++i) {
    const std::string name = "node-" + std::to_string(i);
    std::ofstream(dir + "/" + name + ".json") << Settings(i);
    std::vector<std::string> argv = {options_.programs + "/badgershore", "--config",
                                     dir + "/" + name + ".json"};
    if (!options_.controller_options.empty()) {
      std::ofstream(dir + "/options.yaml") << options_.controller_options;
      argv.insert(argv.end(), {"--options", dir + "/options.yaml"});
    }
    out.push_back({name, std::move(argv), dir + "/" + name + ".log", 1});
  }
  return out;
}

std::string Site::ProcessName(size_t child) const {
  if (child >= state_addresses_.size()) return NodeName(child - state_addresses_.size());
  return state_addresses_.size() == 1 ? "state" : "state-" + std::to_string(child);
}

std::string Site::StateData(size_t replica) const {
  return options_.dir + "/" + ProcessName(replica);
}

void Site::AddStateCommands(std::vector<site::Command>* out) {
  const std::string program = options_.programs + "/badgershore-state";
  const std::string replica_set = options_.dir + "/replicas.yaml",
                    limits = options_.dir + "/state.yaml";
  if (state_addresses_.size() > 1) {
    std::ofstream file(replica_set);
    file << "replicas:\n";
    for (size_t i = 0; i < state_addresses_.size(); ++i) {
      file << "- {name: " << ProcessName(i) << ", client: \"" << state_addresses_[i]
           << "\", peer: \"" << site::FreeAddress() << "\"}\n";
    }
  }
  for (size_t i = 0; i < state_addresses_.size(); ++i) {
    const std::string name = ProcessName(i), log = options_.dir + "/" + name + ".log";
    std::vector<std::string> argv = {program, "serve", "--data", StateData(i), "--options", limits};
    if (state_addresses_.size() == 1) {
      argv.insert(argv.end(), {"--listen", state_addresses_[i]});
    } else {
      argv.insert(argv.end(), {"--replicas", replica_set, "--name", name});
      site::RunToEnd({program, "init", "--data", StateData(i), "--replicas", replica_set}, log);
    }
    out->push_back({name, std::move(argv), log, 0});
  }
}

void Site::LoseState(size_t replica, Micros back_after) {
  processes_.Kill(replica, back_after);
  // Not before its process has exited, which takes a moment after the signal.
  io::Spawn(RemoveStateData(replica));
}

io::Task<void> Site::RemoveStateData(size_t replica) {
  co_await loop_->Sleep(Millis(200));
  std::error_code ignored;
  std::filesystem::remove_all(StateData(replica), ignored);
}

badgershore::Result<void> Site::Start(std::function<void()> on_exit) {
  if (auto started = cloud_.Start(cloud_addr_); !started) return started;
  if (auto started = relay_.Start(options_.listen); !started) return started;
  processes_.Start(std::move(on_exit));
  world_.Begin(io::Loop::Now());
  io::Spawn(RunWorld());
  return {};
}

void Site::Stop() {
  stopping_ = true;
  processes_.Stop();
}

io::Task<void> Site::RunWorld() {
  while (!stopping_) {
    world_.RunUntil(io::Loop::Now());
    if (world_.IsOver()) {
      Stop();
      co_return;
    }
    co_await loop_->Sleep(kStep);
  }
}

io::Task<http::ServerResponse> Site::HandleRequest(std::string host, http::Message m) {
  io::OneShotValue<std::pair<int, std::string>> slot(loop_);
  wire::Call call{m.method, m.target, m.body, Seconds(5)};
  world_.RunUntil(io::Loop::Now());
  // The slot may be destroyed before the response arrives; then the response is dropped.
  auto waiting = std::make_shared<bool>(true);
  world_.HandleExternalRequest(host, call, [&slot, waiting](int status, const std::string& body) {
    if (*waiting) slot.Set({status, body});
  });
  const auto answer = co_await slot.Wait(io::Loop::Now() + Seconds(5));
  *waiting = false;
  http::ServerResponse out;
  out.close_connection = !answer || answer->first <= 0;
  if (answer) out = {answer->first, answer->second, 0, out.close_connection};
  co_return out;
}

std::string Site::OpenMachine(const std::string& id) {
  auto& server = machines_[id] = std::make_unique<http::Server>(
      loop_, [this, id](http::Message m) { return HandleRequest(id, std::move(m)); }, 16);
  const bool started = server->Start("127.0.0.1:0").has_value();
  return started ? server->address() : "127.0.0.1:1";
}

// The server keeps running, so that requests to the machine time out, as they do after a loss.
void Site::CloseMachine(const std::string& id) { connections_.erase(id); }

io::Task<void> Site::SendRequest(std::shared_ptr<http::Client> client, wire::Call call,
                                 Reply reply) {
  const http::ClientResponse a = co_await client->Request(
      std::move(call.method), std::move(call.target), std::move(call.body), call.timeout);
  world_.RunUntil(io::Loop::Now());
  const bool sent = a.outcome != http::ClientResponse::Outcome::kNotSent;
  reply(a.answered() ? a.status : sent ? 0 : -1, a.body);
}

std::shared_ptr<http::Client> Site::ClientOf(const std::string& from, size_t node) {
  // The users' load balancer picks a node for each connection; an agent keeps one connection to one
  // node.
  if (!IsMachine(from))
    return std::make_shared<http::Client>(loop_, node_addresses_[node], 0, kLimits);
  WorkerConnection& connection = connections_[from];
  if (!connection.client || connection.node != node) {
    connection = {node, std::make_shared<http::Client>(loop_, node_addresses_[node], 1, kLimits)};
  }
  return connection.client;
}

void Site::CallNode(const std::string& from, size_t node, const wire::Call& call, Reply reply) {
  const Micros sent_at = io::Loop::Now();
  const std::shared_ptr<http::Client> client = ClientOf(from, node);
  const bool heartbeat = IsMachine(from);
  const http::Traffic before = client->traffic();
  io::Spawn(SendRequest(client, call,
                        [this, client, heartbeat, before, sent_at, reply = std::move(reply)](
                            int status, const std::string& body) {
                          Traffic& traffic = heartbeat ? heartbeat_traffic_ : user_traffic_;
                          const http::Traffic& after = client->traffic();
                          ++traffic.requests;
                          traffic.sent += after.sent - before.sent;
                          traffic.received += after.received - before.received;
                          if (status > 0)
                            traffic.latencies.Add((io::Loop::Now() - sent_at).ToSeconds());
                          reply(status, body);
                        }));
}

void Site::FetchJobSpec(const std::string& job, std::function<void(std::optional<JobSpec>)> then) {
  wire::Call call{"GET", "/store/" + keys::kJob + job, "", Seconds(4)};
  const std::string key = keys::kJob + job;
  const std::string& address = state_addresses_[next_state_replica_++ % state_addresses_.size()];
  auto client = std::make_shared<http::Client>(loop_, address, 0, kLimits);
  io::Spawn(SendRequest(std::move(client), std::move(call),
                        [key, then = std::move(then)](int status, const std::string& body) {
                          rapidjson::Document doc;
                          const wire::Value* value = nullptr;
                          if (status == 200 && wire::ParseObject(body, &doc)) {
                            value = wire::Find(doc, "value");
                          }
                          const Record record = value ? wire::ReadRecord(key, *value) : Record();
                          const JobSpec* spec = std::get_if<JobSpec>(&record);
                          then(spec ? std::optional<JobSpec>(*spec) : std::nullopt);
                        }));
}

io::Task<Site::Counts> Site::Count() {
  Counts out;
  for (const auto& [id, m] : world_.cloud().machines()) {
    if (m.gone_at < kNever || m.failed_at < kNever) continue;
    ++(m.up_at < kNever ? out.up : out.starting);
  }
  http::Client client(loop_, state_addresses_[0], 0, kLimits);
  for (const std::string& prefix : {keys::kJob, keys::kJobEnd}) {
    std::string target = "/store?limit=1000&starts=" + prefix;
    const http::ClientResponse a =
        co_await client.Request("GET", std::move(target), "", Seconds(2));
    rapidjson::Document doc;
    if (!a.answered() || !wire::ParseObject(a.body, &doc)) continue;
    const wire::Value* entries = wire::Find(doc, "entries");
    const int n = entries && entries->IsArray() ? static_cast<int>(entries->Size()) : 0;
    (prefix == keys::kJob ? out.open : out.finished) = n;
  }
  co_return out;
}

}  // namespace badgershore::rehearsal
