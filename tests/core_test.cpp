#include <gtest/gtest.h>

#include "core/api/admission_control.h"
#include "core/model/jobs.h"
#include "core/placement/autoscaler.h"
#include "core/placement/guardrails.h"

namespace badgershore {
namespace {

TEST(Buckets, AreOfOneRatio) {
  JobSpec s;
  const auto bucket = [&](double seconds) {
    s.estimated_runtime = Seconds(seconds);
    return SizeBucket(s, 2.0);
  };
  EXPECT_EQ(bucket(4), bucket(7.9));
  EXPECT_EQ(bucket(8), bucket(4) + 1);
  EXPECT_EQ(bucket(16), bucket(4) + 2);
  s.kind = JobKind::kService;
  EXPECT_EQ(bucket(4), kSizeBuckets - 1);
}

TEST(Dispatch, GoesWhereLeastOfTheBucketWasReceived) {
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
  const std::vector<EligibleMachine> able = {{&a, type.size}, {&b, type.size}};
  EXPECT_EQ(LeastWorkPolicy(job, able).Next()->machine, &b);
  // What another bucket has received plays no part.
  b.dispatched_work[bucket + 1] = 1e6;
  EXPECT_EQ(LeastWorkPolicy(job, able).Next()->machine, &b);
  const std::vector<EligibleMachine> none;
  EXPECT_EQ(LeastWorkPolicy(job, none).Next(), nullptr);
  // Each task counts at once: 100 of work are 40 tasks on b before a has its turn.
  LeastWorkPolicy turns(job, able);
  int on_b = 0;
  while (turns.Next()->machine == &b) ++on_b;
  EXPECT_EQ(on_b, 40);
}

TEST(Dispatch, WorkIsMeasuredByTheShareOfTheMachine) {
  const Resources small{4000, 0, 8000}, large{32000, 0, 64000};
  JobSpec s;
  s.estimated_runtime = Seconds(10);
  s.need = {1000, 0, 1000};
  EXPECT_DOUBLE_EQ(NormalizedWork(s, small), 2.5);
  EXPECT_DOUBLE_EQ(NormalizedWork(s, large), 0.3125);
}

TEST(Dispatch, ANewMachineBeginsLevelWithItsPeers) {
  Machine a, b, fresh;
  a.dispatched_work.assign(kSizeBuckets, 2.0);
  b.dispatched_work.assign(kSizeBuckets, 4.0);
  InitializeDispatchedWork(&fresh, {&a, &b});
  EXPECT_DOUBLE_EQ(fresh.dispatched_work[0], 3.0);
}

TEST(PagedRecords, ManyItemsCostOneChange) {
  PagedRecords pages("fleet/", 100);
  const Micros t = Seconds(1);
  PagedRecords::Page* first = pages.PutItem("n-1", 40, true, t);
  EXPECT_EQ(pages.PutItem("n-2", 40, true, t), first);
  PagedRecords::Page* second = pages.PutItem("n-3", 40, true, t);  // no room for it in the first
  EXPECT_NE(second, first);
  EXPECT_NE(second->key, first->key);
  EXPECT_EQ(pages.NextToWrite(true, t, {}), first);
  pages.OnSent(first);
  EXPECT_EQ(pages.NextToWrite(true, t, {}), second);
  // What changes while a page is on its way makes it dirty again.
  pages.RemoveItem("n-1", t);
  pages.OnWritten(first, 7);
  EXPECT_EQ(pages.NextToWrite(false, t + Seconds(1), Seconds(2)), nullptr);
  EXPECT_EQ(pages.NextToWrite(false, t + Seconds(2), Seconds(2)), first);
  pages.OnSent(second);
  pages.OnWritten(second, 8);
  // The room is used again.
  EXPECT_EQ(pages.PutItem("n-4", 40, true, t), first);
}

// A write without an answer may have been carried out, or may yet be: until its version is known
// the page is left alone, or the next write's guard would fail for ever.
TEST(PagedRecords, AreReadAgainAfterAWriteWithoutAnAnswer) {
  PagedRecords pages("prog/", 100);
  PagedRecords::Page* page = pages.PutItem("job-1/0", 40, false, Seconds(1));
  pages.OnSent(page);
  pages.OnFailed(page, true, true, Seconds(2));
  EXPECT_EQ(pages.NextToWrite(true, Seconds(9), {}), nullptr);
  page->version_unknown = false;
  EXPECT_EQ(pages.NextToWrite(true, Seconds(9), {}), page);
}

TEST(PagedRecords, ThatWereNeverWrittenNeedNoErasing) {
  PagedRecords pages("prog/", 100);
  PagedRecords::Page* page = pages.PutItem("job-1/0", 40, false, Seconds(1));
  pages.RemoveItem("job-1/0", Seconds(1));
  EXPECT_EQ(pages.NextToWrite(false, Seconds(9), Seconds(1)), nullptr);
  page->version = 3;
  EXPECT_EQ(pages.NextToWrite(false, Seconds(9), Seconds(1)), page);
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
  ASSERT_TRUE(ParseProgressItem(ProgressItem("job-9", 2), &id, &chunk));
  EXPECT_EQ(id, "job-9");
  EXPECT_EQ(chunk, 2);
}

// Guards against: a takeover that forgets what has been arriving, so that the room kept for work
// which can't wait for a boot is given back just when the leader has changed.
// Guards against: a guest's thousand single jobs using up the writes that the home team's few need.
TEST(AdmissionControl, TurnsAwayWhoSendsMostWhileTheStateServiceIsAtItsLimit) {
  AdmissionControl a;
  Micros now = Seconds(100);
  const auto flood = [&](int jobs) {
    int away = 0;
    for (int i = 0; i < jobs; ++i) away += a.RetryAfterSeconds(now, "guests") > 0;
    return away;
  };
  EXPECT_EQ(a.RetryAfterSeconds(now, "home"), 0);
  EXPECT_EQ(flood(50), 0);  // nothing has been refused
  a.OnRateLimited(now);
  EXPECT_EQ(flood(20), 20);
  EXPECT_EQ(a.RetryAfterSeconds(now, "home"), 0);
  EXPECT_EQ(a.RetryAfterSeconds(now, "third"), 0);
  EXPECT_LE(a.RetryAfterSeconds(now, "guests"), 10);  // a time that its user still waits for
  now = now + Seconds(4);
  EXPECT_EQ(flood(1), 0);  // the limit has not been met again
  // A team alone is never turned away here, whatever it sends.
  AdmissionControl alone;
  alone.OnRateLimited(now);
  for (int i = 0; i < 100; ++i) EXPECT_EQ(alone.RetryAfterSeconds(now, "home"), 0);
}

TEST(Autoscaler, KeepsRoomForArrivalsBeforeTheTerm) {
  const Options options;
  const std::vector<std::string> zones = {"a"};
  const std::vector<Objective> objectives;
  std::map<std::string, MachineType> types;
  types["box"] = {"box", {4000, 0, 16000}, 10, 1, 1, 0.3, Seconds(30), {}};
  Job waiting;
  waiting.spec.need = {1000, 0, 1000};
  waiting.spec.estimated_runtime = Seconds(30);
  waiting.spec.deadline = Seconds(57);
  waiting.spec.allow_spot = true;
  waiting.submitted_at = Seconds(100);
  const auto requested = [&](int earlier) {
    Autoscaler scaler(options);
    JobSpec spec = waiting.spec;
    spec.tasks = 40;
    for (int i = 0; i < earlier; ++i) {
      scaler.RecordUrgentArrival(spec, Seconds(27), Seconds(30), Seconds(4.0 * i), Seconds(100));
    }
    ScalingSnapshot snapshot;
    snapshot.now = Seconds(100);
    snapshot.machine_types = &types;
    snapshot.zones = &zones;
    snapshot.objectives = &objectives;
    snapshot.jobs = {&waiting};
    int count = 0;
    for (const ScaleOutRequest& r : scaler.Decide(snapshot).scale_out)
      count += r.offer.spot ? r.count : 0;
    return count;
  };
  EXPECT_LE(requested(0), 1);
  EXPECT_GE(requested(25), 40 * 25 * 30 / 100 / 4);  // at least the mean under way, four to a box
}

}  // namespace
}  // namespace badgershore
