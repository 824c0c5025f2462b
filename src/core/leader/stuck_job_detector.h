// Work that has not moved for far longer than it can take: why it waits, and what can safely be
// done.
#pragma once

#include <string>

#include "core/leader/part.h"
#include "core/model/jobs.h"

namespace badgershore {

class StuckJobDetector : public Part {
 public:
  using Part::Part;

  void Tick(Micros now);
  // What the term believes of a job, and why it waits: for people.
  std::string Explain(Micros now, const std::string& job) const;

 private:
  std::string WaitReason(Micros now, const Job& job) const;
  Micros StuckTimeout(const Job& job) const;
  void RepairCounts(Micros now, Job* job);

  Micros next_tick_at_;
};

}  // namespace badgershore
