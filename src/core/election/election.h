// Who leads: a leased key and a counted term. No part of this knows what leading means.
#pragma once

#include <functional>
#include <string>

#include "core/outbox/key_range_cache.h"
#include "core/outbox/outbox.h"

namespace badgershore {

// Clocks of two hosts run apart by at most this share (PROTOCOL); taken twice for good measure.
constexpr double kClockDrift = 0.001;

class Election {
 public:
  struct Callbacks {
    std::function<void(Micros)> won;
    std::function<void(Micros)> lost;
    std::function<void(Micros, const Entry&)> control;  // other entries under ctl/
  };
  Election(Outbox* outbox, std::string member, int position, Micros lease, Callbacks callbacks);

  void Tick(Micros now);
  // `aside`: no standing again before.
  void StepDown(Micros now, const std::string& why, Micros aside = Millis(500));

  // Gives the place up to `successor`, in the transaction that ends it, and does not stand again.
  // From here on nothing starts. Repeated until it is done or the lease is over.
  void HandOver(Micros now, const std::string& successor);
  bool retired() const { return retiring_ && role_ == Role::kFollower; }

  // How many others go before this one when nobody leads.
  void SetPosition(int position) { position_ = position; }
  bool leads() const { return role_ == Role::kLeader; }
  // The lease surely holds at `now`, counted from when its last renewal was sent.
  bool MayStart(Micros now) const { return leads() && !retiring_ && now < lease_until_; }
  // What it decides now may leave this process until then.
  Micros lease_until() const { return lease_until_; }
  // When the state service last confirmed the lease, counted from when that was asked.
  Micros confirmed_at() const { return confirmed_at_; }
  uint64_t term() const { return term_; }
  uint64_t term_stamp() const { return term_stamp_; }
  const std::string& leader() const { return leader_; }
  uint64_t seen_term() const { return seen_term_; }
  // A fencing token seen at a worker: the next term must be above it.
  void NoteFencingToken(uint64_t fencing_token) {
    seen_fencing_token_ = std::max(seen_fencing_token_, fencing_token);
  }
  bool synced() const { return control_cache_.synced(); }
  // All that it goes by, with times from now on: equal for states that go on alike.
  std::string Show(Micros now) const;

 private:
  enum class Role { kFollower, kCandidate, kLeader };
  void Stand(Micros now);
  // Nobody leads, or only this process' last life, which is gone.
  bool Vacant() const { return lead_stamp_ == 0 || lead_stamp_ == last_life_; }
  void Renew(Micros now);
  void WaitForTurn(Micros now);
  void OnControl(Micros now, const Entry& e);
  Micros UsableLease(Micros sent) const {
    return sent + lease_.Scaled(1 - kClockDrift) - Millis(50);
  }

  Outbox* outbox_;
  std::string member_;
  int position_;
  Micros lease_;
  Callbacks callbacks_;
  KeyRangeCache control_cache_;
  Role role_ = Role::kFollower;
  uint64_t term_ = 0, term_stamp_ = 0, lease_id_ = 0;
  Micros lease_until_, confirmed_at_, renew_at_;
  // The place as this process found it when it began, if under its own name: its last life's.
  uint64_t last_life_ = 0;
  bool renewing_ = false;
  bool retiring_ = false, handing_over_ = false;
  // Whom the last leader named, and by which revision.
  std::string next_;
  uint64_t next_stamp_ = 0, free_stamp_ = 0;  // free: since when nobody leads
  // As the state service shows them.
  std::string leader_;
  uint64_t lead_stamp_ = 0, lead_revision_ = 0, seen_term_ = 0, seen_term_stamp_ = 0,
           seen_fencing_token_ = 0;
  Micros stand_at_;
};

}  // namespace badgershore
