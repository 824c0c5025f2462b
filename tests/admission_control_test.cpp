// Who is turned away while the state service is at its limit.
#include "core/api/admission_control.h"

#include <gtest/gtest.h>

namespace badgershore {
namespace {

// Guards against: a guest's thousand single jobs using up the writes that the home team's few need.
TEST(AdmissionControl, RejectsTheTeamThatSubmitsMostWhileWritesAreRateLimited) {
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

}  // namespace
}  // namespace badgershore
