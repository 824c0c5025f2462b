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

}  // namespace

std::string Metrics::Text(bool leads, Micros longest_turn) const {
  std::string out;
  Add("badgershore_leader", "gauge", leads ? 1 : 0, &out);
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
