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
enum class Planted { kNone, kUseBeforeRecord, kForgetAfterSend, kApplyTwice, kTrustOldCopy };

struct LimitsPlan {
  int cells = 3, teams = 1;
  int64_t whole = 6;  // each team's limit, in tasks
  int crashes = 1, restores = 1, repeats = 1;
  int transfers = 2;  // in total; without a bound the state space is infinite
  Planted planted = Planted::kNone;
};

class LimitsModel {
 public:
  explicit LimitsModel(const LimitsPlan& plan);
  std::vector<std::string> Events() const;
  void Happen(const std::string& event);
  std::string Key() const;
  // A team runs more tasks in all cells than its limit, or the cells' quota shares don't add up to
  // it.
  std::string Broken() const;

 private:
  struct CellState {
    limits::QuotaLedger ledger;
    limits::QuotaRecord stored, old_copy;
    bool has_record = false, old_has = false, restored = false;
    std::vector<int64_t> running;  // by team
  };
  std::string Name(int cell) const { return std::string(1, static_cast<char>('a' + cell)); }
  std::string Team(int team) const { return std::string(1, static_cast<char>('t' + team)); }
  void Needs(int cell);
  void Restart(int cell);
  void Speak(int cell);
  void Begin();

  LimitsPlan plan_;
  std::vector<CellState> cells_;
  // By sender and receiver: the newest message, and a delayed one.
  std::map<std::pair<int, int>, limits::CellMessage> on_its_way_;
  std::map<std::pair<int, int>, limits::CellMessage> late_;
  int crashes_, restores_, repeats_;
  uint64_t nonce_ = 0;
};

}  // namespace badgershore::check
