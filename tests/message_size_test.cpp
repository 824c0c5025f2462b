// Messages to and from agents stay within the protocol's limit of 64 KiB, whatever users submit.
#include "core/model/message_size.h"

#include <gtest/gtest.h>

#include "emulated_site.h"
#include "wire/messages.h"

namespace badgershore {
namespace {

// The text with a blank after each separator, as other programs write JSON.
size_t SpacedSize(const std::string& json) {
  return json.size() + static_cast<size_t>(std::count_if(
                           json.begin(), json.end(), [](char c) { return c == ',' || c == ':'; }));
}

std::string JobOfLength(size_t length) { return "job-" + std::string(length - 4, '9'); }

// Guards against a bound that a field of the wire form outgrows.
TEST(MessageSize, ReportWithAsManyTasksAsMayBeStartedIsWithinTheLimit) {
  for (const size_t length : {size_t{5}, size_t{10}, size_t{100}}) {
    const std::string job = JobOfLength(length);
    Heartbeat heartbeat;
    heartbeat.machine = heartbeat.endpoint = heartbeat.type = heartbeat.zone =
        std::string(200, '"');
    heartbeat.agent_epoch = heartbeat.sequence = heartbeat.fencing_token = UINT64_MAX;
    heartbeat.preemption_notice = Micros{999999999999999};
    const int64_t tasks = kReportedTasksBytes / MaxReportedTaskBytes(job);
    for (int64_t i = 0; i < tasks; ++i) {
      heartbeat.tasks.push_back(
          {{job, 99999}, UINT64_MAX, TaskPhase::kExited, ExitReason::kUnknownTask, true});
    }
    EXPECT_LE(SpacedSize(wire::FormatHeartbeat(heartbeat)), kMaxMessageBytes) << length;
  }
}

// Guards against a line of commands, or a direct call, that agents drop because of its size.
TEST(MessageSize, FullBatchIsWithinTheLimit) {
  for (const size_t length : {size_t{5}, size_t{10}, size_t{100}}) {
    for (const Command::Verb verb :
         {Command::Verb::kStart, Command::Verb::kStop, Command::Verb::kForget}) {
      const Command command{verb, {JobOfLength(length), 9999999}, UINT64_MAX, Seconds(1e9)};
      HeartbeatResponse response;
      response.status = 200;
      response.fencing_token = UINT64_MAX;
      CommandBatch batch(&response.commands);
      while (batch.Add(command)) continue;
      EXPECT_TRUE(batch.IsFull());
      EXPECT_LE(wire::FormatHeartbeatResponse(response).size(), kMaxMessageBytes);
      CommandRequest request{1, "n-1", "n-1:1", UINT64_MAX, UINT64_MAX, response.commands};
      EXPECT_LE(wire::FormatCommandRequest(request).size(), kMaxMessageBytes);
    }
  }
}

// Guards against a report with a name that no command can repeat within the limit: the stop for it
// would be tried for ever.
TEST(MessageSize, TaskOfAnImpossiblyLongNameIsNotRead) {
  Heartbeat heartbeat;
  heartbeat.machine = "n-1";
  heartbeat.agent_epoch = 1;
  heartbeat.tasks = {{{JobOfLength(70000), 0}, 1}, {{JobOfLength(100), 0}, 1}};
  const std::optional<Heartbeat> read = wire::ParseHeartbeat(wire::FormatHeartbeat(heartbeat));
  ASSERT_TRUE(read);
  ASSERT_EQ(read->tasks.size(), 1u);
  EXPECT_EQ(read->tasks.front().ref.job, JobOfLength(100));
}

// Checks every report and every message with commands of a site.
class MessageLimit : public testing::Test {
 protected:
  void Observe(EmulatedSite* site) {
    site->observe_step = [this, site](const std::function<void()>& step, const Effects& effects) {
      step();
      for (const HeartbeatResponse& r : effects.heartbeat_responses) {
        EXPECT_LE(wire::FormatHeartbeatResponse(r).size(), kMaxMessageBytes);
      }
      for (const CommandRequest& r : effects.command_requests) {
        EXPECT_LE(wire::FormatCommandRequest(r).size(), kMaxMessageBytes);
        stops_ += r.commands.size();
      }
      for (const std::string& id : site->Machines()) {
        Agent copy = site->agent(id);
        const size_t size = SpacedSize(wire::FormatHeartbeat(copy.NextHeartbeat()));
        largest_report_ = std::max(largest_report_, size);
      }
    };
  }

  size_t largest_report_ = 0;
  size_t stops_ = 0;
};

// Guards against review/5: a machine gets more small tasks than its report can list. Every
// controller refuses the report, and the machine loses all its tasks with its lease, again and
// again.
TEST_F(MessageLimit, MachineGetsNoMoreTasksThanItsReportMayList) {
  EmulatedSite site(2);
  Observe(&site);
  site.Submit(JobKind::kArray, 4000, kSmallTaskCpus, JobOfLength(100));
  site.Submit(JobKind::kArray, 4000, kSmallTaskCpus);
  site.Advance(Seconds(15));
  EXPECT_GT(site.TasksOnAgents(), 400u);
  // Exited tasks stay in the report until the agent is told to forget them.
  for (int i = 0; i < 40; ++i) {
    site.CompleteAll();
    site.Advance(Seconds(2));
  }
  EXPECT_LE(largest_report_, kMaxMessageBytes);
  EXPECT_EQ(site.TasksOnAgents(), 0u);
  EXPECT_TRUE(site.controller().leader()->Statuses().empty());
}

// Guards against a gang whose members on one machine outgrow a report or a line of commands: the
// agent drops the line, and the gang never starts.
TEST_F(MessageLimit, GangIsSpreadOverMachinesWhoseReportsCanListIt) {
  EmulatedSite site(4);
  Observe(&site);
  site.Submit(JobKind::kGang, 1300, kSmallTaskCpus);
  site.Advance(Seconds(10));
  EXPECT_EQ(site.TasksOnAgents(), 1300u);
  EXPECT_LE(largest_report_, kMaxMessageBytes);
}

// A machine that an earlier version has filled beyond the limit, as its agent shows it.
void Overfill(EmulatedSite* site, const std::string& machine, int tasks) {
  for (int i = 0; i < tasks; ++i) {
    const TaskRef ref{kLargeJob, i};
    const uint64_t attempt = 7 + static_cast<uint64_t>(i);
    site->agent(machine).tasks.try_emplace(
        {ref, attempt}, TaskStatus{ref, attempt, TaskPhase::kRunning, ExitReason::kNone, false});
  }
}

// Guards against an upgrade after which a machine with more tasks than its report may list loses
// them, and against stops that do not fit in one message.
TEST_F(MessageLimit, MachineAboveTheLimitKeepsItsTasksUntilTheyAreStopped) {
  constexpr int kRunning = 1500;
  EmulatedSite site(1);
  const std::string machine = site.Machines().front();
  site.SilenceAgents();  // so that no task is started before the machine is full
  site.Submit(JobKind::kArray, 2 * kRunning, kSmallTaskCpus);
  Overfill(&site, machine, kRunning);
  site.StartController();
  site.RestoreAgents();
  Observe(&site);
  site.Advance(Seconds(15));
  EXPECT_EQ(site.TasksOnAgents(), static_cast<size_t>(kRunning));
  for (const auto& [key, task] : site.agent(machine).tasks) {
    EXPECT_EQ(task.phase, TaskPhase::kRunning);
  }
  EXPECT_EQ(stops_, 0u);
  site.Cancel();
  site.Advance(Seconds(5));
  EXPECT_EQ(stops_, static_cast<size_t>(kRunning));
  EXPECT_EQ(site.TasksOnAgents(), 0u);
}

// Guards against a new leader whose first answer to a machine, the stops of tasks of jobs that are
// over, is longer than a line may be.
TEST_F(MessageLimit, NewLeaderStopsUnknownTasksInBoundedAnswers) {
  EmulatedSite site(1);
  Overfill(&site, site.Machines().front(), 1500);
  site.StartController();
  Observe(&site);
  site.Advance(Seconds(15));
  EXPECT_EQ(site.TasksOnAgents(), 0u);
}

}  // namespace
}  // namespace badgershore
