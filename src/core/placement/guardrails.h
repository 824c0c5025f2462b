// The paper's dispatch: size buckets of one ratio, and for each bucket the machine that has
// received the least work of it.
#pragma once

#include <tuple>
#include <vector>

#include "core/model/fleet.h"
#include "core/model/jobs.h"

namespace badgershore {

constexpr int kSizeBuckets = 64;

// Buckets are [width^k, width^(k+1)) seconds; services count in the top one.
int SizeBucket(const JobSpec& spec, double width);

// A task's work on a machine: its estimate divided by how many such tasks the open part holds, so
// that machines of different sizes are level when each is equally filled, and one that such tasks
// fill badly gets fewer of them.
double NormalizedWork(const JobSpec& spec, const Resources& open);

// A machine that can hold the job's tasks, and what of it is open to them.
struct EligibleMachine {
  Machine* machine = nullptr;
  Resources open;
};

// Gives a job's tasks out, in turn to the machine that would have received least work of the job's
// bucket, the next task included. Among equals, to one that has the job's image. A turn is as many
// tasks as the machine has places free for, at least one: so the machines' work never lies further
// apart than one of them holds at once, which is a guardrails policy still (the paper: "the
// difference in work dispatched to any pair of servers is never more than a constant multiple of
// the minimum possible"), and the job is on few machines, any of which may be lost and each of
// which has to fetch its image.
class LeastWorkPolicy {
 public:
  LeastWorkPolicy(const Job& job, const std::vector<EligibleMachine>& able);
  // The next task's machine; null when there is none to choose from.
  const EligibleMachine* Next();

 private:
  struct Turn {
    double received;  // with the next task
    bool fetches;     // has no image yet
    size_t index;
    double each;  // a task's work there
    bool operator>(const Turn& o) const {
      return std::tie(received, fetches, index) > std::tie(o.received, o.fetches, o.index);
    }
  };
  const Job& job_;
  const std::vector<EligibleMachine>& able_;
  std::vector<Turn> turns_;  // a heap: no look at every machine for every task
  int64_t turn_left_ = 0;    // tasks that the machine at the back still gets, which is off the heap
  bool in_turn_ = false;
};

// A new machine begins level with its peers, or it would be flooded.
void InitializeDispatchedWork(Machine* machine, const std::vector<Machine*>& peers);

}  // namespace badgershore
