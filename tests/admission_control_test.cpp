// Tests which submissions are rejected while the state service's write rate limit is reached.
#include "core/api/admission_control.h"

#include <gtest/gtest.h>

namespace badgershore {
namespace {

// Guards against one team's thousand single-task jobs using up the writes that another team needs
// for its few jobs.
TEST(AdmissionControl, RejectsTheTeamThatSubmitsMostWhileWritesAreRateLimited) {
  AdmissionControl a;
  Micros now = Seconds(100);
  const auto flood = [&](int jobs) {
    int away = 0;
    for (int i = 0; i < jobs; ++i) away += a.RetryAfterSeconds(now, "guests") > 0;
    return away;
  };
  EXPECT_EQ(a.RetryAfterSeconds(now, "home"), 0);
  EXPECT_EQ(flood(50), 0);  // no write has been rate limited yet
  a.OnRateLimited(now);
  EXPECT_EQ(flood(20), 20);
  EXPECT_EQ(a.RetryAfterSeconds(now, "home"), 0);
  EXPECT_EQ(a.RetryAfterSeconds(now, "third"), 0);
  EXPECT_LE(a.RetryAfterSeconds(now, "guests"), 10);  // short enough for users to wait
  now = now + Seconds(4);
  EXPECT_EQ(flood(1), 0);  // the limit was not reached again
  // A single team is never rejected, no matter how many jobs it submits.
  AdmissionControl alone;
  alone.OnRateLimited(now);
  for (int i = 0; i < 100; ++i) EXPECT_EQ(alone.RetryAfterSeconds(now, "home"), 0);
}

}  // namespace
}  // namespace badgershore
