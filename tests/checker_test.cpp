// The checker reports a history that violates a rule of the protocol under that rule alone.
#include <gtest/gtest.h>

#include "rehearsal/history.h"

namespace badgershore::rehearsal {
namespace {

using Kind = Event::Kind;

class CheckerTest : public testing::Test {
 public:
  CheckerTest& At(double s) {
    at_us = static_cast<int64_t>(s * 1e6);
    return *this;
  }
  CheckerTest& Job(const std::string& id, JobFacts facts = {}) {
    facts.id = id;
    if (facts.team.empty()) facts.team = "t";
    if (facts.tasks == 0) facts.tasks = 2;
    facts.cpu_m = 1000;
    Event e;
    e.job = id;
    e.facts = facts;
    AddEvent(Kind::kSubmitted, e);
    return AddEvent(Kind::kAccepted, e);
  }
  CheckerTest& Machine(const std::string& id, const std::string& zone, bool spot = false) {
    Event e;
    e.machine = id;
    e.text = zone;
    e.number = spot;
    return AddEvent(Kind::kMachineUp, e);
  }
  CheckerTest& Task(Kind kind, const std::string& job, int task, const std::string& machine = "") {
    Event e;
    e.job = job;
    e.task = task;
    e.machine = machine;
    return AddEvent(kind, e);
  }
  CheckerTest& Status(const std::string& job, const std::string& phase,
                      double requested_s = -1e-6) {
    Event e;
    e.job = job;
    e.text = phase;
    e.requested_us = static_cast<int64_t>(requested_s * 1e6);
    return AddEvent(Kind::kStatusReported, e);
  }
  CheckerTest& User(Kind kind, const std::string& job) {
    Event e;
    e.job = job;
    return AddEvent(kind, e);
  }
  CheckerTest& AddEvent(Kind kind, Event e) {
    e.kind = kind;
    e.at_us = at_us;
    checker.OnEvent(e);
    return *this;
  }
  std::string Found() {
    std::string out;
    for (const Violation& b : checker.violations()) {
      if (out.find(b.rule) == std::string::npos) out += (out.empty() ? "" : " ") + b.rule;
    }
    return out;
  }
  int64_t at_us = 0;
  Checker checker{{40, {{"t", {3000, 0}}}}};
};

TEST_F(CheckerTest, AcceptsAValidHistory) {
  Machine("m1", "a")
      .Job("j")
      .Task(Kind::kTaskStarted, "j", 0, "m1")
      .Task(Kind::kTaskStarted, "j", 1, "m1");
  Task(Kind::kTaskCompleted, "j", 0).Task(Kind::kTaskExited, "j", 0, "m1");
  Task(Kind::kTaskCompleted, "j", 1).Task(Kind::kTaskExited, "j", 1, "m1");
  At(9).Status("j", "done").At(60).Status("j", "done");
  checker.Finish(at_us);
  EXPECT_EQ(Found(), "");
  EXPECT_EQ(checker.FinalStates().at("j"), "done");
}
TEST_F(CheckerTest, ReportsATaskOnTwoMachines) {
  Machine("m1", "a").Machine("m2", "a").Job("j").Task(Kind::kTaskStarted, "j", 0, "m1");
  Task(Kind::kTaskStarted, "j", 0, "m2");
  EXPECT_EQ(Found(), "ran_twice");
}
TEST_F(CheckerTest, ReportsATeamOverItsLimit) {
  JobFacts f;
  f.tasks = 4;
  Machine("m1", "a").Job("j", f);
  for (int i = 0; i < 3; ++i) Task(Kind::kTaskStarted, "j", i, "m1");
  EXPECT_EQ(Found(), "");
  Task(Kind::kTaskStarted, "j", 3, "m1");
  EXPECT_EQ(Found(), "quota");
}
TEST_F(CheckerTest, KeepsATeamsPeakUseSinceTheLastCall) {
  Machine("m1", "a").Job("j");
  Task(Kind::kTaskStarted, "j", 0, "m1").Task(Kind::kTaskStarted, "j", 1, "m1");
  Task(Kind::kTaskExited, "j", 0, "m1");
  EXPECT_EQ(checker.TakePeakCpu()["t"], 2000);
  EXPECT_EQ(checker.TakePeakCpu()["t"], 1000);
  Task(Kind::kTaskExited, "j", 1, "m1");
  EXPECT_EQ(checker.TakePeakCpu()["t"], 1000);
  EXPECT_EQ(checker.TakePeakCpu()["t"], 0);
}
TEST_F(CheckerTest, ReportsAPlacementTheJobDoesNotAllow) {
  JobFacts same, spread, zone;
  same.same_zone = spread.spread = true;
  zone.zone = "b";
  Machine("m1", "a").Machine("m2", "b").Machine("m3", "a", true);
  Job("j", same).Task(Kind::kTaskStarted, "j", 0, "m1");
  EXPECT_EQ(Found(), "");
  Task(Kind::kTaskStarted, "j", 1, "m2");
  EXPECT_EQ(checker.violations().size(), 1u);
  Task(Kind::kTaskExited, "j", 0, "m1").Task(Kind::kTaskExited, "j", 1, "m2");
  Job("k", spread).Task(Kind::kTaskStarted, "k", 0, "m1").Task(Kind::kTaskStarted, "k", 1, "m1");
  EXPECT_EQ(checker.violations().size(), 2u);
  Job("l", zone).Task(Kind::kTaskStarted, "l", 0, "m1");
  EXPECT_EQ(checker.violations().size(), 3u);
  Task(Kind::kTaskExited, "l", 0, "m1").Job("s").Task(Kind::kTaskStarted, "s", 0, "m3");
  EXPECT_EQ(checker.violations().size(), 4u);
  EXPECT_EQ(Found(), "wrong_place");
}
TEST_F(CheckerTest, ReportsATaskLeftAfterTheCancelDeadline) {
  Machine("m1", "a").Job("j").Task(Kind::kTaskStarted, "j", 0, "m1");
  At(10).User(Kind::kCancelRequested, "j").Status("j", "withdrawn");
  checker.Finish(at_us + 40000000);
  EXPECT_EQ(Found(), "");
  checker.Finish(at_us + 41000000);
  EXPECT_EQ(Found(), "ran_cancelled");
}
TEST_F(CheckerTest, ReportsAStartAfterTheCancelDeadline) {
  Machine("m1", "a").Job("j").User(Kind::kCancelRequested, "j").Status("j", "withdrawn");
  At(41).Task(Kind::kTaskStarted, "j", 0, "m1");
  EXPECT_EQ(Found(), "ran_cancelled");
}
TEST_F(CheckerTest, ReportsAnAcceptedJobAnsweredAsUnknown) {
  Job("j").User(Kind::kUnknownJob, "j");
  EXPECT_EQ(Found(), "forgotten");
}
TEST_F(CheckerTest, ReportsARejectedRetryOfAnAcceptedJob) {
  Job("j").User(Kind::kRejected, "j");
  EXPECT_EQ(Found(), "forgotten");
}
TEST_F(CheckerTest, ReportsAJobUnansweredWhileOthersAreAnswered) {
  Job("j").Job("k");
  for (int s = 1; s < 95; s += 2) At(s).User(Kind::kNoAnswer, "j").User(Kind::kNoAnswer, "k");
  EXPECT_EQ(Found(), "");  // no user got a response: an outage
  for (int s = 95; s < 190; s += 2) At(s).User(Kind::kNoAnswer, "j").Status("k", "pending");
  EXPECT_EQ(Found(), "forgotten");
}
// Guards against: a node that still answers nobody after an outage is taken for the outage itself.
TEST_F(CheckerTest, ReportsAnUnansweredJobAfterTheFaultsHaveEnded) {
  checker = Checker({.cancel_s = 40, .limits = {}, .faults_end_s = 30});
  Job("j").Job("k");
  for (int s = 1; s < 104; s += 2) At(s).User(Kind::kNoAnswer, "j").User(Kind::kNoAnswer, "k");
  EXPECT_EQ(Found(), "");
  At(106).User(Kind::kNoAnswer, "j").Status("k", "pending");
  EXPECT_EQ(Found(), "forgotten");
}
TEST_F(CheckerTest, MeasuresHowLongCancelledTasksStayed) {
  Machine("m1", "a").Job("j").At(1).Task(Kind::kTaskStarted, "j", 0, "m1");
  User(Kind::kCancelRequested, "j")
      .Status("j", "withdrawn")
      .At(8)
      .Task(Kind::kTaskExited, "j", 0, "m1");
  EXPECT_EQ(checker.latest_cancelled_s(), 7);
}
// Guards against missing a cancelled task that exits too late while no other event happens.
TEST_F(CheckerTest, ReportsACancelledTaskThatExitsTooLate) {
  Machine("m1", "a").Job("j").At(1).Task(Kind::kTaskStarted, "j", 0, "m1");
  User(Kind::kCancelRequested, "j")
      .Status("j", "withdrawn")
      .At(51)
      .Task(Kind::kTaskExited, "j", 0, "m1");
  EXPECT_EQ(Found(), "ran_cancelled");
}
// Every start after the cancellation was confirmed is counted, however soon, whether or not its
// start command was under way by then.
TEST_F(CheckerTest, CountsStartsAfterACancellation) {
  At(0).Job("job-1").Machine("n-1", "a").Task(Kind::kTaskStarted, "job-1", 0, "n-1");
  User(Kind::kCancelRequested, "job-1").At(1).Status("job-1", "withdrawn");
  EXPECT_EQ(checker.started_cancelled(), 0);
  At(1.01).Task(Kind::kTaskStarted, "job-1", 1, "n-1");
  EXPECT_EQ(checker.started_cancelled(), 1);
}

TEST_F(CheckerTest, ReportsAnAcceptedJobThatCannotRun) {
  JobFacts facts;
  facts.cannot_run = true;
  At(0).Job("job-1", facts);
  ASSERT_EQ(checker.violations().size(), 1u);
  EXPECT_EQ(checker.violations()[0].rule, "accepted");
}

// A response to a query that was sent before a newer response arrived: no violation, but counted.
TEST_F(CheckerTest, CountsResponsesToQueriesSentBeforeANewerResponse) {
  At(0).Job("job-1").User(Kind::kCancelRequested, "job-1").At(2).Status("job-1", "withdrawn");
  At(2.5).Status("job-1", "pending", 1.5);
  EXPECT_EQ(checker.reordered_responses(), 1);
  EXPECT_TRUE(checker.violations().empty());
  At(3).Status("job-1", "pending", 2.6);
  EXPECT_EQ(checker.reordered_responses(), 1);
  ASSERT_EQ(checker.violations().size(), 1u);
  EXPECT_EQ(checker.violations()[0].rule, "went_back");
}

TEST_F(CheckerTest, ReportsAStatusOfAnUnknownJob) {
  Status("unknown", "pending");
  EXPECT_EQ(Found(), "invented");
}
TEST_F(CheckerTest, ReportsAJobReportedDoneTooEarly) {
  Machine("m1", "a").Job("j").Task(Kind::kTaskCompleted, "j", 0).Status("j", "done");
  EXPECT_EQ(Found(), "not_done");
}
TEST_F(CheckerTest, ReportsAPhaseAfterAFinalPhase) {
  Job("j").User(Kind::kCancelRequested, "j").Status("j", "withdrawn").Status("j", "running");
  EXPECT_EQ(Found(), "went_back");
}
// Guards against a false alarm (all-killed-thrice, seed 331): a query that was under way while the
// cancellation was answered may return the state from before it. A later query may not.
TEST_F(CheckerTest, AllowsAnOlderResponseToAnEarlierQuery) {
  At(10)
      .Job("j")
      .User(Kind::kCancelRequested, "j")
      .Status("j", "withdrawn", 9)
      .Status("j", "pending", 9.9);
  EXPECT_EQ(Found(), "");
  At(11).Status("j", "pending", 10.5);
  EXPECT_EQ(Found(), "went_back");
}
TEST_F(CheckerTest, ReportsACancellationNobodyRequested) {
  Job("j").Status("j", "withdrawn");
  EXPECT_EQ(Found(), "went_back");
}
TEST_F(CheckerTest, ReportsThatNoTaskStarted) {
  Job("j");
  checker.Finish(at_us);
  EXPECT_EQ(Found(), "nothing_ran");
}

// Guards against checking each cell's use separately against a team's whole limit.
TEST(CheckerOfSeveralCells, CountsALimitAcrossCellsAndFollowsItsChanges) {
  Checker::Bounds bounds;
  bounds.limits["t"] = {2000, 0};
  const auto violations = [&](bool lowered) {
    Checker checker(bounds);
    const auto add_event = [&](Event::Kind kind, const std::string& job,
                               const std::string& machine) {
      Event e;
      e.kind = kind;
      e.job = job;
      e.machine = machine;
      e.facts = {job, "t", "lane", 1, 1000, 0, "", false, false, false, 0};
      checker.OnEvent(e);
    };
    for (const char* job : {"job-1", "job-2"}) {
      add_event(Event::Kind::kSubmitted, job, "");
      add_event(Event::Kind::kAccepted, job, "");
    }
    add_event(Event::Kind::kMachineUp, "", "n-1");
    add_event(Event::Kind::kMachineUp, "", "south/n-1");
    add_event(Event::Kind::kTaskStarted, "job-1", "n-1");
    if (lowered) {
      Event e;
      e.kind = Event::Kind::kLimit;
      e.text = "t";
      e.number = 1000;
      checker.OnEvent(e);
    }
    add_event(Event::Kind::kTaskStarted, "job-2", "south/n-1");
    return checker.violations().size();
  };
  EXPECT_EQ(violations(false), 0u);
  EXPECT_EQ(violations(true), 1u);
}

}  // namespace
}  // namespace badgershore::rehearsal
