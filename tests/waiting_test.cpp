// Jobs that wait although a machine has room are reported.
#include "rehearsal/waiting.h"

#include <gtest/gtest.h>

namespace badgershore::rehearsal {
namespace {

// The detector is called every 5 s; the same machine must have room for 90 s.
class StarvedJob : public testing::Test {
 public:
  int StarvedAfter(int seconds) {
    size_t starved = 0;
    for (int s = 0; s <= seconds; s += 5, now = now + Seconds(5)) {
      starved += detector.Update(now, jobs, machines).size();
    }
    return static_cast<int>(starved);
  }
  Micros now = Seconds(1);
  StarvationDetector detector;
  std::vector<StarvationDetector::Job> jobs{{"job-1", {2000, 0, 1000}, 1, 0, false, false, true}};
  std::vector<StarvationDetector::Machine> machines{{"n-1", "a", {4000, 0, 8000}, false}};
};

TEST_F(StarvedJob, IsReportedAfterNinetySeconds) {
  EXPECT_EQ(StarvedAfter(85), 0);
  EXPECT_EQ(StarvedAfter(0), 1);
}
TEST_F(StarvedJob, IsNotReportedAtTheTeamsLimitOrWhileTasksStart) {
  jobs[0].under_limit = false;
  EXPECT_EQ(StarvedAfter(200), 0);
  jobs[0].under_limit = true;
  EXPECT_EQ(StarvedAfter(80), 0);
  jobs[0].starts = 1;
  EXPECT_EQ(StarvedAfter(85), 0);
}
TEST_F(StarvedJob, IsNotReportedWithoutAMachineThatHadRoomThroughout) {
  EXPECT_EQ(StarvedAfter(60), 0);
  machines[0].id = "n-2";  // another machine has room now
  EXPECT_EQ(StarvedAfter(85), 0);
  machines[0].spot = true;
  EXPECT_EQ(StarvedAfter(200), 0);
}
TEST_F(StarvedJob, GangNeedsRoomForAllMembersInOneZone) {
  jobs[0].tasks = 3;
  jobs[0].same_zone = true;
  machines.push_back({"n-2", "b", {4000, 0, 8000}, false});
  EXPECT_EQ(StarvedAfter(200), 0);
  machines.push_back({"n-3", "b", {2000, 0, 8000}, false});
  EXPECT_EQ(StarvedAfter(100), 1);
}

}  // namespace
}  // namespace badgershore::rehearsal
