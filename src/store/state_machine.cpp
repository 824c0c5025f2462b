#include "store/state_machine.h"

#include <algorithm>

namespace badgershore::store {
namespace {

constexpr size_t kMaxListEntries = 1000;
constexpr size_t kMaxListBytes = 512 * 1024;
constexpr Micros kMinTimeToLive = Millis(100), kMaxTimeToLive = Seconds(600);
constexpr Micros kMaxWatchWait = Seconds(60);
constexpr Micros kWriteProbeInterval = Millis(250);
// Bounds the size of one write.
constexpr size_t kMaxBatchChanges = 4096;

size_t EstimateJsonBytes(const std::string& key, const VersionedValue& item) {
  return key.size() + item.value.size() + 80;  // 80: field names, stamp and tenancy
}

}  // namespace

void Apply(const Batch& batch, StateImage* image) {
  image->revision = batch.revision;
  image->last_lease_id = batch.last_lease_id;
  for (const auto& [key, item] : batch.items) {
    if (item) {
      image->items[key] = *item;
    } else {
      image->items.erase(key);
    }
  }
  for (const auto& [id, time_to_live] : batch.leases) {
    if (time_to_live) {
      image->leases[id] = *time_to_live;
    } else {
      image->leases.erase(id);
    }
  }
  image->change_log.insert(image->change_log.end(), batch.change_log.begin(),
                           batch.change_log.end());
  image->compacted_revision = std::max(image->compacted_revision, batch.compacted_revision);
  while (!image->change_log.empty() &&
         image->change_log.front().revision <= image->compacted_revision) {
    image->change_log.pop_front();
  }
}

StateMachine::StateMachine(Limits limits, StateImage image, Micros now)
    : limits_(limits),
      state_(std::move(image)),
      request_limiter_(limits.requests_per_s, now),
      change_limiter_(limits.changes_per_s, now) {
  for (const auto& [key, item] : state_.items) {
    if (item.lease != 0) lease_keys_[item.lease].insert(key);
  }
  RenewAllLeases(now);
}

void StateMachine::SetLeaseExpiry(uint64_t lease, Micros expiry) {
  if (auto it = lease_expiries_.find(lease); it != lease_expiries_.end()) {
    leases_by_expiry_.erase({it->second, lease});
  }
  lease_expiries_[lease] = expiry;
  leases_by_expiry_.emplace(expiry, lease);
}

void StateMachine::RenewAllLeases(Micros now) {
  for (const auto& [id, time_to_live] : state_.leases) SetLeaseExpiry(id, now + time_to_live);
}

Response StateMachine::MakeResponse(Outcome outcome, std::string error) const {
  Response response;
  response.outcome = outcome;
  response.error = std::move(error);
  response.revision = state_.revision;
  return response;
}

void StateMachine::SetLimits(Limits limits) {
  limits_ = limits;
  request_limiter_.SetRate(limits.requests_per_s);
  change_limiter_.SetRate(limits.changes_per_s);
}

// Validates the request and applies the rate limits; neither needs the stored data.
std::optional<Response> StateMachine::CheckRequest(Micros now, const Request& request) {
  const auto* commit = std::get_if<CompareAndSwapRequest>(&request);
  if (commit) {
    const size_t max_count = limits_.commit_changes;
    if (commit->mutations.size() > max_count)
      return MakeResponse(Outcome::kInvalid, "too many changes");
    if (commit->preconditions.size() > max_count * 4)
      return MakeResponse(Outcome::kInvalid, "too many conditions");
    if (commit->bytes > limits_.commit_bytes) return MakeResponse(Outcome::kInvalid, "too large");
    for (const auto& precondition : commit->preconditions) {
      if (!ValidKey(precondition.key)) return MakeResponse(Outcome::kInvalid, "not a key");
    }
    for (const auto& mutation : commit->mutations) {
      if (!ValidKey(mutation.key)) return MakeResponse(Outcome::kInvalid, "not a key");
      if (mutation.value && mutation.value->size() > limits_.value_bytes) {
        return MakeResponse(Outcome::kInvalid, "a value is too large");
      }
    }
  }
  if (const auto* get = std::get_if<GetRequest>(&request); get && !ValidKey(get->key)) {
    return MakeResponse(Outcome::kInvalid, "not a key");
  }
  if (const auto* grant = std::get_if<GrantLeaseRequest>(&request);
      grant && (grant->time_to_live < kMinTimeToLive || grant->time_to_live > kMaxTimeToLive)) {
    return MakeResponse(Outcome::kInvalid, "lifeMs: expected 100 to 600000");
  }
  if (!request_limiter_.TryAcquire(now, 1))
    return MakeResponse(Outcome::kRateLimited, "too many requests");
  if (commit && !commit->mutations.empty() &&
      !change_limiter_.TryAcquire(now, static_cast<double>(commit->mutations.size()))) {
    return MakeResponse(Outcome::kRateLimited, "too many changes a second");
  }
  return std::nullopt;
}

void StateMachine::Submit(Micros now, RequestId id, Request request) {
  if (auto refusal = CheckRequest(now, request)) return Respond(id, std::move(*refusal));
  if (const auto* get = std::get_if<GetRequest>(&request)) return Respond(id, Get(*get));
  if (const auto* list = std::get_if<ListRequest>(&request)) return Respond(id, List(*list));
  if (const auto* watch = std::get_if<WatchRequest>(&request)) {
    return OpenWatch(now, id, *watch);
  }
  if (const auto* renew = std::get_if<RenewLeaseRequest>(&request)) {
    // A renewal needs no write, unless the lease has expired or the batch in progress ends it: then
    // it is queued for the next batch.
    auto expiry = lease_expiries_.find(renew->lease);
    if (expiry == lease_expiries_.end()) return Respond(id, MakeResponse(Outcome::kNotFound));
    if ((writes_blocked_ || now < expiry->second) && !batch_.leases.contains(renew->lease)) {
      SetLeaseExpiry(renew->lease, now + state_.leases.at(renew->lease));
      Response response = MakeResponse(Outcome::kOk);
      response.lease = renew->lease;
      return Respond(id, std::move(response));
    }
  }
  if (writes_blocked_)
    return Respond(id, MakeResponse(Outcome::kRefused, "the disk takes no changes"));
  queue_.push_back({id, std::move(request)});
  if (!write_in_progress_) StartBatch(now);
}

Response StateMachine::Get(const GetRequest& request) const {
  auto it = state_.items.find(request.key);
  if (it == state_.items.end()) return MakeResponse(Outcome::kNotFound);
  Response response = MakeResponse(Outcome::kOk);
  response.entries.emplace_back(it->first, it->second);
  return response;
}

Response StateMachine::List(const ListRequest& request) const {
  Response response = MakeResponse(Outcome::kOk);
  auto it = request.start_after >= request.prefix ? state_.items.upper_bound(request.start_after)
                                                  : state_.items.lower_bound(request.prefix);
  const size_t max_count = std::min(request.limit, kMaxListEntries);
  size_t bytes = 0;
  for (; it != state_.items.end() && HasPrefix(it->first, request.prefix); ++it) {
    const size_t entry_bytes = EstimateJsonBytes(it->first, it->second);
    // At least one entry is returned, as otherwise a large one could never be read.
    if (response.entries.size() >= max_count ||
        (!response.entries.empty() && bytes + entry_bytes > kMaxListBytes)) {
      response.has_more = true;
      break;
    }
    bytes += entry_bytes;
    response.entries.emplace_back(it->first, it->second);
  }
  return response;
}

bool StateMachine::CollectChanges(const std::string& prefix, uint64_t since,
                                  std::vector<ChangeLogEntry>* rows) const {
  // A revision greater than the current one was issued before an older snapshot was restored.
  if (since < state_.compacted_revision || since > state_.revision) return false;
  auto it =
      std::upper_bound(state_.change_log.begin(), state_.change_log.end(), since,
                       [](uint64_t s, const ChangeLogEntry& row) { return s < row.revision; });
  for (; it != state_.change_log.end(); ++it) {
    if (HasPrefix(it->key, prefix)) rows->push_back(*it);
  }
  return true;
}

void StateMachine::OpenWatch(Micros now, RequestId id, const WatchRequest& request) {
  Response response = MakeResponse(Outcome::kOk);
  if (!CollectChanges(request.prefix, request.since_revision, &response.changes))
    return Respond(id, MakeResponse(Outcome::kCompacted));
  const Micros wait = std::min(request.wait, kMaxWatchWait);
  if (!response.changes.empty() || wait <= Micros{}) return Respond(id, std::move(response));
  // Changes up to the current revision have been checked already.
  watches_[id] = Watch{request.prefix, state_.revision, now + wait};
  watches_by_deadline_.emplace(now + wait, id);
}

void StateMachine::ServeWatches(Micros now) {
  for (auto it = watches_.begin(); it != watches_.end();) {
    Response response = MakeResponse(Outcome::kOk);
    const bool kept = CollectChanges(it->second.prefix, it->second.since, &response.changes);
    if (kept && response.changes.empty() && now < it->second.deadline) {
      it->second.since = state_.revision;
      ++it;
      continue;
    }
    Respond(it->first, kept ? std::move(response) : MakeResponse(Outcome::kCompacted));
    watches_by_deadline_.erase({it->second.deadline, it->first});
    it = watches_.erase(it);
  }
}

const VersionedValue* StateMachine::FindPending(const std::string& key) const {
  if (auto it = batch_.items.find(key); it != batch_.items.end()) {
    return it->second ? &*it->second : nullptr;
  }
  auto it = state_.items.find(key);
  return it == state_.items.end() ? nullptr : &it->second;
}

bool StateMachine::PendingLeaseExists(uint64_t lease) const {
  if (auto it = batch_.leases.find(lease); it != batch_.leases.end()) return it->second.has_value();
  return state_.leases.contains(lease);
}

void StateMachine::Put(const std::string& key, std::optional<VersionedValue> item) {
  batch_.change_log.push_back(
      {batch_.revision, key, item ? std::optional<std::string>(item->value) : std::nullopt});
  batch_.items[key] = std::move(item);
}

void StateMachine::RevokeLease(uint64_t lease) {
  std::set<std::string> keys;
  if (auto it = lease_keys_.find(lease); it != lease_keys_.end()) keys = it->second;
  for (const auto& [key, item] : batch_.items) {
    if (item && item->lease == lease) {
      keys.insert(key);
    } else {
      keys.erase(key);
    }
  }
  batch_.leases[lease] = std::nullopt;
  if (keys.empty()) return;
  ++batch_.revision;
  for (const std::string& key : keys) Put(key, std::nullopt);
}

Response StateMachine::Commit(const CompareAndSwapRequest& request) {
  Response response = MakeResponse(Outcome::kOk);
  // An ended lease is reported before any failed precondition.
  for (const auto& mutation : request.mutations) {
    if (mutation.lease != 0 && !PendingLeaseExists(mutation.lease))
      return MakeResponse(Outcome::kInvalid, "no such lease");
  }
  response.revision = batch_.revision;
  for (const auto& precondition : request.preconditions) {
    const VersionedValue* item = FindPending(precondition.key);
    if ((item ? item->version : 0) != precondition.version)
      response.failed_keys.push_back(precondition.key);
  }
  if (!response.failed_keys.empty()) {
    response.outcome = Outcome::kConflict;
    return response;
  }
  const bool changes = std::any_of(
      request.mutations.begin(), request.mutations.end(),
      [&](const auto& mutation) { return mutation.value || FindPending(mutation.key); });
  if (!changes) return response;
  ++batch_.revision;
  for (const auto& mutation : request.mutations) {
    if (mutation.value) {
      Put(mutation.key, VersionedValue{*mutation.value, batch_.revision, mutation.lease});
    } else if (FindPending(mutation.key)) {
      Put(mutation.key, std::nullopt);
    }
  }
  response.revision = batch_.revision;
  return response;
}

Response StateMachine::Evaluate(Micros now, const Request& request) {
  if (const auto* commit = std::get_if<CompareAndSwapRequest>(&request)) return Commit(*commit);
  Response response = MakeResponse(Outcome::kOk);
  if (const auto* grant = std::get_if<GrantLeaseRequest>(&request)) {
    response.lease = ++batch_.last_lease_id;
    batch_.leases[response.lease] = grant->time_to_live;
  } else if (const auto* revoke = std::get_if<RevokeLeaseRequest>(&request)) {
    if (!PendingLeaseExists(revoke->lease)) return MakeResponse(Outcome::kNotFound);
    RevokeLease(revoke->lease);
    response.lease = revoke->lease;
  } else if (const auto* renew = std::get_if<RenewLeaseRequest>(&request)) {
    if (!PendingLeaseExists(renew->lease)) return MakeResponse(Outcome::kNotFound);
    SetLeaseExpiry(renew->lease, now + state_.leases.at(renew->lease));
    response.lease = renew->lease;
  }
  return response;
}

void StateMachine::ExpireLeases(Micros now) {
  for (const auto& [expiry, lease] : leases_by_expiry_) {
    if (expiry > now) break;
    if (PendingLeaseExists(lease)) RevokeLease(lease);
  }
}

void StateMachine::StartBatch(Micros now) {
  while (!write_in_progress_) {
    batch_ = Batch{};
    batch_.id = ++last_batch_id_;
    batch_.revision = state_.revision;
    batch_.last_lease_id = state_.last_lease_id;
    batch_.compacted_revision = state_.compacted_revision;
    ExpireLeases(now);
    while (!queue_.empty() && batch_.change_log.size() < kMaxBatchChanges) {
      QueuedRequest queued = std::move(queue_.front());
      queue_.pop_front();
      pending_responses_.emplace_back(queued.id, Evaluate(now, queued.request));
    }
    if (batch_.empty()) {  // nothing to write: the responses depend on durable data only
      for (auto& [id, response] : pending_responses_) Respond(id, std::move(response));
      pending_responses_.clear();
      if (queue_.empty()) return;
      continue;
    }
    // The compacted revision is part of the batch, so that it is the same after a restart.
    const size_t rows = state_.change_log.size() + batch_.change_log.size();
    if (rows > kMinChangeLogEntries) {
      const size_t first_kept = rows - kMinChangeLogEntries;
      const ChangeLogEntry& row = first_kept < state_.change_log.size()
                                      ? state_.change_log[first_kept]
                                      : batch_.change_log[first_kept - state_.change_log.size()];
      batch_.compacted_revision =
          std::max(batch_.compacted_revision, row.revision - 1);  // never splits a revision
    }
    write_in_progress_ = true;
    effects_.write = batch_;
  }
}

void StateMachine::ApplyDurableBatch(Micros now) {
  // Updates the keys of each lease; needs the old items, so it precedes Apply.
  for (const auto& [key, item] : batch_.items) {
    auto old = state_.items.find(key);
    if (old != state_.items.end() && old->second.lease != 0) {
      auto keys = lease_keys_.find(old->second.lease);
      if (keys != lease_keys_.end()) keys->second.erase(key);
    }
    if (item && item->lease != 0) lease_keys_[item->lease].insert(key);
  }
  Apply(batch_, &state_);
  for (const auto& [lease, time_to_live] : batch_.leases) {
    if (time_to_live) {
      SetLeaseExpiry(lease, now + *time_to_live);
      continue;
    }
    if (auto it = lease_expiries_.find(lease); it != lease_expiries_.end()) {
      leases_by_expiry_.erase({it->second, lease});
      lease_expiries_.erase(it);
    }
    lease_keys_.erase(lease);
  }
}

void StateMachine::OnWriteCompleted(Micros now, uint64_t batch_id, WriteOutcome outcome) {
  if (!write_in_progress_ || batch_id != batch_.id) return;
  if (outcome == WriteOutcome::kUnknown) {
    for (auto& [id, response] : pending_responses_) Respond(id, MakeResponse(Outcome::kUnknown));
    pending_responses_.clear();
    writes_blocked_ = true;
  } else {
    write_in_progress_ = false;
    if (outcome == WriteOutcome::kDurable) {
      ApplyDurableBatch(now);
      for (auto& [id, response] : pending_responses_) Respond(id, std::move(response));
      // As after any outage, clients may have been unable to renew their leases.
      if (std::exchange(writes_blocked_, false)) RenewAllLeases(now);
    } else {
      for (auto& [id, response] : pending_responses_) {
        Respond(id, MakeResponse(Outcome::kRefused, "the disk takes no changes"));
      }
      writes_blocked_ = true;
      next_write_probe_ = now + kWriteProbeInterval;
    }
    pending_responses_.clear();
    batch_ = Batch{};
    batch_.revision = state_.revision;
    ServeWatches(now);
  }
  if (writes_blocked_) {
    for (QueuedRequest& queued : queue_) {
      Respond(queued.id, MakeResponse(Outcome::kRefused, "the disk takes no changes"));
    }
    queue_.clear();
  } else {
    StartBatch(now);
  }
}

void StateMachine::Tick(Micros now) {
  if (!watches_by_deadline_.empty() && watches_by_deadline_.begin()->first <= now) {
    while (!watches_by_deadline_.empty() && watches_by_deadline_.begin()->first <= now) {
      const RequestId id = watches_by_deadline_.begin()->second;
      watches_by_deadline_.erase(watches_by_deadline_.begin());
      if (watches_.erase(id) > 0) Respond(id, MakeResponse(Outcome::kOk));
    }
  }
  if (write_in_progress_) return;
  if (writes_blocked_) {
    if (now < next_write_probe_) return;
    next_write_probe_ = now + kWriteProbeInterval;
    batch_ = Batch{};
    batch_.id = ++last_batch_id_;
    batch_.revision = state_.revision;
    batch_.last_lease_id = state_.last_lease_id;
    batch_.compacted_revision = state_.compacted_revision;
    write_in_progress_ = true;
    effects_.write = batch_;
  } else if (!leases_by_expiry_.empty() && leases_by_expiry_.begin()->first <= now) {
    StartBatch(now);
  }
}

Micros StateMachine::NextDeadline() const {
  Micros next = kNever;
  if (!watches_by_deadline_.empty()) next = watches_by_deadline_.begin()->first;
  if (write_in_progress_) return next;
  if (writes_blocked_) return std::min(next, next_write_probe_);
  if (!leases_by_expiry_.empty()) next = std::min(next, leases_by_expiry_.begin()->first);
  return next;
}

}  // namespace badgershore::store
