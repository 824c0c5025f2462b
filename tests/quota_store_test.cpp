// The quota record of a cell with many teams, which is larger than a value of the state service.
#include <gtest/gtest.h>

#include "emulated_site.h"
#include "limited_state_service.h"
#include "limits/quota_record_parts.h"

namespace badgershore {
namespace {

// One of two cells that share the limits of this many teams.
EmulatedSite::Configure CellWithTeams(int teams) {
  return [teams](PlatformSettings* settings, Options* options) {
    FastState(settings, options);
    for (int i = 0; i < teams; ++i) {
      settings->teams.push_back({"team-" + std::to_string(i), {1000, 0, 0}, {9000, 0, 0}});
    }
    options->cells.self = "north";
    options->cells.cells = {{"north", {}, true, false, ""}, {"south", {}, true, false, ""}};
  };
}

void HalveTeamLimits(PlatformSettings* settings, Options*) {
  for (Team& team : settings->teams) team.limit.cpu /= 2;
}

// The record as the next leader would find it; nullopt if there is none.
std::optional<limits::QuotaRecord> StoredRecord(const EmulatedSite& site) {
  const auto& items = site.state().items;
  if (auto whole = items.find(keys::kQuotaRecord); whole != items.end()) {
    EXPECT_FALSE(items.contains(keys::kQuotaRoot));
    return std::get<limits::QuotaRecord>(whole->second.value);
  }
  const auto root = items.find(keys::kQuotaRoot);
  if (root == items.end()) return std::nullopt;
  auto record = std::get<limits::QuotaRecord>(root->second.value);
  for (const std::string& name : std::exchange(record.parts, {})) {
    const auto part = items.find(keys::kQuotaPart + name);
    EXPECT_NE(part, items.end()) << name;
    if (part == items.end()) continue;
    limits::AddTeams(std::get<limits::QuotaRecord>(part->second.value), &record);
  }
  return record;
}

// Parts in the state service that the root does not name.
size_t CountUnusedParts(const EmulatedSite& site) {
  size_t parts = 0;
  for (const auto& [key, item] : site.state().items) parts += key.starts_with(keys::kQuotaPart);
  const auto root = site.state().items.find(keys::kQuotaRoot);
  if (root == site.state().items.end()) return parts;
  return parts - std::get<limits::QuotaRecord>(root->second.value).parts.size();
}

// Whether a job of a team with a limit runs in a new cell.
bool LimitedTeamRuns(int teams) {
  EmulatedSite site(0, CellWithTeams(teams));
  site.ClearState();
  LimitedStateService service(&site);
  site.StartController();
  site.Advance(Seconds(8));
  site.AddMachines(4);
  site.Advance(Seconds(4));
  site.Submit(JobKind::kArray, 1, kSmallTaskCpus, Id(1), "image", "team-0");
  site.Advance(Seconds(10));
  return site.TasksOnAgents() == 1;
}

TEST(QuotaStore, LimitedTeamOfANewCellRuns) { EXPECT_TRUE(LimitedTeamRuns(3)); }

// Guards against a cell whose record of all teams does not fit in one value, so that it holds no
// shares and none of its limited teams' tasks may start.
TEST(QuotaStore, LimitedTeamOfANewCellWith280TeamsRuns) { EXPECT_TRUE(LimitedTeamRuns(280)); }

TEST(QuotaStore, PartsAndRootGiveTheRecord) {
  limits::QuotaRecord record;
  record.number = 9;
  for (int i = 0; i < 10; ++i) {
    const std::string team = "team-" + std::to_string(i);
    record.held[team] = {i, 2, 3, 4};
    if (i % 2 == 0) record.totals[team] = {10, 20, 30, limits::kUnlimited};
    if (i % 3 == 0) record.accounts["south"].in_transit[team] = {5, 6, 7, 8};
    if (i > 5) record.accounts["west"].net_sent[team] = {-1, 9, 0, i};
  }
  record.accounts["south"].sent = 7;
  record.accounts["gone"].closed = true;
  record.inherited["gone"] = true;
  for (const size_t teams_per_part : {1, 3, 10, 100}) {
    limits::QuotaRecord merged = limits::RootOf(record);
    for (const auto& part : limits::DivideByTeams(record, teams_per_part)) {
      limits::AddTeams(part, &merged);
    }
    EXPECT_EQ(merged, record) << teams_per_part;
  }
}

// Guards against a record that is neither the old nor the new one because the leader ended while
// it wrote the parts: in each run after one more transaction. What is left over is deleted.
TEST(QuotaStore, RecordIsReplacedAsAWholeWhereverTheLeaderEnds) {
  for (int ends_after = 1; ends_after <= 120; ends_after += 7) {
    EmulatedSite site(0, CellWithTeams(280));
    LimitedStateService service(&site);
    const std::optional<limits::QuotaRecord> before = StoredRecord(site);
    ASSERT_TRUE(before);
    service.SetLimits(2048, 4);
    site.StartController(HalveTeamLimits);
    service.ForgetRefused();
    service.transactions = 0;
    site.on_transaction = [&] {
      ++service.transactions;
      const std::optional<limits::QuotaRecord> record = StoredRecord(site);
      ASSERT_TRUE(record);
      EXPECT_EQ(record->held, before->held) << ends_after;
      if (record->number == before->number) {
        EXPECT_EQ(record, before) << ends_after;
      }
    };
    const Micros end = site.now() + Seconds(60);
    while (service.transactions < ends_after && site.now() < end) site.Advance(kTick);
    site.StartController();
    service.ForgetRefused();
    site.Advance(Seconds(60));
    const std::optional<limits::QuotaRecord> after = StoredRecord(site);
    ASSERT_TRUE(after);
    EXPECT_EQ(after->totals.at("team-0")[limits::kLimitCpu], 4500) << ends_after;
    EXPECT_EQ(after->held, before->held) << ends_after;
    EXPECT_EQ(CountUnusedParts(site), 0u) << ends_after;
  }
}

// The record is one value again once it fits, and then readable by earlier versions.
TEST(QuotaStore, RecordIsDividedOnlyWhileItDoesNotFit) {
  EmulatedSite site(0, CellWithTeams(12));
  LimitedStateService service(&site);
  EXPECT_TRUE(site.state().items.contains(keys::kQuotaRecord));
  service.SetLimits(700, 4);
  site.StartController(HalveTeamLimits);
  site.Advance(Seconds(30));
  EXPECT_FALSE(site.state().items.contains(keys::kQuotaRecord));
  EXPECT_EQ(StoredRecord(site)->totals.at("team-0")[limits::kLimitCpu], 4500);
  service.SetLimits(8192, 8);
  site.StartController([](PlatformSettings* settings, Options* options) {
    HalveTeamLimits(settings, options);
    settings->state.value_kb = 7;  // other settings: what was learned does not hold any more
  });
  site.Advance(Seconds(30));
  EXPECT_TRUE(site.state().items.contains(keys::kQuotaRecord));
  EXPECT_EQ(StoredRecord(site)->totals.at("team-0")[limits::kLimitCpu], 2250);
  EXPECT_EQ(CountUnusedParts(site), 0u);
}

// Guards against a record that no division makes small enough, and that is sent again and again.
TEST(QuotaStore, RecordThatCannotBeWrittenIsNotSentAgain) {
  EmulatedSite site(kMachineCount, CellWithTeams(280));
  LimitedStateService service(&site);
  const std::optional<limits::QuotaRecord> before = StoredRecord(site);
  service.SetLimits(600, 4);  // the root, which names all parts, takes more
  site.StartController(HalveTeamLimits);
  site.Advance(Seconds(60));
  const int refusals = service.refusals;
  const int transactions = service.transactions;
  site.Advance(Seconds(60));
  EXPECT_EQ(service.refusals, refusals);
  EXPECT_LE(service.transactions, transactions + 1);
  EXPECT_EQ(StoredRecord(site), before);
  ASSERT_NE(site.controller().leader(), nullptr);
  EXPECT_EQ(site.controller().leader()->Gauges(site.now()).unwritable_records, 1u);
  site.Submit(JobKind::kArray, 4, kSmallTaskCpus, Id(1));
  site.Advance(Seconds(6));
  site.CompleteAll();
  site.Advance(Seconds(6));
  EXPECT_TRUE(site.state().items.contains(keys::kJobEnd + Id(1)));
}

}  // namespace
}  // namespace badgershore
