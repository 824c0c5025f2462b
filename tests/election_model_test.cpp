// Explores leader election and the handling of cancellations around a faulty state service.
#include "check/election_model.h"

#include <gtest/gtest.h>

#include <iostream>

#include "check/cancel_model.h"
#include "check/explore.h"

namespace badgershore::check {
namespace {

template <typename Model>
Outcome ExploredWorld(const Model& world, uint64_t states, const char* what) {
  Outcome out = Explore(world, states);
  std::cout << what << ": " << out.states << " states, " << out.steps << " steps, depth "
            << out.depth << (out.whole ? ", all" : "") << "\n";
  for (const std::string& event : out.path) std::cout << "  " << event << "\n";
  return out;
}

Outcome Explored(const ElectionPlan& plan, uint64_t states, const char* what) {
  return ExploredWorld(ElectionModel(plan), states, what);
}

TEST(ElectionModel, OnlyOneNodeMayStartTasksUnderDelaysLossesAndRestarts) {
  ElectionPlan plan;
  plan.nodes = 2;
  plan.times = 8;
  EXPECT_EQ(Explored(plan, 150000, "two nodes").broken, "");
  plan.nodes = 3;
  EXPECT_EQ(Explored(plan, 100000, "three nodes").broken, "");
}

TEST(ElectionModel, FindsInjectedFaults) {
  ElectionPlan plan;
  plan.nodes = 2;
  plan.times = 8;
  plan.retires = plan.losses = 0;
  for (const auto& [fault, name] :
       {std::pair{PlantedInLease::kSlowClock, "a slow clock"},
        {PlantedInLease::kEarlyEnd, "a lease that ends early"},
        {PlantedInLease::kNoGuards, "commits without preconditions"},
        {PlantedInLease::kLeaseOfName, "a lease that is shared with the previous run"}}) {
    plan.planted = fault;
    // The last fault needs a restart with a request that is executed after it.
    plan.ends = fault == PlantedInLease::kLeaseOfName ? 1 : 0;
    EXPECT_NE(Explored(plan, 60000, name).broken, "") << name;
  }
}

// Guards against a cancelled task that keeps running, or starts again, because a controller that
// could not know of the cancellation kept renewing the agent's lease.
TEST(CancelModel, NoCancelledTaskRunsOrStartsAfterTheDeadline) {
  CancelPlan plan;
  plan.troubles = 1;
  const Outcome out = ExploredWorld(CancelModel(plan), 100000, "without earlier events");
  EXPECT_EQ(out.broken, "");
  EXPECT_TRUE(out.whole);
  for (const std::vector<std::string>& first : {std::vector<std::string>{"refuse a", "cancel"},
                                                {"hang a", "second", "cancel"},
                                                {"refuse a", "hang b", "cancel"}}) {
    plan.first = first;
    plan.troubles = 2;
    EXPECT_EQ(ExploredWorld(CancelModel(plan), 30000, first[0].c_str()).broken, "");
  }
}

TEST(CancelModel, FindsInjectedFaults) {
  struct Fault {
    PlantedInAuthority planted;
    int troubles;
    std::vector<std::string> first;
    const char* name;
  };
  const std::vector<Fault> faults = {{PlantedInAuthority::kRenewalIsKnowledge,
                                      1,
                                      {},
                                      "records counted as current since the lease renewal"},
                                     {PlantedInAuthority::kUnreadAnswers,
                                      1,
                                      {"refuse a", "cancel", "hang b", "second", "second"},
                                      "responses before the job records are read"},
                                     {PlantedInAuthority::kArrivalIsKnowledge,
                                      2,
                                      {"hang a", "second", "cancel", "second", "second", "second"},
                                      "records counted as current since the response's arrival"},
                                     {PlantedInAuthority::kNoHaltInGreeting,
                                      2,
                                      {"refuse a", "cancel", "second", "second", "second"},
                                      "a first response that stops no task"}};
  for (const Fault& f : faults) {
    CancelPlan plan;
    plan.planted = f.planted;
    plan.troubles = f.troubles;
    plan.first = f.first;
    EXPECT_NE(ExploredWorld(CancelModel(plan), 60000, f.name).broken, "") << f.name;
    // The same start without the fault.
    plan.planted = PlantedInAuthority::kNone;
    EXPECT_EQ(ExploredWorld(CancelModel(plan), 20000, "without the fault").broken, "") << f.name;
  }
}

}  // namespace
}  // namespace badgershore::check
