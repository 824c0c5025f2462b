// What a leader does in one step for a job with many tasks. While a step lasts, the leader neither
// renews its lease nor answers anyone, so the work of a step must not grow with the size of a job.
// bench/large_job_bench.cpp measures its time.
#include <gtest/gtest.h>

#include <algorithm>

#include "core/leader/round_robin_budget.h"
#include "emulated_site.h"

namespace badgershore {
namespace {

constexpr int kTasks = 10000;
// Starts, stops and requests to the cloud that a leader may decide on in one step, and those that
// one machine may add to the last of them.
constexpr size_t kMaxCommandsPerStep = 4096;
constexpr size_t kTasksOnOneMachine = 3200;
constexpr size_t kMaxScaleOutsPerStep = 64;

struct LargestStep {
  size_t stops = 0;
  size_t scale_outs = 0;
};

size_t CountScaleOuts(const Effects& effects) {
  return static_cast<size_t>(std::count_if(
      effects.cloud_requests.begin(), effects.cloud_requests.end(),
      [](const CloudRequest& request) { return request.kind == CloudRequest::Kind::kScaleOut; }));
}

// Direct calls only: these leave to many machines in one step.
size_t CountStops(const Effects& effects) {
  size_t stops = 0;
  for (const CommandRequest& request : effects.command_requests) stops += request.commands.size();
  return stops;
}

void Observe(EmulatedSite* site, LargestStep* largest) {
  site->observe_step = [largest](const std::function<void()>& step, const Effects& effects) {
    step();
    largest->stops = std::max(largest->stops, CountStops(effects));
    largest->scale_outs = std::max(largest->scale_outs, CountScaleOuts(effects));
  };
}

// Guards against a leader that asks the cloud for a machine for each of a gang's members in one
// step.
TEST(LargeJob, MachinesForAGangAreRequestedInBoundedSteps) {
  EmulatedSite site;
  LargestStep largest;
  Observe(&site, &largest);
  site.Submit(JobKind::kGang, kTasks, 30);
  site.Advance(Seconds(5));
  EXPECT_GT(largest.scale_outs, 0u);
  EXPECT_LE(largest.scale_outs, kMaxScaleOutsPerStep);
}

// Guards against machines that are requested for gangs like one that was submitted by mistake and
// cancelled before it ran.
TEST(LargeJob, NoMachinesAreRequestedForACancelledGang) {
  EmulatedSite site;
  site.Submit(JobKind::kGang, kTasks, 30);
  site.Advance(Seconds(5));
  site.Cancel();
  // The cloud's refusals are forgotten after 20 s, the arrivals of gangs after 120 s.
  LargestStep largest;
  Observe(&site, &largest);
  site.Advance(Seconds(60));
  EXPECT_EQ(largest.scale_outs, 0u);
}

// Guards against a leader that places all members of a gang in one step, and against a gang that is
// placed in several steps and never complete.
TEST(LargeJob, GangIsPlacedInBoundedSteps) {
  EmulatedSite site;
  site.Submit(JobKind::kGang, kTasks, kSmallTaskCpus);
  // The agents send heartbeats in the first tick, and receive what has been placed until then.
  site.Advance(kTick);
  EXPECT_GT(site.TasksOnAgents(), 0u);
  EXPECT_LE(site.TasksOnAgents(), kMaxCommandsPerStep);
  site.Advance(Seconds(5));
  EXPECT_EQ(site.TasksOnAgents(), static_cast<size_t>(kTasks));
  site.Advance(Seconds(10));
  EXPECT_EQ(site.TasksOnAgents(), static_cast<size_t>(kTasks));
}

// Guards against a leader that stops all tasks of a cancelled job in one step.
TEST(LargeJob, CancelledJobIsStoppedInBoundedSteps) {
  for (const JobKind kind : {JobKind::kGang, JobKind::kArray}) {
    EmulatedSite site;
    site.Submit(kind, kTasks, kSmallTaskCpus);
    site.Advance(Seconds(12));
    ASSERT_EQ(site.TasksOnAgents(), static_cast<size_t>(kTasks));
    LargestStep largest;
    Observe(&site, &largest);
    site.Cancel();
    site.Advance(Seconds(3));
    EXPECT_EQ(site.TasksOnAgents(), 0u);
    EXPECT_GT(largest.stops, 0u);
    EXPECT_LE(largest.stops, kMaxCommandsPerStep + kTasksOnOneMachine);
  }
}

// Guards against a step that looks at all running tasks once for each of many gangs, and against
// gangs that are never looked at because the first ones use up the budget.
TEST(LargeJob, RoundRobinBudgetServesAllItemsInTurn) {
  RoundRobinBudget budget(100);
  const std::vector<int> items = {1, 2, 3, 4, 5};
  EXPECT_EQ(budget.Choose(items, 20), items);
  EXPECT_EQ(budget.Choose(items, 40), (std::vector<int>{1, 2}));
  EXPECT_EQ(budget.Choose(items, 40), (std::vector<int>{3, 4}));
  EXPECT_EQ(budget.Choose(items, 40), (std::vector<int>{5, 1}));
  EXPECT_EQ(budget.Choose(items, 1000), (std::vector<int>{2}));
  EXPECT_EQ(budget.Choose(std::vector<int>{}, 1000), std::vector<int>{});
}

// Guards against a queue of one large job that keeps the tasks of all other jobs from machines.
TEST(LargeJob, AllTasksOfALargeArrayAreBound) {
  // A machine's report has room for about 500 tasks.
  EmulatedSite site(200);
  site.Submit(JobKind::kArray, 100000, kSmallTaskCpus);
  site.Advance(Seconds(20));
  EXPECT_EQ(site.TasksOnAgents(), 100000u);
}

}  // namespace
}  // namespace badgershore
