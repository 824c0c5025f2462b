#include "adapters/metrics.h"

#include <cstdio>

namespace badgershore::adapters {
namespace {

void AddMetric(const char* name, const char* type, double value, std::string* out) {
  char line[256];
  std::snprintf(line, sizeof(line), "# TYPE %s %s\n%s %.9g\n", name, type, name, value);
  *out += line;
}

void AddCounter(const char* name, uint64_t value, std::string* out) {
  AddMetric(name, "counter", static_cast<double>(value), out);
}

void AddLeaderMetrics(const LeaderGauges& leader, std::string* out) {
  constexpr double kMillicoresPerCore = 1000;
  AddMetric("badgershore_term", "gauge", static_cast<double>(leader.term), out);
  AddMetric("badgershore_unreconciled_machines", "gauge",
            static_cast<double>(leader.unreconciled_machines), out);
  AddMetric("badgershore_machines_with_unknown_tasks", "gauge", leader.machines_with_unknown_tasks,
            out);
  AddMetric("badgershore_uncertain_cores", "gauge",
            static_cast<double>(leader.uncertain_millicores) / kMillicoresPerCore, out);
  AddMetric("badgershore_uncertain_placements", "gauge",
            static_cast<double>(leader.uncertain_placements), out);
  AddMetric("badgershore_unwritable_records", "gauge",
            static_cast<double>(leader.unwritable_records), out);
  AddMetric("badgershore_cancellations_age_seconds", "gauge", leader.cancellations_age.ToSeconds(),
            out);
}

}  // namespace

std::string Metrics::Format(const std::optional<LeaderGauges>& leader, Micros longest_turn) const {
  std::string out;
  AddMetric("badgershore_leader", "gauge", leader ? 1 : 0, &out);
  if (leader) AddLeaderMetrics(*leader, &out);
  AddCounter("badgershore_reports_total", heartbeats, &out);
  AddCounter("badgershore_report_bytes_total", heartbeat_bytes, &out);
  AddCounter("badgershore_report_answer_bytes_total", heartbeat_response_bytes, &out);
  AddCounter("badgershore_direct_calls_total", command_requests, &out);
  AddCounter("badgershore_user_requests_total", user_requests, &out);
  AddCounter("badgershore_cloud_calls_total", cloud_calls, &out);
  AddCounter("badgershore_state_requests_total", state.requests, &out);
  AddCounter("badgershore_state_sent_bytes_total", state.sent, &out);
  AddCounter("badgershore_state_received_bytes_total", state.received, &out);
  AddMetric("badgershore_state_value_limit_bytes", "gauge", static_cast<double>(state_value_bytes),
            &out);
  AddMetric("badgershore_state_transaction_limit", "gauge", static_cast<double>(state_mutations),
            &out);
  AddMetric("badgershore_state_changes_limit", "gauge", state_changes_per_s, &out);
  AddCounter("badgershore_state_refused_transactions_total", refused_transactions, &out);
  AddMetric("badgershore_unconfirmed_cancellations", "gauge",
            static_cast<double>(unconfirmed_cancellations), &out);
  AddMetric("badgershore_loop_longest_turn_seconds", "gauge", longest_turn.ToSeconds(), &out);
  return out;
}

}  // namespace badgershore::adapters
