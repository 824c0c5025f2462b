// Start statistics computed from the events of a run: the time jobs wait for the start of their
// tasks, the number of running tasks and the number of starts in each second.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "rehearsal/history.h"
#include "stats/durations.h"

namespace badgershore::scale {

class StartTimes {
 public:
  struct ClassTimes {
    stats::Durations first_start;  // from submission to the start of the first task
    stats::Durations last_start;   // from submission until every task has been started once
    int submitted = 0, started_whole = 0;
  };

  void OnEvent(const rehearsal::Event& event);

  const std::map<std::string, ClassTimes>& classes() const { return classes_; }
  int running() const { return running_; }
  int most_running() const { return most_running_; }
  uint64_t starts() const { return starts_; }
  // The largest number of starts within one second, and the mean number of starts per second of the
  // `span_s` consecutive seconds with most starts.
  int busiest_second() const;
  double busiest_mean(size_t span_s) const;

 private:
  struct WaitingJob {
    std::string job_class;
    int tasks = 0;
    int64_t submitted_us = 0;
    std::set<int> started;
  };
  void OnTaskStarted(const rehearsal::Event& event);

  std::map<std::string, WaitingJob> jobs_;  // jobs with tasks that have not been started yet
  std::map<std::string, ClassTimes> classes_;
  std::vector<int> per_second_;
  int64_t first_event_us_ = -1;
  int running_ = 0, most_running_ = 0;
  uint64_t starts_ = 0;
};

}  // namespace badgershore::scale
