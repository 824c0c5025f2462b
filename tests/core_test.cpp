#include <gtest/gtest.h>

#include "core/dispatch.h"
#include "core/jobs.h"

namespace badgershore {
namespace {

TEST(Buckets, AreOfOneRatio) {
  JobSpec s;
  const auto bucket = [&](double seconds) {
    s.estimate = Seconds(seconds);
    return BucketOf(s, 2.0);
  };
  EXPECT_EQ(bucket(4), bucket(7.9));
  EXPECT_EQ(bucket(8), bucket(4) + 1);
  EXPECT_EQ(bucket(16), bucket(4) + 2);
  s.shape = Shape::kService;
  EXPECT_EQ(bucket(4), kBuckets - 1);
}

TEST(Dispatch, GoesWhereLeastOfTheBucketWasReceived) {
  MachineType type;
  type.size = {4000, 0, 8000};
  Machine a, b;
  a.type = b.type = &type;
  a.work.assign(kBuckets, 0);
  b.work.assign(kBuckets, 0);
  Job job;
  job.spec.estimate = Seconds(10);
  job.spec.need = {1000, 0, 1000};
  job.bucket = BucketOf(job.spec, 2.0);
  const auto bucket = static_cast<size_t>(job.bucket);
  a.work[bucket] = 100;
  const std::vector<Able> able = {{&a, type.size}, {&b, type.size}};
  EXPECT_EQ(LeastReceived(job, able)->machine, &b);
  // What another bucket has received plays no part.
  b.work[bucket + 1] = 1e6;
  EXPECT_EQ(LeastReceived(job, able)->machine, &b);
  EXPECT_EQ(LeastReceived(job, {}), nullptr);
}

TEST(Dispatch, WorkIsMeasuredByTheShareOfTheMachine) {
  const Resources small{4000, 0, 8000}, large{32000, 0, 64000};
  JobSpec s;
  s.estimate = Seconds(10);
  s.need = {1000, 0, 1000};
  EXPECT_DOUBLE_EQ(WorkOn(s, small), 2.5);
  EXPECT_DOUBLE_EQ(WorkOn(s, large), 0.3125);
}

TEST(Dispatch, ANewMachineBeginsLevelWithItsPeers) {
  Machine a, b, fresh;
  a.work.assign(kBuckets, 2.0);
  b.work.assign(kBuckets, 4.0);
  LevelCounters(&fresh, {&a, &b});
  EXPECT_DOUBLE_EQ(fresh.work[0], 3.0);
}

TEST(Progress, ComesBackChunkByChunk) {
  Job job;
  job.spec.tasks = 37;
  job.tasks.resize(37);
  const std::vector<int> done = {0, 3, 15, 16, 17, 31, 32, 36};
  for (int t : done) job.tasks[static_cast<size_t>(t)].stage = TaskStage::kDone;
  std::vector<int> back;
  for (int chunk = 0; chunk < 3; ++chunk) {
    DecodeProgress(EncodeProgress(job, chunk, 16), chunk, 16, 37,
                   [&](int t) { back.push_back(t); });
  }
  EXPECT_EQ(back, done);
  std::string id;
  int chunk = 0;
  ASSERT_TRUE(ParseProgressKey(ProgressKey("job-9", 2), &id, &chunk));
  EXPECT_EQ(id, "job-9");
  EXPECT_EQ(chunk, 2);
}

}  // namespace
}  // namespace badgershore
