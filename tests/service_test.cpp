// Service statistics by class and team, and which of them fail a scenario.
#include "rehearsal/service.h"

#include <gtest/gtest.h>

namespace badgershore::rehearsal {
namespace {

// Guards against passing a scenario in which a team's jobs are not done, or done too late.
TEST(ServiceStats, ReportsClassesThatAreHalfDoneOrLate) {
  Service service({{"lane", {0, 10}}});
  const auto see = [&](Event::Kind kind, const std::string& job, int64_t at_s,
                       const std::string& text) {
    Event e;
    e.kind = kind;
    e.job = job;
    e.at_us = at_s * 1000000;
    e.text = text;
    e.facts.team = "t";
    e.facts.lane = "lane";
    service.See(e);
  };
  for (const char* job : {"job-1", "job-2", "job-3"}) {
    see(Event::Kind::kSubmitted, job, 0, "");
    see(Event::Kind::kAccepted, job, 0, "");
  }
  see(Event::Kind::kTold, "job-1", 5, "done");
  std::vector<Broken> failed = service.Failed(0);
  ASSERT_EQ(failed.size(), 2u);
  EXPECT_EQ(failed[0].rule, "half");
  EXPECT_EQ(failed[1].rule, "late");
  see(Event::Kind::kTold, "job-2", 9, "done");
  see(Event::Kind::kTold, "job-3", 9, "done");
  EXPECT_TRUE(service.Failed(0).empty());
  see(Event::Kind::kSubmitted, "job-4", 0, "");
  see(Event::Kind::kAccepted, "job-4", 0, "");
  see(Event::Kind::kTold, "job-4", 11, "done");
  EXPECT_EQ(service.Failed(0).size(), 1u);
}

// Guards against small jobs that hide that the largest jobs of their class are still waiting.
TEST(ServiceStats, ChecksTheLargestJobsSeparately) {
  Service service({});
  const auto see = [&](Event::Kind kind, int job, int64_t at_s, int tasks) {
    Event e;
    e.kind = kind;
    e.job = "job-" + std::to_string(job);
    e.at_us = at_s * 1000000;
    e.text = "done";
    e.facts.lane = "lane";
    e.facts.tasks = tasks;
    service.See(e);
  };
  for (int job = 0; job < 10; ++job) {
    see(Event::Kind::kSubmitted, job, 0, job == 7 ? 100 : 1);
    see(Event::Kind::kAccepted, job, 0, 0);
    if (job != 7) see(Event::Kind::kTold, job, 5, 0);
  }
  ASSERT_EQ(service.Failed(0).size(), 1u);
  EXPECT_EQ(service.Failed(0)[0].rule, "largest");
  see(Event::Kind::kTaskOn, 7, 241, 0);
  see(Event::Kind::kTold, 7, 300, 0);
  EXPECT_EQ(service.Failed(0).size(), 1u);  // done, but started after more than four minutes
}

}  // namespace
}  // namespace badgershore::rehearsal
