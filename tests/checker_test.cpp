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
    See(Kind::kSubmitted, e);
    return See(Kind::kAccepted, e);
  }
  CheckerTest& Machine(const std::string& id, const std::string& zone, bool spot = false) {
    Event e;
    e.machine = id;
    e.text = zone;
    e.number = spot;
    return See(Kind::kMachineUp, e);
  }
  CheckerTest& Task(Kind kind, const std::string& job, int task, const std::string& machine = "") {
    Event e;
    e.job = job;
    e.task = task;
    e.machine = machine;
    return See(kind, e);
  }
  CheckerTest& Told(const std::string& job, const std::string& phase, double asked_s = -1e-6) {
    Event e;
    e.job = job;
    e.text = phase;
    e.asked_us = static_cast<int64_t>(asked_s * 1e6);
    return See(Kind::kTold, e);
  }
  CheckerTest& User(Kind kind, const std::string& job) {
    Event e;
    e.job = job;
    return See(kind, e);
  }
  CheckerTest& See(Kind kind, Event e) {
    e.kind = kind;
    e.at_us = at_us;
    checker.See(e);
    return *this;
  }
  std::string Found() {
    std::string out;
    for (const Broken& b : checker.broken()) {
      if (out.find(b.rule) == std::string::npos) out += (out.empty() ? "" : " ") + b.rule;
    }
    return out;
  }
  int64_t at_us = 0;
  Checker checker{{40, {{"t", {3000, 0}}}}};
};

TEST_F(CheckerTest, AcceptsAValidHistory) {
  Machine("m1", "a").Job("j").Task(Kind::kTaskOn, "j", 0, "m1").Task(Kind::kTaskOn, "j", 1, "m1");
  Task(Kind::kTaskDone, "j", 0).Task(Kind::kTaskOff, "j", 0, "m1");
  Task(Kind::kTaskDone, "j", 1).Task(Kind::kTaskOff, "j", 1, "m1");
  At(9).Told("j", "done").At(60).Told("j", "done");
  checker.End(at_us);
  EXPECT_EQ(Found(), "");
  EXPECT_EQ(checker.FinalStates().at("j"), "done");
}
TEST_F(CheckerTest, ReportsATaskOnTwoMachines) {
  Machine("m1", "a").Machine("m2", "a").Job("j").Task(Kind::kTaskOn, "j", 0, "m1");
  Task(Kind::kTaskOn, "j", 0, "m2");
  EXPECT_EQ(Found(), "ran_twice");
}
TEST_F(CheckerTest, ReportsATeamOverItsLimit) {
  JobFacts f;
  f.tasks = 4;
  Machine("m1", "a").Job("j", f);
  for (int i = 0; i < 3; ++i) Task(Kind::kTaskOn, "j", i, "m1");
  EXPECT_EQ(Found(), "");
  Task(Kind::kTaskOn, "j", 3, "m1");
  EXPECT_EQ(Found(), "quota");
}
TEST_F(CheckerTest, KeepsATeamsPeakUseSinceTheLastCall) {
  Machine("m1", "a").Job("j");
  Task(Kind::kTaskOn, "j", 0, "m1").Task(Kind::kTaskOn, "j", 1, "m1");
  Task(Kind::kTaskOff, "j", 0, "m1");
  EXPECT_EQ(checker.TakePeakCpu()["t"], 2000);
  EXPECT_EQ(checker.TakePeakCpu()["t"], 1000);
  Task(Kind::kTaskOff, "j", 1, "m1");
  EXPECT_EQ(checker.TakePeakCpu()["t"], 1000);
  EXPECT_EQ(checker.TakePeakCpu()["t"], 0);
}
TEST_F(CheckerTest, ReportsAPlacementTheJobDoesNotAllow) {
  JobFacts same, spread, zone;
  same.same_zone = spread.spread = true;
  zone.zone = "b";
  Machine("m1", "a").Machine("m2", "b").Machine("m3", "a", true);
  Job("j", same).Task(Kind::kTaskOn, "j", 0, "m1");
  EXPECT_EQ(Found(), "");
  Task(Kind::kTaskOn, "j", 1, "m2");
  EXPECT_EQ(checker.broken().size(), 1u);
  Task(Kind::kTaskOff, "j", 0, "m1").Task(Kind::kTaskOff, "j", 1, "m2");
  Job("k", spread).Task(Kind::kTaskOn, "k", 0, "m1").Task(Kind::kTaskOn, "k", 1, "m1");
  EXPECT_EQ(checker.broken().size(), 2u);
  Job("l", zone).Task(Kind::kTaskOn, "l", 0, "m1");
  EXPECT_EQ(checker.broken().size(), 3u);
  Task(Kind::kTaskOff, "l", 0, "m1").Job("s").Task(Kind::kTaskOn, "s", 0, "m3");
  EXPECT_EQ(checker.broken().size(), 4u);
  EXPECT_EQ(Found(), "wrong_place");
}
TEST_F(CheckerTest, ReportsATaskLeftAfterTheCancelDeadline) {
  Machine("m1", "a").Job("j").Task(Kind::kTaskOn, "j", 0, "m1");
  At(10).User(Kind::kWithdraws, "j").Told("j", "withdrawn");
  checker.End(at_us + 40000000);
  EXPECT_EQ(Found(), "");
  checker.End(at_us + 41000000);
  EXPECT_EQ(Found(), "ran_cancelled");
}
TEST_F(CheckerTest, ReportsAStartAfterTheCancelDeadline) {
  Machine("m1", "a").Job("j").User(Kind::kWithdraws, "j").Told("j", "withdrawn");
  At(41).Task(Kind::kTaskOn, "j", 0, "m1");
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
  for (int s = 95; s < 190; s += 2) At(s).User(Kind::kNoAnswer, "j").Told("k", "pending");
  EXPECT_EQ(Found(), "forgotten");
}
// Guards against: a node that still answers nobody after an outage is taken for the outage itself.
TEST_F(CheckerTest, ReportsAnUnansweredJobAfterTheFaultsHaveEnded) {
  checker = Checker({.cancel_s = 40, .limits = {}, .troubles_over_s = 30});
  Job("j").Job("k");
  for (int s = 1; s < 104; s += 2) At(s).User(Kind::kNoAnswer, "j").User(Kind::kNoAnswer, "k");
  EXPECT_EQ(Found(), "");
  At(106).User(Kind::kNoAnswer, "j").Told("k", "pending");
  EXPECT_EQ(Found(), "forgotten");
}
TEST_F(CheckerTest, MeasuresHowLongCancelledTasksStayed) {
  Machine("m1", "a").Job("j").At(1).Task(Kind::kTaskOn, "j", 0, "m1");
  User(Kind::kWithdraws, "j").Told("j", "withdrawn").At(8).Task(Kind::kTaskOff, "j", 0, "m1");
  EXPECT_EQ(checker.latest_cancelled_s(), 7);
}
// Guards against missing a cancelled task that exits too late while no other event happens.
TEST_F(CheckerTest, ReportsACancelledTaskThatExitsTooLate) {
  Machine("m1", "a").Job("j").At(1).Task(Kind::kTaskOn, "j", 0, "m1");
  User(Kind::kWithdraws, "j").Told("j", "withdrawn").At(51).Task(Kind::kTaskOff, "j", 0, "m1");
  EXPECT_EQ(Found(), "ran_cancelled");
}
// Every start after the cancellation was confirmed is counted, however soon, whether or not its
// start command was under way by then.
TEST_F(CheckerTest, CountsStartsAfterACancellation) {
  At(0).Job("job-1").Machine("n-1", "a").Task(Kind::kTaskOn, "job-1", 0, "n-1");
  User(Kind::kWithdraws, "job-1").At(1).Told("job-1", "withdrawn");
  EXPECT_EQ(checker.started_cancelled(), 0);
  At(1.01).Task(Kind::kTaskOn, "job-1", 1, "n-1");
  EXPECT_EQ(checker.started_cancelled(), 1);
}

TEST_F(CheckerTest, ReportsAnAcceptedJobThatCannotRun) {
  JobFacts facts;
  facts.cannot_run = true;
  At(0).Job("job-1", facts);
  ASSERT_EQ(checker.broken().size(), 1u);
  EXPECT_EQ(checker.broken()[0].rule, "accepted");
}

// A response to a query that was sent before a newer response arrived: no violation, but counted.
TEST_F(CheckerTest, CountsResponsesToQueriesSentBeforeANewerResponse) {
  At(0).Job("job-1").User(Kind::kWithdraws, "job-1").At(2).Told("job-1", "withdrawn");
  At(2.5).Told("job-1", "pending", 1.5);
  EXPECT_EQ(checker.crossed(), 1);
  EXPECT_TRUE(checker.broken().empty());
  At(3).Told("job-1", "pending", 2.6);
  EXPECT_EQ(checker.crossed(), 1);
  ASSERT_EQ(checker.broken().size(), 1u);
  EXPECT_EQ(checker.broken()[0].rule, "went_back");
}

TEST_F(CheckerTest, ReportsAStatusOfAnUnknownJob) {
  Told("unknown", "pending");
  EXPECT_EQ(Found(), "invented");
}
TEST_F(CheckerTest, ReportsAJobReportedDoneTooEarly) {
  Machine("m1", "a").Job("j").Task(Kind::kTaskDone, "j", 0).Told("j", "done");
  EXPECT_EQ(Found(), "not_done");
}
TEST_F(CheckerTest, ReportsAPhaseAfterAFinalPhase) {
  Job("j").User(Kind::kWithdraws, "j").Told("j", "withdrawn").Told("j", "running");
  EXPECT_EQ(Found(), "went_back");
}
// Guards against a false alarm (all-killed-thrice, seed 331): a query that was under way while the
// cancellation was answered may return the state from before it. A later query may not.
TEST_F(CheckerTest, AllowsAnOlderResponseToAnEarlierQuery) {
  At(10).Job("j").User(Kind::kWithdraws, "j").Told("j", "withdrawn", 9).Told("j", "pending", 9.9);
  EXPECT_EQ(Found(), "");
  At(11).Told("j", "pending", 10.5);
  EXPECT_EQ(Found(), "went_back");
}
TEST_F(CheckerTest, ReportsACancellationNobodyRequested) {
  Job("j").Told("j", "withdrawn");
  EXPECT_EQ(Found(), "went_back");
}
TEST_F(CheckerTest, ReportsThatNoTaskStarted) {
  Job("j");
  checker.End(at_us);
  EXPECT_EQ(Found(), "nothing_ran");
}

// Guards against checking each cell's use separately against a team's whole limit.
TEST(CheckerOfSeveralCells, CountsALimitAcrossCellsAndFollowsItsChanges) {
  Checker::Bounds bounds;
  bounds.limits["t"] = {2000, 0};
  const auto broken = [&](bool lowered) {
    Checker checker(bounds);
    const auto see = [&](Event::Kind kind, const std::string& job, const std::string& machine) {
      Event e;
      e.kind = kind;
      e.job = job;
      e.machine = machine;
      e.facts = {job, "t", "lane", 1, 1000, 0, "", false, false, false, 0};
      checker.See(e);
    };
    for (const char* job : {"job-1", "job-2"}) {
      see(Event::Kind::kSubmitted, job, "");
      see(Event::Kind::kAccepted, job, "");
    }
    see(Event::Kind::kMachineUp, "", "n-1");
    see(Event::Kind::kMachineUp, "", "south/n-1");
    see(Event::Kind::kTaskOn, "job-1", "n-1");
    if (lowered) {
      Event e;
      e.kind = Event::Kind::kLimit;
      e.text = "t";
      e.number = 1000;
      checker.See(e);
    }
    see(Event::Kind::kTaskOn, "job-2", "south/n-1");
    return checker.broken().size();
  };
  EXPECT_EQ(broken(false), 0u);
  EXPECT_EQ(broken(true), 1u);
}

}  // namespace
}  // namespace badgershore::rehearsal
