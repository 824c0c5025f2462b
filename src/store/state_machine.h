// The state service as a deterministic state machine. Its inputs are client requests, write
// outcomes and the time; its outputs are responses and batches to write. It uses no clock, socket
// or disk itself.
//
// Reads return durable data only. Changes that arrive while a batch is being written are queued,
// evaluated together when that write completes and written as the next batch, so that many commits
// share one fsync. A change is evaluated against the durable image with the preceding changes of
// its batch applied; the batch is applied to the image when it is durable.
//
// After a failed write, changes are refused (503) until an empty probe batch is written; then every
// lease is renewed, as after any outage. While the outcome of a batch is unknown, no other batch is
// started; the batch's clients get no response, because either response could be wrong.
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

// The outcome of writing a batch.
enum class WriteOutcome {
  kDurable,
  kAbsent,   // not written and never will be
  kUnknown,  // kDurable or kAbsent is reported later for the same batch
};

class StateMachine {
 public:
  struct Effects {
    std::vector<std::pair<RequestId, Response>> responses;
    std::optional<Batch> write;  // at most one write is in progress at a time
  };

  // Every lease in `image` is renewed at `now`.
  StateMachine(Limits limits, StateImage image, Micros now);

  // Applies to requests from now on. What is stored stays readable.
  void SetLimits(Limits limits);

  // `now` never decreases. Each request gets exactly one response, identified by its id, now or
  // later.
  void Submit(Micros now, RequestId id, Request request);
  void OnWriteCompleted(Micros now, uint64_t batch_id, WriteOutcome outcome);
  // Expires leases and ends watches that are due. To be called no later than NextDeadline().
  void Tick(Micros now);
  // To be called after an outage other than a disk failure, during which clients could not renew.
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
    Micros deadline;
  };

  void Respond(RequestId id, Response response) {
    effects_.responses.emplace_back(id, std::move(response));
  }
  Response MakeResponse(Outcome outcome, std::string error = "") const;
  std::optional<Response> CheckRequest(Micros now, const Request& request);

  // Reads.
  Response Get(const GetRequest& request) const;
  Response List(const ListRequest& request) const;
  void OpenWatch(Micros now, RequestId id, const WatchRequest& request);
  // Collects the changes for a watch; false if some have been compacted away.
  bool CollectChanges(const std::string& prefix, uint64_t since,
                      std::vector<ChangeLogEntry>* rows) const;
  void ServeWatches(Micros now);

  // Changes.
  void StartBatch(Micros now);
  Response Evaluate(Micros now, const Request& request);
  Response Commit(const CompareAndSwapRequest& request);
  const VersionedValue* FindPending(
      const std::string& key) const;  // including the pending batch's changes
  bool PendingLeaseExists(uint64_t lease) const;
  void Put(const std::string& key, std::optional<VersionedValue> item);
  void RevokeLease(uint64_t lease);
  void ExpireLeases(Micros now);
  void ApplyDurableBatch(Micros now);

  Limits limits_;
  StateImage state_;
  RateLimiter request_limiter_, change_limiter_;
  std::unordered_map<uint64_t, std::set<std::string>> lease_keys_;
  std::unordered_map<uint64_t, Micros> lease_expiries_;
  std::set<std::pair<Micros, uint64_t>> leases_by_expiry_;
  void SetLeaseExpiry(uint64_t lease, Micros expiry);

  Batch batch_;  // being evaluated or written
  bool write_in_progress_ = false;
  bool writes_blocked_ = false;
  Micros next_write_probe_;
  std::vector<std::pair<RequestId, Response>> pending_responses_;  // sent when the batch is durable
  std::deque<QueuedRequest> queue_;
  std::map<RequestId, Watch> watches_;
  std::set<std::pair<Micros, RequestId>> watches_by_deadline_;
  uint64_t last_batch_id_ = 0;
  Effects effects_;
};

}  // namespace badgershore::store
