// The worker's state machine against PROTOCOL's words.
#include "agent/core/agent.h"

#include <gtest/gtest.h>

namespace badgershore::agent {
namespace {

using Kind = Command::Kind;

class Worker : public testing::Test {
 protected:
  Worker() { agent.Tick(now); }

  // The report that is under way, if one was just sent.
  std::optional<Command> Report() {
    for (Command& c : agent.Take()) {
      commands.push_back(c);
      if (c.kind == Kind::kReport) sent = c;
    }
    return std::exchange(sent, std::nullopt);
  }
  void Answer(const Command& report, uint64_t fencing_token, std::vector<Order> orders = {},
              int status = 200, std::string leader = "") {
    CheckinAnswer a;
    a.status = status;
    a.fencing_token = fencing_token;
    a.orders = std::move(orders);
    a.leader = std::move(leader);
    agent.OnAnswer(now, report.report_id, a);
  }
  // Time passes until a report is sent, at most for `span`.
  Command Advance(Micros span) {
    const Micros until = now + span;
    while (agent.NextDeadline() <= until) {
      now = std::max(now, agent.NextDeadline());
      agent.Tick(now);
      if (auto r = Report()) return *r;
    }
    now = until;
    return {};
  }
  bool Did(Kind kind, const std::string& text = "") {
    for (const Command& c : commands) {
      if (c.kind == kind && (text.empty() || c.text == text || c.task.ref.job == text)) return true;
    }
    return false;
  }
  static Order Start(const std::string& job, int task, uint64_t attempt) {
    return {Order::Verb::kStart, {job, task}, attempt, {}};
  }
  static Order Halt(const std::string& job, int task, uint64_t attempt, double grace) {
    return {Order::Verb::kHalt, {job, task}, attempt, Seconds(grace)};
  }
  static JobSpec Spec(Shape shape = Shape::kArray, int64_t cpu = 1000) {
    JobSpec s;
    s.id = "job-1";
    s.shape = shape;
    s.tasks = 4;
    s.need = {cpu, 0, 1000};
    s.image = "img";
    s.image_gb = 1;
    s.checkpoint_every = Seconds(10);
    s.save_time = Seconds(2);
    return s;
  }
  const ReportedTask* Find(const agent::Command& c, int task, uint64_t attempt) {
    for (const ReportedTask& t : c.report.tasks) {
      if (t.ref.task == task && t.attempt == attempt) return &t;
    }
    return nullptr;
  }
  // Up to running, in the first session under fencing token 5.
  void Running(Shape shape = Shape::kArray) {
    Answer(*Report(), 5, {Start("job-1", 0, 1)});
    agent.OnDescription(now, "job-1", Spec(shape));
    agent.OnImage(now, "img");
    if (shape == Shape::kGang) agent.OnGangComplete(now, {{"job-1", 0}, 1});
  }

  Micros now = Seconds(100);
  Agent agent{{{"n-1", "n-1", "box", "a", false},
               {4000, 0, 8000},
               {"c-0", "c-1", "c-2"},
               Seconds(2),
               Seconds(10),
               Seconds(30)},
              0,
              now};
  std::vector<Command> commands;
  std::optional<Command> sent;
};

// Guards against: a report that leaves before the answer's starts are carried out. Controllers
// take its missing starts for a proof that they never came, and count their room as free: seen as
// a job that crowded a zone (docs/incidents/report-before-orders.md).
TEST_F(Worker, CarriesOutAnAnswersOrdersBeforeTheNextReport) {
  const Command first = *Report();
  now += Seconds(3);  // the answer was held; the next report is long due
  Answer(first, 5, {Start("job-1", 0, 1)});
  const auto next = Report();
  ASSERT_TRUE(next);
  EXPECT_TRUE(Find(*next, 0, 1));
  EXPECT_EQ(next->report.fencing_token, 5u);
}

TEST_F(Worker, RefusesWhatItCannotTake) {
  Answer(*Report(), 5,
         {Start("job-1", 0, 1), Start("job-1", 0, 2), Start("job-2", 0, 3), Start("job-1", 1, 4),
          Start("job-1", 9, 5)});
  agent.OnDescription(now, "job-1", Spec(Shape::kArray, 3000));
  agent.OnDescription(now, "job-2", std::nullopt);
  const Command r = Advance(Seconds(1));
  EXPECT_EQ(Find(r, 0, 1)->state, RunState::kFetching);
  EXPECT_EQ(Find(r, 0, 2)->cause, ExitCause::kBusy);
  EXPECT_EQ(Find(r, 0, 3)->cause, ExitCause::kUnknown);
  EXPECT_EQ(Find(r, 1, 4)->cause, ExitCause::kFull);  // fetching tasks count
  EXPECT_EQ(Find(r, 9, 5)->cause, ExitCause::kUnknown);
}

TEST_F(Worker, AStartTwiceIsOneTaskUntilItIsCleared) {
  Running();
  Command r = Advance(Seconds(1));
  commands.clear();
  Answer(r, 5, {Start("job-1", 0, 1)});
  agent.OnExit(now, {{"job-1", 0}, 1}, ExitCause::kDone, false);
  r = Advance(Seconds(1));
  EXPECT_FALSE(Did(Kind::kLaunch));
  EXPECT_EQ(Find(r, 0, 1)->cause, ExitCause::kDone);
  Answer(r, 5, {{Order::Verb::kClear, {"job-1", 0}, 1, {}}, Start("job-1", 0, 1)});
  agent.OnDescription(now, "job-1", Spec());
  Report();
  EXPECT_TRUE(Did(Kind::kLaunch));  // forgotten: it is started once more
}

TEST_F(Worker, ALowerTokenIsNeitherObeyedNorRenewsTheLease) {
  Running();
  const Micros renewed = now;
  while (now < renewed + Seconds(7)) Answer(Advance(Seconds(3)), 4, {Halt("job-1", 0, 1, 0)});
  EXPECT_FALSE(Did(Kind::kKill));
  EXPECT_EQ(agent.OnDirect(now, 4, 1, {Halt("job-1", 0, 1, 0)}), 409);
  EXPECT_EQ(agent.session(), 1u);
  Advance(Seconds(4));
  EXPECT_EQ(agent.session(), 2u);
  EXPECT_TRUE(Did(Kind::kKill, "job-1"));
  EXPECT_EQ(agent.tasks(), 0u);
  EXPECT_EQ(agent.OnDirect(now, 5, 1, {Start("job-1", 1, 7)}), 409);  // of an earlier session
}

// The lease counts from the sending of the report, not from its answer.
TEST_F(Worker, TheLeaseCountsFromTheReportsSending) {
  const Command first = *Report();
  const Micros at = now;
  now += Millis(3900);
  Answer(first, 5);
  while (now < at + Seconds(10)) {
    EXPECT_EQ(agent.session(), 1u);
    Advance(Millis(100));
  }
  Advance(Millis(100));
  EXPECT_EQ(agent.session(), 2u);
}

TEST_F(Worker, HaltSavesWhereThereIsTimeAndASecondOneEndsIt) {
  Running();
  Command r = Advance(Seconds(1));
  Answer(r, 5, {Halt("job-1", 0, 1, 5)});
  Report();
  EXPECT_TRUE(Did(Kind::kSave));
  EXPECT_FALSE(Did(Kind::kKill));
  r = Advance(Seconds(3));
  EXPECT_EQ(Find(r, 0, 1)->state, RunState::kFlushing);
  Answer(r, 5, {Halt("job-1", 0, 1, 5)});  // repeated: does nothing
  Report();
  EXPECT_FALSE(Did(Kind::kKill));
  EXPECT_EQ(agent.OnDirect(now, 5, 1, {Halt("job-1", 0, 1, 0)}), 200);
  Report();
  EXPECT_TRUE(Did(Kind::kKill));
}

TEST_F(Worker, AGangThatIsNotCompleteInTimeExitsAlone) {
  Answer(*Report(), 5, {Start("job-1", 0, 1)});
  agent.OnDescription(now, "job-1", Spec(Shape::kGang));
  agent.OnImage(now, "img");
  ReportedTask last;
  for (int i = 0; i < 40; ++i) {
    const Command r = Advance(Seconds(1));
    if (r.report_id == 0) continue;
    last = *Find(r, 0, 1);
    if (last.state == RunState::kExited) break;
    EXPECT_EQ(last.state, RunState::kGathering);
    Answer(r, 5);
  }
  EXPECT_EQ(last.cause, ExitCause::kAlone);
  EXPECT_TRUE(Did(Kind::kKill));
}

TEST_F(Worker, AFetchIsGivenUpWhenNobodyWaits) {
  Answer(*Report(), 5, {Start("job-1", 0, 1), Start("job-1", 1, 2)});
  agent.OnDescription(now, "job-1", Spec());
  EXPECT_EQ(agent.OnDirect(now, 5, 1, {Halt("job-1", 0, 1, 9)}), 200);
  Report();
  EXPECT_TRUE(Did(Kind::kFetch, "img"));
  EXPECT_FALSE(Did(Kind::kGiveUp));
  EXPECT_EQ(agent.OnDirect(now, 5, 1, {Halt("job-1", 1, 2, 9)}), 200);
  Report();
  EXPECT_TRUE(Did(Kind::kGiveUp, "img"));
}

TEST_F(Worker, ReportsGoWhereTheyAreSentAndNeverTooOften) {
  Command r = *Report();
  const size_t at = r.controller;
  Answer(r, 0, {}, 421, "c-" + std::to_string((at + 2) % 3));
  r = Advance(Millis(500));
  EXPECT_EQ(r.controller, (at + 2) % 3);
  Micros before = now;
  Answer(r, 0, {}, 0);  // no answer: the next node, a second later
  r = Advance(Seconds(2));
  EXPECT_EQ(r.controller, at);
  EXPECT_GE(now - before, Seconds(1));
  Answer(r, 5);
  // Changes are told at once, though never closer than half a second; else about each interval.
  for (int i = 0; i < 20; ++i) {
    before = now;
    agent.SetNotice(now, Seconds(60));
    r = Advance(Seconds(3));
    EXPECT_GE(now - before, Millis(500));
    EXPECT_LE(now - before, Millis(501));
    Answer(r, 5);
    before = now;
    r = Advance(Seconds(3));
    EXPECT_GE(now - before, Millis(1500));
    EXPECT_LE(now - before, Millis(2500));
    Answer(r, 5);
  }
}

}  // namespace
}  // namespace badgershore::agent
