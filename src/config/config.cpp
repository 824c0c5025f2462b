#include "config/config.h"

#include <yaml-cpp/yaml.h>

#include <fstream>
#include <functional>
#include <map>
#include <sstream>

#include "wire/json.h"

namespace badgershore::config {
namespace {

using wire::Find;
using wire::Value;

// Reads the fields of one JSON object; every error names the file and the path of the field.
class JsonReader {
 public:
  JsonReader(const Value& object, std::string file, std::string path)
      : object_(object), file_(std::move(file)), path_(std::move(path)) {}

  [[noreturn]] void Fail(const std::string& field, const std::string& expected) const {
    throw Error(file_ + ": " + path_ + field + ": expected " + expected);
  }
  std::string NonEmptyString(const char* field) const {
    const Value* value = Find(object_, field);
    if (!value || !value->IsString() || value->GetStringLength() == 0)
      Fail(field, "a non-empty string");
    return value->GetString();
  }
  std::string Address(const char* field) const {
    std::string s = NonEmptyString(field);
    const size_t colon = s.rfind(':');
    const int port = colon == std::string::npos ? 0 : std::atoi(s.c_str() + colon + 1);
    if (colon == 0 || port <= 0 || port > 65535) Fail(field, "ADDRESS:PORT");
    return s;
  }
  double Number(const char* field, double min, double max) const {
    const Value* value = Find(object_, field);
    if (!value || !value->IsNumber() || value->GetDouble() < min || value->GetDouble() > max) {
      std::ostringstream range;
      range << "a number from " << min << " to " << max;
      Fail(field, range.str());
    }
    return value->GetDouble();
  }
  double NumberOr(const char* field, double default_value) const {
    return Find(object_, field) ? Number(field, 0, 1e12) : default_value;
  }
  Micros Duration(const char* field) const { return Seconds(Number(field, 0.001, 1e6)); }
  bool Has(const char* field) const { return Find(object_, field) != nullptr; }
  double NumberOr(const char* field, double min, double max, double default_value) const {
    return Has(field) ? Number(field, min, max) : default_value;
  }
  JsonReader Object(const char* field) const {
    const Value* value = Find(object_, field);
    if (!value || !value->IsObject()) Fail(field, "an object");
    return {*value, file_, path_ + field + "."};
  }
  template <typename F>
  void Each(const char* field, bool required, F on_item) const {
    const Value* list = Find(object_, field);
    if (!list && !required) return;
    if (!list || !list->IsArray()) Fail(field, "a list");
    int i = 0;
    for (const Value& item : list->GetArray()) {
      const std::string path = path_ + field + "[" + std::to_string(i++) + "].";
      on_item(JsonReader(item, file_, path), item);
    }
  }

 private:
  const Value& object_;
  std::string file_, path_;
};

constexpr double kMaxRate = 1e9;
constexpr double kMinChangesPerSecond = 0.1;
constexpr double kMinValueKb = 0.1, kMaxValueKb = 1e6;
// A transaction that elects a leader, or records a job's end, has two.
constexpr double kMinNextMutations = 2, kMinMutations = 3, kMaxMutations = 1e6;

StateServiceLimits ReadStateLimits(const JsonReader& reader) {
  StateServiceLimits limits;
  limits.requests_per_s = reader.Number("rps", 1, kMaxRate);
  limits.changes_per_s = reader.Number("write_rps", kMinChangesPerSecond, kMaxRate);
  limits.value_kb = reader.Number("value_kb", kMinValueKb, kMaxValueKb);
  limits.mutations = static_cast<int>(reader.Number("txn_ops", kMinMutations, kMaxMutations));
  return limits;
}

// A limit that is absent stays as it is.
StateServiceLimits ReadNextStateLimits(const JsonReader& reader,
                                       const StateServiceLimits& present) {
  StateServiceLimits limits;
  limits.requests_per_s = reader.NumberOr("rps", 1, kMaxRate, present.requests_per_s);
  limits.changes_per_s =
      reader.NumberOr("write_rps", kMinChangesPerSecond, kMaxRate, present.changes_per_s);
  limits.value_kb = reader.NumberOr("value_kb", kMinValueKb, kMaxValueKb, present.value_kb);
  limits.mutations = static_cast<int>(
      reader.NumberOr("txn_ops", kMinNextMutations, kMaxMutations, present.mutations));
  return limits;
}

}  // namespace

std::string ReadFile(const std::string& file) {
  std::ifstream in(file, std::ios::binary);
  if (!in) throw Error(file + ": can't be read");
  std::ostringstream out;
  out << in.rdbuf();
  return out.str();
}

PlatformSettings ParsePlatform(const std::string& text, const std::string& file) {
  rapidjson::Document doc;
  if (!wire::ParseObject(text, &doc)) throw Error(file + ": expected a JSON object");
  const JsonReader top(doc, file, "");
  PlatformSettings s;
  s.member = top.NonEmptyString("member");
  s.site = top.NonEmptyString("site");
  s.client_listen = top.Address("client_listen");
  s.peer_listen = top.Address("back");
  top.Each("members", true, [&](const JsonReader& r, const Value&) {
    s.members.push_back({r.NonEmptyString("member"), r.Address("addr")});
  });
  const JsonReader external = top.Object("external");
  s.cloud_addr = external.Address("cloud");
  s.state_addr = external.Address("state");
  const JsonReader params = top.Object("params");
  params.Each("zones", true, [&](const JsonReader& r, const Value& v) {
    if (!v.IsString()) r.Fail("", "a string");
    s.zones.emplace_back(v.GetString());
  });
  params.Each("teams", true, [&](const JsonReader& r, const Value&) {
    Team t;
    t.name = r.NonEmptyString("name");
    t.guarantee = {wire::Thousandths(r.NumberOr("cpus", 0)),
                   wire::Thousandths(r.NumberOr("gpus", 0)), 0};
    t.limit = {wire::Thousandths(r.NumberOr("cpus_max", 0)),
               wire::Thousandths(r.NumberOr("gpus_max", 0)), 0};
    s.teams.push_back(std::move(t));
  });
  params.Each("objectives", false, [&](const JsonReader& r, const Value&) {
    Objective o;
    o.kind = r.NonEmptyString("kind");
    o.job_class = r.NonEmptyString("class");
    o.within = Seconds(r.NumberOr("within_s", 0));
    o.share = r.NumberOr("share", 0);
    s.objectives.push_back(std::move(o));
  });
  const JsonReader workers = params.Object("workers");
  s.heartbeat_interval = workers.Duration("report_s");
  s.agent_lease = workers.Duration("lease_s");
  s.gang_start_timeout = workers.Duration("gang_wait_s");
  s.gang_failure_timeout = workers.Duration("gang_peer_s");
  s.cancel_deadline = workers.Duration("cancel_s");
  if (s.cancel_deadline <= s.agent_lease) {
    workers.Fail("cancel_s", "more than lease_s, or a cancellation can't be guaranteed");
  }
  const JsonReader state = params.Object("state");
  s.state = ReadStateLimits(state);
  if (state.Has("next")) s.next_state = ReadNextStateLimits(state.Object("next"), s.state);
  const JsonReader cloud = params.Object("cloud");
  s.cloud_rps = cloud.Number("rps", 0.01, 1e9);
  s.cloud_list_lag = Seconds(cloud.Number("list_lag_s", 0, 1e6));
  const JsonReader quota = params.Object("quota");
  s.quota_mem_mb = quota.Number("mem_mb", 1, 1e9);
  s.quota_connections = static_cast<int>(quota.Number("max_connections", 16, 1e9));
  return s;
}

PlatformSettings LoadPlatform(const std::string& file) {
  return ParsePlatform(ReadFile(file), file);
}

Options ParseOptions(const std::string& text, const std::string& file) {
  Options o;
  YAML::Node root;
  try {
    root = YAML::Load(text);
  } catch (const YAML::Exception& e) {
    throw Error(file + ": line " + std::to_string(e.mark.line + 1) + ": expected YAML");
  }
  if (root.IsNull()) return o;
  if (!root.IsMap()) throw Error(file + ": expected a map of settings");
  struct Field {
    double min, max;
    std::function<void(double)> set;
  };
  const auto duration = [](Micros* target, double min, double max) {
    return Field{min, max, [target](double v) { *target = Seconds(v); }};
  };
  const auto number = [](double* target, double min, double max) {
    return Field{min, max, [target](double v) { *target = v; }};
  };
  const std::map<std::string, std::map<std::string, Field>> sections = {
      {"dispatch",
       {{"bucket_width", number(&o.bucket_width, 1.01, 100)},
        {"rebind_wait_s", duration(&o.rebind_wait, 0, 3600)},
        {"age_limit_s", duration(&o.age_limit, 1, 1e6)},
        {"bind_window",
         Field{1, 100000, [&o](double v) { o.bind_window = static_cast<int>(v); }}}}},
      {"failover",
       {{"lease_s", duration(&o.lease, 1, 60)},
        {"stuck_after_s", duration(&o.stuck_after, 1, 1e6)},
        {"silent_probe_s", duration(&o.silent_probe, 0.5, 600)},
        {"silent_return_s", duration(&o.silent_return, 1, 600)},
        {"resolve_wait_s", duration(&o.resolve_wait, 0.5, 600)},
        {"resolve_soon_s", duration(&o.resolve_soon, 0.2, 600)},
        {"hold_checkin_s", duration(&o.hold_checkin, 0, 2)}}},
      {"autoscale",
       {{"idle_boots", number(&o.idle_boots, 0, 1000)},
        {"gang_idle_boots", number(&o.gang_idle_boots, 0, 1000)},
        {"keep_machines",
         Field{0, 100000, [&o](double v) { o.keep_machines = static_cast<int>(v); }}},
        {"gang_spare", number(&o.gang_spare, 0, 10)},
        {"arrival_doubt", number(&o.arrival_doubt, 0, 100)},
        {"ready_spread", number(&o.ready_spread, 0, 10)},
        {"ready_doubt", number(&o.ready_doubt, 0, 100)},
        {"drain_target_s", duration(&o.drain_target, 1, 1e5)},
        {"drain_share", number(&o.drain_share, 0.01, 1)},
        {"boot_patience", number(&o.boot_patience, 1.5, 100)},
        {"refusal_memory_s", duration(&o.refusal_memory, 0, 1e4)}}},
  };
  for (const auto& section : root) {
    const auto name = section.first.as<std::string>("");
    auto it = sections.find(name);
    if (it == sections.end()) throw Error(file + ": " + name + ": expected a known section");
    if (!section.second.IsMap()) throw Error(file + ": " + name + ": expected a map");
    for (const auto& entry : section.second) {
      const auto key = entry.first.as<std::string>("");
      auto field = it->second.find(key);
      if (field == it->second.end()) {
        throw Error(file + ": " + name + "." + key + ": expected a known setting");
      }
      std::ostringstream range;
      range << "a number from " << field->second.min << " to " << field->second.max;
      double value = 0;
      try {
        value = entry.second.as<double>();
      } catch (const YAML::Exception&) {
        throw Error(file + ": " + name + "." + key + ": expected " + range.str());
      }
      if (!(value >= field->second.min && value <= field->second.max)) {
        throw Error(file + ": " + name + "." + key + ": expected " + range.str());
      }
      field->second.set(value);
    }
  }
  return o;
}

Options LoadOptions(const std::string& file) { return ParseOptions(ReadFile(file), file); }

}  // namespace badgershore::config
