// Service statistics by class and team, and which of them fail a scenario.
#include "rehearsal/service.h"

#include <gtest/gtest.h>

namespace badgershore::rehearsal {
namespace {

// Guards against passing a scenario in which a team's jobs are not done, or done too late.
TEST(ServiceStats, ReportsClassesThatAreHalfDoneOrLate) {
  ServiceStats stats({{"lane", {0, 10}}});
  const auto add_event = [&](Event::Kind kind, const std::string& job, int64_t at_s,
                             const std::string& text) {
    Event e;
    e.kind = kind;
    e.job = job;
    e.at_us = at_s * 1000000;
    e.text = text;
    e.facts.team = "t";
    e.facts.job_class = "lane";
    stats.OnEvent(e);
  };
  for (const char* job : {"job-1", "job-2", "job-3"}) {
    add_event(Event::Kind::kSubmitted, job, 0, "");
    add_event(Event::Kind::kAccepted, job, 0, "");
  }
  add_event(Event::Kind::kStatusReported, "job-1", 5, "done");
  std::vector<Violation> violations = stats.Violations(0);
  ASSERT_EQ(violations.size(), 2u);
  EXPECT_EQ(violations[0].rule, "half");
  EXPECT_EQ(violations[1].rule, "late");
  add_event(Event::Kind::kStatusReported, "job-2", 9, "done");
  add_event(Event::Kind::kStatusReported, "job-3", 9, "done");
  EXPECT_TRUE(stats.Violations(0).empty());
  add_event(Event::Kind::kSubmitted, "job-4", 0, "");
  add_event(Event::Kind::kAccepted, "job-4", 0, "");
  add_event(Event::Kind::kStatusReported, "job-4", 11, "done");
  EXPECT_EQ(stats.Violations(0).size(), 1u);
}

// Guards against small jobs that hide that the largest jobs of their class are still waiting.
TEST(ServiceStats, ChecksTheLargestJobsSeparately) {
  ServiceStats stats({});
  const auto add_event = [&](Event::Kind kind, int job, int64_t at_s, int tasks) {
    Event e;
    e.kind = kind;
    e.job = "job-" + std::to_string(job);
    e.at_us = at_s * 1000000;
    e.text = "done";
    e.facts.job_class = "lane";
    e.facts.tasks = tasks;
    stats.OnEvent(e);
  };
  for (int job = 0; job < 10; ++job) {
    add_event(Event::Kind::kSubmitted, job, 0, job == 7 ? 100 : 1);
    add_event(Event::Kind::kAccepted, job, 0, 0);
    if (job != 7) add_event(Event::Kind::kStatusReported, job, 5, 0);
  }
  ASSERT_EQ(stats.Violations(0).size(), 1u);
  EXPECT_EQ(stats.Violations(0)[0].rule, "largest");
  add_event(Event::Kind::kTaskStarted, 7, 241, 0);
  add_event(Event::Kind::kStatusReported, 7, 300, 0);
  EXPECT_EQ(stats.Violations(0).size(), 1u);  // done, but started after more than four minutes
}

}  // namespace
}  // namespace badgershore::rehearsal
