// The platform's JSON messages, to and from the core's terms. Wire names live only here.
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

// Users.
Submission ParseSubmission(std::string_view body, int64_t time_of_day_ms);
bool ValidJobId(std::string_view id);
std::string FormatAnswer(const ApiResponse& answer);

// Workers.
std::optional<Heartbeat> ParseReport(std::string_view body);
std::string FormatCheckinAnswer(const HeartbeatResponse& answer);
std::string FormatDirect(const CommandRequest& op);

// The same from the worker's side.
std::string FormatReport(const Heartbeat& report);
HeartbeatResponse ParseCheckinAnswer(int status, std::string_view body);
std::optional<CommandRequest> ParseDirect(std::string_view body);

// Cloud.
Call FormatCloudCall(const CloudRequest& op);
CloudResponse ParseCloudAnswer(const CloudRequest& op, int status, std::string_view body);

// State service.
Call FormatStateCall(const StateRequest& op);
StateResponse ParseStateAnswer(const StateRequest& op, int status, std::string_view body);

}  // namespace badgershore::wire
