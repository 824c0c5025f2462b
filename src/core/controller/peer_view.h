// This controller's knowledge of its peers: the membership and their last statuses, and from both
// the election position and the preferred successor.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

#include "core/controller/connectivity.h"
#include "core/model/settings.h"
#include "core/outbox/outbox.h"
#include "membership/members.h"

namespace badgershore {

// Suspicions only determine the order of the candidates and the successor. Only the state service
// decides whether a leader lease has expired.
class PeerView {
 public:
  PeerView(const PlatformSettings* settings, const Connectivity* connectivity, Outbox* outbox)
      : settings_(settings), connectivity_(connectivity), outbox_(outbox) {}

  // `time_of_day_ms` at the first call distinguishes this process from the member's earlier ones.
  void Tick(Micros now, int64_t time_of_day_ms);
  void OnMembershipMessage(Micros now, const membership::Message& message);
  void OnStatus(Micros now, const PeerStatus& status);
  // Announces to the other members that this one leaves.
  void Leave(Micros now);

  // Number of members that become candidates before this one when there is no leader. Members that
  // are not suspected go first, then those that reach the state service, then those that receive
  // heartbeats, then by name.
  int ElectionPosition(Micros now) const;
  // The peer to hand leadership over to, among those with a recent status: preferably one that
  // reaches the state service, then one that receives heartbeats, then the first by name. Empty if
  // there is none.
  std::string PreferredSuccessor(Micros now) const;
  // A peer with a recent status that reaches the state service and receives heartbeats; empty if
  // there is none.
  std::string PeerReceivingHeartbeats(Micros now) const;
  // The leader of the highest known term, according to the state service (`term`, `leader`) and the
  // peers' statuses. Empty if it is unknown or this controller.
  std::string LeaderName(Micros now, uint64_t term, std::string leader) const;
  // Whether some peer whose status has not expired reaches the state service.
  bool StateServiceReachableFromPeer(Micros now) const;
  // Task counts of a live job as the leader last sent them; zero if unknown.
  JobStatus StatusOf(const std::string& job) const;

  // Null before the first tick.
  const membership::Members* members() const { return members_ ? &*members_ : nullptr; }

 private:
  struct Peer {
    Micros received_at;
    PeerStatus status;
  };
  void CreateMembers(int64_t time_of_day_ms);
  void SendMembershipMessages();
  void LogSuspicions(Micros now);

  const PlatformSettings* settings_;
  const Connectivity* connectivity_;
  Outbox* outbox_;
  std::map<std::string, Peer> peers_;
  std::optional<membership::Members> members_;
  std::set<std::string> logged_suspects_;
  std::unordered_map<std::string, JobStatus> job_statuses_;
  uint64_t job_statuses_term_ = 0;
};

}  // namespace badgershore
