// What this controller knows of its peers: membership, their last statuses, and from both who
// should lead.
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

// Suspicions only order the candidates and name a successor. That a lease has expired is for the
// state service to say.
class PeerView {
 public:
  PeerView(const PlatformSettings* settings, const Connectivity* connectivity, Outbox* outbox)
      : settings_(settings), connectivity_(connectivity), outbox_(outbox) {}

  // `time_of_day_ms` numbers this run of the process among the member's runs.
  void Tick(Micros now, int64_t time_of_day_ms);
  void OnMembershipMessage(Micros now, const membership::Message& message);
  void OnStatus(Micros now, const PeerStatus& status);
  // Tells the members that this one leaves.
  void Leave(Micros now);

  // How many members go before this one when nobody leads: those that seem alive and reach more.
  int ElectionPosition(Micros now) const;
  // The peer to hand leadership to: of those heard lately first who reaches the state service, then
  // who receives heartbeats, then by name. Empty: none was heard.
  std::string PreferredSuccessor(Micros now) const;
  // A peer heard lately that reaches the state service and receives heartbeats; empty: none.
  std::string PeerReceivingHeartbeats(Micros now) const;
  // The leader by the highest term known, of the state service's (`term`, `leader`) and the peers'
  // statuses. Empty: unknown, or this controller.
  std::string LeaderName(Micros now, uint64_t term, std::string leader) const;
  // Some peer heard lately reaches the state service.
  bool StateServiceReachableFromPeer(Micros now) const;
  // Counts of a live job as the leader last sent them; zero when unknown.
  JobStatus StatusOf(const std::string& job) const;

  // Null before the first tick.
  const membership::Members* members() const { return members_ ? &*members_ : nullptr; }

 private:
  struct Peer {
    Micros heard_at;
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
