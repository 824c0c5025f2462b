// Explores leader election and the handling of cancellations around a faulty state service.
#include "check/election_model.h"

#include <gtest/gtest.h>

#include <iostream>

#include "check/cancel_model.h"
#include "check/explore.h"

namespace badgershore::check {
namespace {

template <typename Model>
ExplorationResult ExploreAndPrint(const Model& world, uint64_t max_states, const char* label) {
  ExplorationResult out = Explore(world, max_states);
  std::cout << label << ": " << out.states << " states, " << out.steps << " steps, depth "
            << out.depth << (out.complete ? ", all" : "") << "\n";
  for (const std::string& event : out.path) std::cout << "  " << event << "\n";
  return out;
}

ExplorationResult ExploreElection(const ElectionPlan& plan, uint64_t max_states,
                                  const char* label) {
  return ExploreAndPrint(ElectionModel(plan), max_states, label);
}

TEST(ElectionModel, OnlyOneNodeMayStartTasksUnderDelaysLossesAndRestarts) {
  ElectionPlan plan;
  plan.nodes = 2;
  plan.time_steps = 8;
  EXPECT_EQ(ExploreElection(plan, 150000, "two nodes").violation, "");
  plan.nodes = 3;
  EXPECT_EQ(ExploreElection(plan, 100000, "three nodes").violation, "");
}

TEST(ElectionModel, FindsInjectedFaults) {
  ElectionPlan plan;
  plan.nodes = 2;
  plan.time_steps = 8;
  plan.handovers = plan.losses = 0;
  for (const auto& [fault, name] :
       {std::pair{ElectionFault::kSlowClock, "a slow clock"},
        {ElectionFault::kEarlyExpiry, "a lease that ends early"},
        {ElectionFault::kIgnoredPreconditions, "commits without preconditions"},
        {ElectionFault::kReusedLeaseId, "a lease that is shared with the previous run"}}) {
    plan.fault = fault;
    // The last fault needs a restart with a request that is executed after it.
    plan.restarts = fault == ElectionFault::kReusedLeaseId ? 1 : 0;
    EXPECT_NE(ExploreElection(plan, 60000, name).violation, "") << name;
  }
}

// Guards against a cancelled task that keeps running, or starts again, because a controller that
// could not know of the cancellation kept renewing the agent's lease.
TEST(CancelModel, NoCancelledTaskRunsOrStartsAfterTheDeadline) {
  CancelPlan plan;
  plan.faults = 1;
  const ExplorationResult out =
      ExploreAndPrint(CancelModel(plan), 100000, "without earlier events");
  EXPECT_EQ(out.violation, "");
  EXPECT_TRUE(out.complete);
  for (const std::vector<std::string>& first : {std::vector<std::string>{"refuse a", "cancel"},
                                                {"hang a", "second", "cancel"},
                                                {"refuse a", "hang b", "cancel"}}) {
    plan.initial_events = first;
    plan.faults = 2;
    EXPECT_EQ(ExploreAndPrint(CancelModel(plan), 30000, first[0].c_str()).violation, "");
  }
}

TEST(CancelModel, FindsInjectedFaults) {
  struct Fault {
    AuthorityFault fault;
    int faults;
    std::vector<std::string> initial_events;
    const char* name;
  };
  const std::vector<Fault> faults = {{AuthorityFault::kCountFromRenewal,
                                      1,
                                      {},
                                      "records counted as current since the lease renewal"},
                                     {AuthorityFault::kAnswerBeforeRead,
                                      1,
                                      {"refuse a", "cancel", "hang b", "second", "second"},
                                      "responses before the job records are read"},
                                     {AuthorityFault::kCountFromArrival,
                                      2,
                                      {"hang a", "second", "cancel", "second", "second", "second"},
                                      "records counted as current since the response's arrival"},
                                     {AuthorityFault::kNoStopInFirstResponse,
                                      2,
                                      {"refuse a", "cancel", "second", "second", "second"},
                                      "a first response that stops no task"}};
  for (const Fault& f : faults) {
    CancelPlan plan;
    plan.fault = f.fault;
    plan.faults = f.faults;
    plan.initial_events = f.initial_events;
    EXPECT_NE(ExploreAndPrint(CancelModel(plan), 60000, f.name).violation, "") << f.name;
    // The same start without the fault.
    plan.fault = AuthorityFault::kNone;
    EXPECT_EQ(ExploreAndPrint(CancelModel(plan), 20000, "without the fault").violation, "")
        << f.name;
  }
}

// Guards against a task that starts after its user was told of the cancellation, because a leader
// that is cut off, or was paused, does not know of it.
TEST(CancelModel, NoTaskStartsAfterItsUserWasTold) {
  for (const std::vector<std::string>& first :
       {std::vector<std::string>{},
        {"refuse a", "cut a", "cancel"},
        {"hang a", "cut a", "cancel"},
        {"pause a", "cancel"},
        {"pause a", "second", "second", "second", "hang b", "cancel"}}) {
    CancelPlan plan;
    plan.confirmations = true;
    plan.faults = 2;
    plan.initial_events = first;
    EXPECT_EQ(
        ExploreAndPrint(CancelModel(plan), 30000, first.empty() ? "" : first[0].c_str()).violation,
        "");
  }
}

TEST(CancelModel, FindsInjectedFaultsOfConfirmations) {
  struct Fault {
    AuthorityFault fault;
    std::vector<std::string> initial_events;
    const char* name;
  };
  const std::vector<Fault> faults = {
      {AuthorityFault::kReportWhenRecorded, {"refuse a", "cut a"}, "told when recorded"},
      {AuthorityFault::kConfirmPastLease,
       {"pause a", "second", "second", "second", "moves", "second", "second", "hang b", "cut b",
        "cancel"},
       "confirmed past the lease"}};
  for (const Fault& f : faults) {
    CancelPlan plan;
    plan.confirmations = true;
    plan.fault = f.fault;
    plan.faults = 2;
    plan.initial_events = f.initial_events;
    EXPECT_NE(ExploreAndPrint(CancelModel(plan), 30000, f.name).violation, "") << f.name;
    plan.fault = AuthorityFault::kNone;
    EXPECT_EQ(ExploreAndPrint(CancelModel(plan), 20000, "without the fault").violation, "")
        << f.name;
  }
}

}  // namespace
}  // namespace badgershore::check
