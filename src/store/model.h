// What the state service keeps: items under keys, leases, and the latest changes. Shapes after
// PROTOCOL "Controller nodes -> state service"; stamps and epochs are revisions, never reused.
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
  std::string value;     // JSON, as it was put
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

// 0: no limit. Rates allow bursts of one second's worth.
struct Limits {
  double requests_per_s = 0;
  double changes_per_s = 0;
  size_t value_bytes = 64 * 1024;
  size_t commit_changes = 128;  // conditions: four times as many
  size_t commit_bytes = 64 * 1024;
};

// Everything that lasts.
struct StateImage {
  uint64_t revision = 0;
  uint64_t last_lease_id = 0;
  uint64_t compacted_revision = 0;  // the log holds every change after this revision
  std::map<std::string, VersionedValue> items;
  std::map<uint64_t, Micros> leases;  // id -> time to live
  std::deque<ChangeLogEntry> change_log;
  bool operator==(const StateImage&) const = default;
};

// What one durable write changes: all of it or nothing.
struct Batch {
  uint64_t id = 0;
  uint64_t revision = 0;
  uint64_t last_lease_id = 0;
  uint64_t compacted_revision = 0;
  std::map<std::string, std::optional<VersionedValue>> items;  // none: deleted
  std::map<uint64_t, std::optional<Micros>> leases;            // none: ended
  std::vector<ChangeLogEntry> change_log;

  bool empty() const { return items.empty() && leases.empty() && change_log.empty(); }
};

// Puts a durable batch into the image. The log keeps at least the latest kKeptChanges rows.
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
