#include "limits/quota_ledger.h"

#include <algorithm>
#include <tuple>

namespace badgershore::limits {
namespace {

// a * b / c with an intermediate product of 128 bits.
int64_t MultiplyDivide(int64_t a, int64_t b, int64_t c, bool round_up) {
  const auto product = static_cast<__int128>(a) * b;
  return static_cast<int64_t>((product + (round_up ? c - 1 : 0)) / c);
}

}  // namespace

QuotaLedger::QuotaLedger(Settings settings) : shares_(std::move(settings)) {}

void QuotaLedger::SetTotals(const TeamAmounts& totals) { own_totals_ = totals; }

void QuotaLedger::SetDemand(const std::string& team, const QuotaDemand& demand) {
  demands_[team] = demand;
}

void QuotaLedger::Load(const std::optional<QuotaRecord>& record, uint64_t nonce) {
  loaded_ = true;
  nonce_ = nonce;
  records_.Load(record);
  peers_.clear();
  restricted_to_floor_reason_.clear();
  for (const auto& [team, own] : own_totals_) {
    NextHeld(team);
    ResourceAmounts& agreed = records_.next().totals.try_emplace(team, own).first->second;
    for (size_t i = 0; i < kResourceKinds; ++i) agreed[i] = std::min(agreed[i], own[i]);
  }
  CloseRemovedAccounts();
}

ResourceAmounts& QuotaLedger::NextHeld(const std::string& team) {
  auto [it, added] = records_.next().held.try_emplace(team);
  if (added) it->second.fill(shares_.OwnInitialShare());
  return it->second;
}

std::set<std::string> QuotaLedger::CellsWithoutResponse() const {
  std::set<std::string> missing;
  for (const Cell& cell : shares_.settings().cells) {
    if (cell.name == shares_.settings().self || cell.removed()) continue;
    auto it = peers_.find(cell.name);
    if (it == peers_.end() || !it->second.responded) missing.insert(cell.name);
  }
  return missing;
}

void QuotaLedger::RestrictToFloor(const std::string& reason) {
  if (restricted_to_floor_reason_.empty()) restricted_to_floor_reason_ = reason;
}

// The minimum of the totals in this cell's settings, in its record and in the other cells'
// messages. While the settings of the cells differ, the lowest total applies.
int64_t QuotaLedger::Total(const std::string& team, ResourceKind kind) const {
  const auto k = static_cast<size_t>(kind);
  int64_t total = AmountOf(own_totals_, team, k);
  const auto limit_by = [&](const TeamAmounts& totals) {
    auto it = totals.find(team);
    if (it != totals.end()) total = std::min(total, it->second[k]);
  };
  limit_by(records_.durable().totals);
  limit_by(records_.next().totals);
  for (const auto& [name, peer] : peers_) {
    if (shares_.IsActive(name)) limit_by(peer.message.totals);
  }
  return total;
}

int64_t QuotaLedger::ToUnits(const std::string& team, ResourceKind kind, int64_t amount) const {
  const int64_t units = shares_.settings().units;
  const int64_t total = Total(team, kind);
  if (amount <= 0 || total >= kUnlimited) return 0;
  if (total <= 0) return units;
  return std::min(units, MultiplyDivide(std::min(amount, total), units, total, true));
}

int64_t QuotaLedger::UsedUnits(const std::string& team, ResourceKind kind) const {
  auto it = demands_.find(team);
  if (it == demands_.end()) return 0;
  return ToUnits(team, kind, it->second.used[static_cast<size_t>(kind)]);
}

int64_t QuotaLedger::Usable(const std::string& team, ResourceKind kind) const {
  if (!loaded_) return 0;
  const int64_t total = Total(team, kind);
  if (total >= kUnlimited) return kUnlimited;
  // Units are usable once they are durable, and no longer once their transfer was decided.
  int64_t units = records_.LeastHeld(team, kind);
  const int64_t floor = shares_.Floor();
  // The record may come from an older copy of the state service, and units that it shows as held
  // may have been transferred since. Only the floor is never transferred.
  if (!restricted_to_floor_reason_.empty() || !AllCellsResponded()) units = std::min(units, floor);
  // Units owed to other cells are not reused here when they become free.
  int64_t owed = 0;
  for (const auto& [cell, peer] : peers_) owed += OwedTo(cell, team, kind);
  units = std::max(units - owed, std::min(units, floor));
  return MultiplyDivide(std::max<int64_t>(0, units), std::max<int64_t>(0, total),
                        shares_.settings().units, false);
}

// A higher total takes effect once the settings of all cells have it, a lower one immediately.
void QuotaLedger::AgreeOnTotals() {
  for (const auto& [team, own] : own_totals_) {
    ResourceAmounts lowest = own;
    bool all_agree = AllCellsResponded();
    for (const auto& [cell, peer] : peers_) {
      if (!shares_.IsActive(cell)) continue;
      auto it = peer.message.totals.find(team);
      if (it == peer.message.totals.end()) {
        all_agree = false;  // its settings do not contain the team yet
        continue;
      }
      for (size_t i = 0; i < kResourceKinds; ++i) lowest[i] = std::min(lowest[i], it->second[i]);
    }
    ResourceAmounts& agreed = records_.next().totals.try_emplace(team, own).first->second;
    for (size_t i = 0; i < kResourceKinds; ++i) {
      if (lowest[i] < agreed[i] || all_agree) agreed[i] = lowest[i];
    }
  }
}

bool QuotaLedger::OnMessage(const CellMessage& message, int64_t now_ms) {
  const std::string& self = shares_.settings().self;
  if (!loaded_ || message.to != self || message.from == self || !shares_.IsActive(message.from)) {
    return false;
  }
  now_ms_ = std::max(now_ms_, now_ms);
  records_.AddAccount(message.from);
  CheckTransferNumbers(message);
  Peer& peer = peers_[message.from];
  TransferAccount& account = records_.next().accounts.at(message.from);
  if (message.nonce < account.nonce) return true;
  account.nonce = message.nonce;
  if (!restricted_to_floor_reason_.empty()) return true;
  // The other cell's record is an old copy. That cell detects this from the transfer numbers that
  // this cell sends; its messages are accepted again once it has loaded the current record.
  const TransferAccount& known = records_.durable().accounts.at(message.from);
  if (message.sent < known.received || message.received + 1 < known.sent) return true;
  // Ignore a message that a newer one has overtaken.
  if (std::tie(message.term, message.sent, message.received) <
      std::tie(peer.message.term, peer.message.sent, peer.message.received)) {
    return true;
  }
  peer.message = message;
  // A response to an earlier load does not count: its numbers could match an old copy of the
  // record.
  peer.responded = peer.responded || message.echoed_nonce == nonce_;
  AcknowledgeTransfer(message);
  ReceiveTransfer(message);
  AbsorbRemovedCells();
  return true;
}

void QuotaLedger::Tick(int64_t now_ms) {
  if (!loaded_) return;
  now_ms_ = std::max(now_ms_, now_ms);
  for (const auto& [team, totals] : own_totals_) NextHeld(team);
  ExtendReclaimDelays();
  if (!restricted_to_floor_reason_.empty()) return;
  AgreeOnTotals();
  AbsorbRemovedCells();
  // Nothing is transferred before the other cells have confirmed this cell's transfer numbers.
  if (!AllCellsResponded()) return;
  for (const std::string& cell : CellsByPriority()) StartTransfer(cell, now_ms_);
}

std::optional<QuotaRecord> QuotaLedger::RecordToWrite() {
  if (!loaded_) return std::nullopt;
  return records_.RecordToWrite();
}

}  // namespace badgershore::limits
