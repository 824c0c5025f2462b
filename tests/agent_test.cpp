// The agent's state machine, checked against PROTOCOL.
#include "agent/core/agent.h"

#include <gtest/gtest.h>

namespace badgershore::agent {
namespace {

using Kind = Action::Kind;

class AgentTest : public testing::Test {
 protected:
  AgentTest() { agent.Tick(now); }

  // The heartbeat that was just sent, if any.
  std::optional<Action> TakeHeartbeat() {
    for (Action& c : agent.Take()) {
      actions.push_back(c);
      if (c.kind == Kind::kSendHeartbeat) heartbeat = c;
    }
    return std::exchange(heartbeat, std::nullopt);
  }
  void Respond(const Action& sent_heartbeat, uint64_t fencing_token,
               std::vector<Command> commands = {}, int status = 200, std::string leader = "") {
    HeartbeatResponse a;
    a.status = status;
    a.fencing_token = fencing_token;
    a.commands = std::move(commands);
    a.leader = std::move(leader);
    agent.OnAnswer(now, sent_heartbeat.report_id, a);
  }
  // Advances the time until a heartbeat is sent, at most by `span`.
  Action Advance(Micros span) {
    const Micros until = now + span;
    while (agent.NextDeadline() <= until) {
      now = std::max(now, agent.NextDeadline());
      agent.Tick(now);
      if (auto r = TakeHeartbeat()) return *r;
    }
    now = until;
    return {};
  }
  bool HasAction(Kind kind, const std::string& text = "") {
    for (const Action& c : actions) {
      if (c.kind == kind && (text.empty() || c.text == text || c.task.ref.job == text)) return true;
    }
    return false;
  }
  static Command Start(const std::string& job, int task, uint64_t attempt) {
    return {Command::Verb::kStart, {job, task}, attempt, {}};
  }
  static Command Stop(const std::string& job, int task, uint64_t attempt, double grace) {
    return {Command::Verb::kStop, {job, task}, attempt, Seconds(grace)};
  }
  static JobSpec Spec(JobKind kind = JobKind::kArray, int64_t cpu = 1000) {
    JobSpec s;
    s.id = "job-1";
    s.kind = kind;
    s.tasks = 4;
    s.need = {cpu, 0, 1000};
    s.image = "img";
    s.image_gb = 1;
    s.checkpoint_interval = Seconds(10);
    s.checkpoint_duration = Seconds(2);
    return s;
  }
  const TaskStatus* FindTask(const Action& c, int task, uint64_t attempt) {
    for (const TaskStatus& t : c.report.tasks) {
      if (t.ref.task == task && t.attempt == attempt) return &t;
    }
    return nullptr;
  }
  // Starts a task and lets it run, in the first epoch with fencing token 5.
  void StartRunningTask(JobKind kind = JobKind::kArray) {
    Respond(*TakeHeartbeat(), 5, {Start("job-1", 0, 1)});
    agent.OnJobSpec(now, "job-1", Spec(kind));
    agent.OnImage(now, "img");
    if (kind == JobKind::kGang) agent.OnGangComplete(now, {{"job-1", 0}, 1});
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
  std::vector<Action> actions;
  std::optional<Action> heartbeat;
};

// Guards against a heartbeat that is sent before the start commands of the previous response are
// executed. Controllers take the missing tasks as proof that the commands never arrived and count
// their resources as free. This led to a job with too many tasks in one zone
// (docs/incidents/report-before-orders.md).
TEST_F(AgentTest, ExecutesCommandsBeforeTheNextHeartbeat) {
  const Action first = *TakeHeartbeat();
  now += Seconds(3);  // the response is delayed; the next heartbeat is overdue
  Respond(first, 5, {Start("job-1", 0, 1)});
  const auto next = TakeHeartbeat();
  ASSERT_TRUE(next);
  EXPECT_TRUE(FindTask(*next, 0, 1));
  EXPECT_EQ(next->report.fencing_token, 5u);
}

TEST_F(AgentTest, RejectsInvalidStartCommands) {
  Respond(*TakeHeartbeat(), 5,
          {Start("job-1", 0, 1), Start("job-1", 0, 2), Start("job-2", 0, 3), Start("job-1", 1, 4),
           Start("job-1", 9, 5)});
  agent.OnJobSpec(now, "job-1", Spec(JobKind::kArray, 3000));
  agent.OnJobSpec(now, "job-2", std::nullopt);
  const Action r = Advance(Seconds(1));
  EXPECT_EQ(FindTask(r, 0, 1)->phase, TaskPhase::kFetchingImage);
  EXPECT_EQ(FindTask(r, 0, 2)->exit_reason, ExitReason::kDuplicateTask);
  EXPECT_EQ(FindTask(r, 0, 3)->exit_reason, ExitReason::kUnknownTask);
  EXPECT_EQ(FindTask(r, 1, 4)->exit_reason,
            ExitReason::kInsufficientResources);  // fetching tasks use resources
  EXPECT_EQ(FindTask(r, 9, 5)->exit_reason, ExitReason::kUnknownTask);
}

TEST_F(AgentTest, RepeatedStartIsIgnoredUntilTheTaskIsForgotten) {
  StartRunningTask();
  Action r = Advance(Seconds(1));
  actions.clear();
  Respond(r, 5, {Start("job-1", 0, 1)});
  agent.OnExit(now, {{"job-1", 0}, 1}, ExitReason::kDone, false);
  r = Advance(Seconds(1));
  EXPECT_FALSE(HasAction(Kind::kLaunch));
  EXPECT_EQ(FindTask(r, 0, 1)->exit_reason, ExitReason::kDone);
  Respond(r, 5, {{Command::Verb::kForget, {"job-1", 0}, 1, {}}, Start("job-1", 0, 1)});
  agent.OnJobSpec(now, "job-1", Spec());
  TakeHeartbeat();
  EXPECT_TRUE(HasAction(Kind::kLaunch));  // a forgotten task can be started again
}

// Guards against a task on two machines: an agent is back within a second of its end, and an answer
// to the process before it, with a start that was carried out long ago, arrives once more. The task
// may have been moved or cancelled in between.
TEST_F(AgentTest, AnswerToTheProcessBeforeARestartIsDropped) {
  const Action before = *TakeHeartbeat();
  HeartbeatResponse answer;
  answer.status = 200;
  answer.fencing_token = 5;
  answer.commands = {Start("job-1", 0, 1)};
  agent.OnAnswer(now, before.report_id, answer);
  agent = Agent({{"n-1", "n-1:1", "box", "a", false},
                 {4000, 0, 8000},
                 {"m-0", "m-1"},
                 Seconds(5),
                 Seconds(20),
                 Seconds(30)},
                99, now);
  agent.Tick(now);
  ASSERT_TRUE(TakeHeartbeat());
  agent.OnAnswer(now, before.report_id, answer);
  EXPECT_EQ(agent.tasks(), 0u);
  EXPECT_EQ(agent.fencing_token(), 0u);
  // Its own answer is executed, once.
  Advance(Seconds(60));
  EXPECT_EQ(agent.tasks(), 0u);
}

TEST_F(AgentTest, LowerFencingTokenIsIgnoredAndDoesNotRenewTheLease) {
  StartRunningTask();
  const Micros renewed = now;
  while (now < renewed + Seconds(7)) Respond(Advance(Seconds(3)), 4, {Stop("job-1", 0, 1, 0)});
  EXPECT_FALSE(HasAction(Kind::kKill));
  EXPECT_EQ(agent.OnCommands(now, 4, 1, {Stop("job-1", 0, 1, 0)}), 409);
  EXPECT_EQ(agent.session(), 1u);
  Advance(Seconds(4));
  EXPECT_EQ(agent.session(), 2u);
  EXPECT_TRUE(HasAction(Kind::kKill, "job-1"));
  EXPECT_EQ(agent.tasks(), 0u);
  EXPECT_EQ(agent.OnCommands(now, 5, 1, {Start("job-1", 1, 7)}), 409);  // of an earlier epoch
}

// The lease starts when the heartbeat is sent, not when the response arrives.
TEST_F(AgentTest, LeaseStartsWhenTheHeartbeatIsSent) {
  const Action first = *TakeHeartbeat();
  const Micros at = now;
  now += Millis(3900);
  Respond(first, 5);
  while (now < at + Seconds(10)) {
    EXPECT_EQ(agent.session(), 1u);
    Advance(Millis(100));
  }
  Advance(Millis(100));
  EXPECT_EQ(agent.session(), 2u);
}

TEST_F(AgentTest, StopCheckpointsIfThereIsTimeAndASecondStopKills) {
  StartRunningTask();
  Action r = Advance(Seconds(1));
  Respond(r, 5, {Stop("job-1", 0, 1, 5)});
  TakeHeartbeat();
  EXPECT_TRUE(HasAction(Kind::kSaveCheckpoint));
  EXPECT_FALSE(HasAction(Kind::kKill));
  r = Advance(Seconds(3));
  EXPECT_EQ(FindTask(r, 0, 1)->phase, TaskPhase::kCheckpointing);
  Respond(r, 5, {Stop("job-1", 0, 1, 5)});  // a repeated command has no effect
  TakeHeartbeat();
  EXPECT_FALSE(HasAction(Kind::kKill));
  EXPECT_EQ(agent.OnCommands(now, 5, 1, {Stop("job-1", 0, 1, 0)}), 200);
  TakeHeartbeat();
  EXPECT_TRUE(HasAction(Kind::kKill));
}

TEST_F(AgentTest, TaskOfAnIncompleteGangExitsAfterTheTimeout) {
  Respond(*TakeHeartbeat(), 5, {Start("job-1", 0, 1)});
  agent.OnJobSpec(now, "job-1", Spec(JobKind::kGang));
  agent.OnImage(now, "img");
  TaskStatus last;
  for (int i = 0; i < 40; ++i) {
    const Action r = Advance(Seconds(1));
    if (r.report_id == 0) continue;
    last = *FindTask(r, 0, 1);
    if (last.phase == TaskPhase::kExited) break;
    EXPECT_EQ(last.phase, TaskPhase::kWaitingForGang);
    Respond(r, 5);
  }
  EXPECT_EQ(last.exit_reason, ExitReason::kGangIncomplete);
  EXPECT_TRUE(HasAction(Kind::kKill));
}

TEST_F(AgentTest, ImageFetchIsCancelledWhenNoTaskNeedsIt) {
  Respond(*TakeHeartbeat(), 5, {Start("job-1", 0, 1), Start("job-1", 1, 2)});
  agent.OnJobSpec(now, "job-1", Spec());
  EXPECT_EQ(agent.OnCommands(now, 5, 1, {Stop("job-1", 0, 1, 9)}), 200);
  TakeHeartbeat();
  EXPECT_TRUE(HasAction(Kind::kFetchImage, "img"));
  EXPECT_FALSE(HasAction(Kind::kCancelImageFetch));
  EXPECT_EQ(agent.OnCommands(now, 5, 1, {Stop("job-1", 1, 2, 9)}), 200);
  TakeHeartbeat();
  EXPECT_TRUE(HasAction(Kind::kCancelImageFetch, "img"));
}

TEST_F(AgentTest, HeartbeatsFollowRedirectsAndKeepTheMinimumGap) {
  Action r = *TakeHeartbeat();
  const size_t at = r.controller;
  Respond(r, 0, {}, 421, "c-" + std::to_string((at + 2) % 3));
  r = Advance(Millis(500));
  EXPECT_EQ(r.controller, (at + 2) % 3);
  Micros before = now;
  Respond(r, 0, {}, 0);  // no response: the next controller, a second later
  r = Advance(Seconds(2));
  EXPECT_EQ(r.controller, at);
  EXPECT_GE(now - before, Seconds(1));
  Respond(r, 5);
  // Changes are reported immediately, but at least half a second after the previous heartbeat;
  // otherwise heartbeats are sent about once per interval.
  for (int i = 0; i < 20; ++i) {
    before = now;
    agent.SetPreemptionNotice(now, Seconds(60));
    r = Advance(Seconds(3));
    EXPECT_GE(now - before, Millis(500));
    EXPECT_LE(now - before, Millis(501));
    Respond(r, 5);
    before = now;
    r = Advance(Seconds(3));
    EXPECT_GE(now - before, Millis(1500));
    EXPECT_LE(now - before, Millis(2500));
    Respond(r, 5);
  }
}

}  // namespace
}  // namespace badgershore::agent
