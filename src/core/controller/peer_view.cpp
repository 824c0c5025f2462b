#include "core/controller/peer_view.h"

#include <compare>
#include <utility>

namespace badgershore {
namespace {

// Peers send their status twice a second. A status counts as recent up to the first age and is
// ignored after the second.
constexpr Micros kRecentStatusAge = Millis(1500);
constexpr Micros kStatusExpiry = Seconds(3);

// The member with the smallest rank is the first candidate.
struct CandidateRank {
  bool suspected = false;
  bool state_service_unreachable = false;
  bool without_heartbeats = false;
  std::string name;
  auto operator<=>(const CandidateRank&) const = default;
};

struct SuccessorRank {
  bool state_service_unreachable = false;
  bool without_heartbeats = false;
  auto operator<=>(const SuccessorRank&) const = default;
};

}  // namespace

void PeerView::CreateMembers(int64_t time_of_day_ms) {
  membership::Settings settings;
  settings.self = settings_->member;
  uint64_t seed = 0;
  for (const char c : settings_->member) seed = seed * 131 + static_cast<unsigned char>(c);
  for (const auto& member : settings_->members) settings.others.push_back(member.name);
  members_.emplace(std::move(settings), static_cast<uint64_t>(time_of_day_ms), seed);
}

void PeerView::Tick(Micros now, int64_t time_of_day_ms) {
  if (!members_) CreateMembers(time_of_day_ms);
  members_->SetReachability(connectivity_->StateServiceReachable(now),
                            connectivity_->ReceivesHeartbeats(now));
  members_->Tick(now);
  SendMembershipMessages();
  LogSuspicions(now);
}

void PeerView::SendMembershipMessages() {
  for (auto& message : members_->Take()) {
    outbox_->effects.membership_messages.push_back(std::move(message));
  }
}

void PeerView::LogSuspicions(Micros now) {
  for (const auto& member : settings_->members) {
    const std::string& name = member.name;
    const bool confirmed = members_->IsSuspicionConfirmed(now, name);
    if (confirmed && logged_suspects_.insert(name).second) {
      const auto& suspected_by = members_->Find(name)->suspected_by;
      outbox_->Info("peer " + name + " suspected by " + std::to_string(suspected_by.size()) +
                    " members");
    } else if (!confirmed && members_->Find(name)->state == membership::State::kAlive &&
               logged_suspects_.erase(name) > 0) {
      outbox_->Info("peer " + name + " is alive again");
    }
  }
}

void PeerView::OnMembershipMessage(Micros now, const membership::Message& message) {
  if (!members_) return;
  members_->OnMessage(now, message);
  SendMembershipMessages();
}

void PeerView::Leave(Micros now) {
  if (!members_) return;
  members_->Leave(now);
  SendMembershipMessages();
}

void PeerView::OnStatus(Micros now, const PeerStatus& status) {
  peers_[status.from] = Peer{now, status};
  if (status.leader == status.from && status.term >= job_statuses_term_) {
    job_statuses_term_ = status.term;
    job_statuses_.clear();
    for (const JobStatus& job : status.job_statuses) job_statuses_[job.job] = job;
  }
  peers_[status.from].status.job_statuses.clear();
}

int PeerView::ElectionPosition(Micros now) const {
  const CandidateRank own{members_->IsIsolated(now), !connectivity_->StateServiceReachable(now),
                          !connectivity_->ReceivesHeartbeats(now), settings_->member};
  int position = 0;
  for (const auto& member : settings_->members) {
    const membership::Members::View* view = members_->Find(member.name);
    const bool suspected = view->state != membership::State::kAlive || view->heard_at.count < 0;
    position += CandidateRank{suspected, !view->state_service_reachable, !view->receives_heartbeats,
                              member.name} < own;
  }
  return position;
}

std::string PeerView::PreferredSuccessor(Micros now) const {
  std::string best;
  SuccessorRank best_rank;
  for (const auto& [name, peer] : peers_) {
    if (now - peer.received_at > kRecentStatusAge) continue;
    const membership::Members::View* view = members_ ? members_->Find(name) : nullptr;
    if (view && view->state != membership::State::kAlive) continue;
    const SuccessorRank rank{!peer.status.state_service_reachable,
                             !peer.status.receives_heartbeats};
    if (best.empty() || rank < best_rank) {
      best = name;
      best_rank = rank;
    }
  }
  return best;
}

std::string PeerView::PeerReceivingHeartbeats(Micros now) const {
  for (const auto& [name, peer] : peers_) {
    if (now - peer.received_at <= kRecentStatusAge && peer.status.state_service_reachable &&
        peer.status.receives_heartbeats) {
      return name;
    }
  }
  return "";
}

std::string PeerView::LeaderName(Micros now, uint64_t term, std::string leader) const {
  for (const auto& [name, peer] : peers_) {
    if (now - peer.received_at > kStatusExpiry || peer.status.leader.empty()) continue;
    if (peer.status.term > term || (peer.status.term == term && leader.empty())) {
      term = peer.status.term;
      leader = peer.status.leader;
    }
  }
  return leader == settings_->member ? "" : leader;
}

bool PeerView::StateServiceReachableFromPeer(Micros now) const {
  for (const auto& [name, peer] : peers_) {
    if (now - peer.received_at < kStatusExpiry && peer.status.state_service_reachable) return true;
  }
  return false;
}

JobStatus PeerView::StatusOf(const std::string& job) const {
  auto it = job_statuses_.find(job);
  return it == job_statuses_.end() ? JobStatus{job, 0, 0} : it->second;
}

}  // namespace badgershore
