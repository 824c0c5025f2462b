// Leader election of one cell through the state service: a key under a lease and a counted term.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <string>

#include "core/outbox/key_range_cache.h"
#include "core/outbox/outbox.h"

namespace badgershore {

// Share of a span by which the clocks of two hosts may run apart: twice the protocol's bound.
constexpr double kClockDrift = 0.001;

// Stands for the leader key when it is free, renews its lease while leading, and steps down when
// the lease can't be renewed in time or the key is seen to have changed. What a leader does with
// its term is up to the callbacks.
class Election {
 public:
  struct Callbacks {
    std::function<void(Micros)> on_elected;
    std::function<void(Micros)> on_lost;
    // Entries under the control prefix that are not the election's own.
    std::function<void(Micros, const Entry&)> on_control_entry;
  };
  // `position`: how many members go first when nobody leads. `lease`: the leader lease's duration.
  Election(Outbox* outbox, std::string member, int position, Micros lease, Callbacks callbacks);

  void Tick(Micros now);
  // Ends the term and revokes the lease; does not stand again before `now + pause`. No effect on a
  // follower.
  void StepDown(Micros now, const std::string& reason, Micros pause = Millis(500));

  // Deletes the leader key and names `successor` in one transaction, and never stands again. From
  // here on MayStart is false. Call again until `handed_over` or the lease has expired.
  void HandOver(Micros now, const std::string& successor);
  bool handed_over() const { return handover_requested_ && role_ == Role::kFollower; }

  void SetPosition(int position) { position_ = position; }
  bool leads() const { return role_ == Role::kLeader; }
  // The lease surely holds at `now`, counted from when its last renewal was sent.
  bool MayStart(Micros now) const { return leads() && !handover_requested_ && now < lease_until_; }
  // What is decided now may leave this process until then.
  Micros lease_until() const { return lease_until_; }
  // When the last renewal that the state service confirmed was sent.
  Micros confirmed_at() const { return confirmed_at_; }
  uint64_t term() const { return term_; }
  // Version of the term record that this leader wrote: a precondition of all its transactions.
  uint64_t term_version() const { return term_version_; }
  // The leader as the state service shows it; empty: none.
  const std::string& leader() const { return leader_; }
  uint64_t seen_term() const { return seen_term_; }
  // A fencing token seen at a worker: the next term must be above it.
  void NoteFencingToken(uint64_t fencing_token) {
    seen_fencing_token_ = std::max(seen_fencing_token_, fencing_token);
  }
  bool synced() const { return control_cache_.synced(); }
  // The whole state with times relative to `now`, for state space exploration: equal for two
  // elections that behave alike from here on.
  std::string Fingerprint(Micros now) const;

 private:
  enum class Role { kFollower, kCandidate, kLeader };
  void StartCandidacy(Micros now);
  // Writes the leader key and the term under `lease`, which was requested at `sent`.
  void WriteTerm(Micros sent, uint64_t lease);
  void OnElected(Micros now, Micros sent, uint64_t lease, uint64_t term, uint64_t revision);
  void RevokeLease(uint64_t lease);
  // The leader key is absent, or was left by this member's previous run.
  bool Vacant() const { return leader_version_ == 0 || leader_version_ == previous_run_version_; }
  void Renew(Micros now);
  void ScheduleCandidacy(Micros now);
  void OnControlEntry(Micros now, const Entry& entry);
  void OnLeaderEntry(Micros now, const Entry& entry);
  void OnSuccessorEntry(Micros now, const Entry& entry);
  void OnTermEntry(const Entry& entry);
  // Until when a lease requested at `sent` may be relied on here.
  Micros UsableLease(Micros sent) const;

  Outbox* outbox_;
  std::string member_;
  int position_;
  Micros lease_;
  Callbacks callbacks_;
  KeyRangeCache control_cache_;
  Role role_ = Role::kFollower;
  uint64_t term_ = 0;
  uint64_t term_version_ = 0;
  uint64_t lease_id_ = 0;
  Micros lease_until_;
  Micros confirmed_at_;
  Micros renew_at_;
  // Version of the leader key as first read, if it named this member: its previous run's.
  uint64_t previous_run_version_ = 0;
  bool renewing_ = false;
  bool handover_requested_ = false;
  bool handover_in_flight_ = false;
  // Whom the last leader named, and the versions of that record and of the leader key's deletion.
  std::string successor_;
  uint64_t successor_version_ = 0;
  uint64_t vacated_version_ = 0;
  // As the state service shows them. leader_version_ is 0 while the key is absent.
  std::string leader_;
  uint64_t leader_version_ = 0;
  uint64_t last_leader_version_ = 0;
  uint64_t seen_term_ = 0;
  uint64_t seen_term_version_ = 0;
  uint64_t seen_fencing_token_ = 0;
  Micros candidacy_at_;
};

}  // namespace badgershore
