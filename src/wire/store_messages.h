// The state service's side of PROTOCOL "Controller nodes -> state service": HTTP requests to its
// terms, its answers to HTTP.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "store/requests.h"

namespace badgershore::wire {

struct StoreCall {
  int status = 0;  // not 0: refuse with this, and why
  std::string error;
  store::Request request;
};
StoreCall ParseStoreCall(std::string_view method, std::string_view target, std::string_view body);

// What was asked decides the answer's form. 0 as a status: give no answer at all.
struct StoreAnswer {
  int status = 503;
  std::string body;
};
StoreAnswer FormatStoreAnswer(const store::Request& request, const store::Response& answer);

// One JSON object a line, for dumps and snapshots.
std::string FormatItemLine(const std::string& key, const store::VersionedValue& item);
std::string FormatLeaseLine(uint64_t id, Micros life);
std::string FormatChangeLine(const store::ChangeLogEntry& row);
std::string FormatHeadLine(const store::StateImage& image);
// Adds what a line says to the image; false where it makes no sense.
bool ReadLine(std::string_view line, store::StateImage* image);

}  // namespace badgershore::wire
