// Limits on the state service of an emulated site.
#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <optional>
#include <set>
#include <string>

#include "emulated_site.h"
#include "wire/json.h"
#include "wire/messages.h"
#include "wire/records.h"

namespace badgershore {

constexpr size_t kTransactionBytes = 64 * 1024;

inline std::string Id(int job) { return "job-" + std::to_string(job); }

// Idle machines are kept, so that all that are up have to be on record.
inline void FastState(PlatformSettings* settings, Options* options) {
  options->keep_machines = 10000;
  settings->state = {.requests_per_s = 1000, .changes_per_s = 200, .value_kb = 8, .mutations = 8};
}

// Refuses what exceeds the limits, as PROTOCOL says. A rate of 0 is no limit.
class LimitedStateService {
 public:
  explicit LimitedStateService(EmulatedSite* site) : site_(site) {
    site->refuse_state_request = [this](const StateRequest& request) { return Check(request); };
    site->on_transaction = [this] { ++transactions; };
  }

  void SetLimits(size_t value_bytes, size_t mutations, double changes_per_s = 0) {
    value_bytes_ = value_bytes;
    mutations_ = mutations;
    changes_per_s_ = changes_per_s;
    tokens_ = std::min(tokens_, changes_per_s);
  }
  // A new leader may send what another one has sent.
  void ForgetRefused() { refused_.clear(); }

  int refusals = 0, rate_limited = 0, transactions = 0;

 private:
  std::optional<StateResponse> Check(const StateRequest& request) {
    if (request.kind != StateRequest::Kind::kCompareAndSwap) return std::nullopt;
    StateResponse response;
    const std::string body = wire::FormatStateRequest(request).body;
    if (ExceedsLimit(request, body)) {
      ++refusals;
      const std::string changes = body.substr(body.find("\"then\""));
      EXPECT_TRUE(refused_.insert(changes).second) << "sent again unchanged: " << changes;
      response.outcome = StateResponse::Outcome::kTooLarge;
      return response;
    }
    if (TakeTokens(request.mutations.size())) return std::nullopt;
    ++rate_limited;
    response.outcome = StateResponse::Outcome::kRefused;
    response.rate_limited = true;
    return response;
  }

  bool ExceedsLimit(const StateRequest& request, const std::string& body) const {
    if (request.mutations.size() > mutations_ || body.size() > kTransactionBytes) return true;
    return std::any_of(request.mutations.begin(), request.mutations.end(),
                       [this](const Mutation& mutation) {
                         wire::Writer writer;
                         wire::PutRecord(&writer, mutation.value);
                         return !mutation.is_delete && writer.Done().size() > value_bytes_;
                       });
  }

  // The bucket holds the changes of one second; more at once are never accepted.
  bool TakeTokens(size_t mutations) {
    if (changes_per_s_ == 0) return true;
    const double elapsed_s = (site_->now() - tokens_at_).ToSeconds();
    tokens_ = std::min(changes_per_s_, tokens_ + changes_per_s_ * elapsed_s);
    tokens_at_ = site_->now();
    if (tokens_ < static_cast<double>(mutations)) return false;
    tokens_ -= static_cast<double>(mutations);
    return true;
  }

  EmulatedSite* site_;
  size_t value_bytes_ = 8192, mutations_ = 8;
  double changes_per_s_ = 0, tokens_ = 0;
  Micros tokens_at_;
  std::set<std::string> refused_;
};

}  // namespace badgershore
