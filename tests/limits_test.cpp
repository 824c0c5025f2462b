// Quota shares of cells: the ledger alone, and an exploration of all orders of events around it.
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

constexpr int64_t kTotal = 900000;  // thousandths of a CPU

// Cells whose records are always written. Messages arrive except from and to `isolated` cells.
struct Cells {
  explicit Cells(std::vector<limits::Cell> cells) {
    settings.cells = std::move(cells);
    for (const limits::Cell& c : settings.cells) {
      if (c.successor.empty()) Start(c.name, std::nullopt);
    }
  }
  void Start(const std::string& name, const std::optional<QuotaRecord>& record,
             int64_t total = kTotal) {
    settings.self = name;
    QuotaLedger ledger(settings);
    ledger.SetTotals({{"t", {total, kUnlimited, kUnlimited, kUnlimited}}});
    ledger.Load(record, ++nonce);
    ledgers.insert_or_assign(name, std::move(ledger));
  }
  void SetDemand(const std::string& name, int64_t used, int64_t additional, bool gang = false,
                 int priority = 2, int64_t waiting_since_ms = 1) {
    limits::QuotaDemand demand;
    demand.used[kLimitCpu] = used;
    demand.additional[kLimitCpu] = additional;
    demand.all_or_nothing = gang;
    demand.priority = priority;
    demand.waiting_since_ms = waiting_since_ms;
    ledgers.at(name).SetDemand("t", demand);
  }
  void Write(const std::string& name) {
    if (auto record = ledgers.at(name).RecordToWrite()) {
      ledgers.at(name).OnWritten(record->number);
      stored[name] = *record;
    }
  }
  void Run(int rounds) {
    for (int i = 0; i < rounds; ++i) {
      now += 500;
      for (auto& [name, ledger] : ledgers) {
        if (isolated.contains(name)) continue;
        ledger.Tick(now);
        Write(name);
        for (const limits::CellMessage& message : ledger.Messages()) {
          if (isolated.contains(message.to) || !ledgers.contains(message.to)) continue;
          ledgers.at(message.to).OnMessage(message, now);
          Write(message.to);
        }
      }
    }
  }
  int64_t Usable(const std::string& name) const { return ledgers.at(name).Usable("t", kLimitCpu); }
  int64_t TotalUsable() const {
    int64_t sum = 0;
    for (const auto& [name, ledger] : ledgers) sum += ledger.Usable("t", kLimitCpu);
    return sum;
  }

  limits::Settings settings;
  std::map<std::string, QuotaLedger> ledgers;
  std::map<std::string, QuotaRecord> stored;
  std::set<std::string> isolated;
  uint64_t nonce = 0;
  int64_t now = 1000;
};

const std::vector<limits::Cell> kThreeCells{
    {"a", true, false, ""}, {"b", true, false, ""}, {"c", true, false, ""}};

TEST(Limits, OnlyCellWithDemandGetsNearlyAllUnits) {
  Cells cells(kThreeCells);
  cells.Run(3);
  EXPECT_EQ(cells.Usable("a"), kTotal / 3);
  cells.SetDemand("a", kTotal / 3, kTotal);
  cells.Run(10);  // 5 s
  EXPECT_GE(cells.Usable("a"), kTotal * 95 / 100);
  EXPECT_LE(cells.TotalUsable(), kTotal);
  // The other cells get their shares back when tasks of this cell end, and not earlier.
  cells.SetDemand("b", 0, kTotal);
  cells.SetDemand("a", cells.Usable("a"), kTotal);
  cells.Run(10);
  EXPECT_LT(cells.Usable("b"), kTotal / 10);
  cells.SetDemand("a", kTotal / 3, kTotal);
  cells.Run(10);
  EXPECT_GE(cells.Usable("b"), kTotal * 32 / 100);
  EXPECT_LE(cells.TotalUsable(), kTotal);
}

TEST(Limits, IsolatedCellKeepsItsShareUntilARestart) {
  Cells cells(kThreeCells);
  cells.Run(3);
  cells.isolated = {"c"};
  cells.SetDemand("a", 0, kTotal);
  cells.SetDemand("c", 0, kTotal);
  cells.Run(20);
  EXPECT_EQ(cells.Usable("c"), kTotal / 3);
  EXPECT_LE(cells.Usable("a"), kTotal * 2 / 3);
  // Its next leader has received no message. It may use only the floor, which is never transferred.
  cells.Start("c", cells.stored["c"]);
  cells.SetDemand("c", 0, kTotal);
  EXPECT_EQ(cells.Usable("c"), kTotal / 60);
  cells.isolated.clear();
  cells.Run(6);
  EXPECT_GT(cells.Usable("c"), kTotal / 4);
}

// Guards against a deadlock of two gangs that need more than half of the quota each and hold half.
TEST(Limits, LargeGangsAcquireUnitsOneAfterTheOther) {
  Cells cells(kThreeCells);
  cells.Run(3);
  cells.SetDemand("a", 0, kTotal * 7 / 10, true, 1, 5);
  cells.SetDemand("b", 0, kTotal * 7 / 10, true, 1, 4);
  cells.Run(20);
  EXPECT_GE(cells.Usable("b"), kTotal * 7 / 10);
  EXPECT_LT(cells.Usable("a"), kTotal * 3 / 10);
  cells.SetDemand("b", 0, 0);
  cells.Run(20);
  EXPECT_GE(cells.Usable("a"), kTotal * 7 / 10);
}

TEST(Limits, LowestTotalAppliesWhileSettingsDiffer) {
  Cells cells(kThreeCells);
  cells.Run(3);
  cells.Start("a", cells.stored["a"], kTotal / 2);
  cells.Run(3);
  for (const char* name : {"a", "b", "c"}) EXPECT_EQ(cells.Usable(name), kTotal / 6) << name;
  // A total that is raised at one cell takes effect once all cells have raised it.
  cells.Start("a", cells.stored["a"], kTotal * 2);
  cells.Start("b", cells.stored["b"], kTotal * 2);
  cells.Run(3);
  EXPECT_EQ(cells.Usable("a"), kTotal / 3);
  cells.Start("c", cells.stored["c"], kTotal * 2);
  cells.Run(4);
  EXPECT_EQ(cells.Usable("a"), kTotal * 2 / 3);
}

TEST(Limits, DetectsAnOldCopyOfTheRecord) {
  Cells cells(kThreeCells);
  cells.Run(3);
  const QuotaRecord old_record = cells.stored["b"];
  cells.SetDemand("a", 0, kTotal);
  cells.Run(10);
  cells.Start("b", old_record);
  cells.SetDemand("b", 0, kTotal);
  cells.Run(10);
  EXPECT_NE(cells.ledgers.at("b").restricted_to_floor_reason(), "");
  EXPECT_EQ(cells.Usable("b"), kTotal / 60);
  EXPECT_LE(cells.TotalUsable(), kTotal);
}

TEST(Limits, SuccessorInheritsUnitsOfARemovedCell) {
  Cells cells(kThreeCells);
  cells.Run(3);
  cells.SetDemand("c", 0, kTotal);
  cells.Run(10);
  EXPECT_GE(cells.Usable("c"), kTotal * 9 / 10);
  auto stored = cells.stored;
  cells.ledgers.erase("c");
  cells.settings.cells[2].successor = "a";
  cells.Start("a", stored["a"]);
  cells.Start("b", stored["b"]);
  cells.Run(5);
  EXPECT_GE(cells.Usable("a"), kTotal * 9 / 10);
  EXPECT_LE(cells.TotalUsable(), kTotal);
  const int64_t inherited = cells.Usable("a");
  cells.Start("a", cells.stored["a"]);  // a restart must not add the units again
  cells.Run(5);
  EXPECT_EQ(cells.Usable("a"), inherited);
}

TEST(Limits, NewCellStartsWithoutUnitsAndRequestsThem) {
  Cells cells({{"a", true, false, ""}, {"b", true, false, ""}, {"new", false, false, ""}});
  cells.Run(3);
  EXPECT_EQ(cells.Usable("new"), 0);
  cells.SetDemand("new", 0, kTotal / 2);
  cells.Run(8);
  EXPECT_GE(cells.Usable("new"), kTotal * 45 / 100);
  EXPECT_LE(cells.TotalUsable(), kTotal);
}

check::ExplorationResult Explore(const LimitsPlan& plan, uint64_t states, const char* what) {
  check::ExplorationResult out = check::Explore(LimitsModel(plan), states);
  std::cout << what << ": " << out.states << " states, " << out.steps << " steps, depth "
            << out.depth << (out.complete ? ", all" : "") << "\n";
  for (const std::string& event : out.path) std::cout << "  " << event << "\n";
  return out;
}

// Explores all states of two cells, and a bounded number of states of three cells.
TEST(LimitsModel, NoOrderOfEventsExceedsALimit) {
  LimitsPlan two;
  two.cells = 2;
  two.limit = 3;
  two.crashes = 0;
  two.transfers = 1;
  const check::ExplorationResult all =
      Explore(two, 200000, "two cells, a restore, a delayed message");
  EXPECT_EQ(all.violation, "");
  EXPECT_TRUE(all.complete);
  two.crashes = 1;
  two.transfers = 2;
  EXPECT_EQ(Explore(two, 60000, "two cells, also a crash").violation, "");
  LimitsPlan three;
  three.teams = 2;
  EXPECT_EQ(Explore(three, 40000, "three cells, two teams").violation, "");
}

// Checks that the exploration finds faults: each one is injected around the ledger.
TEST(LimitsModel, InjectedFaultsAreFound) {
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
