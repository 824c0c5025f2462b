// Load Balancing Guardrails (Grosof, Scully, Harchol-Balter: "Load Balancing Guardrails: Keeping
// Your Heavy Traffic on the Road to Low Response Times", 2019): tasks are sorted into size buckets,
// and for each bucket no machine receives much more work than another.
#pragma once

#include <tuple>
#include <vector>

#include "core/model/fleet.h"
#include "core/model/jobs.h"

namespace badgershore {

constexpr int kSizeBuckets = 64;

// The bucket of the job's tasks, 0 to kSizeBuckets - 1: buckets are [width^k, width^(k+1)) seconds
// of estimated run time. Services are in the last one.
int SizeBucket(const JobSpec& spec, double width);

// The work of one task on a machine, in seconds: its estimate divided by how many such tasks the
// open resources hold. Machines of different sizes are level when each is equally filled, and one
// that such tasks fill badly gets fewer of them.
double NormalizedWork(const JobSpec& spec, const Resources& open);

// A machine that can hold the job's tasks.
struct EligibleMachine {
  Machine* machine = nullptr;
  Resources open;  // what of it such tasks may use
};

// Distributes a job's tasks: each turn goes to the machine that, the next task included, has
// received least work of the job's bucket; among equals to one that has the job's image. A turn has
// as many tasks as the machine has places free for, at least one, so that the job is on few
// machines, each of which may be lost and has to fetch its image. It is still a guardrails policy
// (in the paper's words: "the difference in work dispatched to any pair of servers is never more
// than a constant multiple of the minimum possible"), as machines never differ by more than one of
// them holds at once.
class LeastWorkPolicy {
 public:
  // Both have to outlive the policy.
  LeastWorkPolicy(const Job& job, const std::vector<EligibleMachine>& machines);
  // The machine of the next task; null: there is none to choose from.
  const EligibleMachine* Next();

 private:
  struct Turn {
    double received;  // the next task included
    bool needs_image;
    size_t index;
    double task_work;
    bool operator>(const Turn& o) const {
      return std::tie(received, needs_image, index) > std::tie(o.received, o.needs_image, o.index);
    }
  };
  int64_t FreePlaces(const Machine& m) const;

  const Job& job_;
  const std::vector<EligibleMachine>& machines_;
  std::vector<Turn> turns_;  // a heap, but for the last entry during a turn
  int64_t tasks_left_in_turn_ = 0;
  bool in_turn_ = false;
};

// Gives a new machine the mean of its peers' counters: with empty ones it would be flooded.
void InitializeDispatchedWork(Machine* machine, const std::vector<Machine*>& peers);

}  // namespace badgershore
