// The state service as a state machine: requests and the outcome of durable writes go in,
// answers and batches to be written come out. It knows no clock, socket or disk.
//
// Reads see only what is durable. Changes that arrive while a batch is being written are judged
// together when that has ended, and go out as the next batch: many commits share one fsync. A
// batch's changes are judged against what they will find (the durable image under the batch's
// own changes so far) and applied when the batch is durable.
//
// When a write fails, changes are refused (503) until an empty batch gets through; then every
// lease has its full time again, as after any outage. A batch whose fate is unknown keeps its
// place until the storage can say which it was; its clients get no answer, which is the one
// honest thing to tell them.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "store/model.h"
#include "store/rate_limiter.h"
#include "store/requests.h"

namespace badgershore::store {

using RequestId = uint64_t;

// What became of a batch.
enum class WriteOutcome {
  kDurable,
  kAbsent,   // surely not written, now or later
  kUnknown,  // will be told later: kDurable or kAbsent for the same batch
};

class StateMachine {
 public:
  struct Effects {
    std::vector<std::pair<RequestId, Response>> responses;
    std::optional<Batch> write;  // at most one is under way at a time
  };

  // As after a start: every lease has its full time from `now` on.
  StateMachine(Limits limits, StateImage image, Micros now);

  // `now` never goes back. Every request is answered once, by its id, now or later.
  void Submit(Micros now, RequestId id, Request request);
  void OnWriteCompleted(Micros now, uint64_t batch, WriteOutcome written);
  // Ends leases and waits that are due. Call it at NextDeadline() at the latest.
  void Tick(Micros now);
  // An outage that was not the disk's has ended.
  void RenewAllLeases(Micros now);

  Micros NextDeadline() const;
  Effects TakeEffects() { return std::exchange(effects_, Effects{}); }
  const StateImage& state() const { return state_; }
  bool writes_blocked() const { return writes_blocked_; }
  size_t watches() const { return watches_.size(); }

 private:
  struct QueuedRequest {
    RequestId id = 0;
    Request request;
  };
  struct Watch {
    std::string prefix;
    uint64_t since = 0;
    Micros until;
  };

  void Respond(RequestId id, Response answer) {
    effects_.responses.emplace_back(id, std::move(answer));
  }
  Response MakeResponse(Outcome outcome, std::string error = "") const;
  std::optional<Response> CheckRequest(Micros now, const Request& request);

  // Reads.
  Response Get(const GetRequest& r) const;
  Response Range(const ListRequest& r) const;
  void OpenWatch(Micros now, RequestId id, const WatchRequest& r);
  // The rows for a watch; false where some have been forgotten.
  bool CollectChanges(const std::string& prefix, uint64_t since,
                      std::vector<ChangeLogEntry>* rows) const;
  void ServeWatches(Micros now);

  // Changes.
  void StartBatch(Micros now);
  Response Evaluate(Micros now, const Request& request);
  Response Commit(const CompareAndSwapRequest& r);
  const VersionedValue* FindPending(
      const std::string& key) const;  // with the batch's changes so far
  bool PendingLeaseExists(uint64_t lease) const;
  void Put(const std::string& key, std::optional<VersionedValue> item);
  void RevokeLease(uint64_t lease);
  void ExpireLeases(Micros now);
  void ApplyDurableBatch(Micros now);

  Limits limits_;
  StateImage state_;
  RateLimiter requests_, changes_;
  std::unordered_map<uint64_t, std::set<std::string>> lease_keys_;
  std::unordered_map<uint64_t, Micros> lease_expiries_;
  std::set<std::pair<Micros, uint64_t>> leases_by_expiry_;
  void SetLeaseExpiry(uint64_t lease, Micros end);

  Batch batch_;  // being judged or under way
  bool write_in_progress_ = false;
  bool writes_blocked_ = false;
  Micros next_write_probe_;
  std::vector<std::pair<RequestId, Response>>
      pending_responses_;  // answers that wait for the batch
  std::deque<QueuedRequest> queue_;
  std::map<RequestId, Watch> watches_;
  std::set<std::pair<Micros, RequestId>> watches_by_deadline_;
  uint64_t last_batch_id_ = 0;
  Effects effects_;
};

}  // namespace badgershore::store
