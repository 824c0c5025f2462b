// Load Balancing Guardrails (Grosof, Scully, Harchol-Balter: "Load Balancing Guardrails: Keeping
// Your Heavy Traffic on the Road to Low Response Times", 2019): tasks are grouped into size
// buckets, and within each bucket no machine receives much more work than another.
#pragma once

#include <tuple>
#include <vector>

#include "core/model/fleet.h"
#include "core/model/jobs.h"

namespace badgershore {

constexpr int kSizeBuckets = 64;

// Bucket of the job's tasks, from 0 to kSizeBuckets - 1. A bucket spans [width^k, width^(k+1))
// seconds of estimated runtime. Services are in the last one.
int SizeBucket(const JobSpec& spec, double width);

// Work of one task on a machine, in seconds: its estimated runtime divided by the number of such
// tasks that fit into the open resources. Machines of different sizes have received equal work when
// they are equally full, and a machine on which such tasks fit badly receives fewer of them.
double NormalizedWork(const JobSpec& spec, const Resources& open);

// A machine that can hold the job's tasks.
struct EligibleMachine {
  Machine* machine = nullptr;
  Resources open;  // the resources that such tasks may use
};

// Distributes a job's tasks over machines in turns. Each turn goes to the machine that has received
// the least work of the job's bucket, including the next task; among equal machines, one that has
// the job's image is preferred. A turn has as many tasks as fit on the machine now, but at least
// one, so that the job runs on few machines: each machine has to fetch the image and may be lost.
// This is still a guardrails policy (from the paper: "the difference in work dispatched to any pair
// of servers is never more than a constant multiple of the minimum possible"), because the work of
// two machines never differs by more than one of them holds at once.
class LeastWorkPolicy {
 public:
  // Both arguments must outlive this.
  LeastWorkPolicy(const Job& job, const std::vector<EligibleMachine>& machines);
  // The machine for the next task; null if there are no machines.
  const EligibleMachine* Next();

 private:
  struct Turn {
    double received;  // work that the machine has received, including the next task
    bool needs_image;
    size_t index;
    double task_work;
    bool operator>(const Turn& o) const {
      return std::tie(received, needs_image, index) > std::tie(o.received, o.needs_image, o.index);
    }
  };
  int64_t TasksThatFit(const Machine& m) const;

  const Job& job_;
  const std::vector<EligibleMachine>& machines_;
  std::vector<Turn> turns_;  // a heap; during a turn its last entry is not part of the heap
  int64_t tasks_left_in_turn_ = 0;
  bool in_turn_ = false;
};

// Initializes the counters of a new machine to the mean of its peers' counters. With zeros it would
// receive all tasks at first.
void InitializeDispatchedWork(Machine* machine, const std::vector<Machine*>& peers);

}  // namespace badgershore
