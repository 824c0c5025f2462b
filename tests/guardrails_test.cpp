// Tests size buckets and the dispatch to the machine that received the least work of a bucket.
#include "core/placement/guardrails.h"

#include <gtest/gtest.h>

namespace badgershore {
namespace {

TEST(SizeBuckets, HaveBoundsWithAConstantRatio) {
  JobSpec spec;
  const auto bucket = [&](double seconds) {
    spec.estimated_runtime = Seconds(seconds);
    return SizeBucket(spec, 2.0);
  };
  EXPECT_EQ(bucket(4), bucket(7.9));
  EXPECT_EQ(bucket(8), bucket(4) + 1);
  EXPECT_EQ(bucket(16), bucket(4) + 2);
  spec.kind = JobKind::kService;
  EXPECT_EQ(bucket(4), kSizeBuckets - 1);
}

TEST(Dispatch, ChoosesTheMachineWithLeastWorkOfTheBucket) {
  MachineType type;
  type.size = {4000, 0, 8000};
  Machine a, b;
  a.type = b.type = &type;
  a.dispatched_work.assign(kSizeBuckets, 0);
  b.dispatched_work.assign(kSizeBuckets, 0);
  Job job;
  job.spec.estimated_runtime = Seconds(10);
  job.spec.need = {1000, 0, 1000};
  job.bucket = SizeBucket(job.spec, 2.0);
  const auto bucket = static_cast<size_t>(job.bucket);
  a.dispatched_work[bucket] = 100;
  const std::vector<EligibleMachine> eligible = {{&a, type.size}, {&b, type.size}};
  EXPECT_EQ(LeastWorkPolicy(job, eligible).Next()->machine, &b);
  // The work of other buckets does not matter.
  b.dispatched_work[bucket + 1] = 1e6;
  EXPECT_EQ(LeastWorkPolicy(job, eligible).Next()->machine, &b);
  const std::vector<EligibleMachine> no_machines;
  EXPECT_EQ(LeastWorkPolicy(job, no_machines).Next(), nullptr);
  // Each dispatched task counts at once: b receives 40 tasks, which are 100 seconds of work, before
  // a has its turn.
  LeastWorkPolicy policy(job, eligible);
  int tasks_on_b = 0;
  while (policy.Next()->machine == &b) ++tasks_on_b;
  EXPECT_EQ(tasks_on_b, 40);
}

TEST(Dispatch, MeasuresWorkByTheShareOfTheMachine) {
  const Resources small{4000, 0, 8000}, large{32000, 0, 64000};
  JobSpec spec;
  spec.estimated_runtime = Seconds(10);
  spec.need = {1000, 0, 1000};
  EXPECT_DOUBLE_EQ(NormalizedWork(spec, small), 2.5);
  EXPECT_DOUBLE_EQ(NormalizedWork(spec, large), 0.3125);
}

TEST(Dispatch, InitializesANewMachineToTheMeanOfItsPeers) {
  Machine a, b, new_machine;
  a.dispatched_work.assign(kSizeBuckets, 2.0);
  b.dispatched_work.assign(kSizeBuckets, 4.0);
  InitializeDispatchedWork(&new_machine, {&a, &b});
  EXPECT_DOUBLE_EQ(new_machine.dispatched_work[0], 3.0);
}

}  // namespace
}  // namespace badgershore
