#include "core/outbox/key_range_cache.h"

#include <algorithm>
#include <utility>

namespace badgershore {
namespace {

constexpr Micros kRetryDelay = Millis(300);
constexpr Micros kBatchDelay = Millis(40);  // lets one watch response carry a burst of changes
constexpr int kFailuresBeforeList = 8;

}  // namespace

KeyRangeCache::KeyRangeCache(Outbox* outbox, std::string prefix, OnEntry on_entry,
                             OnSynced on_synced, Micros watch_wait)
    : outbox_(outbox),
      prefix_(std::move(prefix)),
      on_entry_(std::move(on_entry)),
      on_synced_(std::move(on_synced)),
      watch_wait_(watch_wait),
      alive_(std::make_shared<bool>(true)) {}

KeyRangeCache::~KeyRangeCache() { *alive_ = false; }

void KeyRangeCache::Tick(Micros now) {
  if (!in_flight_ && now >= next_request_at_) SendNext(now);
}

void KeyRangeCache::SendNext(Micros now) {
  in_flight_ = true;
  StateRequest request;
  request.key = prefix_;
  if (listing_) {
    request.kind = StateRequest::Kind::kList;
    request.start_after = list_start_after_;
    if (list_start_after_.empty()) sent_at_ = now;  // a list is only as recent as its first page
  } else {
    sent_at_ = now;
    request.kind = StateRequest::Kind::kWatch;
    request.revision = revision_;
    request.duration = watch_wait_;
  }
  outbox_->SendState(request, [this, alive = alive_](Micros now, StateResponse& response) {
    if (*alive) OnResponse(now, response);
  });
}

void KeyRangeCache::OnResponse(Micros now, StateResponse& response) {
  in_flight_ = false;
  if (response.outcome == StateResponse::Outcome::kCompacted) {
    synced_ = false;
    RestartList();
    return SendNext(now);
  }
  if (!response.ok()) return OnFailure(now, response);
  failures_ = 0;
  if (listing_) {
    OnListPage(now, response);
  } else {
    OnWatchResponse(now, response);
  }
}

void KeyRangeCache::OnFailure(Micros now, const StateResponse& response) {
  next_request_at_ = now + kRetryDelay;
  // The changes may be too many for one watch response, so that the watch never succeeds; a list is
  // paged. During an outage the list fails just as the watch would.
  if (response.outcome != StateResponse::Outcome::kRefused && ++failures_ >= kFailuresBeforeList &&
      !listing_) {
    failures_ = 0;
    RestartList();
  }
}

void KeyRangeCache::OnWatchResponse(Micros now, const StateResponse& response) {
  revision_ = std::max(revision_, response.revision);
  for (const Entry& entry : response.entries) Apply(now, entry);
  known_as_of_ = sent_at_;
  next_request_at_ = response.entries.empty() ? now : now + kBatchDelay;
  Tick(now);
}

void KeyRangeCache::OnListPage(Micros now, const StateResponse& response) {
  // The watch starts at the revision of the first page, so no change between pages is missed.
  if (list_start_after_.empty()) {
    first_page_revision_ = response.revision;
    listed_keys_.clear();
  }
  for (const Entry& entry : response.entries) {
    listed_keys_.insert(entry.key);
    Apply(now, entry);
    list_start_after_ = entry.key;
  }
  if (response.has_more) return SendNext(now);
  DeleteUnlisted(now, response.revision);
  listed_keys_.clear();
  list_start_after_.clear();
  synced_ = true;
  listing_ = false;
  revision_ = first_page_revision_;
  known_as_of_ = sent_at_;
  SendNext(now);
  on_synced_(now);
}

void KeyRangeCache::DeleteUnlisted(Micros now, uint64_t revision) {
  for (auto it = known_keys_.begin(); it != known_keys_.end();) {
    const std::string key = *it;
    ++it;  // Apply erases the key
    if (!listed_keys_.contains(key)) Apply(now, Entry{key, {}, revision, true});
  }
}

void KeyRangeCache::RestartList() {
  listing_ = true;
  list_start_after_.clear();
}

void KeyRangeCache::Apply(Micros now, const Entry& entry) {
  if (entry.deleted) {
    known_keys_.erase(entry.key);
  } else {
    known_keys_.insert(entry.key);
  }
  on_entry_(now, entry);
}

}  // namespace badgershore
