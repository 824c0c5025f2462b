#include "wire/records.h"

namespace badgershore::wire {
namespace {

void WriteResources(Writer* w, const Resources& r) {
  w->Put("cpu", r.cpu).Put("gpu", r.gpu).Put("mem", r.mem);
}

Resources ReadResources(const Value& v) {
  return {static_cast<int64_t>(Number(v, "cpu")), static_cast<int64_t>(Number(v, "gpu")),
          static_cast<int64_t>(Number(v, "mem"))};
}

void WriteStrings(Writer* w, const char* key, const std::vector<std::string>& list) {
  w->Key(key).BeginList();
  for (const std::string& s : list) w->Str(s);
  w->EndList();
}

std::vector<std::string> ReadStrings(const Value& v) {
  std::vector<std::string> out;
  if (!v.IsArray()) return out;
  for (const Value& s : v.GetArray()) {
    if (s.IsString()) out.emplace_back(s.GetString(), s.GetStringLength());
  }
  return out;
}

Micros ReadMicros(const Value& v, const char* name) {
  return {static_cast<int64_t>(Number(v, name))};
}

// Writes units by team, as arrays in the order of limits::ResourceKind.
void WriteTeamAmounts(Writer* w, const char* key, const limits::TeamAmounts& amounts) {
  w->Key(key).Begin();
  for (const auto& [team, amounts] : amounts) {
    w->Key(team.c_str()).BeginList();
    for (const int64_t n : amounts) w->Int(n);
    w->EndList();
  }
  w->End();
}

struct RecordWriter {
  Writer* w;
  void operator()(const std::monostate&) const {}
  void operator()(const TermRecord& r) const { w->Put("term", r.term).Put("leader", r.leader); }
  void operator()(const LeaderRecord& r) const { w->Put("leader", r.leader).Put("term", r.term); }
  void operator()(const JobEndRecord& r) const {
    w->Put("end", r.cancelled ? "withdrawn" : "done").Put("tasks", r.tasks);
  }
  void operator()(const ProgressPage& r) const {
    w->Key("pieces").BeginList();
    for (const ProgressChunk& p : r.chunks) {
      w->Begin().Put("job", p.job).Put("chunk", p.chunk).Put("bits", p.bits).End();
    }
    w->EndList();
  }
  void operator()(const FleetPage& r) const {
    w->Key("machines").BeginList();
    for (const MachineRecord& m : r.machines) {
      w->Begin().Put("id", m.id).Put("endpoint", m.endpoint).Put("type", m.type);
      w->Put("zone", m.zone).Put("spot", m.spot).End();
    }
    w->EndList();
  }
  void operator()(const TypeCountRecord& r) const { w->Put("count", r.count); }
  void operator()(const LimitsRecord& r) const {
    w->Put("of_value", uint64_t{r.configured_value_bytes});
    w->Put("of_changes", uint64_t{r.configured_mutations});
    w->Put("value", uint64_t{r.value_bytes}).Put("changes", uint64_t{r.mutations});
  }
  void operator()(const limits::QuotaRecord& r) const {
    w->Put("number", r.number);
    WriteTeamAmounts(w, "held", r.held);
    WriteTeamAmounts(w, "whole", r.totals);
    w->Key("accounts").Begin();
    for (const auto& [cell, a] : r.accounts) {
      w->Key(cell.c_str()).Begin().Put("sent", a.sent).Put("taken", a.received);
      w->Put("nonce", a.nonce);
      if (a.closed) w->Put("closed", true);
      if (!a.in_transit.empty()) WriteTeamAmounts(w, "under_way", a.in_transit);
      if (!a.net_sent.empty()) WriteTeamAmounts(w, "net", a.net_sent);
      w->End();
    }
    w->End();
    if (!r.parts.empty()) WriteStrings(w, "parts", r.parts);
    if (r.inherited.empty()) return;
    std::vector<std::string> cells;
    for (const auto& [cell, yes] : r.inherited) cells.push_back(cell);
    WriteStrings(w, "inherited", cells);
  }
  void operator()(const MachineType& r) const {
    w->Put("name", r.name);
    WriteResources(w, r.size);
    w->Put("cache", r.image_cache_gb).Put("fetch", r.fetch_gb_per_s).Put("price", r.price);
    w->Put("spot_price", r.spot_price).Put("boot_us", r.boot.count);
    WriteStrings(w, "zones", r.zones);
  }
  void operator()(const JobSpec& r) const {
    w->Put("id", r.id).Put("lane", r.job_class).Put("team", r.team);
    w->Put("shape", static_cast<int>(r.kind)).Put("rank", static_cast<int>(r.priority));
    w->Put("tasks", r.tasks);
    WriteResources(w, r.need);
    w->Put("image", r.image).Put("image_gb", r.image_gb);
    if (r.machine_types) WriteStrings(w, "types", *r.machine_types);
    if (r.zone) w->Put("zone", *r.zone);
    w->Put("same_zone", r.same_zone).Put("spread", r.spread).Put("spot_ok", r.allow_spot);
    w->Put("estimate_us", r.estimated_runtime.count)
        .Put("checkpoint_us", r.checkpoint_interval.count);
    w->Put("save_us", r.checkpoint_duration.count);
    if (r.deadline) w->Put("due_us", r.deadline->count);
    w->Put("submitted_ms", r.submitted_ms);
  }
};

limits::TeamAmounts ReadTeamAmounts(const Value& v, const char* key) {
  limits::TeamAmounts out;
  const Value* teams = Find(v, key);
  if (!teams || !teams->IsObject()) return out;
  for (const auto& team : teams->GetObject()) {
    if (!team.value.IsArray() || team.value.Size() != limits::kResourceKinds) continue;
    limits::ResourceAmounts amounts{};
    for (rapidjson::SizeType i = 0; i < limits::kResourceKinds; ++i) {
      const Value& n = team.value[i];
      amounts[i] = n.IsInt64() ? n.GetInt64() : n.IsNumber() ? std::llround(n.GetDouble()) : 0;
    }
    out[std::string(team.name.GetString(), team.name.GetStringLength())] = amounts;
  }
  return out;
}

limits::QuotaRecord ReadQuotaRecord(const Value& v) {
  limits::QuotaRecord r;
  r.number = Count(v, "number");
  r.held = ReadTeamAmounts(v, "held");
  r.totals = ReadTeamAmounts(v, "whole");
  if (const Value* accounts = Find(v, "accounts"); accounts && accounts->IsObject()) {
    for (const auto& a : accounts->GetObject()) {
      limits::TransferAccount& account = r.accounts[a.name.GetString()];
      account.sent = Count(a.value, "sent");
      account.received = Count(a.value, "taken");
      account.nonce = Count(a.value, "nonce");
      account.closed = Flag(a.value, "closed");
      account.in_transit = ReadTeamAmounts(a.value, "under_way");
      account.net_sent = ReadTeamAmounts(a.value, "net");
    }
  }
  if (const Value* parts = Find(v, "parts")) r.parts = ReadStrings(*parts);
  if (const Value* cells = Find(v, "inherited")) {
    for (const std::string& cell : ReadStrings(*cells)) r.inherited[cell] = true;
  }
  return r;
}

bool HasPrefix(const std::string& key, const std::string& prefix) {
  return key.compare(0, prefix.size(), prefix) == 0;
}

JobSpec ReadJobSpec(const Value& v) {
  JobSpec s;
  s.id = Text(v, "id");
  s.job_class = Text(v, "lane");
  s.team = Text(v, "team");
  s.kind = static_cast<JobKind>(std::clamp(static_cast<int>(Number(v, "shape")), 0, 2));
  s.priority = static_cast<Priority>(std::clamp(static_cast<int>(Number(v, "rank")), 0, 3));
  s.tasks = std::clamp(static_cast<int>(Number(v, "tasks")), 1, 100000);
  s.need = ReadResources(v);
  s.image = Text(v, "image");
  s.image_gb = Number(v, "image_gb");
  if (const Value* types = Find(v, "types")) s.machine_types = ReadStrings(*types);
  if (Find(v, "zone")) s.zone = Text(v, "zone");
  s.same_zone = Flag(v, "same_zone");
  s.spread = Flag(v, "spread");
  s.allow_spot = Flag(v, "spot_ok");
  s.estimated_runtime = ReadMicros(v, "estimate_us");
  s.checkpoint_interval = ReadMicros(v, "checkpoint_us");
  s.checkpoint_duration = ReadMicros(v, "save_us");
  if (Find(v, "due_us")) s.deadline = ReadMicros(v, "due_us");
  s.submitted_ms = static_cast<int64_t>(Number(v, "submitted_ms"));
  return s;
}

}  // namespace

void PutRecord(Writer* w, const Record& record) {
  w->Begin();
  std::visit(RecordWriter{w}, record);
  w->End();
}

Record ReadRecord(const std::string& key, const Value& v) {
  if (!v.IsObject()) return {};
  if (key == keys::kTerm) return TermRecord{Count(v, "term"), Text(v, "leader")};
  if (key == keys::kLeader || key == keys::kSuccessor)
    return LeaderRecord{Text(v, "leader"), Count(v, "term")};
  if (HasPrefix(key, keys::kLimits)) return ReadQuotaRecord(v);
  if (key == keys::kTypes) return TypeCountRecord{static_cast<int>(Number(v, "count"))};
  if (key == keys::kStateLimits) {
    return LimitsRecord{Count(v, "of_value"), Count(v, "of_changes"), Count(v, "value"),
                        Count(v, "changes")};
  }
  if (HasPrefix(key, keys::kType)) {
    MachineType t;
    t.name = Text(v, "name");
    t.size = ReadResources(v);
    t.image_cache_gb = Number(v, "cache");
    t.fetch_gb_per_s = Number(v, "fetch");
    t.price = Number(v, "price");
    t.spot_price = Number(v, "spot_price");
    t.boot = ReadMicros(v, "boot_us");
    if (const Value* zones = Find(v, "zones")) t.zones = ReadStrings(*zones);
    return t;
  }
  if (HasPrefix(key, keys::kJob)) return ReadJobSpec(v);
  if (HasPrefix(key, keys::kJobEnd)) {
    return JobEndRecord{Text(v, "end") == "withdrawn", static_cast<int>(Number(v, "tasks"))};
  }
  if (HasPrefix(key, keys::kProgress)) {
    ProgressPage page;
    const Value* pieces = Find(v, "pieces");
    if (!pieces || !pieces->IsArray()) return page;
    for (const Value& p : pieces->GetArray()) {
      page.chunks.push_back(
          {Text(p, "job"), static_cast<int>(Number(p, "chunk")), Text(p, "bits")});
    }
    return page;
  }
  if (HasPrefix(key, keys::kFleet)) {
    FleetPage page;
    const Value* machines = Find(v, "machines");
    if (!machines || !machines->IsArray()) return page;
    for (const Value& m : machines->GetArray()) {
      page.machines.push_back(
          {Text(m, "id"), Text(m, "endpoint"), Text(m, "type"), Text(m, "zone"), Flag(m, "spot")});
    }
    return page;
  }
  return {};
}

}  // namespace badgershore::wire
