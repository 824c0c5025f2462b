// QuotaLedger: cells that an operator has removed permanently.
#include <algorithm>

#include "limits/quota_ledger.h"

namespace badgershore::limits {

// A removed cell runs no tasks. Nothing more is sent to it or received from it, so its account is
// final.
void QuotaLedger::CloseRemovedAccounts() {
  for (const Cell& cell : shares_.settings().cells) {
    if (!cell.removed() || cell.name == shares_.settings().self) continue;
    TransferAccount& account = records_.next().accounts[cell.name];
    account.closed = true;
    account.in_transit.clear();
  }
}

// The net transfers of all active cells to the removed one. Returns nullopt while some cell has not
// closed its account, or if another cell was removed too, because the transfers between those two
// are unknown.
std::optional<std::vector<const TeamAmounts*>> QuotaLedger::NetSentTo(
    const std::string& removed) const {
  const auto& accounts = records_.durable().accounts;
  auto own = accounts.find(removed);
  if (own == accounts.end() || !own->second.closed) return std::nullopt;
  std::vector<const TeamAmounts*> net_sent{&own->second.net_sent};
  for (const Cell& cell : shares_.settings().cells) {
    if (cell.removed() && cell.name != removed) return std::nullopt;
    if (cell.removed() || cell.name == shares_.settings().self) continue;
    auto peer = peers_.find(cell.name);
    if (peer == peers_.end() || !peer->second.responded) return std::nullopt;
    auto closed = peer->second.message.closed.find(removed);
    if (closed == peer->second.message.closed.end()) return std::nullopt;
    net_sent.push_back(&closed->second);
  }
  return net_sent;
}

// The successor adds the units that the removed cell held: its initial share plus all units sent to
// it minus all units received from it.
void QuotaLedger::AbsorbRemovedCells() {
  for (const Cell& removed : shares_.settings().cells) {
    if (removed.successor != shares_.settings().self ||
        records_.next().inherited.contains(removed.name)) {
      continue;
    }
    const auto net_sent = NetSentTo(removed.name);
    if (!net_sent) continue;
    for (const auto& [team, totals] : own_totals_) {
      ResourceAmounts& held = NextHeld(team);
      for (size_t i = 0; i < kResourceKinds; ++i) {
        int64_t units = removed.initial_member ? shares_.InitialShare() : 0;
        for (const TeamAmounts* amounts : *net_sent) units += AmountOf(*amounts, team, i);
        held[i] += std::max<int64_t>(0, units);
      }
    }
    records_.next().inherited[removed.name] = true;
  }
}

}  // namespace badgershore::limits
