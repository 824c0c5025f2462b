// The plan of a scale run: the size of the site, the arrivals in each phase, the injected faults
// and the resource bounds of the run itself. It is read from YAML and run as a scenario with hollow
// workers and emulated users.
#pragma once

#include <string>
#include <vector>

#include "config/scenario.h"

namespace badgershore::scale {

// Gangs of the highest priority that arrive in addition to the batch jobs, with equal numbers of
// each size.
struct UrgentLoad {
  std::vector<int> gang_sizes;
  double per_minute = 0;
  double cpus = 1;  // per task
  Micros run;
  Micros start_within;  // the wait objective
};

struct Phases {
  Micros ramp, steady, peak, settle;
  double steady_share = 0.5;  // share of the peak's task starts per second
  Micros load() const { return ramp + steady + peak; }
};

struct Faults {
  // All of them are injected in the middle of the peak.
  bool kill_leader = false;  // kill the leader; it restarts 10 s later
  bool lose_state = false;   // kill the serving state replica and erase its disk; back 5 s later
  double lose_workers = 0;   // crash this share of the workers
  bool any() const { return kill_leader || lose_state || lose_workers > 0; }
};

// The resources that the run may use on this machine. A run that exceeds them is stopped and fails.
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
  double quota_cpus = 0;    // CPU limit of each team; 0: none
  double starts_per_s = 0;  // task starts per second at the peak
  int tasks_per_job = 1;
  Micros task_run;
  UrgentLoad urgent;
  Phases phases;
  Faults faults;
  RunBounds bounds;
  PlatformSettings site;  // settings of the controllers and workers

  // Tasks that run at the same time at the peak if none of them waits for its start.
  double running_tasks() const { return starts_per_s * task_run.ToSeconds(); }
};

// Throw config::Error, which names the file, the line and the expected value.
Plan LoadPlan(const std::string& file);
Plan ParsePlan(const std::string& text, const std::string& file);

// Returns the plan with one parameter changed: `workers`, `starts_per_s`, `teams`, `tasks_per_job`,
// `task_run_s` or `gang_size`. Throws config::Error for another axis or a value of 0 or less.
Plan VaryPlan(Plan plan, const std::string& axis, double value);

// Converts the site, the arrivals and the faults to a scenario for the rehearsal's emulators.
config::Scenario ToScenario(const Plan& plan);

// Job classes of the scenario.
inline const std::string kBatchClass = "batch", kUrgentClass = "urgent";

}  // namespace badgershore::scale
