#include "core/leader/quota_store.h"

#include <algorithm>
#include <utility>

#include "core/model/record_size.h"
#include "limits/quota_record_parts.h"

namespace badgershore {
namespace {

constexpr Micros kRetryDelay = Millis(300);
// Share of the changes a second that the parts of a divided record take.
constexpr double kRateShare = 0.3;
// Largest length of a unit and of a total as a number, with its comma.
constexpr size_t kUnitBytes = 11, kTotalBytes = 18;
constexpr size_t kAmountsOverheadBytes = 6;
constexpr size_t kPartOverheadBytes = 128, kPartAccountOverheadBytes = 192;

template <typename T>
bool Contains(const std::vector<T>& list, const T& item) {
  return std::find(list.begin(), list.end(), item) != list.end();
}

bool Failed(const StateResponse& response, const std::string& key) {
  return response.outcome == StateResponse::Outcome::kConflict &&
         Contains(response.failed_keys, key);
}

}  // namespace

void QuotaStore::Load(const Entry& entry) {
  const auto* record = std::get_if<limits::QuotaRecord>(&entry.value);
  if (!record) return;
  if (entry.key == keys::kQuotaRecord) {
    loaded_whole_ = *record;
    whole_version_ = entry.version;
  } else if (entry.key == keys::kQuotaRoot) {
    loaded_root_ = *record;
    root_version_ = entry.version;
  } else if (entry.key.starts_with(keys::kQuotaPart)) {
    loaded_parts_[entry.key] = *record;
    unused_keys_.insert(entry.key);
  }
}

// Of both records the newer one counts: an earlier version, which does not know of roots, has
// written the single value.
std::optional<limits::QuotaRecord> QuotaStore::TakeLoaded() {
  const auto parts = std::exchange(loaded_parts_, {});
  auto whole = std::exchange(loaded_whole_, std::nullopt);
  auto root = std::exchange(loaded_root_, std::nullopt);
  if (!root || whole_version_ > root_version_) return whole;
  for (const std::string& name : std::exchange(root->parts, {})) {
    const auto part = parts.find(keys::kQuotaPart + name);
    if (part == parts.end()) {
      outbox()->Log(LogLine::Level::kError, "the quota record lacks its part " + name);
      stored_parts_.clear();
      return std::nullopt;
    }
    unused_keys_.erase(part->first);
    stored_parts_.push_back({part->first, part->second});
    limits::AddTeams(part->second, &*root);
  }
  return root;
}

void QuotaStore::Write(Micros now, const limits::QuotaRecord& record, OnResult on_result) {
  record_ = record;
  on_result_ = std::move(on_result);
  Plan(now);
}

// Parts of a write that was given up, some of which may be stored.
void QuotaStore::AbandonParts() {
  for (const Part& part : parts_) {
    if (!Contains(stored_parts_, part)) unused_keys_.insert(part.key);
  }
  parts_.clear();
  parts_to_send_.clear();
}

void QuotaStore::Plan(Micros now) {
  AbandonParts();
  root_.reset();
  const size_t value_bytes = state_limits().value_bytes();
  if (MaxRecordBytes(record_) > value_bytes) {
    PlanParts(value_bytes);
    const bool fits = MaxRecordBytes(*root_) <= value_bytes &&
                      std::all_of(parts_.begin(), parts_.end(), [&](const Part& part) {
                        return MaxRecordBytes(part.teams) <= value_bytes;
                      });
    if (!fits) return Finish(now, Result::kTooLarge);
  }
  SendNext(now);
}

void QuotaStore::PlanParts(size_t value_bytes) {
  root_ = limits::RootOf(record_);
  for (limits::QuotaRecord& teams :
       limits::DivideByTeams(record_, TeamsPerPart(record_, value_bytes))) {
    parts_.push_back(ReuseOrAddPart(std::move(teams)));
    root_->parts.push_back(parts_.back().key.substr(keys::kQuotaPart.size()));
  }
}

QuotaStore::Part QuotaStore::ReuseOrAddPart(limits::QuotaRecord teams) {
  for (const Part& stored : stored_parts_) {
    if (stored.teams == teams) return stored;
  }
  const std::string name = std::to_string(election()->term()) + "-" + std::to_string(++last_part_);
  parts_to_send_.push_back({keys::kQuotaPart + name, std::move(teams)});
  return parts_to_send_.back();
}

// Depends on names alone, so that a part whose amounts have not changed stays the same.
size_t QuotaStore::TeamsPerPart(const limits::QuotaRecord& record, size_t value_bytes) {
  size_t name_bytes = 0;
  for (const auto& [team, amounts] : record.held) {
    name_bytes = std::max(name_bytes, JsonTextBytes(team) + kAmountsOverheadBytes);
  }
  const size_t cells = record.accounts.size();
  const size_t unit_lists = 1 + 2 * cells;  // held here, and with each cell in transit and in all
  const size_t team_bytes = unit_lists * (name_bytes + limits::kResourceKinds * kUnitBytes) +
                            name_bytes + limits::kResourceKinds * kTotalBytes;
  const size_t overhead = kPartOverheadBytes + cells * kPartAccountOverheadBytes;
  return std::max<size_t>(1, (value_bytes - std::min(value_bytes, overhead)) / team_bytes);
}

void QuotaStore::Tick(Micros now) {
  if (in_flight_ || now < next_at_ || !election()->leads()) return;
  if (IsWriting()) {
    SendNext(now);
  } else if (!unused_keys_.empty()) {
    SendDeletions(now);
  }
}

void QuotaStore::SendNext(Micros now) {
  if (in_flight_ || now < next_at_) return;
  if (parts_to_send_.empty()) {
    SendRecord(now);
  } else {
    SendParts(now);
  }
}

StateRequest QuotaStore::NewTransaction() const {
  StateRequest commit;
  commit.kind = StateRequest::Kind::kCompareAndSwap;
  commit.preconditions.push_back({keys::kTerm, election()->term_version()});
  return commit;
}

void QuotaStore::SendParts(Micros now) {
  StateRequest commit = NewTransaction();
  TransactionSize size;
  const size_t count = std::min(parts_to_send_.size(), state_limits().mutations());
  for (size_t i = 0; i < count; ++i) {
    const Part& part = parts_to_send_[i];
    commit.mutations.push_back({part.key, false, part.teams, 0});
    size.largest_value_bytes = std::max(size.largest_value_bytes, MaxRecordBytes(part.teams));
    size.largest_key = part.key;
  }
  size.records = count;
  Send(now, std::move(commit), size, [this, count](Micros now, const StateResponse& response) {
    OnPartsResponse(now, response, count);
  });
}

// The other form of the record is deleted in the same transaction.
void QuotaStore::SendRecord(Micros now) {
  StateRequest commit = NewTransaction();
  commit.preconditions.push_back({keys::kQuotaRecord, whole_version_});
  commit.preconditions.push_back({keys::kQuotaRoot, root_version_});
  const limits::QuotaRecord& value = root_ ? *root_ : record_;
  commit.mutations.push_back({RecordKey(), false, value, 0});
  const bool has_other_form = root_ ? whole_version_ > 0 : root_version_ > 0;
  if (has_other_form) {
    commit.mutations.push_back({root_ ? keys::kQuotaRecord : keys::kQuotaRoot, true, {}, 0});
  }
  Send(now, std::move(commit), {0, 1, MaxRecordBytes(value), RecordKey()},
       [this](Micros now, const StateResponse& response) { OnRecordResponse(now, response); });
}

// A key is never used again, so a deletion may be repeated.
void QuotaStore::SendDeletions(Micros now) {
  StateRequest commit = NewTransaction();
  std::vector<std::string> deleted;
  for (const std::string& key : unused_keys_) {
    if (deleted.size() == state_limits().mutations()) break;
    commit.mutations.push_back({key, true, {}, 0});
    deleted.push_back(key);
  }
  TransactionSize size{0, deleted.size(), 0, deleted.front()};
  Send(now, std::move(commit), size, [this, deleted](Micros, const StateResponse& response) {
    const bool too_large = response.outcome == StateResponse::Outcome::kTooLarge;
    const bool given_up = too_large && state_limits().OnTooLarge(sent_size_) ==
                                           StateLimits::Conclusion::kRecordRefused;
    if (!response.ok() && !given_up) return;
    for (const std::string& key : deleted) unused_keys_.erase(key);
  });
}

void QuotaStore::Send(Micros now, StateRequest commit, TransactionSize size,
                      std::function<void(Micros, const StateResponse&)> on_response) {
  in_flight_ = true;
  size.mutations = commit.mutations.size();
  next_at_ = now + Pause(size.mutations);
  sent_size_ = std::move(size);
  outbox()->SendState(std::move(commit), Guarded([this, on_response = std::move(on_response)](
                                                     Micros now, StateResponse& response) {
                        in_flight_ = false;
                        if (response.ok()) state_limits().OnAccepted();
                        if (response.rate_limited) state_limits().OnRateLimited();
                        if (Failed(response, keys::kTerm)) {
                          return election()->StepDown(now, "a later term has begun");
                        }
                        if (!response.ok()) next_at_ = std::max(next_at_, now + kRetryDelay);
                        on_response(now, response);
                      }));
}

// A record that is one value is written without a pause.
Micros QuotaStore::Pause(size_t mutations) const {
  if (!root_ && unused_keys_.empty()) return {};
  return Seconds(static_cast<double>(mutations) / (kRateShare * state_limits().changes_per_s()));
}

void QuotaStore::OnPartsResponse(Micros now, const StateResponse& response, size_t count) {
  if (response.outcome == StateResponse::Outcome::kTooLarge) return OnTooLarge(now);
  if (!response.ok()) return;  // the same parts are sent again
  parts_to_send_.erase(parts_to_send_.begin(),
                       parts_to_send_.begin() + static_cast<std::ptrdiff_t>(count));
  SendNext(now);
}

void QuotaStore::OnRecordResponse(Micros now, const StateResponse& response) {
  using Outcome = StateResponse::Outcome;
  if (response.ok()) return OnRecordWritten(now, response.revision);
  if (response.outcome == Outcome::kTooLarge) return OnTooLarge(now);
  if (Failed(response, root_ ? keys::kQuotaRecord : keys::kQuotaRoot)) {
    return election()->StepDown(now, "the quota record was written by another leader");
  }
  if (response.outcome != Outcome::kRefused) Reload();
}

// Either the limits have fallen, so that the record is divided further, or it can't be written.
void QuotaStore::OnTooLarge(Micros now) {
  const auto conclusion = state_limits().OnTooLarge(sent_size_);
  outbox()->Info("the state service refused a part of the quota record as too large: at most " +
                 std::to_string(sent_size_.largest_value_bytes) + " bytes (" +
                 sent_size_.largest_key + "); limits taken as " + state_limits().Description());
  if (conclusion == StateLimits::Conclusion::kRecordRefused) return Finish(now, Result::kTooLarge);
  next_at_ = now;
  Plan(now);
}

void QuotaStore::Reload() {
  in_flight_ = true;
  StateRequest get;
  get.key = RecordKey();
  outbox()->SendState(get, Guarded([this](Micros now, StateResponse& response) {
                        in_flight_ = false;
                        OnReloaded(now, response);
                      }));
}

void QuotaStore::OnReloaded(Micros now, const StateResponse& response) {
  if (!response.ok() || response.entries.empty()) return;  // the same write is repeated
  const Entry& entry = response.entries[0];
  const auto* record = std::get_if<limits::QuotaRecord>(&entry.value);
  if (record && record->number == record_.number) {
    OnRecordWritten(now, entry.version);
  } else if (entry.version != (root_ ? root_version_ : whole_version_)) {
    election()->StepDown(now, "the quota record was written by another leader");
  }
}

void QuotaStore::OnRecordWritten(Micros now, uint64_t version) {
  (root_ ? root_version_ : whole_version_) = version;
  (root_ ? whole_version_ : root_version_) = 0;
  for (const Part& part : stored_parts_) {
    if (!Contains(parts_, part)) unused_keys_.insert(part.key);
  }
  stored_parts_ = parts_;
  Finish(now, Result::kWritten);
}

void QuotaStore::Finish(Micros now, Result result) {
  AbandonParts();
  std::exchange(on_result_, nullptr)(now, result);
}

std::string QuotaStore::RecordKey() const { return root_ ? keys::kQuotaRoot : keys::kQuotaRecord; }

}  // namespace badgershore
