// The measurements of a scale run, formatted as JSON or as a readable table.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "rehearsal/history.h"
#include "scale/core/plan.h"
#include "scale/core/start_times.h"

namespace badgershore::scale {

// The resource use of one process up to one moment. The use within a phase is the difference of two
// samples.
struct ProcessSample {
  double cpu_s = 0;
  double resident_mb = 0, peak_mb = 0;
};

// The leader's metrics by name (docs/metrics.md).
using Counters = std::map<std::string, double>;

struct Sample {
  double at_s = 0;
  std::string phase;                               // the phase that begins at this sample
  std::map<std::string, ProcessSample> processes;  // by process name: node-0, ..., state, hollow
  std::string leader;                              // the process that is the leader; empty: none
  Counters leader_counters;
  double state_epoch = 0;                  // number of changes made by the state service
  uint64_t reports = 0, report_bytes = 0;  // from workers; bytes in both directions, with headers
  uint64_t starts = 0;
};

struct PhaseUsage {
  std::string name;
  double span_s = 0;
  // By role: leader, standby (sum of the other controllers), state (sum of the replicas), hollow
  // (the process with the hollow workers).
  std::map<std::string, double> cores;        // processor time used per second
  std::map<std::string, double> resident_mb;  // at the end of the phase
  Counters leader_per_s;                      // rates of the leader's counters
  double longest_turn_ms = 0;                 // longest iteration of the leader's event loop
  double state_changes_per_s = 0;
  double reports_per_s = 0, starts_per_s = 0;
  double worker_bytes_per_s = 0;  // per worker, in both directions
};
PhaseUsage UsageBetween(const Sample& from, const Sample& to, int workers);

struct Report {
  std::string plan;
  int workers = 0, teams = 0;
  double starts_asked_per_s = 0, running_asked = 0;
  double starts_reached_per_s = 0;  // mean of the ten consecutive seconds with most starts
  int busiest_second = 0, most_running = 0, most_processes = 0;
  uint64_t starts = 0;
  std::vector<PhaseUsage> phases;
  struct Wait {
    int submitted = 0, started_whole = 0;
    double first_p50_s = 0, first_p90_s = 0, last_p50_s = 0, last_p90_s = 0, last_p99_s = 0,
           last_max_s = 0;
  };
  std::map<std::string, Wait> waits;            // by job class
  double answer_p50_ms = 0, answer_p99_ms = 0;  // users' requests
  double report_p50_ms = 0, report_p99_ms = 0;  // workers' reports
  double most_memory_mb = 0;
  int done = 0, open = 0;
  std::vector<rehearsal::Violation> broken;
  std::string stopped;  // the reason for an early end; empty: none

  bool clean() const { return broken.empty() && open == 0 && stopped.empty(); }
  const PhaseUsage* Phase(const std::string& name) const;
};

Report::Wait SummarizeWaits(const StartTimes::ClassTimes& lane);
std::string ToJson(const Report& report);
std::string ToTable(const Report& report);

}  // namespace badgershore::scale
