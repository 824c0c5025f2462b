// Leader election of one cell through the state service: a leader key bound to a lease, and a term
// number that increases with each election.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <string>

#include "core/outbox/key_range_cache.h"
#include "core/outbox/outbox.h"

namespace badgershore {

// Maximum relative drift between the clocks of two hosts: twice the bound that the protocol gives.
constexpr double kClockDrift = 0.001;

// Becomes a candidate when the leader key is absent, renews the lease while leading, and steps down
// when the lease has expired or the leader key has changed. The callbacks do the leader's work.
class Election {
 public:
  struct Callbacks {
    std::function<void(Micros)> on_elected;
    std::function<void(Micros)> on_lost;
    // Called for entries under the control prefix that do not belong to the election.
    std::function<void(Micros, const Entry&)> on_control_entry;
  };
  // `position`: number of members that become candidates before this one when there is no leader.
  // `lease_duration`: of the leader lease.
  Election(Outbox* outbox, std::string member, int position, Micros lease_duration,
           Callbacks callbacks);

  void Tick(Micros now);
  // Ends the term and revokes the lease; this member is not a candidate again before `now + pause`.
  // No effect on a follower.
  void StepDown(Micros now, const std::string& reason, Micros pause = Millis(500));

  // Deletes the leader key and names `successor` in one transaction. From this call on this member
  // starts nothing new and is never a candidate again. Call it repeatedly until `handed_over` is
  // true or the lease has expired.
  void HandOver(Micros now, const std::string& successor);
  bool handed_over() const { return handover_requested_ && role_ == Role::kFollower; }

  void SetPosition(int position) { position_ = position; }
  bool leads() const { return role_ == Role::kLeader; }
  // Whether the lease is certain to be valid at `now`, measured from the send time of its last
  // successful renewal.
  bool MayStart(Micros now) const { return leads() && !handover_requested_ && now < lease_until_; }
  // Messages that depend on the lease may leave this process until this time.
  Micros lease_until() const { return lease_until_; }
  // Send time of the last renewal (or grant) that the state service confirmed.
  Micros confirmed_at() const { return confirmed_at_; }
  uint64_t term() const { return term_; }
  // Version of the term record that this leader wrote. It is a precondition of all the leader's
  // transactions.
  uint64_t term_version() const { return term_version_; }
  // The leader according to the state service; empty if there is none.
  const std::string& leader() const { return leader_; }
  uint64_t seen_term() const { return seen_term_; }
  // Revision of the state service at which the leader key last changed, as far as it is known here;
  // 0: unknown. Every leader that was elected before it has stopped starting tasks.
  uint64_t leader_changed_at() const { return last_leader_version_; }
  // Records a fencing token that an agent reported; the next term must be greater.
  void NoteFencingToken(uint64_t fencing_token) {
    highest_seen_fencing_token_ = std::max(highest_seen_fencing_token_, fencing_token);
  }
  bool synced() const { return control_cache_.synced(); }
  // The complete state with times relative to `now`, for state space exploration. Two elections
  // with equal fingerprints behave the same from then on.
  std::string Fingerprint(Micros now) const;

 private:
  enum class Role { kFollower, kCandidate, kLeader };
  void StartCandidacy(Micros now);
  // Writes the leader key, bound to `lease`, and the term. `sent`: when the lease was requested.
  void WriteTerm(Micros sent, uint64_t lease);
  void OnElected(Micros now, Micros sent, uint64_t lease, uint64_t term, uint64_t revision);
  void RevokeLease(uint64_t lease);
  // The leader key is absent, or was written by this member's previous process.
  bool IsLeaderKeyVacant() const {
    return leader_version_ == 0 || leader_version_ == previous_process_version_;
  }
  void Renew(Micros now);
  void ScheduleCandidacy(Micros now);
  void OnControlEntry(Micros now, const Entry& entry);
  void OnLeaderEntry(Micros now, const Entry& entry);
  void OnSuccessorEntry(Micros now, const Entry& entry);
  void OnTermEntry(const Entry& entry);
  // Until when a lease that was requested or renewed at `sent` is certain to be valid by the
  // local clock.
  Micros LeaseValidUntil(Micros sent) const;

  Outbox* outbox_;
  std::string member_;
  int position_;
  Micros lease_duration_;
  Callbacks callbacks_;
  KeyRangeCache control_cache_;
  Role role_ = Role::kFollower;
  uint64_t term_ = 0;
  uint64_t term_version_ = 0;
  uint64_t lease_id_ = 0;
  Micros lease_until_;
  Micros confirmed_at_;
  Micros renew_at_;
  // Version of the leader key in the first list if it named this member, so that its previous
  // process wrote it.
  uint64_t previous_process_version_ = 0;
  bool renewing_ = false;
  bool handover_requested_ = false;
  bool handover_in_flight_ = false;
  // The successor that the last leader named, and the versions of that record and of the deletion
  // of the leader key.
  std::string successor_;
  uint64_t successor_version_ = 0;
  uint64_t leader_deleted_version_ = 0;
  // As last read from the state service. leader_version_ is 0 while the key is absent.
  std::string leader_;
  uint64_t leader_version_ = 0;
  uint64_t last_leader_version_ = 0;
  uint64_t seen_term_ = 0;
  uint64_t seen_term_version_ = 0;
  uint64_t highest_seen_fencing_token_ = 0;
  Micros candidacy_at_;
};

}  // namespace badgershore
