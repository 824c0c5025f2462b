// The platform's JSON messages, to and from the core's terms. Wire names live only here.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "core/frontend/frontend.h"
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
std::string FormatAnswer(const UserAnswer& answer);

// Workers.
std::optional<Report> ParseReport(std::string_view body);
std::string FormatCheckinAnswer(const CheckinAnswer& answer);
std::string FormatDirect(const DirectOp& op);

// The same from the worker's side.
std::string FormatReport(const Report& report);
CheckinAnswer ParseCheckinAnswer(int status, std::string_view body);
std::optional<DirectOp> ParseDirect(std::string_view body);

// Cloud.
Call FormatCloudCall(const CloudOp& op);
CloudReply ParseCloudAnswer(const CloudOp& op, int status, std::string_view body);

// State service.
Call FormatStateCall(const StateOp& op);
StateReply ParseStateAnswer(const StateOp& op, int status, std::string_view body);

}  // namespace badgershore::wire
