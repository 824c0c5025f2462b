// What clients ask of the state service and what they are told, without the wire's form.
#pragma once

#include <string>
#include <variant>
#include <vector>

#include "store/model.h"

namespace badgershore::store {

struct GetRequest {
  std::string key;
};
struct RangeRequest {
  std::string prefix;
  std::string after;
  size_t limit = 1000;
};
struct CommitRequest {
  struct Guard {
    std::string key;
    uint64_t stamp = 0;  // 0: the key does not exist
  };
  struct Change {
    std::string key;
    std::optional<std::string> value;  // none: delete
    uint64_t lease = 0;
  };
  std::vector<Guard> guards;
  std::vector<Change> changes;
  size_t bytes = 0;  // of the whole request
};
struct GrantRequest {
  Micros life;  // 100 ms to 600 s
};
struct TouchRequest {
  uint64_t lease = 0;
};
struct ReleaseRequest {
  uint64_t lease = 0;
};
struct WatchRequest {
  std::string prefix;
  uint64_t since = 0;
  Micros wait;  // at most 60 s
};
using Request = std::variant<GetRequest, RangeRequest, CommitRequest, GrantRequest, TouchRequest,
                             ReleaseRequest, WatchRequest>;

enum class Outcome {
  kOk,
  kMissing,    // 404
  kConflict,   // 409
  kInvalid,    // 400
  kCompacted,  // 410
  kLimited,    // 429
  kRefused,    // 503: surely not carried out
  kUnknown,    // no answer: may have been carried out, or may be yet
};

struct Answer {
  Outcome outcome = Outcome::kRefused;
  std::string error;
  uint64_t epoch = 0;
  uint64_t lease = 0;
  bool truncated = false;
  std::vector<std::pair<std::string, Item>> items;
  std::vector<std::string> failed;
  std::vector<LogRow> log;
};

}  // namespace badgershore::store
