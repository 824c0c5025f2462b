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

size_t JsonBytes(const std::string& key, const VersionedValue& item) {
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
  for (const auto& [id, life] : batch.leases) {
    if (life) {
      image->leases[id] = *life;
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
      requests_(limits.requests_per_s, now),
      changes_(limits.changes_per_s, now) {
  for (const auto& [key, item] : state_.items) {
    if (item.lease != 0) lease_keys_[item.lease].insert(key);
  }
  RenewAllLeases(now);
}

void StateMachine::SetLeaseExpiry(uint64_t lease, Micros end) {
  if (auto it = lease_expiries_.find(lease); it != lease_expiries_.end()) {
    leases_by_expiry_.erase({it->second, lease});
  }
  lease_expiries_[lease] = end;
  leases_by_expiry_.emplace(end, lease);
}

void StateMachine::RenewAllLeases(Micros now) {
  for (const auto& [id, life] : state_.leases) SetLeaseExpiry(id, now + life);
}

Response StateMachine::MakeResponse(Outcome outcome, std::string error) const {
  Response a;
  a.outcome = outcome;
  a.error = std::move(error);
  a.revision = state_.revision;
  return a;
}

// Validates the request and applies the rate limits; neither needs the stored data.
std::optional<Response> StateMachine::CheckRequest(Micros now, const Request& request) {
  const auto* commit = std::get_if<CompareAndSwapRequest>(&request);
  if (commit) {
    const size_t most = limits_.commit_changes;
    if (commit->mutations.size() > most) return MakeResponse(Outcome::kInvalid, "too many changes");
    if (commit->preconditions.size() > most * 4)
      return MakeResponse(Outcome::kInvalid, "too many conditions");
    if (commit->bytes > limits_.commit_bytes) return MakeResponse(Outcome::kInvalid, "too large");
    for (const auto& g : commit->preconditions) {
      if (!ValidKey(g.key)) return MakeResponse(Outcome::kInvalid, "not a key");
    }
    for (const auto& c : commit->mutations) {
      if (!ValidKey(c.key)) return MakeResponse(Outcome::kInvalid, "not a key");
      if (c.value && c.value->size() > limits_.value_bytes) {
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
  if (!requests_.TryAcquire(now, 1))
    return MakeResponse(Outcome::kRateLimited, "too many requests");
  if (commit && !commit->mutations.empty() &&
      !changes_.TryAcquire(now, static_cast<double>(commit->mutations.size()))) {
    return MakeResponse(Outcome::kRateLimited, "too many changes a second");
  }
  return std::nullopt;
}

void StateMachine::Submit(Micros now, RequestId id, Request request) {
  if (auto refusal = CheckRequest(now, request)) return Respond(id, std::move(*refusal));
  if (const auto* get = std::get_if<GetRequest>(&request)) return Respond(id, Get(*get));
  if (const auto* range = std::get_if<ListRequest>(&request)) return Respond(id, Range(*range));
  if (const auto* watch = std::get_if<WatchRequest>(&request)) {
    return OpenWatch(now, id, *watch);
  }
  if (const auto* touch = std::get_if<RenewLeaseRequest>(&request)) {
    // A renewal needs no write, unless the lease has expired or the batch in progress ends it: then
    // it is queued for the next batch.
    auto end = lease_expiries_.find(touch->lease);
    if (end == lease_expiries_.end()) return Respond(id, MakeResponse(Outcome::kNotFound));
    if ((writes_blocked_ || now < end->second) && !batch_.leases.contains(touch->lease)) {
      SetLeaseExpiry(touch->lease, now + state_.leases.at(touch->lease));
      Response a = MakeResponse(Outcome::kOk);
      a.lease = touch->lease;
      return Respond(id, std::move(a));
    }
  }
  if (writes_blocked_)
    return Respond(id, MakeResponse(Outcome::kRefused, "the disk takes no changes"));
  queue_.push_back({id, std::move(request)});
  if (!write_in_progress_) StartBatch(now);
}

Response StateMachine::Get(const GetRequest& r) const {
  auto it = state_.items.find(r.key);
  if (it == state_.items.end()) return MakeResponse(Outcome::kNotFound);
  Response a = MakeResponse(Outcome::kOk);
  a.entries.emplace_back(it->first, it->second);
  return a;
}

Response StateMachine::Range(const ListRequest& r) const {
  Response a = MakeResponse(Outcome::kOk);
  auto it = r.start_after >= r.prefix ? state_.items.upper_bound(r.start_after)
                                      : state_.items.lower_bound(r.prefix);
  const size_t most = std::min(r.limit, kMaxListEntries);
  size_t bytes = 0;
  for (; it != state_.items.end() && HasPrefix(it->first, r.prefix); ++it) {
    const size_t more = JsonBytes(it->first, it->second);
    // At least one entry is returned, as otherwise a large one could never be read.
    if (a.entries.size() >= most || (!a.entries.empty() && bytes + more > kMaxListBytes)) {
      a.has_more = true;
      break;
    }
    bytes += more;
    a.entries.emplace_back(it->first, it->second);
  }
  return a;
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

void StateMachine::OpenWatch(Micros now, RequestId id, const WatchRequest& r) {
  Response a = MakeResponse(Outcome::kOk);
  if (!CollectChanges(r.prefix, r.since_revision, &a.changes))
    return Respond(id, MakeResponse(Outcome::kCompacted));
  const Micros wait = std::min(r.wait, kMaxWatchWait);
  if (!a.changes.empty() || wait <= Micros{}) return Respond(id, std::move(a));
  // Changes up to the current revision have been checked already.
  watches_[id] = Watch{r.prefix, state_.revision, now + wait};
  watches_by_deadline_.emplace(now + wait, id);
}

void StateMachine::ServeWatches(Micros now) {
  for (auto it = watches_.begin(); it != watches_.end();) {
    Response a = MakeResponse(Outcome::kOk);
    const bool kept = CollectChanges(it->second.prefix, it->second.since, &a.changes);
    if (kept && a.changes.empty() && now < it->second.until) {
      it->second.since = state_.revision;
      ++it;
      continue;
    }
    Respond(it->first, kept ? std::move(a) : MakeResponse(Outcome::kCompacted));
    watches_by_deadline_.erase({it->second.until, it->first});
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

Response StateMachine::Commit(const CompareAndSwapRequest& r) {
  Response a = MakeResponse(Outcome::kOk);
  // An ended lease is reported before any failed precondition.
  for (const auto& c : r.mutations) {
    if (c.lease != 0 && !PendingLeaseExists(c.lease))
      return MakeResponse(Outcome::kInvalid, "no such lease");
  }
  a.revision = batch_.revision;
  for (const auto& g : r.preconditions) {
    const VersionedValue* item = FindPending(g.key);
    if ((item ? item->version : 0) != g.version) a.failed_keys.push_back(g.key);
  }
  if (!a.failed_keys.empty()) {
    a.outcome = Outcome::kConflict;
    return a;
  }
  const bool changes = std::any_of(r.mutations.begin(), r.mutations.end(),
                                   [&](const auto& c) { return c.value || FindPending(c.key); });
  if (!changes) return a;
  ++batch_.revision;
  for (const auto& c : r.mutations) {
    if (c.value) {
      Put(c.key, VersionedValue{*c.value, batch_.revision, c.lease});
    } else if (FindPending(c.key)) {
      Put(c.key, std::nullopt);
    }
  }
  a.revision = batch_.revision;
  return a;
}

Response StateMachine::Evaluate(Micros now, const Request& request) {
  if (const auto* commit = std::get_if<CompareAndSwapRequest>(&request)) return Commit(*commit);
  Response a = MakeResponse(Outcome::kOk);
  if (const auto* grant = std::get_if<GrantLeaseRequest>(&request)) {
    a.lease = ++batch_.last_lease_id;
    batch_.leases[a.lease] = grant->time_to_live;
  } else if (const auto* release = std::get_if<RevokeLeaseRequest>(&request)) {
    if (!PendingLeaseExists(release->lease)) return MakeResponse(Outcome::kNotFound);
    RevokeLease(release->lease);
    a.lease = release->lease;
  } else if (const auto* touch = std::get_if<RenewLeaseRequest>(&request)) {
    if (!PendingLeaseExists(touch->lease)) return MakeResponse(Outcome::kNotFound);
    SetLeaseExpiry(touch->lease, now + state_.leases.at(touch->lease));
    a.lease = touch->lease;
  }
  return a;
}

void StateMachine::ExpireLeases(Micros now) {
  for (const auto& [end, lease] : leases_by_expiry_) {
    if (end > now) break;
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
      QueuedRequest w = std::move(queue_.front());
      queue_.pop_front();
      pending_responses_.emplace_back(w.id, Evaluate(now, w.request));
    }
    if (batch_.empty()) {  // nothing to write: the responses depend on durable data only
      for (auto& [id, answer] : pending_responses_) Respond(id, std::move(answer));
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
  for (const auto& [lease, life] : batch_.leases) {
    if (life) {
      SetLeaseExpiry(lease, now + *life);
      continue;
    }
    if (auto it = lease_expiries_.find(lease); it != lease_expiries_.end()) {
      leases_by_expiry_.erase({it->second, lease});
      lease_expiries_.erase(it);
    }
    lease_keys_.erase(lease);
  }
}

void StateMachine::OnWriteCompleted(Micros now, uint64_t batch, WriteOutcome written) {
  if (!write_in_progress_ || batch != batch_.id) return;
  if (written == WriteOutcome::kUnknown) {
    for (auto& [id, answer] : pending_responses_) Respond(id, MakeResponse(Outcome::kUnknown));
    pending_responses_.clear();
    writes_blocked_ = true;
  } else {
    write_in_progress_ = false;
    if (written == WriteOutcome::kDurable) {
      ApplyDurableBatch(now);
      for (auto& [id, answer] : pending_responses_) Respond(id, std::move(answer));
      // As after any outage, clients may have been unable to renew their leases.
      if (std::exchange(writes_blocked_, false)) RenewAllLeases(now);
    } else {
      for (auto& [id, answer] : pending_responses_) {
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
    for (QueuedRequest& w : queue_) {
      Respond(w.id, MakeResponse(Outcome::kRefused, "the disk takes no changes"));
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
