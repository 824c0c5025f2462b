#include "config/scenario.h"

#include <algorithm>

#include "config/config.h"
#include "config/yaml.h"

namespace badgershore::config {
namespace {

const char* const kSmallSiteYaml =
    R"(about: A small site for experiments; its only jobs are those that you submit
duration_s: 86400
settle_s: 1
site:
  zones: [shore, hill]
  state_write_rps: 200
  cloud_list_lag_s: 1
teams:
- {name: settlement}
- {name: manifests}
machine_types:
- {name: small, cpus: 4, mem_gb: 16, price: 0.25, spot_price: 0.08, boot_s: 8, capacity: 20, spot_capacity: 20, up: 2}
- {name: big, cpus: 32, mem_gb: 128, price: 1.5, spot_price: 0.6, boot_s: 10, capacity: 6}
classes:
- {name: none, run_s: 1}
)";

int64_t ReadThousandths(YamlMap* m, const char* key, double default_value) {
  return std::llround(m->Number(key, 0, 1e6, default_value) * 1000);
}

MachineOffer ReadMachineType(YamlMap m) {
  MachineOffer t;
  t.type.name = m.Text("name");
  t.type.size = {ReadThousandths(&m, "cpus", 1), ReadThousandths(&m, "gpus", 0),
                 ReadThousandths(&m, "mem_gb", 1)};
  t.type.price = m.Number("price", 0.0001, 1e6, 1);
  t.type.spot_price = m.Number("spot_price", 0.0001, 1e6, t.type.price / 3);
  t.type.boot = m.Span("boot_s", 0.1, 3600, 30);
  t.type.fetch_gb_per_s = m.Number("fetch_gb_per_s", 0.001, 1e3, 1);
  t.type.image_cache_gb = m.Number("cache_gb", 0, 1e6, 100);
  t.type.zones = m.Texts("zones");
  t.capacity = static_cast<int>(m.Whole("capacity", 0, 100000, 0));
  t.spot_capacity = static_cast<int>(m.Whole("spot_capacity", 0, 100000, 0));
  t.up = static_cast<int>(m.Whole("up", 0, 100000, 0));
  m.RejectUnknownKeys();
  return t;
}

JobClass ReadClass(YamlMap m, const PlatformSettings& site) {
  JobClass c;
  c.spec.job_class = m.Text("name");
  c.spec.team = m.Text("team", site.teams.at(0).name);
  if (!site.FindTeam(c.spec.team)) m.Fail("team", "one of the site's teams");
  c.spec.kind = static_cast<JobKind>(m.OneOf("shape", {"array", "gang", "service"}, 0));
  c.spec.priority =
      static_cast<Priority>(m.OneOf("rank", {"production", "high", "normal", "idle"}, 2));
  c.min_tasks = static_cast<int>(m.Whole("least_tasks", 1, 100000, 1));
  c.max_tasks = static_cast<int>(m.Whole("most_tasks", c.min_tasks, 100000, c.min_tasks));
  c.spec.need = {ReadThousandths(&m, "cpus", 1), ReadThousandths(&m, "gpus", 0),
                 ReadThousandths(&m, "mem_gb", 1)};
  c.spec.image_gb = m.Number("image_gb", 0, 1e4, 1);
  c.images = static_cast<int>(m.Whole("images", 1, 1000, 1));
  c.run = m.Span("run_s", 0.1, 1e5);
  c.spec.estimated_runtime = m.Span("expect_s", 0, 1e5, c.run.ToSeconds());
  c.spec.checkpoint_interval = m.Span("save_every_s", 0, 1e5, 0);
  c.spec.checkpoint_duration = m.Span("save_s", 0, 1e4, 1);
  if (m.Has("due_s")) c.spec.deadline = m.Span("due_s", 0, 1e6);
  if (m.Has("zone")) c.spec.zone = m.Text("zone");
  c.spec.same_zone = m.Flag("same_zone", false);
  c.spec.spread = m.Flag("spread", false);
  c.spec.allow_spot = m.Flag("spot", false);
  c.per_minute = m.Number("per_minute", 0, 1e4, 0);
  c.cell = m.Text("cell", "");
  c.start_within = m.Span("start_within_s", 0, 1e6, 0);
  c.done_within = m.Span("done_within_s", 0, 1e6, 0);
  c.from = m.Span("from_s", 0, 1e6, 0);
  c.until = m.Span("until_s", 0, 1e6, 0);
  c.failing_task_share = m.Number("mistake", 0, 1, 0);
  c.cancel_after = m.Span("withdrawn_after_s", 0, 1e6, 0);
  c.at_start = static_cast<int>(m.Whole("at_start", 0, 10000, 0));
  m.RejectUnknownKeys();
  return c;
}

// Limits that are absent take the values of `defaults`.
StateServiceLimits ReadStateLimits(YamlMap* m, const std::string& prefix,
                                   const StateServiceLimits& defaults) {
  constexpr double kMaxRate = 1e6, kMaxValueKb = 64;
  const auto number = [&](const char* key, double min, double max, double default_value) {
    return m->Number(prefix + key, min, max, default_value);
  };
  StateServiceLimits limits;
  limits.requests_per_s = number("rps", 1, kMaxRate, defaults.requests_per_s);
  limits.changes_per_s = number("write_rps", 1, kMaxRate, defaults.changes_per_s);
  limits.value_kb = number("value_kb", 0.5, kMaxValueKb, defaults.value_kb);
  limits.mutations = static_cast<int>(m->Whole(prefix + "txn_ops", 2, 1000, defaults.mutations));
  return limits;
}

Fault ReadFault(YamlMap m, Micros end, const StateServiceLimits& state) {
  Fault t;
  t.kind = static_cast<Fault::Kind>(
      m.OneOf("kind", {"cloud_down",      "cloud_empty",    "grants_vanish",
                       "boots_never",     "spot_wave",      "state_down",
                       "state_mute",      "state_late",     "state_restart",
                       "disk_full",       "kill",           "cut",
                       "machines_fail",   "machines_die",   "freeze",
                       "restore",         "limit",          "retire",
                       "state_refuses",   "state_slow",     "late_writes",
                       "late_reports",    "machines_deaf",  "machines_mute",
                       "machines_hang",   "cancel_now",     "cancel_at_end",
                       "close_looks",     "odd_requests",   "state_limits",
                       "late_commands",   "command_copies", "machines_restart",
                       "reports_for_next"}));
  t.at = m.Span("at_s", 0, end.ToSeconds());
  t.span = m.Span("for_s", 0, end.ToSeconds(), 0);
  t.share = m.Number("share", 0, 1, 1);
  t.cell = m.Text("cell", "");
  t.zone = m.Text("zone", "");
  if (t.kind == Fault::Kind::kCancelNow) t.count = static_cast<int>(m.Whole("count", 1, 10000));
  if (t.kind == Fault::Kind::kKill || t.kind == Fault::Kind::kPartition ||
      t.kind == Fault::Kind::kPause || t.kind == Fault::Kind::kHandover ||
      t.kind == Fault::Kind::kStateRefuses) {
    t.who = m.Text("who");
  }
  if (t.who == "followers" && t.kind != Fault::Kind::kPartition) {
    m.Fail("who", "leader, all or node-0 to node-2; followers only for a cut");
  }
  if (t.kind == Fault::Kind::kStateLimits) t.limits = ReadStateLimits(&m, "", state);
  if (t.kind == Fault::Kind::kLimit) {
    t.team = m.Text("team");
    t.cpus_max = ReadThousandths(&m, "cpus_max", 0);
  }
  if (t.kind == Fault::Kind::kPartition) {
    t.whom = m.Text("whom");
    t.resets = m.Flag("resets", false);
  }
  m.RejectUnknownKeys();
  return t;
}

// Defaults for a scenario's site.
PlatformSettings DefaultSiteSettings() {
  PlatformSettings s;
  s.heartbeat_interval = Seconds(1);
  s.agent_lease = Seconds(10);
  s.gang_start_timeout = Seconds(30);
  s.gang_failure_timeout = Seconds(6);
  s.cancel_deadline = Seconds(40);
  s.state.requests_per_s = 250;
  s.state.changes_per_s = 15;
  s.cloud_list_lag = Seconds(3);
  s.quota_connections = 2000;
  return s;
}

}  // namespace

PlatformSettings ReadSite(YamlMap* site, const PlatformSettings& defaults) {
  PlatformSettings s = defaults;
  const auto span = [&](const char* key, double min, double max, Micros default_value) {
    return site->Span(key, min, max, default_value.ToSeconds());
  };
  s.zones = site->Texts("zones");
  if (s.zones.empty()) s.zones = {"a"};
  s.site = s.zones[0];
  s.heartbeat_interval = span("report_s", 0.5, 60, defaults.heartbeat_interval);
  s.agent_lease = span("lease_s", 2, 600, defaults.agent_lease);
  s.gang_start_timeout = span("gang_wait_s", 1, 600, defaults.gang_start_timeout);
  s.gang_failure_timeout = span("gang_peer_s", 0.5, 60, defaults.gang_failure_timeout);
  const double min_cancel_s = s.agent_lease.ToSeconds() + 1;
  s.cancel_deadline = span("cancel_s", min_cancel_s, 3600, defaults.cancel_deadline);
  s.state.requests_per_s = site->Number("state_rps", 1, 1e6, defaults.state.requests_per_s);
  s.state.changes_per_s = site->Number("state_write_rps", 1, 1e6, defaults.state.changes_per_s);
  s.state.value_kb = site->Number("state_value_kb", 1, 64, defaults.state.value_kb);
  s.state.mutations =
      static_cast<int>(site->Whole("state_txn_ops", 3, 1000, defaults.state.mutations));
  if (site->Has("state_next_value_kb")) {
    s.next_state = ReadStateLimits(site, "state_next_", s.state);
  }
  s.cloud_rps = site->Number("cloud_rps", 0.1, 1e4, defaults.cloud_rps);
  s.cloud_list_lag = span("cloud_list_lag_s", 0, 120, defaults.cloud_list_lag);
  s.quota_mem_mb = site->Number("controller_mem_mb", 16, 1e6, defaults.quota_mem_mb);
  s.quota_connections = static_cast<int>(
      site->Whole("controller_connections", 100, 100000, defaults.quota_connections));
  return s;
}

Scenario LoadScenario(const std::string& file) { return ParseScenario(ReadFile(file), file); }

Scenario SmallSite() { return ParseScenario(kSmallSiteYaml, "up.yaml"); }

Scenario ParseScenario(const std::string& text, const std::string& file) {
  YamlMap top = YamlMap::Parse(text, file);
  Scenario scenario;
  const size_t slash = file.rfind('/');
  scenario.name = file.substr(slash == std::string::npos ? 0 : slash + 1);
  scenario.name = scenario.name.substr(0, scenario.name.rfind('.'));
  scenario.about = top.Text("about");
  scenario.duration = top.Span("duration_s", 1, 86400);
  scenario.settle = top.Span("settle_s", 1, 86400, 900);
  PlatformSettings& s = scenario.site;
  YamlMap site = top.Map("site");
  s = ReadSite(&site, DefaultSiteSettings());
  scenario.boot_spread = site.Number("boot_spread", 0, 0.5, 0.4);
  site.RejectUnknownKeys();
  top.Each("teams", [&](YamlMap m) {
    Team t;
    t.name = m.Text("name");
    t.guarantee.cpu = ReadThousandths(&m, "cpus", 0);
    t.limit.cpu = ReadThousandths(&m, "cpus_max", 0);
    m.RejectUnknownKeys();
    s.teams.push_back(t);
  });
  if (s.teams.empty()) top.Fail("teams", "at least one team");
  top.Each("objectives", [&](YamlMap m) {
    Objective o;
    o.kind = m.Text("kind");
    o.job_class = m.Text("class");
    o.within = m.Span("within_s", 0.1, 1e6);
    o.share = m.Number("share", 0, 1, 0.9);
    m.RejectUnknownKeys();
    s.objectives.push_back(o);
  });
  top.Each("machine_types",
           [&](YamlMap m) { scenario.types.push_back(ReadMachineType(std::move(m))); });
  if (scenario.types.empty()) top.Fail("machine_types", "at least one type");
  for (MachineOffer& t : scenario.types) {
    if (t.type.zones.empty()) t.type.zones = s.zones;
  }
  scenario.cells = top.Texts("cells");
  top.Each("classes", [&](YamlMap m) { scenario.classes.push_back(ReadClass(std::move(m), s)); });
  if (scenario.classes.empty()) top.Fail("classes", "at least one class");
  top.Each("withdrawals", [&](YamlMap m) {
    scenario.cancellations.push_back({m.Text("job"), m.Span("at_s", 0, 1e6)});
    m.RejectUnknownKeys();
  });
  scenario.racing_jobs = top.Texts("either");
  top.Each("troubles", [&](YamlMap m) {
    scenario.troubles.push_back(
        ReadFault(std::move(m), scenario.duration + scenario.settle, s.state));
  });
  const auto known_cell = [&](const std::string& cell) {
    return cell.empty() ||
           std::find(scenario.cells.begin(), scenario.cells.end(), cell) != scenario.cells.end();
  };
  for (const JobClass& c : scenario.classes) {
    if (!known_cell(c.cell)) top.Fail("classes", "`cell` to be one of `cells`, not " + c.cell);
  }
  for (const Fault& t : scenario.troubles) {
    if (!known_cell(t.cell)) top.Fail("troubles", "`cell` to be one of `cells`, not " + t.cell);
  }
  top.RejectUnknownKeys();
  return scenario;
}

}  // namespace badgershore::config
