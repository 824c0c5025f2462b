// A scale run: real controller and state service processes under load from hollow workers and
// emulated users. These run in this process and connect over loopback. All processes that the run
// starts end with it.
#pragma once

#include <memory>
#include <string>

#include "io/loop.h"
#include "rehearsal/site.h"
#include "scale/core/plan.h"
#include "scale/core/report.h"

namespace badgershore::scale {

struct RunOptions {
  std::string programs;  // the directory of the badgershore and badgershore-state executables
  std::string dir;       // the directory for the run's settings, state and logs
  uint64_t seed = 1;
  bool progress = false;  // show a progress line on standard error
};

class Run {
 public:
  // Throws config::Error if this machine can't run the plan, for example for lack of file
  // descriptors.
  Run(const Plan& plan, RunOptions options);
  // Returns when all started processes have ended. Throws config::Error if the site can't start.
  Report Execute();

 private:
  io::Task<void> Measure();
  io::Task<bool> WaitUntil(Micros at);
  io::Task<Sample> TakeSample(std::string phase);
  io::Task<size_t> FindServingReplica();
  io::Task<std::string> Fetch(std::string address, std::string target);
  void CheckBounds();
  void ShowProgress(const std::string& phase) const;
  void Stop(const std::string& why);
  Report MakeReport();

  Plan plan_;
  RunOptions options_;
  config::Scenario scenario_;
  io::Loop loop_;
  std::unique_ptr<rehearsal::Site> site_;
  StartTimes start_times_;
  std::vector<Sample> samples_;
  std::vector<rehearsal::Violation> process_ends_;
  Micros start_;
  double most_memory_mb_ = 0;
  int most_processes_ = 0;
  std::string stop_reason_;  // the reason for an early end; empty: none
  bool ending_ = false;
};

}  // namespace badgershore::scale
