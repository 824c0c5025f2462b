// Rights divided among cells: the pure machine by itself, and every order of events around it.
#include <gtest/gtest.h>

#include <iostream>

#include "check/explore.h"
#include "check/limits_model.h"
#include "limits/quota_ledger.h"

namespace badgershore {
namespace {

using check::LimitsModel;
using check::LimitsPlan;
using check::QuotaFault;
using limits::kLimitCpu;
using limits::kUnlimited;
using limits::QuotaLedger;
using limits::QuotaRecord;

constexpr int64_t kWhole = 900000;  // thousandths of a CPU

// Cells whose records are always written and whose notes arrive, unless a test says otherwise.
struct Cells {
  explicit Cells(std::vector<limits::Cell> named) {
    settings.cells = std::move(named);
    for (const limits::Cell& c : settings.cells) {
      if (c.successor.empty()) Start(c.name, std::nullopt);
    }
  }
  void Start(const std::string& name, const std::optional<QuotaRecord>& record,
             int64_t whole = kWhole) {
    settings.self = name;
    QuotaLedger ledger(settings);
    ledger.SetTotals({{"t", {whole, kUnlimited, kUnlimited, kUnlimited}}});
    ledger.Load(record, ++nonce);
    at.insert_or_assign(name, std::move(ledger));
  }
  void Need(const std::string& name, int64_t used, int64_t more, bool gang = false, int rank = 2,
            int64_t since = 1) {
    limits::QuotaDemand demand;
    demand.used[kLimitCpu] = used;
    demand.additional[kLimitCpu] = more;
    demand.all_or_nothing = gang;
    demand.priority = rank;
    demand.waiting_since_ms = since;
    at.at(name).SetDemand("t", demand);
  }
  void Write(const std::string& name) {
    if (auto record = at.at(name).RecordToWrite()) {
      at.at(name).OnWritten(record->number);
      stored[name] = *record;
    }
  }
  void Run(int rounds) {
    for (int i = 0; i < rounds; ++i) {
      now += 500;
      for (auto& [name, ledger] : at) {
        if (cut.contains(name)) continue;
        ledger.Tick(now);
        Write(name);
        for (const limits::CellMessage& note : ledger.Messages()) {
          if (cut.contains(note.to) || !at.contains(note.to)) continue;
          at.at(note.to).OnMessage(note, now);
          Write(note.to);
        }
      }
    }
  }
  int64_t Usable(const std::string& name) const { return at.at(name).Usable("t", kLimitCpu); }
  int64_t Sum() const {
    int64_t sum = 0;
    for (const auto& [name, ledger] : at) sum += ledger.Usable("t", kLimitCpu);
    return sum;
  }

  limits::Settings settings;
  std::map<std::string, QuotaLedger> at;
  std::map<std::string, QuotaRecord> stored;
  std::set<std::string> cut;
  uint64_t nonce = 0;
  int64_t now = 1000;
};

const std::vector<limits::Cell> kThree{
    {"a", true, false, ""}, {"b", true, false, ""}, {"c", true, false, ""}};

TEST(Limits, NeedInOneCellGetsNearlyAllWithinSeconds) {
  Cells cells(kThree);
  cells.Run(3);
  EXPECT_EQ(cells.Usable("a"), kWhole / 3);
  cells.Need("a", kWhole / 3, kWhole);
  cells.Run(10);  // 5 s
  EXPECT_GE(cells.Usable("a"), kWhole * 95 / 100);
  EXPECT_LE(cells.Sum(), kWhole);
  // The others get their share back as what runs here ends, and only then.
  cells.Need("b", 0, kWhole);
  cells.Need("a", cells.Usable("a"), kWhole);
  cells.Run(10);
  EXPECT_LT(cells.Usable("b"), kWhole / 10);
  cells.Need("a", kWhole / 3, kWhole);
  cells.Run(10);
  EXPECT_GE(cells.Usable("b"), kWhole * 32 / 100);
  EXPECT_LE(cells.Sum(), kWhole);
}

TEST(Limits, ACellThatIsCutOffKeepsWhatItHasAndNoMore) {
  Cells cells(kThree);
  cells.Run(3);
  cells.cut = {"c"};
  cells.Need("a", 0, kWhole);
  cells.Need("c", 0, kWhole);
  cells.Run(20);
  EXPECT_EQ(cells.Usable("c"), kWhole / 3);
  EXPECT_LE(cells.Usable("a"), kWhole * 2 / 3);
  // Its next leader has heard nobody: what was never given away is all that it can be sure of.
  cells.Start("c", cells.stored["c"]);
  cells.Need("c", 0, kWhole);
  EXPECT_EQ(cells.Usable("c"), kWhole / 60);
  cells.cut.clear();
  cells.Run(6);
  EXPECT_GT(cells.Usable("c"), kWhole / 4);
}

// Two gangs that each demand more than half would wait for each other with half each.
TEST(Limits, GangsLargerThanAnyShareGatherOneAfterTheOther) {
  Cells cells(kThree);
  cells.Run(3);
  cells.Need("a", 0, kWhole * 7 / 10, true, 1, 5);
  cells.Need("b", 0, kWhole * 7 / 10, true, 1, 4);
  cells.Run(20);
  EXPECT_GE(cells.Usable("b"), kWhole * 7 / 10);
  EXPECT_LT(cells.Usable("a"), kWhole * 3 / 10);
  cells.Need("b", 0, 0);
  cells.Run(20);
  EXPECT_GE(cells.Usable("a"), kWhole * 7 / 10);
}

TEST(Limits, WhereSettingsDifferTheLowerCounts) {
  Cells cells(kThree);
  cells.Run(3);
  cells.Start("a", cells.stored["a"], kWhole / 2);
  cells.Run(3);
  for (const char* name : {"a", "b", "c"}) EXPECT_EQ(cells.Usable(name), kWhole / 6) << name;
  // Raised at one cell, it counts when it is raised at all.
  cells.Start("a", cells.stored["a"], kWhole * 2);
  cells.Start("b", cells.stored["b"], kWhole * 2);
  cells.Run(3);
  EXPECT_EQ(cells.Usable("a"), kWhole / 3);
  cells.Start("c", cells.stored["c"], kWhole * 2);
  cells.Run(4);
  EXPECT_EQ(cells.Usable("a"), kWhole * 2 / 3);
}

TEST(Limits, AnOldCopyOfTheRecordIsNoticed) {
  Cells cells(kThree);
  cells.Run(3);
  const QuotaRecord old = cells.stored["b"];
  cells.Need("a", 0, kWhole);
  cells.Run(10);
  cells.Start("b", old);
  cells.Need("b", 0, kWhole);
  cells.Run(10);
  EXPECT_NE(cells.at.at("b").restricted_to_floor_reason(), "");
  EXPECT_EQ(cells.Usable("b"), kWhole / 60);
  EXPECT_LE(cells.Sum(), kWhole);
}

TEST(Limits, ACellThatIsGoneLeavesItsRightsToItsHeir) {
  Cells cells(kThree);
  cells.Run(3);
  cells.Need("c", 0, kWhole);
  cells.Run(10);
  EXPECT_GE(cells.Usable("c"), kWhole * 9 / 10);
  auto stored = cells.stored;
  cells.at.erase("c");
  cells.settings.cells[2].successor = "a";
  cells.Start("a", stored["a"]);
  cells.Start("b", stored["b"]);
  cells.Run(5);
  EXPECT_GE(cells.Usable("a"), kWhole * 9 / 10);
  EXPECT_LE(cells.Sum(), kWhole);
  const int64_t once = cells.Usable("a");
  cells.Start("a", cells.stored["a"]);  // not a second time
  cells.Run(5);
  EXPECT_EQ(cells.Usable("a"), once);
}

TEST(Limits, ANewCellBeginsWithNothingAndAsks) {
  Cells cells({{"a", true, false, ""}, {"b", true, false, ""}, {"new", false, false, ""}});
  cells.Run(3);
  EXPECT_EQ(cells.Usable("new"), 0);
  cells.Need("new", 0, kWhole / 2);
  cells.Run(8);
  EXPECT_GE(cells.Usable("new"), kWhole * 45 / 100);
  EXPECT_LE(cells.Sum(), kWhole);
}

check::ExplorationResult Explore(const LimitsPlan& plan, uint64_t states, const char* what) {
  check::ExplorationResult out = check::Explore(LimitsModel(plan), states);
  std::cout << what << ": " << out.states << " states, " << out.steps << " steps, depth "
            << out.depth << (out.complete ? ", all" : "") << "\n";
  for (const std::string& event : out.path) std::cout << "  " << event << "\n";
  return out;
}

// Two cells to the end of the state space, three as far as a minute goes.
TEST(LimitsModel, NoOrderOfEventsPassesALimit) {
  LimitsPlan two;
  two.cells = 2;
  two.limit = 3;
  two.crashes = 0;
  two.transfers = 1;
  const check::ExplorationResult all = Explore(two, 200000, "two cells, a restore, a late note");
  EXPECT_EQ(all.violation, "");
  EXPECT_TRUE(all.complete);
  two.crashes = 1;
  two.transfers = 2;
  EXPECT_EQ(Explore(two, 60000, "two cells, a crash too").violation, "");
  LimitsPlan three;
  three.teams = 2;
  EXPECT_EQ(Explore(three, 40000, "three cells, two teams").violation, "");
}

// What the exploration can find: each fault is planted around the pure machine.
TEST(LimitsModel, PlantedFaultsAreFound) {
  LimitsPlan plan;
  plan.cells = 2;
  plan.limit = 4;
  plan.transfers = 1;
  for (const auto& [fault, name] : {std::pair{QuotaFault::kUseBeforeRecord, "use before record"},
                                    {QuotaFault::kSendBeforeRecord, "forget after send"},
                                    {QuotaFault::kApplyTwice, "apply twice"},
                                    {QuotaFault::kTrustOldBackup, "trust an old copy"}}) {
    plan.fault = fault;
    EXPECT_NE(Explore(plan, 200000, name).violation, "") << name;
  }
}

}  // namespace
}  // namespace badgershore
