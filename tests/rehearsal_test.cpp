// The checker of the Rules, and that a scenario is the same each time.
#include <gtest/gtest.h>

#include <filesystem>

#include "rehearsal/world.h"
#include "store/disk/archive.h"

namespace badgershore::rehearsal {
namespace {

using Kind = Event::Kind;

// Histories as short lines: each must be caught by its rule alone.
class Rules : public testing::Test {
 public:
  Rules& At(double s) {
    at_us = static_cast<int64_t>(s * 1e6);
    return *this;
  }
  Rules& Job(const std::string& id, JobFacts facts = {}) {
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
  Rules& Machine(const std::string& id, const std::string& zone, bool spot = false) {
    Event e;
    e.machine = id;
    e.text = zone;
    e.number = spot;
    return See(Kind::kMachineUp, e);
  }
  Rules& Task(Kind kind, const std::string& job, int task, const std::string& machine = "") {
    Event e;
    e.job = job;
    e.task = task;
    e.machine = machine;
    return See(kind, e);
  }
  Rules& Told(const std::string& job, const std::string& phase, double asked_s = -1e-6) {
    Event e;
    e.job = job;
    e.text = phase;
    e.asked_us = static_cast<int64_t>(asked_s * 1e6);
    return See(Kind::kTold, e);
  }
  Rules& User(Kind kind, const std::string& job) {
    Event e;
    e.job = job;
    return See(kind, e);
  }
  Rules& See(Kind kind, Event e) {
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

TEST_F(Rules, AGoodHistoryBreaksNone) {
  Machine("m1", "a").Job("j").Task(Kind::kTaskOn, "j", 0, "m1").Task(Kind::kTaskOn, "j", 1, "m1");
  Task(Kind::kTaskDone, "j", 0).Task(Kind::kTaskOff, "j", 0, "m1");
  Task(Kind::kTaskDone, "j", 1).Task(Kind::kTaskOff, "j", 1, "m1");
  At(9).Told("j", "done").At(60).Told("j", "done");
  checker.End(at_us);
  EXPECT_EQ(Found(), "");
  EXPECT_EQ(checker.FinalStates().at("j"), "done");
}
TEST_F(Rules, RanTwice) {
  Machine("m1", "a").Machine("m2", "a").Job("j").Task(Kind::kTaskOn, "j", 0, "m1");
  Task(Kind::kTaskOn, "j", 0, "m2");
  EXPECT_EQ(Found(), "ran_twice");
}
TEST_F(Rules, Quota) {
  JobFacts f;
  f.tasks = 4;
  Machine("m1", "a").Job("j", f);
  for (int i = 0; i < 3; ++i) Task(Kind::kTaskOn, "j", i, "m1");
  EXPECT_EQ(Found(), "");
  Task(Kind::kTaskOn, "j", 3, "m1");
  EXPECT_EQ(Found(), "quota");
}
TEST_F(Rules, WrongPlace) {
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
TEST_F(Rules, RanCancelled) {
  Machine("m1", "a").Job("j").Task(Kind::kTaskOn, "j", 0, "m1");
  At(10).User(Kind::kWithdraws, "j").Told("j", "withdrawn");
  checker.End(at_us + 40000000);
  EXPECT_EQ(Found(), "");
  checker.End(at_us + 41000000);
  EXPECT_EQ(Found(), "ran_cancelled");
}
TEST_F(Rules, StartsAfterItsCancellation) {
  Machine("m1", "a").Job("j").User(Kind::kWithdraws, "j").Told("j", "withdrawn");
  At(41).Task(Kind::kTaskOn, "j", 0, "m1");
  EXPECT_EQ(Found(), "ran_cancelled");
}
TEST_F(Rules, Forgotten) {
  Job("j").User(Kind::kUnknownJob, "j");
  EXPECT_EQ(Found(), "forgotten");
}
TEST_F(Rules, ForgottenByARefusedRetry) {
  Job("j").User(Kind::kRejected, "j");
  EXPECT_EQ(Found(), "forgotten");
}
TEST_F(Rules, ForgottenBySilenceWhileOthersAreAnswered) {
  Job("j").Job("k");
  for (int s = 1; s < 95; s += 2) At(s).User(Kind::kNoAnswer, "j").User(Kind::kNoAnswer, "k");
  EXPECT_EQ(Found(), "");  // nobody was answered: an outage
  for (int s = 95; s < 190; s += 2) At(s).User(Kind::kNoAnswer, "j").Told("k", "pending");
  EXPECT_EQ(Found(), "forgotten");
}
// Guards against: an outage after which a node answers nobody, taken for the outage itself.
TEST_F(Rules, ForgottenOnceTheTroublesAreOver) {
  checker = Checker({.cancel_s = 40, .limits = {}, .troubles_over_s = 30});
  Job("j").Job("k");
  for (int s = 1; s < 104; s += 2) At(s).User(Kind::kNoAnswer, "j").User(Kind::kNoAnswer, "k");
  EXPECT_EQ(Found(), "");
  At(106).User(Kind::kNoAnswer, "j").Told("k", "pending");
  EXPECT_EQ(Found(), "forgotten");
}
TEST_F(Rules, SaysHowLongCancelledWorkStayed) {
  Machine("m1", "a").Job("j").At(1).Task(Kind::kTaskOn, "j", 0, "m1");
  User(Kind::kWithdraws, "j").Told("j", "withdrawn").At(8).Task(Kind::kTaskOff, "j", 0, "m1");
  EXPECT_EQ(checker.latest_cancelled_s(), 7);
}
// Guards against: cancelled work that stays too long and goes while nothing else happens, unseen.
TEST_F(Rules, CancelledWorkThatGoesTooLate) {
  Machine("m1", "a").Job("j").At(1).Task(Kind::kTaskOn, "j", 0, "m1");
  User(Kind::kWithdraws, "j").Told("j", "withdrawn").At(51).Task(Kind::kTaskOff, "j", 0, "m1");
  EXPECT_EQ(Found(), "ran_cancelled");
}
// Counted, however soon it is: what was under way, and what nobody had been told of.
TEST_F(Rules, CountsStartsAfterACancellation) {
  At(0).Job("job-1").Machine("n-1", "a").Task(Kind::kTaskOn, "job-1", 0, "n-1");
  User(Kind::kWithdraws, "job-1").At(1).Told("job-1", "withdrawn");
  EXPECT_EQ(checker.started_cancelled(), 0);
  At(1.01).Task(Kind::kTaskOn, "job-1", 1, "n-1");
  EXPECT_EQ(checker.started_cancelled(), 1);
}

TEST_F(Rules, AcceptedThoughItCannotRun) {
  JobFacts facts;
  facts.cannot_run = true;
  At(0).Job("job-1", facts);
  ASSERT_EQ(checker.broken().size(), 1u);
  EXPECT_EQ(checker.broken()[0].rule, "accepted");
}

// A question that was sent before the newer answer came: not broken, and counted.
TEST_F(Rules, CountsAnswersThatCrossed) {
  At(0).Job("job-1").User(Kind::kWithdraws, "job-1").At(2).Told("job-1", "withdrawn");
  At(2.5).Told("job-1", "pending", 1.5);
  EXPECT_EQ(checker.crossed(), 1);
  EXPECT_TRUE(checker.broken().empty());
  At(3).Told("job-1", "pending", 2.6);
  EXPECT_EQ(checker.crossed(), 1);
  ASSERT_EQ(checker.broken().size(), 1u);
  EXPECT_EQ(checker.broken()[0].rule, "went_back");
}

TEST_F(Rules, Invented) {
  Told("nobodys", "pending");
  EXPECT_EQ(Found(), "invented");
}
TEST_F(Rules, NotDone) {
  Machine("m1", "a").Job("j").Task(Kind::kTaskDone, "j", 0).Told("j", "done");
  EXPECT_EQ(Found(), "not_done");
}
TEST_F(Rules, WentBack) {
  Job("j").User(Kind::kWithdraws, "j").Told("j", "withdrawn").Told("j", "running");
  EXPECT_EQ(Found(), "went_back");
}
// A poll that was under way while the cancellation was answered may rightly have been read before
// it; one asked afterwards may not (all-killed-thrice, seed 331, was called broken for it).
TEST_F(Rules, WhatWasAskedBeforeTheEndMayBeOlder) {
  At(10).Job("j").User(Kind::kWithdraws, "j").Told("j", "withdrawn", 9).Told("j", "pending", 9.9);
  EXPECT_EQ(Found(), "");
  At(11).Told("j", "pending", 10.5);
  EXPECT_EQ(Found(), "went_back");
}
TEST_F(Rules, WentBackWhenNobodyAsked) {
  Job("j").Told("j", "withdrawn");
  EXPECT_EQ(Found(), "went_back");
}
TEST_F(Rules, NothingRan) {
  Job("j");
  checker.End(at_us);
  EXPECT_EQ(Found(), "nothing_ran");
}

// Every kept scenario, with a few seeds here (all fifty: docs/results.md): the same end each time.
class KeptScenario : public testing::TestWithParam<std::string> {
 public:
  static const std::vector<std::string>& Names() {
    static const std::vector<std::string> names = {"all-at-once",
                                                   "all-killed-thrice",
                                                   "answers-lost",
                                                   "back-at-once",
                                                   "back-at-once-late-writes",
                                                   "cancelled-at-handover",
                                                   "close-looks",
                                                   "cloud-down-at-dusk",
                                                   "deaf-machines",
                                                   "disk-full",
                                                   "far-apart",
                                                   "flood-of-small-jobs",
                                                   "grants-vanish",
                                                   "guests",
                                                   "handover-rolling",
                                                   "jobs-with-a-mistake",
                                                   "just-won-then-down",
                                                   "leader-unheard",
                                                   "leader-without-state",
                                                   "leaders-stand-still",
                                                   "limits-cut-between",
                                                   "limits-equal",
                                                   "limits-flood",
                                                   "limits-frozen-leader",
                                                   "limits-hang-and-cut",
                                                   "limits-lowered",
                                                   "limits-old-copy",
                                                   "limits-one-needs-all",
                                                   "limits-state-fails",
                                                   "meetings-in-pairs",
                                                   "membership-partial-cuts",
                                                   "mute-machines",
                                                   "old-report-for-the-next",
                                                   "old-reports",
                                                   "one-of-each",
                                                   "only-the-old-one-heard",
                                                   "quiet",
                                                   "refused-and-cut",
                                                   "refused-as-cancelled",
                                                   "refused-briefly-then-down",
                                                   "refused-then-down",
                                                   "resets",
                                                   "served-by-two",
                                                   "silent-then-frozen",
                                                   "slow-then-down",
                                                   "spot-wave",
                                                   "state-down",
                                                   "state-late",
                                                   "state-mute",
                                                   "state-restarts",
                                                   "up-at-once-writes-lag",
                                                   "writes-carried-out-late",
                                                   "zone-cut-off"};
    return names;
  }
};

TEST_P(KeptScenario, BreaksNothingAndEndsTheSameWithEverySeed) {
  const config::Scenario scenario =
      config::LoadScenario(std::string(BADGERSHORE_SCENARIOS) + "/" + GetParam() + ".yaml");
  std::map<std::string, std::string> ends;
  for (uint64_t seed = 1; seed <= 3; ++seed) {
    const Result r = rehearsal::Play(scenario, seed);
    EXPECT_EQ(r.open, 0) << "seed " << seed;
    for (const Broken& b : r.broken) ADD_FAILURE() << seed << " " << b.rule << " " << b.detail;
    std::map<std::string, std::string> final_states = r.final_states;
    for (const std::string& id : scenario.either) final_states[id] = "either";
    if (seed == 1) ends = final_states;
    EXPECT_EQ(final_states, ends) << "seed " << seed;
  }
}
INSTANTIATE_TEST_SUITE_P(Scenarios, KeptScenario, testing::ValuesIn(KeptScenario::Names()),
                         [](const auto& info) {
                           std::string name = info.param;
                           std::replace(name.begin(), name.end(), '-', '_');
                           return name;
                         });

// Looked at every 5 s: 90 s beside the same machine with room.
class LeftWork : public testing::Test {
 public:
  int After(int seconds) {
    size_t left = 0;
    for (int s = 0; s <= seconds; s += 5, now = now + Seconds(5)) {
      left += waiting.See(now, jobs, machines).size();
    }
    return static_cast<int>(left);
  }
  Micros now = Seconds(1);
  Waiting waiting;
  std::vector<Waiting::Job> jobs{{"job-1", {2000, 0, 1000}, 1, 0, false, false, true}};
  std::vector<Waiting::Machine> machines{{"n-1", "a", {4000, 0, 8000}, false}};
};

TEST_F(LeftWork, IsFoundAfterNinetySeconds) {
  EXPECT_EQ(After(85), 0);
  EXPECT_EQ(After(0), 1);
}
TEST_F(LeftWork, IsNoneWhileItsTeamIsAtItsLimitOrTasksStart) {
  jobs[0].under_limit = false;
  EXPECT_EQ(After(200), 0);
  jobs[0].under_limit = true;
  EXPECT_EQ(After(80), 0);
  jobs[0].starts = 1;
  EXPECT_EQ(After(85), 0);
}
TEST_F(LeftWork, IsNoneWhereNoMachineHadRoomAllTheWhile) {
  EXPECT_EQ(After(60), 0);
  machines[0].id = "n-2";  // another one has room now
  EXPECT_EQ(After(85), 0);
  machines[0].spot = true;
  EXPECT_EQ(After(200), 0);
}
TEST_F(LeftWork, OfAGangNeedsRoomForAllOfItInOneZone) {
  jobs[0].tasks = 3;
  jobs[0].same_zone = true;
  machines.push_back({"n-2", "b", {4000, 0, 8000}, false});
  EXPECT_EQ(After(200), 0);
  machines.push_back({"n-3", "b", {2000, 0, 8000}, false});
  EXPECT_EQ(After(100), 1);
}

// scenarios/ holds only scenarios that `run` plays, each among those above; the site of `up` is
// built in. Guards against: a site kept there that no run could finish.
TEST(Scenario, EveryKeptOneIsPlayedAboveAndTheSmallSiteIsGood) {
  const auto& played = KeptScenario::Names();
  size_t kept = 0;
  for (const auto& f : std::filesystem::directory_iterator(BADGERSHORE_SCENARIOS)) {
    if (f.path().extension() != ".yaml") continue;
    ++kept;
    EXPECT_NE(std::find(played.begin(), played.end(), f.path().stem()), played.end()) << f.path();
  }
  EXPECT_EQ(kept, played.size());
  EXPECT_FALSE(config::SmallSite().types.empty());
}

// Guards against: chance from anywhere but the seed (an address, a clock, the order of a hash).
// The kept hash holds for every build type; a change of the history by design changes it.
TEST(Scenario, TheSameSeedIsTheSameHistoryToTheByte) {
  const config::Scenario scenario =
      config::LoadScenario(std::string(BADGERSHORE_SCENARIOS) + "/all-at-once.yaml");
  const std::string first = store::Sha256(World(scenario, 7).Run().history);
  EXPECT_EQ(first, store::Sha256(World(scenario, 7).Run().history));
  EXPECT_NE(first, store::Sha256(World(scenario, 8).Run().history));
  EXPECT_EQ(first, "bac48e9e45f06d4468c95f95b375114b8bf0ec149a1559040a75f41527b330be");
}

// Guards against: a checker that holds each cell's use for itself under the whole limit.
TEST(Checker, ALimitCountsOverAllCellsAndMoves) {
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

// Guards against: a scenario that loses a team or comes late and is called good.
TEST(Service, HalfServedOrLateFailsAScenario) {
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

// Guards against: small jobs that are served in full while the class' largest wait.
TEST(Service, TheLargestJobsAreLookedAtAlone) {
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
  EXPECT_EQ(service.Failed(0).size(), 1u);  // done, but begun after four minutes
}

}  // namespace
}  // namespace badgershore::rehearsal
