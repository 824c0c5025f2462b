#include "scale/core/plan.h"

#include <algorithm>
#include <cmath>

#include "config/config.h"
#include "config/yaml.h"

namespace badgershore::scale {
namespace {

using config::Fault;
using config::JobClass;
using config::Scenario;
using config::YamlMap;

constexpr int kRampSteps = 4;
// Added to a rate so that rounding does not bring its product with a span, a whole number of jobs,
// below that number.
constexpr double kRoundingGuard = 1e-6;
constexpr double kMinRecheckS = 1, kMaxRecheckS = 3;
constexpr Micros kLeaderRestartDelay = Seconds(10);

std::string TeamName(int index) { return "team-" + std::to_string(index + 1); }

UrgentLoad ReadUrgent(YamlMap m) {
  UrgentLoad urgent;
  for (const std::string& size : m.Texts("gang_sizes")) {
    const int tasks = std::atoi(size.c_str());
    if (tasks < 1 || tasks > 1000) m.Fail("gang_sizes", "whole numbers from 1 to 1000");
    urgent.gang_sizes.push_back(tasks);
  }
  urgent.per_minute = m.Number("per_minute", 0, 1e4, 0);
  if (urgent.per_minute > 0 && urgent.gang_sizes.empty()) m.Fail("gang_sizes", "at least one");
  urgent.cpus = m.Number("cpus", 0.001, 1e3, 1);
  urgent.run = m.Span("run_s", 0.1, 1e4, 20);
  urgent.start_within = m.Span("start_within_s", 0.1, 1e4, 4.9);
  m.RejectUnknownKeys();
  return urgent;
}

Phases ReadPhases(YamlMap m) {
  Phases phases;
  phases.ramp = m.Span("ramp_s", 0, 3600);
  phases.steady = m.Span("steady_s", 0, 3600);
  phases.peak = m.Span("peak_s", 1, 3600);
  phases.settle = m.Span("settle_s", 1, 3600);
  phases.steady_share = m.Number("steady_share", 0, 1, 0.5);
  m.RejectUnknownKeys();
  return phases;
}

// Defaults for a plan's site settings, as used by the larger deployments.
PlatformSettings LargeSiteSettings() {
  PlatformSettings s;
  s.heartbeat_interval = Seconds(4);
  s.agent_lease = Seconds(22);
  s.gang_start_timeout = Seconds(30);
  s.gang_failure_timeout = Seconds(6);
  s.cancel_deadline = Seconds(52);
  s.state.requests_per_s = 900;
  s.state.changes_per_s = 60;
  s.cloud_rps = 10;
  s.cloud_list_lag = Seconds(3);
  s.quota_mem_mb = 512;
  s.quota_connections = 8000;
  return s;
}

// Adds the batch jobs that start in [from, until), divided evenly among the teams.
void AddBatchPhase(const Plan& plan, Micros from, Micros until, double share, Scenario* out) {
  const double minutes = (until - from).ToSeconds() / 60;
  if (minutes <= 0 || share <= 0) return;
  const double starts = plan.starts_per_s * share * minutes * 60;
  const int jobs = static_cast<int>(std::lround(starts / plan.tasks_per_job));
  for (int team = 0; team < plan.teams; ++team) {
    const int of_team = jobs / plan.teams + (team < jobs % plan.teams ? 1 : 0);
    if (of_team == 0) continue;
    JobClass c;
    c.spec.job_class = kBatchClass;
    c.spec.team = TeamName(team);
    c.spec.kind = JobKind::kArray;
    c.spec.priority = Priority::kNormal;
    c.spec.need = {1000, 0, 1000};
    c.spec.image_gb = 0.2;
    c.spec.estimated_runtime = plan.task_run;
    c.run = plan.task_run;
    c.min_tasks = c.max_tasks = plan.tasks_per_job;
    c.from = from;
    c.until = until;
    c.per_minute = of_team / minutes + kRoundingGuard;
    out->classes.push_back(std::move(c));
  }
}

void AddUrgent(const Plan& plan, Scenario* out) {
  const double minutes = plan.phases.load().ToSeconds() / 60;
  const int gangs = static_cast<int>(std::lround(plan.urgent.per_minute * minutes));
  const int kinds = static_cast<int>(plan.urgent.gang_sizes.size());
  for (int kind = 0; kind < kinds; ++kind) {
    const int of_kind = gangs / kinds + (kind < gangs % kinds ? 1 : 0);
    if (of_kind == 0) continue;
    JobClass c;
    c.spec.job_class = kUrgentClass;
    c.spec.team = TeamName(kind % plan.teams);
    c.spec.kind = JobKind::kGang;
    c.spec.priority = Priority::kProduction;
    c.spec.need = {std::llround(plan.urgent.cpus * 1000), 0, 1000};
    c.spec.image_gb = 0.2;
    c.spec.estimated_runtime = plan.urgent.run;
    c.run = plan.urgent.run;
    c.min_tasks = c.max_tasks = plan.urgent.gang_sizes[static_cast<size_t>(kind)];
    c.until = plan.phases.load();
    c.per_minute = of_kind / minutes + kRoundingGuard;
    out->classes.push_back(std::move(c));
  }
}

void AddFaults(const Plan& plan, Scenario* out) {
  const Micros middle_of_peak = plan.phases.load() - plan.phases.peak.Scaled(0.5);
  if (plan.faults.kill_leader) {
    Fault t;
    t.kind = Fault::Kind::kKill;
    t.who = "leader";
    t.at = middle_of_peak;
    t.span = kLeaderRestartDelay;
    out->troubles.push_back(t);
  }
  if (plan.faults.lose_workers > 0) {
    Fault t;
    t.kind = Fault::Kind::kMachinesDie;
    t.share = plan.faults.lose_workers;
    t.at = middle_of_peak + Seconds(1);
    out->troubles.push_back(t);
  }
}

config::MachineOffer WorkerType(const Plan& plan) {
  config::MachineOffer offer;
  offer.type.name = "worker";
  offer.type.size = {std::llround(plan.worker_cpus * 1000), 0,
                     std::llround(plan.worker_mem_gb * 1000)};
  offer.type.price = 1;
  offer.type.spot_price = 0.4;
  offer.type.boot = Seconds(20);
  offer.type.fetch_gb_per_s = 1;
  offer.type.image_cache_gb = 100;
  offer.type.zones = plan.site.zones;
  offer.up = plan.workers;
  // Room to replace the lost workers; apart from them the fleet does not exceed the planned size.
  offer.capacity = plan.workers + static_cast<int>(plan.workers * plan.faults.lose_workers);
  return offer;
}

}  // namespace

Plan LoadPlan(const std::string& file) { return ParsePlan(config::ReadFile(file), file); }

Plan ParsePlan(const std::string& text, const std::string& file) {
  YamlMap top = YamlMap::Parse(text, file);
  Plan plan;
  const size_t slash = file.rfind('/');
  plan.name = file.substr(slash == std::string::npos ? 0 : slash + 1);
  plan.name = plan.name.substr(0, plan.name.rfind('.'));
  plan.about = top.Text("about");
  plan.workers = static_cast<int>(top.Whole("workers", 1, 5000));
  plan.worker_cpus = top.Number("worker_cpus", 1, 1e4, 20);
  plan.worker_mem_gb = top.Number("worker_mem_gb", 1, 1e6, 64);
  plan.teams = static_cast<int>(top.Whole("teams", 1, 10000));
  plan.state_replicas = 1 + 2 * static_cast<int>(top.OneOf("state_replicas", {"1", "3", "5"}, 0));
  plan.quota_cpus = top.Number("quota_cpus", 0, 1e6, 0);
  plan.starts_per_s = top.Number("starts_per_s", 0.1, 1e5);
  plan.tasks_per_job = static_cast<int>(top.Whole("tasks_per_job", 1, 100000, 100));
  plan.task_run = top.Span("task_run_s", 0.5, 1e4, 22);
  plan.urgent = ReadUrgent(top.Map("urgent"));
  plan.phases = ReadPhases(top.Map("phases"));
  YamlMap faults = top.Map("faults");
  plan.faults.kill_leader = faults.Flag("kill_leader", false);
  plan.faults.lose_state = faults.Flag("lose_state", false);
  plan.faults.lose_workers = faults.Number("lose_workers", 0, 0.9, 0);
  faults.RejectUnknownKeys();
  YamlMap bounds = top.Map("bounds");
  plan.bounds.processes = static_cast<int>(bounds.Whole("processes", 5, 200, 200));
  plan.bounds.memory_share = bounds.Number("memory_share", 0.01, 0.5, 0.5);
  bounds.RejectUnknownKeys();
  YamlMap site = top.Map("site");
  plan.site = config::ReadSite(&site, LargeSiteSettings());
  site.RejectUnknownKeys();
  top.RejectUnknownKeys();
  return plan;
}

Plan VaryPlan(Plan plan, const std::string& axis, double value) {
  const int whole = static_cast<int>(std::lround(value));
  if (value <= 0) throw config::Error(axis + ": expected a size above 0");
  if (axis == "workers") {
    plan.workers = whole;
  } else if (axis == "starts_per_s") {
    plan.starts_per_s = value;
  } else if (axis == "teams") {
    plan.teams = whole;
  } else if (axis == "tasks_per_job") {
    plan.tasks_per_job = whole;
  } else if (axis == "task_run_s") {
    plan.task_run = Seconds(value);
  } else if (axis == "gang_size") {
    plan.urgent.gang_sizes = {whole};
  } else {
    throw config::Error(axis + ": expected workers, starts_per_s, teams, tasks_per_job, " +
                        "task_run_s or gang_size");
  }
  return plan;
}

Scenario ToScenario(const Plan& plan) {
  Scenario out;
  out.name = plan.name;
  out.about = plan.about;
  out.duration = plan.phases.load();
  out.settle = plan.phases.settle;
  out.recheck_least_s = kMinRecheckS;
  out.recheck_most_s = kMaxRecheckS;
  out.site = plan.site;
  for (int team = 0; team < plan.teams; ++team) {
    Team t;
    t.name = TeamName(team);
    t.limit.cpu = std::llround(plan.quota_cpus * 1000);
    out.site.teams.push_back(std::move(t));
  }
  out.site.objectives.push_back({"wait", kUrgentClass, plan.urgent.start_within, 0.9});
  out.types.push_back(WorkerType(plan));
  for (int step = 0; step < kRampSteps; ++step) {
    const Micros from = plan.phases.ramp.Scaled(static_cast<double>(step) / kRampSteps);
    const Micros until = plan.phases.ramp.Scaled(static_cast<double>(step + 1) / kRampSteps);
    AddBatchPhase(plan, from, until, plan.phases.steady_share * (step + 0.5) / kRampSteps, &out);
  }
  const Micros peak_from = plan.phases.ramp + plan.phases.steady;
  AddBatchPhase(plan, plan.phases.ramp, peak_from, plan.phases.steady_share, &out);
  AddBatchPhase(plan, peak_from, plan.phases.load(), 1, &out);
  AddUrgent(plan, &out);
  AddFaults(plan, &out);
  return out;
}

}  // namespace badgershore::scale
