// QuotaLedger: transfers between this cell and the others, and the messages that contain them.
#include <algorithm>
#include <tuple>

#include "limits/quota_ledger.h"

namespace badgershore::limits {
namespace {

bool IsLimit(size_t kind) { return kind == kLimitCpu || kind == kLimitGpu; }

// A total order over all waiting requests, so that two gangs never deadlock with half of the quota
// each.
bool IsOrderedBefore(const QuotaRequest& a, const std::string& cell_a, const QuotaRequest& b,
                     const std::string& cell_b) {
  return std::tie(a.priority, a.waiting_since_ms, cell_a) <
         std::tie(b.priority, b.waiting_since_ms, cell_b);
}

}  // namespace

// The units that this cell must leave to another cell although its own work could use them: all
// that a gang there waits for, if it is ordered before all waiting work here; otherwise the units
// that bring the other cell up to an equal share.
int64_t QuotaLedger::OwedTo(const std::string& cell, const std::string& team,
                            ResourceKind kind) const {
  auto peer = peers_.find(cell);
  if (peer == peers_.end() || !peer->second.responded || !shares_.IsActive(cell)) return 0;
  const QuotaRequest* request = FindRequest(team, cell);
  const auto k = static_cast<size_t>(kind);
  if (!request || request->units[k] <= 0) return 0;
  const int64_t held = AmountOf(records_.next().held, team, k);
  const QuotaRequest own = OwnRequest(team);
  const std::string& self = shares_.settings().self;
  // Includes work that waits only for a machine.
  const bool waiting = HasWaitingWork(team, k);
  if (request->all_or_nothing && (!waiting || IsOrderedBefore(*request, cell, own, self))) {
    return std::clamp<int64_t>(request->units[k], 0, std::max<int64_t>(0, held - shares_.Floor()));
  }
  // A gang here that is ordered before the request there keeps the units gathered for it.
  if (waiting && own.all_or_nothing && IsOrderedBefore(own, self, *request, cell)) return 0;
  const int64_t equal = shares_.EqualShare();
  const int64_t held_by_peer = AmountOf(peer->second.message.held, team, k);
  const auto min_transfer =
      static_cast<int64_t>(static_cast<double>(equal) * shares_.settings().min_transfer_share);
  const int64_t owed = std::min({request->units[k], held - equal, equal - held_by_peer});
  return owed > min_transfer ? owed : 0;
}

int64_t QuotaLedger::AmountToTransfer(const std::string& cell, const std::string& team,
                                      ResourceKind kind, int64_t available) const {
  const auto k = static_cast<size_t>(kind);
  const QuotaRequest* request = FindRequest(team, cell);
  if (!request || request->units[k] <= 0) return 0;
  const int64_t requested = request->units[k];
  const int64_t owed = OwedTo(cell, team, kind);
  if (owed > 0) return std::min(available, owed);
  if (OwnRequest(team).units[k] > 0) return 0;
  // Units that are unused here, less those that work here could use immediately. They are divided
  // among the cells that request them.
  auto demand = demands_.find(team);
  const int64_t growth =
      demand == demands_.end() ? 0 : ToUnits(team, kind, demand->second.additional[k]);
  const int64_t unused = std::max<int64_t>(0, available - growth);
  const int64_t all_requested = RequestedByPeers(team, k);
  if (all_requested <= 0) return 0;
  const auto share = static_cast<__int128>(unused) * requested / std::max(requested, all_requested);
  return std::min(requested, static_cast<int64_t>(share));
}

ResourceAmounts QuotaLedger::AmountsToTransfer(const std::string& cell,
                                               const std::string& team) const {
  ResourceAmounts amounts{};
  for (size_t i = 0; i < kResourceKinds; ++i) {
    const auto kind = static_cast<ResourceKind>(i);
    if (Total(team, kind) >= kUnlimited) continue;
    const int64_t kept = std::max(shares_.Floor(), IsLimit(i) ? UsedUnits(team, kind) : 0);
    const int64_t held = std::min(AmountOf(records_.durable().held, team, i),
                                  AmountOf(records_.next().held, team, i));
    const int64_t available = held - kept;
    if (available <= 0) continue;
    amounts[i] = std::min(available, AmountToTransfer(cell, team, kind, available));
  }
  return amounts;
}

void QuotaLedger::StartTransfer(const std::string& cell, int64_t now_ms) {
  TransferAccount& account = records_.next().accounts[cell];
  if (account.closed || !account.in_transit.empty()) return;
  TeamAmounts transfer;
  for (const auto& [team, totals] : own_totals_) {
    const ResourceAmounts amounts = AmountsToTransfer(cell, team);
    const bool any = std::any_of(amounts.begin(), amounts.end(), [](int64_t n) { return n > 0; });
    if (any) transfer[team] = amounts;
  }
  if (transfer.empty()) return;
  for (const auto& [team, amounts] : transfer) {
    ResourceAmounts& held = NextHeld(team);
    ResourceAmounts& net_sent = account.net_sent[team];
    for (size_t i = 0; i < kResourceKinds; ++i) {
      held[i] -= amounts[i];
      net_sent[i] += amounts[i];
    }
    BeginReclaimDelay(team, now_ms);
  }
  ++account.sent;
  account.in_transit = transfer;
}

void QuotaLedger::BeginReclaimDelay(const std::string& team, int64_t now_ms) {
  ReclaimDelay& delay = reclaim_delays_[team];
  const bool recent =
      now_ms - delay.transferred_at_ms < 2 * shares_.settings().max_reclaim_delay_ms;
  delay.transferred_at_ms = now_ms;
  if (!recent) delay.delay_ms = shares_.settings().min_reclaim_delay_ms;
}

// If units are needed again soon after their transfer, the next request to return them is delayed
// for longer.
void QuotaLedger::ExtendReclaimDelays() {
  const int64_t max_delay = shares_.settings().max_reclaim_delay_ms;
  for (auto& [team, delay] : reclaim_delays_) {
    if (delay.transferred_at_ms == 0 || !OwnRequest(team).any()) continue;
    const int64_t elapsed = now_ms_ - delay.transferred_at_ms;
    if (elapsed < delay.delay_ms) continue;
    if (elapsed < 2 * max_delay) delay.delay_ms = std::min(max_delay, delay.delay_ms * 2);
    delay.transferred_at_ms = 0;
  }
}

// The other cell's numbers prove which transfers this cell has made and received. A record with
// lower numbers is an old copy.
void QuotaLedger::CheckTransferNumbers(const CellMessage& message) {
  const TransferAccount& account = records_.next().accounts.at(message.from);
  if (message.received > account.sent) {
    RestrictToFloor(message.from + " has received transfer " + std::to_string(message.received) +
                    ", but the last one sent in the record here is " +
                    std::to_string(account.sent) + ": the record is older than that transfer");
  } else if (message.sent > account.received + 1) {
    RestrictToFloor(message.from + " has sent transfer " + std::to_string(message.sent) +
                    ", but the last one received in the record here is " +
                    std::to_string(account.received) + ": the record is an old copy");
  }
}

void QuotaLedger::AcknowledgeTransfer(const CellMessage& message) {
  TransferAccount& account = records_.next().accounts.at(message.from);
  if (message.received == account.sent && !account.in_transit.empty() &&
      records_.durable().accounts.at(message.from).sent == account.sent) {
    account.in_transit.clear();
  }
}

void QuotaLedger::ReceiveTransfer(const CellMessage& message) {
  TransferAccount& account = records_.next().accounts.at(message.from);
  if (account.closed || message.in_transit.empty() || message.sent != account.received + 1) return;
  for (const auto& [team, amounts] : message.in_transit) {
    ResourceAmounts& held = NextHeld(team);
    ResourceAmounts& net_sent = account.net_sent[team];
    for (size_t i = 0; i < kResourceKinds; ++i) {
      held[i] += amounts[i];
      net_sent[i] -= amounts[i];
    }
  }
  account.received = message.sent;
}

CellMessage QuotaLedger::MessageTo(const std::string& cell,
                                   const std::map<std::string, QuotaRequest>& requests) const {
  const QuotaRecord& record = records_.durable();
  CellMessage message;
  message.from = shares_.settings().self;
  message.to = cell;
  message.nonce = nonce_;
  auto account = record.accounts.find(cell);
  if (account != record.accounts.end()) {
    message.sent = account->second.sent;
    message.received = account->second.received;
    message.echoed_nonce = account->second.nonce;
    if (restricted_to_floor_reason_.empty()) message.in_transit = account->second.in_transit;
  }
  message.held = record.held;
  message.totals = own_totals_;
  message.requests = requests;
  for (const auto& [name, other] : record.accounts) {
    if (other.closed) message.closed[name] = other.net_sent;
  }
  return message;
}

std::vector<CellMessage> QuotaLedger::Messages() const {
  std::vector<CellMessage> messages;
  if (!loaded_) return messages;
  const std::map<std::string, QuotaRequest> requests = RequestsToSend();
  for (const Cell& cell : shares_.settings().cells) {
    if (cell.name == shares_.settings().self || cell.removed()) continue;
    messages.push_back(MessageTo(cell.name, requests));
  }
  return messages;
}

}  // namespace badgershore::limits
