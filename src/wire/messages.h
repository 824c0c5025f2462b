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
std::string FormatApiResponse(const ApiResponse& response);

// Messages of agents, as a controller reads and writes them.
std::optional<Heartbeat> ParseHeartbeat(std::string_view body);
std::string FormatHeartbeatResponse(const HeartbeatResponse& response);
std::string FormatCommandRequest(const CommandRequest& request);

// The same messages, as an agent writes and reads them.
std::string FormatHeartbeat(const Heartbeat& heartbeat);
HeartbeatResponse ParseHeartbeatResponse(int status, std::string_view body);
std::optional<CommandRequest> ParseCommandRequest(std::string_view body);

// Requests to the cloud and its responses.
Call FormatCloudRequest(const CloudRequest& request);
CloudResponse ParseCloudResponse(const CloudRequest& request, int status, std::string_view body);

// Requests to the state service and its responses.
Call FormatStateRequest(const StateRequest& request);
StateResponse ParseStateResponse(const StateRequest& request, int status, std::string_view body);

}  // namespace badgershore::wire
