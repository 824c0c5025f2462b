#include "standins.h"

#include "wire/json.h"

namespace badgershore::standins {
namespace {

using wire::Count;
using wire::Find;
using wire::Text;
using wire::Value;
using wire::Writer;

std::string Query(const std::string& target, const std::string& name) {
  const size_t at = target.find(name + "=");
  if (at == std::string::npos) return "";
  const size_t from = at + name.size() + 1;
  return target.substr(from, target.find('&', from) - from);
}

std::string ToJson(const Value& v) {
  rapidjson::StringBuffer out;
  rapidjson::Writer<rapidjson::StringBuffer> w(out);
  v.Accept(w);
  return out.GetString();
}

bool HasPrefix(const std::string& key, const std::string& prefix) {
  return key.compare(0, prefix.size(), prefix) == 0;
}

}  // namespace

StateService::StateService(io::Loop* loop)
    : loop_(loop),
      server_(
          loop, [this](http::Message m) { return Handle(std::move(m)); }, 100) {}

void StateService::Delete(const std::string& key) {
  if (items_.erase(key)) log_.push_back({key, "", revision_, true});
}

void StateService::Expire() {
  const Micros now = io::Loop::Now();
  for (auto it = leases_.begin(); it != leases_.end();) {
    if (now < it->second.expires_at) {
      ++it;
      continue;
    }
    std::vector<std::string> expired;
    for (auto& [k, i] : items_)
      if (i.lease == it->first) expired.push_back(k);
    if (!expired.empty()) ++revision_;
    for (const auto& k : expired) Delete(k);
    it = leases_.erase(it);
  }
}

http::ServerResponse StateService::HandleCommit(const std::string& body) {
  rapidjson::Document doc;
  if (!wire::ParseObject(body, &doc)) return {400, "{}", 0};
  std::string failed;
  if (const Value* guards = Find(doc, "guards")) {
    for (const Value& g : guards->GetArray()) {
      const std::string key = Text(g, "path");
      auto it = items_.find(key);
      if ((it == items_.end() ? 0 : it->second.version) == Count(g, "stamp")) continue;
      failed += (failed.empty() ? "\"" : ",\"") + key + "\"";
    }
  }
  if (!failed.empty()) {
    return {409, "{\"failed\":[" + failed + "],\"epoch\":" + std::to_string(revision_) + "}", 0};
  }
  ++revision_;
  if (const Value* then = Find(doc, "then")) {
    for (const Value& c : then->GetArray()) {
      if (Find(c, "delete")) {
        Delete(Text(c, "delete"));
        continue;
      }
      const std::string key = Text(c, "put");
      if (Count(c, "tenancy") != 0 && !leases_.count(Count(c, "tenancy"))) {
        return {400, "{\"error\":\"no such lease\"}", 0};
      }
      items_[key] = Item{ToJson(*Find(c, "value")), revision_, Count(c, "tenancy")};
      log_.push_back({key, items_[key].value, revision_, false});
    }
  }
  return {200, "{\"epoch\":" + std::to_string(revision_) + "}", 0};
}

io::Task<http::ServerResponse> StateService::Handle(http::Message m) {
  Expire();
  const std::string path = m.target.substr(0, m.target.find('?'));
  if (path == "/changes") {
    const std::string prefix = Query(m.target, "starts");
    const uint64_t since = std::stoull(Query(m.target, "since"));
    const Micros deadline = io::Loop::Now() + Millis(std::stoll(Query(m.target, "waitMs")));
    std::string events;
    for (;;) {
      Expire();
      for (const Event& e : log_) {
        if (is_down_ || e.version <= since || !HasPrefix(e.key, prefix)) continue;
        events += std::string(events.empty() ? "" : ",") + "{\"" + (e.deleted ? "delete" : "put") +
                  "\":\"" + e.key + "\"" + (e.deleted ? "" : ",\"value\":" + e.value) +
                  ",\"stamp\":" + std::to_string(e.version) + "}";
      }
      if (!events.empty() || io::Loop::Now() >= deadline) break;
      co_await loop_->Sleep(Millis(10));
    }
    co_return http::ServerResponse{
        200, "{\"epoch\":" + std::to_string(revision_) + ",\"log\":[" + events + "]}", 0};
  }
  if (is_down_) co_return http::ServerResponse{503, "{}", 0};
  if (path == "/commit") co_return HandleCommit(m.body);
  if (path == "/grants") {
    rapidjson::Document doc;
    wire::ParseObject(m.body, &doc);
    const Micros duration = Millis(static_cast<int64_t>(Count(doc, "lifeMs")));
    leases_[++next_lease_] = Lease{duration, io::Loop::Now() + duration};
    co_return http::ServerResponse{200, "{\"tenancy\":" + std::to_string(next_lease_) + "}", 0};
  }
  if (HasPrefix(path, "/grants/")) {
    const uint64_t id = std::stoull(path.substr(8));
    auto it = leases_.find(id);
    if (it == leases_.end()) co_return http::ServerResponse{404, "{}", 0};
    it->second.expires_at =
        io::Loop::Now() + (m.method == "DELETE" ? Micros{} : it->second.duration);
    Expire();
    co_return http::ServerResponse{200, "{\"tenancy\":" + std::to_string(id) + "}", 0};
  }
  const auto entry = [](const std::string& key, const Item& i) {
    return "{\"path\":\"" + key + "\",\"value\":" + i.value +
           ",\"stamp\":" + std::to_string(i.version) + "}";
  };
  if (path == "/store") {
    const std::string prefix = Query(m.target, "starts"), after = Query(m.target, "since");
    std::string list;
    for (auto& [k, i] : items_) {
      if (!HasPrefix(k, prefix) || k <= after) continue;
      list += (list.empty() ? "" : ",") + entry(k, i);
    }
    co_return http::ServerResponse{200,
                                   "{\"entries\":[" + list + "],\"truncated\":false,\"epoch\":" +
                                       std::to_string(revision_) + "}",
                                   0};
  }
  auto it = items_.find(path.substr(7));
  if (it == items_.end()) co_return http::ServerResponse{404, "{\"epoch\":1}", 0};
  co_return http::ServerResponse{200, entry(it->first, it->second), 0};
}

Cloud::Cloud(io::Loop* loop)
    : server_(
          loop, [this](http::Message m) { return Handle(std::move(m)); }, 50) {}

io::Task<http::ServerResponse> Cloud::Handle(http::Message m) {
  if (m.target == "/flavors") {
    co_return http::ServerResponse{
        200,
        R"({"builds":[{"sku":"box","cpus":4,"accelerators":0,"memGb":8,"localGb":50,"fetchGbPerS":1,
 "rate":1.0,"spotPrice":0.3,"bootS":30,"yards":["a"]}]})",
        0};
  }
  if (m.target == "/rentals/return") {
    rapidjson::Document doc;
    wire::ParseObject(m.body, &doc);
    for (const Value& v : Find(doc, "setts")->GetArray()) released.insert(v.GetString());
    co_return http::ServerResponse{200, "{}", 0};
  }
  if (m.method == "POST") co_return http::ServerResponse{503, "{\"error\":\"no capacity\"}", 0};
  co_return http::ServerResponse{200, "{\"setts\":[],\"truncated\":false}", 0};
}

Agent::Agent(io::Loop* loop, std::string name, std::vector<std::string> controllers,
             Micros task_duration)
    : loop_(loop),
      name_(std::move(name)),
      controllers_(std::move(controllers)),
      task_duration_(task_duration) {}

void Agent::ExecuteCommands(const std::string& body) {
  rapidjson::Document doc;
  if (!wire::ParseObject(body, &doc) || Count(doc, "baton") < fencing_token_) return;
  fencing_token_ = Count(doc, "baton");
  for (const Value& o : Find(doc, "orders")->GetArray()) {
    const std::string verb = Text(o, "verb"), task = Text(o, "leg");
    auto it = tasks_.find(task);
    if (verb == "start") {
      if (it != tasks_.end() && !it->second.exited && it->second.attempt != Count(o, "try")) {
        started_twice = true;
      }
      if (it == tasks_.end()) ++tasks_started;
      tasks_[task] = Running{Count(o, "try"), io::Loop::Now() + task_duration_};
    } else if (it != tasks_.end() && verb == "halt") {
      it->second.exited = true;
    } else if (it != tasks_.end() && verb == "clear") {
      tasks_.erase(it);
    }
  }
}

io::Task<void> Agent::SendHeartbeats() {
  for (;;) {
    Writer w;
    w.Begin().Put("sett", name_).Put("endpoint", "127.0.0.1:9").Put("build", "box");
    w.Put("yard", "a").Put("loaners", false).Put("tenure", 1).Put("tally", ++sequence_);
    w.Put("baton", fencing_token_).Key("legs").BeginList();
    for (auto& [name, t] : tasks_) {
      if (!t.exited && io::Loop::Now() >= t.ends_at) t.exited = t.done = true;
      w.Begin()
          .Put("leg", name)
          .Put("try", t.attempt)
          .Put("phase", t.exited ? "exited" : "running");
      if (t.exited) w.Put("cause", t.done ? "done" : "halted");
      w.End();
    }
    w.EndList().End();
    http::Client client(loop_, controllers_[controller_index_], 0, {});
    std::string body = w.Done();
    http::ClientResponse a =
        co_await client.Request("POST", "/checkin", std::move(body), Seconds(4));
    if (a.answered() && a.status == 200) {
      ExecuteCommands(a.body);
    } else {
      controller_index_ = (controller_index_ + 1) % controllers_.size();
    }
    co_await loop_->Sleep(Millis(250));
  }
}

}  // namespace badgershore::standins
