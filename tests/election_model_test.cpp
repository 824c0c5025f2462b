// Leadership as it ships, explored around a state service that is late, silent and left early.
#include "check/election_model.h"

#include <gtest/gtest.h>

#include <iostream>

#include "check/explore.h"

namespace badgershore::check {
namespace {

Outcome Explored(const ElectionPlan& plan, uint64_t states, const char* what) {
  Outcome out = Explore(ElectionModel(plan), states);
  std::cout << what << ": " << out.states << " states, " << out.steps << " steps, depth "
            << out.depth << (out.whole ? ", all" : "") << "\n";
  for (const std::string& event : out.path) std::cout << "  " << event << "\n";
  return out;
}

TEST(ElectionModel, NoTwoMayStartWhateverIsLateLostOrEnds) {
  ElectionPlan plan;
  plan.nodes = 2;
  plan.times = 8;
  EXPECT_EQ(Explored(plan, 150000, "two nodes").broken, "");
  plan.nodes = 3;
  EXPECT_EQ(Explored(plan, 100000, "three nodes").broken, "");
}

TEST(ElectionModel, PlantedFaultsAreFound) {
  ElectionPlan plan;
  plan.nodes = 2;
  plan.times = 8;
  plan.retires = plan.losses = 0;
  for (const auto& [fault, name] :
       {std::pair{PlantedInLease::kSlowClock, "a slow clock"},
        {PlantedInLease::kEarlyEnd, "a lease that ends early"},
        {PlantedInLease::kNoGuards, "commits without guards"},
        {PlantedInLease::kLeaseOfName, "a lease that a new life shares with the last"}}) {
    plan.planted = fault;
    // The last needs an end, whose request is carried out after the return.
    plan.ends = fault == PlantedInLease::kLeaseOfName ? 1 : 0;
    EXPECT_NE(Explored(plan, 60000, name).broken, "") << name;
  }
}

}  // namespace
}  // namespace badgershore::check
