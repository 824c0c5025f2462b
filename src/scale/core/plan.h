// The plan of a scale run: how large the site is, what arrives in which phase, what fails, and what
// the run itself may use. Read from YAML; played as a scenario by hollow workers and users.
#pragma once

#include <string>
#include <vector>

#include "config/scenario.h"

namespace badgershore::scale {

// Gangs of the highest rank that arrive beside the batch work, one size after another.
struct UrgentLoad {
  std::vector<int> gang_sizes;
  double per_minute = 0;
  double cpus = 1;  // of a task
  Micros run;
  Micros start_within;  // what is asked for
};

struct Phases {
  Micros ramp, steady, peak, settle;
  double steady_share = 0.5;  // of the peak's starts a second
  Micros load() const { return ramp + steady + peak; }
};

struct Faults {
  bool kill_leader = false;  // in the middle of the peak; it is back 10 s later
  bool lose_state = false;   // the serving state process and its disk, then too; back 5 s later
  double lose_workers = 0;   // this share of the workers dies in the middle of the peak
  bool any() const { return kill_leader || lose_state || lose_workers > 0; }
};

// What the run may use on this machine. It ends, and fails, where it would use more.
struct RunBounds {
  int processes = 200;
  double memory_share = 0.5;
};

struct Plan {
  std::string name, about;
  int workers = 0;
  double worker_cpus = 0, worker_mem_gb = 0;
  int teams = 1;
  int state_replicas = 1;
  double quota_cpus = 0;    // each team's limit; 0: none
  double starts_per_s = 0;  // at the peak
  int tasks_per_job = 1;
  Micros task_run;
  UrgentLoad urgent;
  Phases phases;
  Faults faults;
  RunBounds bounds;
  PlatformSettings site;  // what controllers and workers are told

  // Tasks that run at the peak, if all start at once.
  double running_tasks() const { return starts_per_s * task_run.ToSeconds(); }
};

// A config::Error names the file, the line and what was expected.
Plan LoadPlan(const std::string& file);
Plan ParsePlan(const std::string& text, const std::string& file);

// An axis along which a plan is varied: `workers`, `starts_per_s`, `teams`, `tasks_per_job`,
// `task_run_s` or `gang_size`. A config::Error names an unknown one.
Plan WithAxis(Plan plan, const std::string& axis, double value);

// The site, the arrivals and the faults, as the rehearsal's emulators play them.
config::Scenario ToScenario(const Plan& plan);

// Lanes (classes) of the scenario's jobs.
inline const std::string kBatchLane = "batch", kUrgentLane = "urgent";

}  // namespace badgershore::scale
