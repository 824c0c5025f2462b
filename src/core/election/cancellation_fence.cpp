#include "core/election/cancellation_fence.h"

#include "core/election/leader_authority.h"

namespace badgershore {
namespace {

// Leaves time for a start that is in flight when the leader's knowledge expires.
constexpr Micros kDeliveryMargin = Millis(50);

}  // namespace

CancellationFence::CancellationFence(const Election* election, Micros leader_lease)
    : election_(election),
      knowledge_expiry_(
          LeaderAuthority::CancellationKnowledgeSpan(leader_lease).Scaled(1 + kClockDrift) +
          kDeliveryMargin) {}

bool CancellationFence::Add(Micros now, const std::string& job, uint64_t revision) {
  return cancellations_.emplace(job, Cancellation{now, revision, false}).second;
}

void CancellationFence::OnLeaderConfirmed(const std::string& job) {
  auto it = cancellations_.find(job);
  if (it != cancellations_.end()) it->second.leader_confirmed = true;
}

CancellationFence::Basis CancellationFence::Check(Micros now, const std::string& job) const {
  auto it = cancellations_.find(job);
  if (it == cancellations_.end()) return Basis::kNone;
  const Cancellation& cancellation = it->second;
  if (cancellation.leader_confirmed) return Basis::kLeaderConfirmed;
  if (cancellation.revision < election_->leader_changed_at()) return Basis::kLeaderChanged;
  if (now - cancellation.known_since >= knowledge_expiry_) return Basis::kKnowledgeExpired;
  return Basis::kNone;
}

Micros CancellationFence::Age(Micros now, const std::string& job) const {
  auto it = cancellations_.find(job);
  return it == cancellations_.end() ? Micros{} : now - it->second.known_since;
}

std::vector<std::string> CancellationFence::Jobs(size_t limit) const {
  std::vector<std::string> jobs;
  for (const auto& [job, cancellation] : cancellations_) {
    if (jobs.size() >= limit) break;
    jobs.push_back(job);
  }
  return jobs;
}

const char* Name(CancellationFence::Basis basis) {
  switch (basis) {
    case CancellationFence::Basis::kNone:
      return "none";
    case CancellationFence::Basis::kLeaderConfirmed:
      return "the leader has confirmed it";
    case CancellationFence::Basis::kLeaderChanged:
      return "the leader has changed";
    case CancellationFence::Basis::kKnowledgeExpired:
      return "no leader may act without having read it";
  }
  return "none";
}

}  // namespace badgershore
