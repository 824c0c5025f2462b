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
struct ListRequest {
  std::string prefix;
  std::string start_after;
  size_t limit = 1000;
};
struct CompareAndSwapRequest {
  struct Precondition {
    std::string key;
    uint64_t version = 0;  // 0: the key does not exist
  };
  struct Mutation {
    std::string key;
    std::optional<std::string> value;  // none: delete
    uint64_t lease = 0;
  };
  std::vector<Precondition> preconditions;
  std::vector<Mutation> mutations;
  size_t bytes = 0;  // of the whole request
};
struct GrantLeaseRequest {
  Micros time_to_live;  // 100 ms to 600 s
};
struct RenewLeaseRequest {
  uint64_t lease = 0;
};
struct RevokeLeaseRequest {
  uint64_t lease = 0;
};
struct WatchRequest {
  std::string prefix;
  uint64_t since_revision = 0;
  Micros wait;  // at most 60 s
};
using Request = std::variant<GetRequest, ListRequest, CompareAndSwapRequest, GrantLeaseRequest,
                             RenewLeaseRequest, RevokeLeaseRequest, WatchRequest>;

enum class Outcome {
  kOk,
  kNotFound,     // 404
  kConflict,     // 409
  kInvalid,      // 400
  kCompacted,    // 410
  kRateLimited,  // 429
  kRefused,      // 503: surely not carried out
  kUnknown,      // no answer: may have been carried out, or may be yet
};

struct Response {
  Outcome outcome = Outcome::kRefused;
  std::string error;
  uint64_t revision = 0;
  uint64_t lease = 0;
  bool has_more = false;
  std::vector<std::pair<std::string, VersionedValue>> entries;
  std::vector<std::string> failed_keys;
  std::vector<ChangeLogEntry> changes;
};

}  // namespace badgershore::store
