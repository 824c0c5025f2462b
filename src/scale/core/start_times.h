// Reads a run's history as it grows: how long jobs waited for their tasks' starts, how many tasks
// run and how many started in each second.
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
  struct Lane {
    stats::Durations first_start;  // from submission to the job's first task
    stats::Durations last_start;   // to the moment when each of its tasks has been started
    int submitted = 0, started_whole = 0;
  };

  void See(const rehearsal::Event& event);

  const std::map<std::string, Lane>& lanes() const { return lanes_; }
  int running() const { return running_; }
  int most_running() const { return most_running_; }
  uint64_t starts() const { return starts_; }
  // The largest number of starts within one second, and the mean of the `span_s` seconds, one after
  // another, that had most.
  int busiest_second() const;
  double busiest_mean(size_t span_s) const;

 private:
  struct Job {
    std::string lane;
    int tasks = 0;
    int64_t submitted_us = 0;
    std::set<int> started;
  };
  void Started(const rehearsal::Event& event);

  std::map<std::string, Job> jobs_;  // those not started as a whole
  std::map<std::string, Lane> lanes_;
  std::vector<int> per_second_;
  int64_t first_us_ = -1;
  int running_ = 0, most_running_ = 0;
  uint64_t starts_ = 0;
};

}  // namespace badgershore::scale
