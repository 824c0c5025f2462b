// Runs every kept scenario, and checks that the same seed gives the same history.
#include <gtest/gtest.h>

#include <filesystem>

#include "rehearsal/world.h"
#include "store/disk/archive.h"

namespace badgershore::rehearsal {
namespace {

// Every kept scenario with three seeds (all fifty: docs/results.md): the same final states each
// time.
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
                                                   "late-copies",
                                                   "leader-unheard",
                                                   "leader-without-state",
                                                   "leaders-stand-still",
                                                   "limit-beside-services",
                                                   "limits-cancelled-beside-reserved-start",
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
                                                   "state-limits-announced",
                                                   "state-limits-fall",
                                                   "state-mute",
                                                   "state-restarts",
                                                   "tiny-tasks",
                                                   "up-at-once-writes-lag",
                                                   "writes-carried-out-late",
                                                   "zone-cut-off",
                                                   "zones-lost"};
    return names;
  }
};

TEST_P(KeptScenario, HasNoViolationAndTheSameFinalStatesWithEverySeed) {
  const config::Scenario scenario =
      config::LoadScenario(std::string(BADGERSHORE_SCENARIOS) + "/" + GetParam() + ".yaml");
  std::map<std::string, std::string> expected;
  for (uint64_t seed = 1; seed <= 3; ++seed) {
    const Result r = rehearsal::Simulate(scenario, seed);
    EXPECT_EQ(r.open, 0) << "seed " << seed;
    for (const Violation& violation : r.violations)
      ADD_FAILURE() << seed << " " << violation.rule << " " << violation.detail;
    std::map<std::string, std::string> final_states = r.final_states;
    for (const std::string& id : scenario.racing_jobs) final_states[id] = "either";
    if (seed == 1) expected = final_states;
    EXPECT_EQ(final_states, expected) << "seed " << seed;
  }
}
INSTANTIATE_TEST_SUITE_P(Scenarios, KeptScenario, testing::ValuesIn(KeptScenario::Names()),
                         [](const auto& info) {
                           std::string name = info.param;
                           std::replace(name.begin(), name.end(), '-', '_');
                           return name;
                         });

// scenarios/ holds only scenarios that `run` plays, each listed above; the site of `up` is built
// in. Guards against a site definition in that folder that no run could finish.
TEST(Scenario, EveryKeptFileIsRunAndTheBuiltInSiteIsValid) {
  const auto& listed = KeptScenario::Names();
  size_t count = 0;
  for (const auto& f : std::filesystem::directory_iterator(BADGERSHORE_SCENARIOS)) {
    if (f.path().extension() != ".yaml") continue;
    ++count;
    EXPECT_NE(std::find(listed.begin(), listed.end(), f.path().stem()), listed.end()) << f.path();
  }
  EXPECT_EQ(count, listed.size());
  EXPECT_FALSE(config::SmallSite().types.empty());
}

TEST(Scenario, JobsThatWaitAtTheirTeamsLimitAreNotReported) {
  constexpr uint64_t kSeedWithALongQueueAtTheLimit = 7038;
  const config::Scenario scenario =
      config::LoadScenario(std::string(BADGERSHORE_SCENARIOS) + "/limits-hang-and-cut.yaml");
  for (const Violation& violation :
       rehearsal::Simulate(scenario, kSeedWithALongQueueAtTheLimit).violations) {
    ADD_FAILURE() << violation.rule << " " << violation.detail;
  }
}

// Guards against randomness from anywhere but the seed (an address, a clock, the order of a hash
// table). The hash is the same for every build type; an intended change of the history changes it.
TEST(Scenario, TheSameSeedGivesTheSameHistory) {
  const config::Scenario scenario =
      config::LoadScenario(std::string(BADGERSHORE_SCENARIOS) + "/all-at-once.yaml");
  const std::string first = store::Sha256(World(scenario, 7).Run().history);
  EXPECT_EQ(first, store::Sha256(World(scenario, 7).Run().history));
  EXPECT_NE(first, store::Sha256(World(scenario, 8).Run().history));
  EXPECT_EQ(first, "ed79e88e0a0152e84ef398a15d90bc1a1af7c4af7110b7dc10aefcec8a80b571");
}

}  // namespace
}  // namespace badgershore::rehearsal
