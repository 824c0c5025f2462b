// Counters of a running controller, published as GET /metrics in the Prometheus text format
// (version 0.0.4). docs/metrics.md says what each means.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "core/leader/leader.h"
#include "core/model/time.h"
#include "http/client.h"
#include "stats/durations.h"

namespace badgershore::adapters {

struct Metrics {
  uint64_t reports = 0;  // workers' reports that were answered, whatever the answer
  uint64_t report_bytes = 0, report_answer_bytes = 0;  // bodies alone
  uint64_t direct_calls = 0;
  uint64_t user_requests = 0;
  uint64_t cloud_calls = 0;
  http::Traffic state;          // requests to the state service, watches among them
  stats::Durations user_waits;  // users' answers since the last line in the log

  // The counters, the term that this controller leads, and the loop's longest turn, as text.
  std::string Text(const std::optional<LeaderGauges>& leader, Micros longest_turn) const;
};

}  // namespace badgershore::adapters
