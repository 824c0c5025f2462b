#include "core/election/election.h"

namespace badgershore {

namespace {
constexpr Micros kNamedFirst = Millis(600);  // others wait so long for who was named
}  // namespace

Election::Election(Outbox* outbox, std::string member, int position, Micros lease,
                   Callbacks callbacks)
    : outbox_(outbox),
      member_(std::move(member)),
      position_(position),
      lease_(lease),
      callbacks_(std::move(callbacks)),
      control_cache_(
          outbox, keys::kControl, [this](Micros now, const Entry& e) { OnControl(now, e); },
          [](Micros) {}) {}

void Election::OnControl(Micros now, const Entry& e) {
  if (e.key == keys::kLeader) {
    // The watch may still deliver what came before our own win.
    if (e.version < lead_revision_) return;
    lead_revision_ = e.version;
    // Gone, or somebody else's: our lease is over, whatever our clock says.
    if (leads() && e.version > term_stamp_) StepDown(now, "the lead key has changed");
    lead_stamp_ = e.deleted ? 0 : e.version;
    leader_.clear();
    const auto* lead = std::get_if<LeaderRecord>(&e.value);
    if (lead && !e.deleted) leader_ = lead->leader;
    // Only what was there before the first look can be a last life's. It is over: this process has
    // its address. Its lease need not be waited out, and its word counts for nothing.
    if (!control_cache_.synced() && !leads() && leader_ == member_) {
      last_life_ = e.version;
      leader_.clear();
    }
    if (e.deleted) {
      free_stamp_ = e.version;
      WaitForTurn(now);
    }
  } else if (e.key == keys::kSuccessor) {
    const auto* named = std::get_if<LeaderRecord>(&e.value);
    next_ = named && !e.deleted ? named->leader : "";
    next_stamp_ = e.version;
    if (lead_stamp_ == 0) WaitForTurn(now);
  } else if (e.key == keys::kTerm) {
    if (const auto* term = std::get_if<TermRecord>(&e.value); term && !e.deleted) {
      seen_term_ = term->term;
      seen_term_stamp_ = e.version;
    }
  } else {
    callbacks_.control(now, e);
  }
}

// Who was named goes at once and the others wait for it; else one after the other.
void Election::WaitForTurn(Micros now) {
  if (next_stamp_ == 0 || next_stamp_ != free_stamp_) {
    stand_at_ = std::max(stand_at_, now + Millis(120).Scaled(position_));
  } else if (next_ == member_) {
    stand_at_ = now;
  } else {
    stand_at_ = std::max(stand_at_, now + kNamedFirst + Millis(120).Scaled(position_));
  }
}

void Election::HandOver(Micros now, const std::string& successor) {
  retiring_ = true;
  if (!leads() || handing_over_) return;
  handing_over_ = true;
  StateRequest commit;
  commit.kind = StateRequest::Kind::kCompareAndSwap;
  commit.preconditions = {{keys::kTerm, term_stamp_}, {keys::kLeader, lead_stamp_}};
  commit.mutations = {{keys::kLeader, true, {}, 0},
                      {keys::kSuccessor, false, LeaderRecord{successor, term_}, 0}};
  (void)now;
  outbox_->SendState(commit, [this, successor](Micros t, StateResponse& r) {
    handing_over_ = false;
    // Done, or told so by the watch meanwhile; without an answer the lease is ended, which is the
    // same but for the name.
    if (!leads() || r.outcome == StateResponse::Outcome::kRefused) return;
    StepDown(t, "handing over to " + (successor.empty() ? "whoever stands first" : successor));
  });
}

void Election::Tick(Micros now) {
  control_cache_.Tick(now);
  if (role_ == Role::kFollower && !retiring_ && control_cache_.synced() && Vacant() &&
      now >= stand_at_) {
    Stand(now);
  }
  if (leads() && !renewing_ && now >= renew_at_) Renew(now);
}

void Election::Stand(Micros now) {
  role_ = Role::kCandidate;
  stand_at_ = now + Millis(400) + Millis(150).Scaled(position_);
  StateRequest grant;
  grant.kind = StateRequest::Kind::kGrantLease;
  grant.duration = lease_;
  outbox_->SendState(grant, [this, sent = now](Micros, StateResponse& r) {
    if (!r.ok()) {
      role_ = Role::kFollower;
      return;
    }
    const uint64_t lease = r.lease;
    const uint64_t term = std::max(seen_term_, seen_fencing_token_) + 1;
    StateRequest commit;
    commit.kind = StateRequest::Kind::kCompareAndSwap;
    commit.preconditions = {{keys::kLeader, Vacant() ? lead_stamp_ : 0},
                            {keys::kTerm, seen_term_stamp_}};
    commit.mutations = {{keys::kLeader, false, LeaderRecord{member_, term}, lease},
                        {keys::kTerm, false, TermRecord{term, member_}, 0}};
    outbox_->SendState(commit, [this, sent, lease, term](Micros now, StateResponse& r) {
      if (!r.ok()) {
        // With no answer the key may be ours or yet become ours: end the lease, so that a late
        // commit can't hold the place for nobody.
        role_ = Role::kFollower;
        StateRequest drop;
        drop.kind = StateRequest::Kind::kRevokeLease;
        drop.lease = lease;
        outbox_->SendState(drop, [](Micros, StateResponse&) {});
        return;
      }
      role_ = Role::kLeader;
      term_ = seen_term_ = term;
      term_stamp_ = seen_term_stamp_ = r.revision;
      leader_ = member_;
      lead_stamp_ = lead_revision_ = r.revision;
      lease_id_ = lease;
      lease_until_ = UsableLease(sent);
      confirmed_at_ = sent;
      renew_at_ = now;
      renewing_ = false;
      callbacks_.won(now);
    });
  });
}

void Election::Renew(Micros now) {
  renewing_ = true;
  StateRequest touch;
  touch.kind = StateRequest::Kind::kRenewLease;
  touch.lease = lease_id_;
  outbox_->SendState(touch, [this, sent = now, term = term_](Micros now, StateResponse& r) {
    if (!leads() || term != term_) return;
    renewing_ = false;
    if (r.ok()) {
      lease_until_ = UsableLease(sent);
      confirmed_at_ = sent;
      renew_at_ = sent + lease_.Scaled(0.2);
    } else if (r.outcome == StateResponse::Outcome::kNotFound) {
      StepDown(now, "the lease has ended");
    } else {
      renew_at_ = now + Millis(150);
    }
  });
}

std::string Election::Show(Micros now) const {
  const auto in = [now](Micros at) {
    return std::to_string(std::max(Micros{-1}, at - now).count) + ' ';
  };
  std::string out = std::to_string(static_cast<int>(role_)) + ' ' + std::to_string(term_) + ' ' +
                    std::to_string(term_stamp_) + ' ' + std::to_string(lease_id_) + ' ';
  out += in(lease_until_) + in(renew_at_) + in(stand_at_) + leader_ + ' ' + next_ + ' ';
  for (const uint64_t n : {lead_stamp_, lead_revision_, seen_term_, seen_term_stamp_,
                           seen_fencing_token_, next_stamp_, free_stamp_}) {
    out += std::to_string(n) + ' ';
  }
  return out + (renewing_ ? "r" : "") + (retiring_ ? "e" : "") + (handing_over_ ? "h" : "") +
         (control_cache_.synced() ? "s" : "");
}

void Election::StepDown(Micros now, const std::string& why, Micros aside) {
  if (!leads()) return;
  outbox_->Info("stepping down from term " + std::to_string(term_) + ": " + why);
  role_ = Role::kFollower;
  if (leader_ == member_) leader_.clear();
  stand_at_ = now + aside;
  StateRequest drop;
  drop.kind = StateRequest::Kind::kRevokeLease;
  drop.lease = lease_id_;
  outbox_->SendState(drop, [](Micros, StateResponse&) {});
  callbacks_.lost(now);
}

}  // namespace badgershore
