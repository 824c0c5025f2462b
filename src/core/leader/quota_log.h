// Log lines on quota decisions that are made while resource use is uncertain.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "core/leader/leader_component.h"
#include "core/model/fleet.h"
#include "core/model/jobs.h"

namespace badgershore {

// While some use is uncertain (after a failover, or because of tasks of unknown jobs) logs each
// change, at most once a second: how much may be in use, on which machines, and which tasks of
// limited teams were placed. Logs nothing otherwise, so that it has no cost at the usual start
// rate.
class QuotaLog : public LeaderComponent {
 public:
  using LeaderComponent::LeaderComponent;

  // A task of the job has been placed on the machine.
  void RecordPlacement(const Job& job, int task, const Machine& machine);
  void Tick(Micros now);

  // The number of tasks of limited teams placed in this term while some use was uncertain.
  uint64_t uncertain_placements() const { return uncertain_placements_; }

 private:
  struct Placements {
    int tasks = 0;
    std::string first;  // a task and its machine
  };

  bool IsUseUncertain() const;
  std::string DescribeUncertainUse() const;
  std::string DescribePlacements() const;

  std::map<int, Placements> placements_;  // since the last line, by team
  uint64_t uncertain_placements_ = 0;
  bool uncertain_since_last_line_ = false;
  std::string last_line_;
  Micros next_line_at_;
};

}  // namespace badgershore
