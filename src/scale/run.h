// A scale run: real controllers and a real state service, met over loopback by hollow workers and
// users that share this process. Everything that it starts ends with it.
#pragma once

#include <memory>
#include <string>

#include "io/loop.h"
#include "rehearsal/site.h"
#include "scale/core/plan.h"
#include "scale/core/report.h"

namespace badgershore::scale {

struct RunOptions {
  std::string programs;  // the folder that holds badgershore and badgershore-state
  std::string dir;       // settings, state and logs of this run
  uint64_t seed = 1;
  bool progress = false;  // a line on standard error that is renewed
};

class Run {
 public:
  // A config::Error where this machine can't play the plan, as with too few file descriptors.
  Run(const Plan& plan, RunOptions options);
  // Returns when each process that was started has ended. A config::Error where none can start.
  Report Play();

 private:
  io::Task<void> Measure();
  io::Task<bool> WaitUntil(Micros at);
  io::Task<Sample> TakeSample(std::string phase);
  io::Task<size_t> ServingState();
  io::Task<std::string> Fetch(std::string address, std::string target);
  void CheckBounds();
  void ShowProgress(const std::string& phase) const;
  void Stop(const std::string& why);
  Report Summary();

  Plan plan_;
  RunOptions options_;
  config::Scenario scenario_;
  io::Loop loop_;
  std::unique_ptr<rehearsal::Site> site_;
  StartTimes start_times_;
  std::vector<Sample> samples_;
  std::vector<rehearsal::Violation> process_ends_;
  Micros began_;
  double most_memory_mb_ = 0;
  int most_processes_ = 0;
  std::string stopped_;  // why it ended early
  bool ending_ = false;
};

}  // namespace badgershore::scale
