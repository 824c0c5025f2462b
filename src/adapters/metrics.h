// Counters of a running controller, published as GET /metrics in the Prometheus text format
// (version 0.0.4). docs/metrics.md describes each of them.
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
  uint64_t heartbeats = 0;  // valid agent heartbeats received, whatever the response
  uint64_t heartbeat_bytes = 0, heartbeat_response_bytes = 0;  // bodies only
  uint64_t command_requests = 0;
  uint64_t user_requests = 0;
  uint64_t cloud_calls = 0;
  uint64_t unconfirmed_cancellations = 0;  // recorded, but their users have not been told yet
  // Limits of the state service as this controller takes them: of a value, of a transaction's
  // mutations, of mutations a second.
  size_t state_value_bytes = 0, state_mutations = 0;
  double state_changes_per_s = 0;
  uint64_t refused_transactions = 0;     // by the state service, as too large or malformed
  http::Traffic state;                   // requests to the state service, including watches
  stats::Durations user_response_times;  // response times to users since the last log line

  // Formats the counters, the gauges of the leader (if this controller leads) and the loop's
  // longest turn.
  std::string Format(const std::optional<LeaderGauges>& leader, Micros longest_turn) const;
};

}  // namespace badgershore::adapters
