// Tests which submissions are rejected while the state service's write rate limit is reached.
#include "core/api/admission_control.h"

#include <gtest/gtest.h>

namespace badgershore {
namespace {

// Guards against one team's thousand single-task jobs using up the writes that another team needs
// for its few jobs.
TEST(AdmissionControl, RejectsTheTeamThatSubmitsMostWhileWritesAreRateLimited) {
  AdmissionControl admission;
  Micros now = Seconds(100);
  const auto submit_as_guests = [&](int jobs) {
    int rejected = 0;
    for (int i = 0; i < jobs; ++i) rejected += admission.RetryAfterSeconds(now, "guests") > 0;
    return rejected;
  };
  EXPECT_EQ(admission.RetryAfterSeconds(now, "home"), 0);
  EXPECT_EQ(submit_as_guests(50), 0);  // no write has been rate limited yet
  admission.OnRateLimited(now);
  EXPECT_EQ(submit_as_guests(20), 20);
  EXPECT_EQ(admission.RetryAfterSeconds(now, "home"), 0);
  EXPECT_EQ(admission.RetryAfterSeconds(now, "third"), 0);
  EXPECT_LE(admission.RetryAfterSeconds(now, "guests"), 10);  // short enough for users to wait
  now = now + Seconds(4);
  EXPECT_EQ(submit_as_guests(1), 0);  // the limit was not reached again
  // A single team is never rejected, no matter how many jobs it submits.
  AdmissionControl single_team;
  single_team.OnRateLimited(now);
  for (int i = 0; i < 100; ++i) EXPECT_EQ(single_team.RetryAfterSeconds(now, "home"), 0);
}

}  // namespace
}  // namespace badgershore
