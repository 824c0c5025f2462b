// Cells that share teams' limits, with a network that loses, repeats and delays what they tell each
// other, records that outlive them, and old copies of the records brought back.
#pragma once

#include <array>
#include <map>
#include <string>
#include <vector>

#include "limits/quota_ledger.h"

namespace badgershore::check {

// A fault planted in what surrounds the pure machine; the exploration has to find each.
enum class Planted { kNone, kUseBeforeRecord, kForgetAfterSend, kApplyTwice, kTrustOldCopy };

struct LimitsPlan {
  int cells = 3, teams = 1;
  int64_t whole = 6;  // of each team's limit, in tasks
  int crashes = 1, restores = 1, repeats = 1;
  int transfers = 2;  // decided on in all, or there would be no end of states
  Planted planted = Planted::kNone;
};

class LimitsModel {
 public:
  explicit LimitsModel(const LimitsPlan& plan);
  std::vector<std::string> Events() const;
  void Happen(const std::string& event);
  std::string Key() const;
  // More tasks of a team run in all cells than its limit, or more rights are there than the whole.
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
  std::map<std::pair<int, int>, limits::CellMessage> on_its_way_;  // the newest of each pair
  std::map<std::pair<int, int>, limits::CellMessage> late_;        // one that was held back
  int crashes_, restores_, repeats_;
  uint64_t nonce_ = 0;
};

}  // namespace badgershore::check
