// Requests to the state service and their responses, independent of the wire format.
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
    uint64_t version = 0;  // 0: the key must not exist
  };
  struct Mutation {
    std::string key;
    std::optional<std::string> value;  // none: delete
    uint64_t lease = 0;
  };
  std::vector<Precondition> preconditions;
  std::vector<Mutation> mutations;
  size_t bytes = 0;  // size of the request body
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
  kRefused,      // 503: not applied and never will be
  kUnknown,      // no response is sent: it may have been applied or may still be
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
