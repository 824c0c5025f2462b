#include "core/election/election.h"

namespace badgershore {
namespace {

// Stagger between the first attempts of candidates at successive election positions.
constexpr Micros kPositionDelay = Millis(120);
// Additional delay of all other candidates when the previous leader named a successor.
constexpr Micros kSuccessorDelay = Millis(600);
// Delay before the next attempt, plus the second one for each election position.
constexpr Micros kRetryDelay = Millis(400);
constexpr Micros kRetryPositionDelay = Millis(150);
constexpr Micros kRenewRetryDelay = Millis(150);
// Share of the lease duration after which the lease is renewed.
constexpr double kRenewLeaseShare = 0.2;
// Leaves time for messages that are in flight when the lease expires.
constexpr Micros kLeaseMargin = Millis(50);

}  // namespace

Election::Election(Outbox* outbox, std::string member, int position, Micros lease_duration,
                   Callbacks callbacks)
    : outbox_(outbox),
      member_(std::move(member)),
      position_(position),
      lease_duration_(lease_duration),
      callbacks_(std::move(callbacks)),
      control_cache_(
          outbox, keys::kControl,
          [this](Micros now, const Entry& entry) { OnControlEntry(now, entry); }, [](Micros) {}) {}

Micros Election::LeaseValidUntil(Micros sent) const {
  return sent + lease_duration_.Scaled(1 - kClockDrift) - kLeaseMargin;
}

void Election::OnControlEntry(Micros now, const Entry& entry) {
  if (entry.key == keys::kLeader) {
    OnLeaderEntry(now, entry);
  } else if (entry.key == keys::kSuccessor) {
    OnSuccessorEntry(now, entry);
  } else if (entry.key == keys::kTerm) {
    OnTermEntry(entry);
  } else {
    callbacks_.on_control_entry(now, entry);
  }
}

void Election::OnLeaderEntry(Micros now, const Entry& entry) {
  // The watch may still deliver versions that are older than this member's own election.
  if (entry.version < last_leader_version_) return;
  last_leader_version_ = entry.version;
  // The key was deleted or another member wrote it: this term has ended, even if the lease has not
  // expired by the local clock.
  if (leads() && entry.version > term_version_) StepDown(now, "the leader key has changed");
  leader_version_ = entry.deleted ? 0 : entry.version;
  leader_.clear();
  const auto* record = std::get_if<LeaderRecord>(&entry.value);
  if (record && !entry.deleted) leader_ = record->leader;
  // If the first list names this member, its previous process wrote the key. That process has
  // ended, since this one is bound to the same address, so its lease need not expire first.
  if (!control_cache_.synced() && !leads() && leader_ == member_) {
    previous_process_version_ = entry.version;
    leader_.clear();
  }
  if (entry.deleted) {
    leader_deleted_version_ = entry.version;
    ScheduleCandidacy(now);
  }
}

void Election::OnSuccessorEntry(Micros now, const Entry& entry) {
  const auto* record = std::get_if<LeaderRecord>(&entry.value);
  successor_ = record && !entry.deleted ? record->leader : "";
  successor_version_ = entry.version;
  if (leader_version_ == 0) ScheduleCandidacy(now);
}

void Election::OnTermEntry(const Entry& entry) {
  const auto* record = std::get_if<TermRecord>(&entry.value);
  if (!record || entry.deleted) return;
  seen_term_ = record->term;
  seen_term_version_ = entry.version;
}

// If the transaction that deleted the leader key named a successor, that member becomes a candidate
// at once and the others wait for it. Otherwise candidates are staggered by election position.
void Election::ScheduleCandidacy(Micros now) {
  const Micros by_position = now + kPositionDelay.Scaled(position_);
  if (successor_version_ == 0 || successor_version_ != leader_deleted_version_) {
    candidacy_at_ = std::max(candidacy_at_, by_position);
  } else if (successor_ == member_) {
    candidacy_at_ = now;
  } else {
    candidacy_at_ = std::max(candidacy_at_, by_position + kSuccessorDelay);
  }
}

void Election::HandOver(Micros, const std::string& successor) {
  handover_requested_ = true;
  if (!leads() || handover_in_flight_) return;
  handover_in_flight_ = true;
  StateRequest commit;
  commit.kind = StateRequest::Kind::kCompareAndSwap;
  commit.preconditions = {{keys::kTerm, term_version_}, {keys::kLeader, leader_version_}};
  commit.mutations = {{keys::kLeader, true, {}, 0},
                      {keys::kSuccessor, false, LeaderRecord{successor, term_}, 0}};
  outbox_->SendState(commit, [this, successor](Micros now, StateResponse& response) {
    handover_in_flight_ = false;
    if (!leads() || response.outcome == StateResponse::Outcome::kRefused) return;
    // If the outcome is unknown, StepDown still revokes the lease, which deletes the leader key;
    // the successor record may then be missing.
    StepDown(now, "handing over to " + (successor.empty() ? "the first candidate" : successor));
  });
}

void Election::Tick(Micros now) {
  control_cache_.Tick(now);
  if (role_ == Role::kFollower && !handover_requested_ && control_cache_.synced() &&
      IsLeaderKeyVacant() && now >= candidacy_at_) {
    StartCandidacy(now);
  }
  if (leads() && !renewing_ && now >= renew_at_) Renew(now);
}

void Election::StartCandidacy(Micros now) {
  role_ = Role::kCandidate;
  candidacy_at_ = now + kRetryDelay + kRetryPositionDelay.Scaled(position_);
  StateRequest grant;
  grant.kind = StateRequest::Kind::kGrantLease;
  grant.duration = lease_duration_;
  outbox_->SendState(grant, [this, sent = now](Micros, StateResponse& response) {
    if (!response.ok()) {
      role_ = Role::kFollower;
      return;
    }
    WriteTerm(sent, response.lease);
  });
}

void Election::WriteTerm(Micros sent, uint64_t lease) {
  const uint64_t term = std::max(seen_term_, highest_seen_fencing_token_) + 1;
  StateRequest commit;
  commit.kind = StateRequest::Kind::kCompareAndSwap;
  commit.preconditions = {{keys::kLeader, IsLeaderKeyVacant() ? leader_version_ : 0},
                          {keys::kTerm, seen_term_version_}};
  commit.mutations = {{keys::kLeader, false, LeaderRecord{member_, term}, lease},
                      {keys::kTerm, false, TermRecord{term, member_}, 0}};
  outbox_->SendState(commit, [this, sent, lease, term](Micros now, StateResponse& response) {
    if (!response.ok()) {
      // If the outcome is unknown, the commit may have succeeded or may succeed later. Revoking the
      // lease keeps a delayed commit from holding the leader key while no member leads.
      role_ = Role::kFollower;
      return RevokeLease(lease);
    }
    OnElected(now, sent, lease, term, response.revision);
  });
}

void Election::OnElected(Micros now, Micros sent, uint64_t lease, uint64_t term,
                         uint64_t revision) {
  role_ = Role::kLeader;
  term_ = seen_term_ = term;
  term_version_ = seen_term_version_ = revision;
  leader_ = member_;
  leader_version_ = last_leader_version_ = revision;
  lease_id_ = lease;
  lease_until_ = LeaseValidUntil(sent);
  confirmed_at_ = sent;
  renew_at_ = now;
  renewing_ = false;
  callbacks_.on_elected(now);
}

void Election::RevokeLease(uint64_t lease) {
  StateRequest revoke;
  revoke.kind = StateRequest::Kind::kRevokeLease;
  revoke.lease = lease;
  outbox_->SendState(revoke, [](Micros, StateResponse&) {});
}

void Election::Renew(Micros now) {
  renewing_ = true;
  StateRequest renew;
  renew.kind = StateRequest::Kind::kRenewLease;
  renew.lease = lease_id_;
  outbox_->SendState(renew, [this, sent = now, term = term_](Micros now, StateResponse& response) {
    if (!leads() || term != term_) return;
    renewing_ = false;
    if (response.ok()) {
      lease_until_ = LeaseValidUntil(sent);
      confirmed_at_ = sent;
      renew_at_ = sent + lease_duration_.Scaled(kRenewLeaseShare);
    } else if (response.outcome == StateResponse::Outcome::kNotFound) {
      StepDown(now, "lease expired");
    } else {
      renew_at_ = now + kRenewRetryDelay;
    }
  });
}

std::string Election::Fingerprint(Micros now) const {
  const auto relative = [now](Micros at) {
    return std::to_string(std::max(Micros{-1}, at - now).count) + ' ';
  };
  std::string out = std::to_string(static_cast<int>(role_)) + ' ' + std::to_string(term_) + ' ' +
                    std::to_string(term_version_) + ' ' + std::to_string(lease_id_) + ' ';
  out += relative(lease_until_) + relative(renew_at_) + relative(candidacy_at_) + leader_ + ' ' +
         successor_ + ' ';
  for (const uint64_t n :
       {leader_version_, last_leader_version_, seen_term_, seen_term_version_,
        highest_seen_fencing_token_, successor_version_, leader_deleted_version_}) {
    out += std::to_string(n) + ' ';
  }
  return out + (renewing_ ? "r" : "") + (handover_requested_ ? "e" : "") +
         (handover_in_flight_ ? "h" : "") + (control_cache_.synced() ? "s" : "");
}

void Election::StepDown(Micros now, const std::string& reason, Micros pause) {
  if (!leads()) return;
  outbox_->Info("stepping down from term " + std::to_string(term_) + ": " + reason);
  role_ = Role::kFollower;
  if (leader_ == member_) leader_.clear();
  candidacy_at_ = now + pause;
  RevokeLease(lease_id_);
  callbacks_.on_lost(now);
}

}  // namespace badgershore
