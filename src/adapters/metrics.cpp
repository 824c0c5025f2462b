#include "adapters/metrics.h"

#include <cstdio>

namespace badgershore::adapters {
namespace {

void Add(const char* name, const char* type, double value, std::string* out) {
  char line[256];
  std::snprintf(line, sizeof(line), "# TYPE %s %s\n%s %.9g\n", name, type, name, value);
  *out += line;
}

void Counter(const char* name, uint64_t value, std::string* out) {
  Add(name, "counter", static_cast<double>(value), out);
}

void AddLeader(const LeaderGauges& leader, std::string* out) {
  constexpr double kMillicoresPerCore = 1000;
  Add("badgershore_term", "gauge", static_cast<double>(leader.term), out);
  Add("badgershore_unreconciled_machines", "gauge",
      static_cast<double>(leader.unreconciled_machines), out);
  Add("badgershore_machines_with_unknown_tasks", "gauge", leader.machines_with_unknown_tasks, out);
  Add("badgershore_uncertain_cores", "gauge",
      static_cast<double>(leader.uncertain_millicores) / kMillicoresPerCore, out);
  Add("badgershore_uncertain_placements", "gauge", static_cast<double>(leader.uncertain_placements),
      out);
  Add("badgershore_cancellations_age_seconds", "gauge", leader.cancellations_age.ToSeconds(), out);
}

}  // namespace

std::string Metrics::Text(const std::optional<LeaderGauges>& leader, Micros longest_turn) const {
  std::string out;
  Add("badgershore_leader", "gauge", leader ? 1 : 0, &out);
  if (leader) AddLeader(*leader, &out);
  Counter("badgershore_reports_total", reports, &out);
  Counter("badgershore_report_bytes_total", report_bytes, &out);
  Counter("badgershore_report_answer_bytes_total", report_answer_bytes, &out);
  Counter("badgershore_direct_calls_total", direct_calls, &out);
  Counter("badgershore_user_requests_total", user_requests, &out);
  Counter("badgershore_cloud_calls_total", cloud_calls, &out);
  Counter("badgershore_state_requests_total", state.requests, &out);
  Counter("badgershore_state_sent_bytes_total", state.sent, &out);
  Counter("badgershore_state_received_bytes_total", state.received, &out);
  Add("badgershore_loop_longest_turn_seconds", "gauge", longest_turn.ToSeconds(), &out);
  return out;
}

}  // namespace badgershore::adapters
