// The platform's JSON messages, to and from the core's terms. Wire names live only here.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "core/effects.h"
#include "core/frontdesk.h"

namespace badgershore::wire {

// Users.
Submission ParseSubmission(std::string_view body, int64_t time_of_day_ms);
bool ValidJobId(std::string_view id);
std::string FormatAnswer(const UserAnswer& answer);

// Workers.
std::optional<Report> ParseReport(std::string_view body);
std::string FormatCheckinAnswer(const CheckinAnswer& answer);
std::string FormatDirect(const DirectOp& op);

// Cloud.
std::string FormatRent(const CloudOp& op);
std::string FormatReturn(const CloudOp& op);
bool ParseTypes(std::string_view body, CloudReply* reply);
bool ParseRented(std::string_view body, CloudReply* reply);
bool ParseListed(std::string_view body, CloudReply* reply);

// State service.
std::string FormatCommit(const StateOp& op);
std::string FormatGrant(const StateOp& op);
bool ParseEntry(std::string_view body, StateReply* reply);
bool ParseEntries(std::string_view body, StateReply* reply);
bool ParseChanges(std::string_view body, StateReply* reply);
bool ParseCommit(std::string_view body, StateReply* reply);
bool ParseGrant(std::string_view body, StateReply* reply);

}  // namespace badgershore::wire
