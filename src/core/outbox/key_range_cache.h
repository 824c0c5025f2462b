// Local copy of the state service's entries under one key prefix.
#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>

#include "core/outbox/outbox.h"

namespace badgershore {

// Lists the prefix once, then watches it for changes. Lists it again if the state service has
// compacted the revisions since the last watch. Stores only the keys; values are passed to the
// entry callback.
class KeyRangeCache {
 public:
  // Called for each entry that is new, changed or deleted.
  using OnEntry = std::function<void(Micros, const Entry&)>;
  // Called after each complete list.
  using OnSynced = std::function<void(Micros)>;

  // `watch_wait`: how long the state service holds a watch that has no changes. While nothing
  // changes, known_as_of() becomes this old.
  KeyRangeCache(Outbox* outbox, std::string prefix, OnEntry on_entry, OnSynced on_synced,
                Micros watch_wait = Seconds(10));
  ~KeyRangeCache();

  // Sends the next list or watch when none is in flight and no retry delay is pending.
  void Tick(Micros now);
  // Whether a list has completed and no compaction has been reported since.
  bool synced() const { return synced_; }
  // Every change that was recorded before this time has been applied. It is the send time (not the
  // arrival time) of the last list or watch whose response was fully applied, and far in the past
  // before the first one.
  Micros known_as_of() const { return known_as_of_; }
  // Revision of the state service up to which changes have been applied.
  uint64_t revision() const { return revision_; }

 private:
  void SendNext(Micros now);
  void OnResponse(Micros now, StateResponse& response);
  void OnFailure(Micros now, const StateResponse& response);
  void OnWatchResponse(Micros now, const StateResponse& response);
  void OnListPage(Micros now, const StateResponse& response);
  // Reports known keys that the completed list did not contain as deleted.
  void DeleteUnlisted(Micros now, uint64_t revision);
  void RestartList();
  void Apply(Micros now, const Entry& entry);

  Outbox* outbox_;
  std::string prefix_;
  OnEntry on_entry_;
  OnSynced on_synced_;
  Micros watch_wait_;
  std::shared_ptr<bool> alive_;  // guards callbacks that outlive this object
  bool in_flight_ = false;
  bool synced_ = false;
  bool listing_ = true;
  int failures_ = 0;
  Micros next_request_at_;
  Micros sent_at_;
  Micros known_as_of_{-1000000000};
  std::string list_start_after_;
  uint64_t revision_ = 0;
  uint64_t first_page_revision_ = 0;
  std::set<std::string> known_keys_;
  std::set<std::string> listed_keys_;
};

}  // namespace badgershore
