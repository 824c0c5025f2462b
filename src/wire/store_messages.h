// The state service's side of PROTOCOL "Controller nodes -> state service": converts HTTP requests
// to requests of the store, and the store's responses to HTTP responses.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "store/requests.h"

namespace badgershore::wire {

struct ParsedStoreRequest {
  int status = 0;  // if not 0, the HTTP status of an invalid request, with `error`
  std::string error;
  store::Request request;
};
ParsedStoreRequest ParseStoreRequest(std::string_view method, std::string_view target,
                                     std::string_view body);

// The HTTP response to a request of the store. The type of the request determines the body. Status
// 0 means that no response is sent.
struct StoreHttpResponse {
  int status = 503;
  std::string body;
};
StoreHttpResponse FormatStoreResponse(const store::Request& request,
                                      const store::Response& response);

// Lines of dumps and snapshots, each with one JSON object.
std::string FormatItemLine(const std::string& key, const store::VersionedValue& item);
std::string FormatLeaseLine(uint64_t id, Micros duration);
std::string FormatChangeLine(const store::ChangeLogEntry& entry);
std::string FormatHeaderLine(const store::StateImage& image);
// Adds the content of a line to the image. Returns false if the line is invalid.
bool ReadLine(std::string_view line, store::StateImage* image);

}  // namespace badgershore::wire
