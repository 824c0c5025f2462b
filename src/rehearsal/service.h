// Service statistics by team and job class, computed from the history alone.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "rehearsal/history.h"

namespace badgershore::rehearsal {

class ServiceStats {
 public:
  struct ClassStats {
    int accepted = 0, cancelled = 0, started = 0, done = 0;
    double latest_start_s = 0, latest_done_s = 0;  // since submission
    // The largest tenth of the class' jobs by number of tasks, without cancelled ones.
    int largest = 0, largest_done = 0;
    double latest_largest_start_s = 0;  // for a job that has not started: until the end
    // The share of jobs without cancellation that were done.
    double share() const {
      const int expected = accepted - cancelled;
      return expected > 0 ? static_cast<double>(done) / expected : 1;
    }
  };
  struct LatencyBound {
    double start_s = 0, done_s = 0;  // 0: none
  };
  using Key = std::pair<std::string, std::string>;  // team, class

  explicit ServiceStats(std::map<std::string, LatencyBound> bounds) : bounds_(std::move(bounds)) {}
  void OnEvent(const Event& e);
  std::map<Key, ClassStats> Summarize(int64_t end_us) const;
  // Reports a team and class with less than half of its jobs, or of its largest jobs, done; a class
  // over its time bounds; and a largest job that has not started within four minutes.
  std::vector<Violation> Violations(int64_t end_us) const;

 private:
  struct Job {
    Key key;
    int tasks = 0;
    int64_t submitted = 0, started = -1, done = -1;
    bool accepted = false, cancelled = false;
  };
  std::map<std::string, LatencyBound> bounds_;  // by class
  std::map<std::string, Job> jobs_;
};

}  // namespace badgershore::rehearsal
