#include "store/machine.h"

#include <algorithm>

namespace badgershore::store {
namespace {

constexpr size_t kMostEntries = 1000;
constexpr size_t kMostRangeBytes = 512 * 1024;
constexpr Micros kLeastLife = Millis(100), kMostLife = Seconds(600);
constexpr Micros kMostWait = Seconds(60);
constexpr Micros kProbeEvery = Millis(250);
// A batch takes no more changes than this, so that no write grows without bound.
constexpr size_t kMostBatchChanges = 4096;

size_t JsonBytes(const std::string& key, const Item& item) {
  return key.size() + item.value.size() + 80;  // names, stamp and tenancy
}

}  // namespace

void Apply(const Batch& batch, Image* image) {
  image->epoch = batch.epoch;
  image->last_lease = batch.last_lease;
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
  image->log.insert(image->log.end(), batch.log.begin(), batch.log.end());
  image->compacted = std::max(image->compacted, batch.compacted);
  while (!image->log.empty() && image->log.front().stamp <= image->compacted) {
    image->log.pop_front();
  }
}

Machine::Machine(Limits limits, Image image, Micros now)
    : limits_(limits),
      image_(std::move(image)),
      requests_(limits.requests_per_s, now),
      changes_(limits.changes_per_s, now) {
  for (const auto& [key, item] : image_.items) {
    if (item.lease != 0) lease_keys_[item.lease].insert(key);
  }
  RenewLeases(now);
}

void Machine::SetEnd(uint64_t lease, Micros end) {
  if (auto it = lease_ends_.find(lease); it != lease_ends_.end()) {
    lease_order_.erase({it->second, lease});
  }
  lease_ends_[lease] = end;
  lease_order_.emplace(end, lease);
}

void Machine::RenewLeases(Micros now) {
  for (const auto& [id, life] : image_.leases) SetEnd(id, now + life);
}

Answer Machine::Plain(Outcome outcome, std::string error) const {
  Answer a;
  a.outcome = outcome;
  a.error = std::move(error);
  a.epoch = image_.epoch;
  return a;
}

// Refusals that need no look at the data.
std::optional<Answer> Machine::Admit(Micros now, const Request& request) {
  const auto* commit = std::get_if<CommitRequest>(&request);
  if (commit) {
    const size_t most = limits_.commit_changes;
    if (commit->changes.size() > most) return Plain(Outcome::kInvalid, "too many changes");
    if (commit->guards.size() > most * 4) return Plain(Outcome::kInvalid, "too many conditions");
    if (commit->bytes > limits_.commit_bytes) return Plain(Outcome::kInvalid, "too large");
    for (const auto& g : commit->guards) {
      if (!ValidKey(g.key)) return Plain(Outcome::kInvalid, "not a key");
    }
    for (const auto& c : commit->changes) {
      if (!ValidKey(c.key)) return Plain(Outcome::kInvalid, "not a key");
      if (c.value && c.value->size() > limits_.value_bytes) {
        return Plain(Outcome::kInvalid, "a value is too large");
      }
    }
  }
  if (const auto* get = std::get_if<GetRequest>(&request); get && !ValidKey(get->key)) {
    return Plain(Outcome::kInvalid, "not a key");
  }
  if (const auto* grant = std::get_if<GrantRequest>(&request);
      grant && (grant->life < kLeastLife || grant->life > kMostLife)) {
    return Plain(Outcome::kInvalid, "lifeMs: expected 100 to 600000");
  }
  if (!requests_.Take(now, 1)) return Plain(Outcome::kLimited, "too many requests");
  if (commit && !commit->changes.empty() &&
      !changes_.Take(now, static_cast<double>(commit->changes.size()))) {
    return Plain(Outcome::kLimited, "too many changes a second");
  }
  return std::nullopt;
}

void Machine::Ask(Micros now, Token token, Request request) {
  if (auto refusal = Admit(now, request)) return Say(token, std::move(*refusal));
  if (const auto* get = std::get_if<GetRequest>(&request)) return Say(token, Get(*get));
  if (const auto* range = std::get_if<RangeRequest>(&request)) return Say(token, Range(*range));
  if (const auto* watch = std::get_if<WatchRequest>(&request)) {
    return OpenWatch(now, token, *watch);
  }
  if (const auto* touch = std::get_if<TouchRequest>(&request)) {
    // A renewal needs no write. One that is due, or ends in the batch under way, waits for it.
    auto end = lease_ends_.find(touch->lease);
    if (end == lease_ends_.end()) return Say(token, Plain(Outcome::kMissing));
    if ((stalled_ || now < end->second) && !batch_.leases.contains(touch->lease)) {
      SetEnd(touch->lease, now + image_.leases.at(touch->lease));
      Answer a = Plain(Outcome::kOk);
      a.lease = touch->lease;
      return Say(token, std::move(a));
    }
  }
  if (stalled_) return Say(token, Plain(Outcome::kRefused, "the disk takes no changes"));
  waiting_.push_back({token, std::move(request)});
  if (!writing_) StartBatch(now);
}

Answer Machine::Get(const GetRequest& r) const {
  auto it = image_.items.find(r.key);
  if (it == image_.items.end()) return Plain(Outcome::kMissing);
  Answer a = Plain(Outcome::kOk);
  a.items.emplace_back(it->first, it->second);
  return a;
}

Answer Machine::Range(const RangeRequest& r) const {
  Answer a = Plain(Outcome::kOk);
  auto it =
      r.after >= r.prefix ? image_.items.upper_bound(r.after) : image_.items.lower_bound(r.prefix);
  const size_t most = std::min(r.limit, kMostEntries);
  size_t bytes = 0;
  for (; it != image_.items.end() && HasPrefix(it->first, r.prefix); ++it) {
    const size_t more = JsonBytes(it->first, it->second);
    // One entry always goes, or a large one could never be read.
    if (a.items.size() >= most || (!a.items.empty() && bytes + more > kMostRangeBytes)) {
      a.truncated = true;
      break;
    }
    bytes += more;
    a.items.emplace_back(it->first, it->second);
  }
  return a;
}

bool Machine::Collect(const std::string& prefix, uint64_t since, std::vector<LogRow>* rows) const {
  // A revision still to come was seen by the client of another history: a restored snapshot's.
  if (since < image_.compacted || since > image_.epoch) return false;
  auto it = std::upper_bound(image_.log.begin(), image_.log.end(), since,
                             [](uint64_t s, const LogRow& row) { return s < row.stamp; });
  for (; it != image_.log.end(); ++it) {
    if (HasPrefix(it->key, prefix)) rows->push_back(*it);
  }
  return true;
}

void Machine::OpenWatch(Micros now, Token token, const WatchRequest& r) {
  Answer a = Plain(Outcome::kOk);
  if (!Collect(r.prefix, r.since, &a.log)) return Say(token, Plain(Outcome::kCompacted));
  const Micros wait = std::min(r.wait, kMostWait);
  if (!a.log.empty() || wait <= Micros{}) return Say(token, std::move(a));
  // Everything up to here has been looked through: no need to do that again.
  watches_[token] = Watch{r.prefix, image_.epoch, now + wait};
  watch_order_.emplace(now + wait, token);
}

void Machine::ServeWatches(Micros now) {
  for (auto it = watches_.begin(); it != watches_.end();) {
    Answer a = Plain(Outcome::kOk);
    const bool kept = Collect(it->second.prefix, it->second.since, &a.log);
    if (kept && a.log.empty() && now < it->second.until) {
      it->second.since = image_.epoch;
      ++it;
      continue;
    }
    Say(it->first, kept ? std::move(a) : Plain(Outcome::kCompacted));
    watch_order_.erase({it->second.until, it->first});
    it = watches_.erase(it);
  }
}

const Item* Machine::Tip(const std::string& key) const {
  if (auto it = batch_.items.find(key); it != batch_.items.end()) {
    return it->second ? &*it->second : nullptr;
  }
  auto it = image_.items.find(key);
  return it == image_.items.end() ? nullptr : &it->second;
}

bool Machine::LeaseAtTip(uint64_t lease) const {
  if (auto it = batch_.leases.find(lease); it != batch_.leases.end()) return it->second.has_value();
  return image_.leases.contains(lease);
}

void Machine::Put(const std::string& key, std::optional<Item> item) {
  batch_.log.push_back(
      {batch_.epoch, key, item ? std::optional<std::string>(item->value) : std::nullopt});
  batch_.items[key] = std::move(item);
}

void Machine::EndLease(uint64_t lease) {
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
  ++batch_.epoch;
  for (const std::string& key : keys) Put(key, std::nullopt);
}

Answer Machine::Commit(const CommitRequest& r) {
  Answer a = Plain(Outcome::kOk);
  // Whatever the conditions, a lease that has ended is told first.
  for (const auto& c : r.changes) {
    if (c.lease != 0 && !LeaseAtTip(c.lease)) return Plain(Outcome::kInvalid, "no such lease");
  }
  a.epoch = batch_.epoch;
  for (const auto& g : r.guards) {
    const Item* item = Tip(g.key);
    if ((item ? item->stamp : 0) != g.stamp) a.failed.push_back(g.key);
  }
  if (!a.failed.empty()) {
    a.outcome = Outcome::kConflict;
    return a;
  }
  const bool changes = std::any_of(r.changes.begin(), r.changes.end(),
                                   [&](const auto& c) { return c.value || Tip(c.key); });
  if (!changes) return a;
  ++batch_.epoch;
  for (const auto& c : r.changes) {
    if (c.value) {
      Put(c.key, Item{*c.value, batch_.epoch, c.lease});
    } else if (Tip(c.key)) {
      Put(c.key, std::nullopt);
    }
  }
  a.epoch = batch_.epoch;
  return a;
}

Answer Machine::Judge(Micros now, const Request& request) {
  if (const auto* commit = std::get_if<CommitRequest>(&request)) return Commit(*commit);
  Answer a = Plain(Outcome::kOk);
  if (const auto* grant = std::get_if<GrantRequest>(&request)) {
    a.lease = ++batch_.last_lease;
    batch_.leases[a.lease] = grant->life;
  } else if (const auto* release = std::get_if<ReleaseRequest>(&request)) {
    if (!LeaseAtTip(release->lease)) return Plain(Outcome::kMissing);
    EndLease(release->lease);
    a.lease = release->lease;
  } else if (const auto* touch = std::get_if<TouchRequest>(&request)) {
    if (!LeaseAtTip(touch->lease)) return Plain(Outcome::kMissing);
    SetEnd(touch->lease, now + image_.leases.at(touch->lease));
    a.lease = touch->lease;
  }
  return a;
}

void Machine::EndDueLeases(Micros now) {
  for (const auto& [end, lease] : lease_order_) {
    if (end > now) break;
    if (LeaseAtTip(lease)) EndLease(lease);
  }
}

void Machine::StartBatch(Micros now) {
  while (!writing_) {
    batch_ = Batch{};
    batch_.id = ++next_batch_;
    batch_.epoch = image_.epoch;
    batch_.last_lease = image_.last_lease;
    batch_.compacted = image_.compacted;
    EndDueLeases(now);
    while (!waiting_.empty() && batch_.log.size() < kMostBatchChanges) {
      Waiting w = std::move(waiting_.front());
      waiting_.pop_front();
      held_.emplace_back(w.token, Judge(now, w.request));
    }
    if (batch_.empty()) {  // nothing to write: what was judged rests on what is durable
      for (auto& [token, answer] : held_) Say(token, std::move(answer));
      held_.clear();
      if (waiting_.empty()) return;
      continue;
    }
    // What the log no longer holds is decided with the write, so that a restart agrees.
    const size_t rows = image_.log.size() + batch_.log.size();
    if (rows > kKeptChanges) {
      const size_t first_kept = rows - kKeptChanges;
      const LogRow& row = first_kept < image_.log.size()
                              ? image_.log[first_kept]
                              : batch_.log[first_kept - image_.log.size()];
      batch_.compacted = std::max(batch_.compacted, row.stamp - 1);  // revisions go whole
    }
    writing_ = true;
    out_.write = batch_;
  }
}

void Machine::Landed(Micros now) {
  // What the batch takes from each lease's keys, before the items change.
  for (const auto& [key, item] : batch_.items) {
    auto old = image_.items.find(key);
    if (old != image_.items.end() && old->second.lease != 0) {
      auto keys = lease_keys_.find(old->second.lease);
      if (keys != lease_keys_.end()) keys->second.erase(key);
    }
    if (item && item->lease != 0) lease_keys_[item->lease].insert(key);
  }
  Apply(batch_, &image_);
  for (const auto& [lease, life] : batch_.leases) {
    if (life) {
      SetEnd(lease, now + *life);
      continue;
    }
    if (auto it = lease_ends_.find(lease); it != lease_ends_.end()) {
      lease_order_.erase({it->second, lease});
      lease_ends_.erase(it);
    }
    lease_keys_.erase(lease);
  }
}

void Machine::OnWritten(Micros now, uint64_t batch, Written written) {
  if (!writing_ || batch != batch_.id) return;
  if (written == Written::kUnknown) {
    for (auto& [token, answer] : held_) Say(token, Plain(Outcome::kUnknown));
    held_.clear();
    stalled_ = true;
  } else {
    writing_ = false;
    if (written == Written::kDurable) {
      Landed(now);
      for (auto& [token, answer] : held_) Say(token, std::move(answer));
      // As after any outage.
      if (std::exchange(stalled_, false)) RenewLeases(now);
    } else {
      for (auto& [token, answer] : held_) {
        Say(token, Plain(Outcome::kRefused, "the disk takes no changes"));
      }
      stalled_ = true;
      probe_at_ = now + kProbeEvery;
    }
    held_.clear();
    batch_ = Batch{};
    batch_.epoch = image_.epoch;
    ServeWatches(now);
  }
  if (stalled_) {
    for (Waiting& w : waiting_) {
      Say(w.token, Plain(Outcome::kRefused, "the disk takes no changes"));
    }
    waiting_.clear();
  } else {
    StartBatch(now);
  }
}

void Machine::Tick(Micros now) {
  if (!watch_order_.empty() && watch_order_.begin()->first <= now) {
    while (!watch_order_.empty() && watch_order_.begin()->first <= now) {
      const Token token = watch_order_.begin()->second;
      watch_order_.erase(watch_order_.begin());
      if (watches_.erase(token) > 0) Say(token, Plain(Outcome::kOk));
    }
  }
  if (writing_) return;
  if (stalled_) {
    if (now < probe_at_) return;
    probe_at_ = now + kProbeEvery;
    batch_ = Batch{};
    batch_.id = ++next_batch_;
    batch_.epoch = image_.epoch;
    batch_.last_lease = image_.last_lease;
    batch_.compacted = image_.compacted;
    writing_ = true;
    out_.write = batch_;
  } else if (!lease_order_.empty() && lease_order_.begin()->first <= now) {
    StartBatch(now);
  }
}

Micros Machine::NextDeadline() const {
  Micros next = kNever;
  if (!watch_order_.empty()) next = watch_order_.begin()->first;
  if (writing_) return next;
  if (stalled_) return std::min(next, probe_at_);
  if (!lease_order_.empty()) next = std::min(next, lease_order_.begin()->first);
  return next;
}

}  // namespace badgershore::store
