// Explores cells that share teams' limits, with a network that loses, duplicates and delays their
// messages, records that survive restarts, and backups of the records that are restored.
#pragma once

#include <array>
#include <map>
#include <string>
#include <vector>

#include "limits/quota_ledger.h"

namespace badgershore::check {

// A fault injected around the quota ledger. The exploration must find each.
enum class QuotaFault { kNone, kUseBeforeRecord, kSendBeforeRecord, kApplyTwice, kTrustOldBackup };

struct LimitsPlan {
  int cells = 3, teams = 1;
  int64_t limit = 6;  // each team's limit, in tasks
  int crashes = 1, restores = 1, duplicates = 1;
  int transfers = 2;  // in total; without a bound the state space is infinite
  QuotaFault fault = QuotaFault::kNone;
};

class LimitsModel {
 public:
  explicit LimitsModel(const LimitsPlan& plan);
  std::vector<std::string> Events() const;
  void Apply(const std::string& event);
  std::string Key() const;
  // A team runs more tasks in all cells than its limit, or the cells' quota shares don't add up to
  // it.
  std::string Violation() const;

 private:
  struct CellState {
    limits::QuotaLedger ledger;
    limits::QuotaRecord stored, backup;
    bool has_record = false, backup_exists = false, restored = false;
    std::vector<int64_t> running;  // by team
  };
  std::string Name(int cell) const { return std::string(1, static_cast<char>('a' + cell)); }
  std::string Team(int team) const { return std::string(1, static_cast<char>('t' + team)); }
  void UpdateDemand(int cell);
  void Restart(int cell);
  void SendMessages(int cell);
  void WriteFirstRecords();

  LimitsPlan plan_;
  std::vector<CellState> cells_;
  // By sender and receiver: the newest message, and a delayed one.
  std::map<std::pair<int, int>, limits::CellMessage> in_flight_;
  std::map<std::pair<int, int>, limits::CellMessage> delayed_;
  int crashes_, restores_, duplicates_;
  uint64_t nonce_ = 0;
};

}  // namespace badgershore::check
