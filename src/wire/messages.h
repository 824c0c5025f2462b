// Converts the platform's JSON messages to and from the core's types. The names used on the wire
// appear only in this module.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "core/api/job_api.h"
#include "core/model/effects.h"

namespace badgershore::wire {

// An HTTP request to the state service or the cloud.
struct Call {
  std::string method = "GET", target, body;
  Micros timeout;
};

// Messages of users.
Submission ParseSubmission(std::string_view body, int64_t time_of_day_ms);
bool ValidJobId(std::string_view id);
std::string FormatAnswer(const ApiResponse& response);

// Messages of agents, as a controller reads and writes them.
std::optional<Heartbeat> ParseReport(std::string_view body);
std::string FormatCheckinAnswer(const HeartbeatResponse& response);
std::string FormatDirect(const CommandRequest& request);

// The same messages, as an agent writes and reads them.
std::string FormatReport(const Heartbeat& heartbeat);
HeartbeatResponse ParseCheckinAnswer(int status, std::string_view body);
std::optional<CommandRequest> ParseDirect(std::string_view body);

// Requests to the cloud and its responses.
Call FormatCloudCall(const CloudRequest& request);
CloudResponse ParseCloudAnswer(const CloudRequest& request, int status, std::string_view body);

// Requests to the state service and its responses.
Call FormatStateCall(const StateRequest& request);
StateResponse ParseStateAnswer(const StateRequest& request, int status, std::string_view body);

}  // namespace badgershore::wire
