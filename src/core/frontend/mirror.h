// Keeps a copy of one key prefix: reads it whole, then follows its changes; reads it again when
// the state service no longer has the changes in between. It says as of when it surely knows all:
// what was recorded before that moment has been applied, whatever answers come late or never.
#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>

#include "core/frontend/asker.h"

namespace badgershore {

class Mirror {
 public:
  // Called for each entry that is new, changed or gone.
  using OnEntry = std::function<void(Micros, const Entry&)>;
  using OnSynced = std::function<void(Micros)>;

  // `wait`: a watch without news is answered after so long, which is how old its knowledge gets
  // in quiet times.
  Mirror(Asker* asker, std::string prefix, OnEntry on_entry, OnSynced on_synced,
         Micros wait = Seconds(10))
      : asker_(asker),
        prefix_(std::move(prefix)),
        on_entry_(std::move(on_entry)),
        on_synced_(std::move(on_synced)),
        wait_(wait),
        alive_(std::make_shared<bool>(true)) {}
  ~Mirror() { *alive_ = false; }

  void Tick(Micros now) {
    if (!busy_ && now >= retry_at_) Next(now);
  }
  bool synced() const { return synced_; }
  // When the list or watch was sent whose answer was the last to be applied whole. Not when the
  // answer came: it may be as old as its sending. Long ago before the first.
  Micros known_as_of() const { return known_as_of_; }

 private:
  void Next(Micros now) {
    busy_ = true;
    StateRequest op;
    op.key = prefix_;
    if (listing_) {
      op.kind = StateRequest::Kind::kList;
      op.start_after = after_;
      if (after_.empty()) sent_at_ = now;  // a list is as old as its first page
    } else {
      sent_at_ = now;
      op.kind = StateRequest::Kind::kWatch;
      op.revision = epoch_;
      op.duration = wait_;
    }
    asker_->State(op, [this, alive = alive_](Micros now, StateResponse& r) {
      if (*alive) Got(now, r);
    });
  }

  void Got(Micros now, StateResponse& r) {
    busy_ = false;
    if (r.outcome == StateResponse::Outcome::kCompacted) {
      synced_ = false;
      listing_ = true;
      after_.clear();
      return Next(now);
    }
    if (!r.ok()) {
      retry_at_ = now + Millis(300);
      // What has changed may be too much for one answer, which then never gets through; a list
      // comes in pages. In an outage this is tried in vain, as the watch would be.
      if (r.outcome != StateResponse::Outcome::kRefused && ++failed_ >= kTries && !listing_) {
        failed_ = 0;
        listing_ = true;
        after_.clear();
      }
      return;
    }
    failed_ = 0;
    if (!listing_) {
      epoch_ = std::max(epoch_, r.revision);
      for (const Entry& e : r.entries) Apply(now, e);
      known_as_of_ = sent_at_;
      // Some changes come in a burst; a little pause lets one watch carry them all.
      retry_at_ = now + Millis(r.entries.empty() ? 0 : 40);
      return Tick(now);
    }
    // The watch begins at the first page's epoch, so nothing between the pages is missed.
    if (after_.empty()) {
      first_epoch_ = r.revision;
      seen_.clear();
    }
    for (const Entry& e : r.entries) {
      seen_.insert(e.key);
      Apply(now, e);
      after_ = e.key;
    }
    if (r.has_more) return Next(now);
    for (auto it = known_.begin(); it != known_.end();) {
      const std::string key = *it;
      ++it;
      if (!seen_.count(key)) Apply(now, Entry{key, {}, r.revision, true});
    }
    seen_.clear();
    after_.clear();
    synced_ = true;
    listing_ = false;
    epoch_ = first_epoch_;
    known_as_of_ = sent_at_;
    Next(now);
    on_synced_(now);
  }

  void Apply(Micros now, const Entry& e) {
    if (e.deleted) {
      known_.erase(e.key);
    } else {
      known_.insert(e.key);
    }
    on_entry_(now, e);
  }

  Asker* asker_;
  std::string prefix_;
  OnEntry on_entry_;
  OnSynced on_synced_;
  Micros wait_;
  std::shared_ptr<bool> alive_;
  bool busy_ = false;
  bool synced_ = false, listing_ = true;
  int failed_ = 0;
  static constexpr int kTries = 8;
  Micros retry_at_, sent_at_;
  Micros known_as_of_{-1000000000};
  std::string after_;
  uint64_t epoch_ = 0, first_epoch_ = 0;
  std::set<std::string> known_, seen_;
};

}  // namespace badgershore
