// Log lines on quota decisions that rest on uncertain use.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "core/leader/leader_component.h"
#include "core/model/fleet.h"
#include "core/model/jobs.h"

namespace badgershore {

// While some use is uncertain (after a failover, or beside tasks of unknown jobs) writes a line
// when it changes, at most one a second: how much may be in use, on which machines, and what was
// placed for limited teams. Silent otherwise, so that it costs nothing at the usual rate of starts.
class QuotaLog : public LeaderComponent {
 public:
  using LeaderComponent::LeaderComponent;

  // A task of the job has been placed on the machine.
  void RecordPlacement(const Job& job, int task, const Machine& machine);
  void Tick(Micros now);

  // Placements for limited teams in this term while some use was uncertain.
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
