// QuotaLedger: the requests of this cell and of the others, and their order.
#include <algorithm>
#include <compare>

#include "limits/quota_ledger.h"

namespace badgershore::limits {
namespace {

constexpr int kLowestPriority = 9;  // lower than the priority of any request

struct RequestRank {
  int priority = kLowestPriority;
  int64_t waiting_since_ms = INT64_MAX;
  auto operator<=>(const RequestRank&) const = default;
};

RequestRank HighestRank(const std::map<std::string, QuotaRequest>& requests) {
  RequestRank highest;
  for (const auto& [team, request] : requests) {
    if (request.any()) {
      highest = std::min(highest, RequestRank{request.priority, request.waiting_since_ms});
    }
  }
  return highest;
}

}  // namespace

QuotaRequest QuotaLedger::OwnRequest(const std::string& team) const {
  QuotaRequest request;
  auto it = demands_.find(team);
  const Cell* self = shares_.Find(shares_.settings().self);
  if (it == demands_.end() || !self || self->draining) return request;
  const QuotaDemand& demand = it->second;
  request.waiting_since_ms = demand.waiting_since_ms;
  request.priority = demand.priority;
  request.all_or_nothing = demand.all_or_nothing;
  for (size_t i = 0; i < kResourceKinds; ++i) {
    const auto kind = static_cast<ResourceKind>(i);
    if (demand.additional[i] <= 0 || Total(team, kind) >= kUnlimited) continue;
    const int64_t needed = ToUnits(team, kind, demand.used[i] + demand.additional[i]);
    request.units[i] = std::max<int64_t>(0, needed - AmountOf(records_.next().held, team, i));
  }
  return request;
}

// A cell that has just transferred units does not request them back immediately, unless it holds
// less than an equal share.
bool QuotaLedger::DelaysReclaim(const std::string& team, const QuotaRequest& request) const {
  const int64_t equal = shares_.EqualShare();
  for (size_t i = 0; i < kResourceKinds; ++i) {
    if (request.units[i] > 0 && AmountOf(records_.durable().held, team, i) < equal) return false;
  }
  auto it = reclaim_delays_.find(team);
  return it != reclaim_delays_.end() && it->second.transferred_at_ms > 0 &&
         now_ms_ - it->second.transferred_at_ms < it->second.delay_ms;
}

std::map<std::string, QuotaRequest> QuotaLedger::RequestsToSend() const {
  std::map<std::string, QuotaRequest> requests;
  if (!restricted_to_floor_reason_.empty()) return requests;
  for (const auto& [team, demand] : demands_) {
    const QuotaRequest request = OwnRequest(team);
    if (request.any() && !DelaysReclaim(team, request)) requests[team] = request;
  }
  return requests;
}

const QuotaRequest* QuotaLedger::FindRequest(const std::string& team,
                                             const std::string& cell) const {
  auto peer = peers_.find(cell);
  if (peer == peers_.end()) return nullptr;
  auto request = peer->second.message.requests.find(team);
  return request == peer->second.message.requests.end() ? nullptr : &request->second;
}

int64_t QuotaLedger::RequestedByPeers(const std::string& team, size_t kind) const {
  int64_t sum = 0;
  for (const auto& [cell, peer] : peers_) {
    const QuotaRequest* request = FindRequest(team, cell);
    if (request && peer.responded && shares_.IsActive(cell)) sum += request->units[kind];
  }
  return sum;
}

bool QuotaLedger::HasWaitingWork(const std::string& team, size_t kind) const {
  auto it = demands_.find(team);
  return it != demands_.end() && it->second.additional[kind] > 0;
}

std::vector<std::string> QuotaLedger::CellsByPriority() const {
  std::vector<std::string> cells;
  for (const auto& [cell, peer] : peers_)
    if (shares_.IsActive(cell)) cells.push_back(cell);
  std::stable_sort(cells.begin(), cells.end(), [this](const std::string& a, const std::string& b) {
    return HighestRank(peers_.at(a).message.requests) < HighestRank(peers_.at(b).message.requests);
  });
  return cells;
}

}  // namespace badgershore::limits
