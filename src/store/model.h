// The state service's data: versioned values by key, leases, and the change log. The model follows
// PROTOCOL "Controller nodes -> state service"; its stamps and epochs are revisions here, which are
// never reused.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/model/time.h"

namespace badgershore::store {

constexpr size_t kMaxKeyBytes = 200;
constexpr size_t kMinChangeLogEntries = 10000;

struct VersionedValue {
  std::string value;     // JSON, as the client wrote it
  uint64_t version = 0;  // the revision of its latest change
  uint64_t lease = 0;    // 0: none
  bool operator==(const VersionedValue&) const = default;
};

struct ChangeLogEntry {
  uint64_t revision = 0;
  std::string key;
  std::optional<std::string> value;  // none: deleted
  bool operator==(const ChangeLogEntry&) const = default;
};

// 0: no limit. A rate limit allows a burst of up to one second's quantity.
struct Limits {
  double requests_per_s = 0;
  double changes_per_s = 0;
  size_t value_bytes = 64 * 1024;
  size_t commit_changes = 128;  // up to four times as many preconditions
  size_t commit_bytes = 64 * 1024;
};

// The complete durable state.
struct StateImage {
  uint64_t revision = 0;
  uint64_t last_lease_id = 0;
  uint64_t compacted_revision = 0;  // the change log holds every change after this revision
  std::map<std::string, VersionedValue> items;
  std::map<uint64_t, Micros> leases;  // id -> time to live
  std::deque<ChangeLogEntry> change_log;
  bool operator==(const StateImage&) const = default;
};

// The changes of one atomic, durable write.
struct Batch {
  uint64_t id = 0;
  uint64_t revision = 0;
  uint64_t last_lease_id = 0;
  uint64_t compacted_revision = 0;
  std::map<std::string, std::optional<VersionedValue>> items;  // none: deleted
  std::map<uint64_t, std::optional<Micros>> leases;            // none: revoked or expired
  std::vector<ChangeLogEntry> change_log;

  bool empty() const { return items.empty() && leases.empty() && change_log.empty(); }
};

// Applies a durable batch to the image. The change log keeps at least the latest
// kMinChangeLogEntries entries.
void Apply(const Batch& batch, StateImage* image);

inline bool ValidKey(std::string_view key) {
  if (key.empty() || key.size() > kMaxKeyBytes) return false;
  for (char c : key) {
    if (static_cast<unsigned char>(c) <= ' ' || c == 0x7f) return false;
  }
  return true;
}

inline bool HasPrefix(std::string_view key, std::string_view prefix) {
  return key.substr(0, prefix.size()) == prefix;
}

}  // namespace badgershore::store
