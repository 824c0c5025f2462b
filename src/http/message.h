// HTTP/1.1 messages and an incremental parser that uses bounded memory.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace badgershore::http {

struct Limits {
  size_t line = 8 * 1024;
  size_t headers = 16 * 1024;
  size_t body = 64 * 1024;
  // Requests to this target, which may be followed by a query, may have a body of this size.
  std::string_view large_body_target = {};
  size_t large_body = 0;
};

struct Message {
  // Request line or status line.
  std::string method;
  std::string target;
  int status = 0;
  // From the headers that the parser evaluates; it ignores all others.
  size_t content_length = 0;
  bool has_length = false;
  bool chunked = false;
  bool close = false;
  std::string body;
  // Set by the server: counts its connections in the order in which they were accepted.
  uint64_t connection = 0;
};

// Parses a message from bytes that arrive in pieces of any size.
class Parser {
 public:
  enum class Kind { kRequest, kResponse };
  enum class State {
    kStartLine,
    kHeaders,
    kBody,
    kChunkSize,
    kChunkData,
    kChunkEnd,
    kTrailer,
    kDone,
    kBad
  };

  explicit Parser(Kind kind, Limits limits = {}) : kind_(kind), limits_(limits) {}

  // Consumes bytes up to the end of the message at most; returns the number of bytes consumed.
  size_t Feed(std::string_view data);
  bool done() const { return state_ == State::kDone; }
  bool bad() const { return state_ == State::kBad; }
  bool too_large() const { return too_large_; }
  bool idle() const { return state_ == State::kStartLine && line_.empty(); }
  Message Take();  // moves the finished message out and resets the parser for the next one

 private:
  void ParseLine(std::string_view line);
  void ParseStartLine(std::string_view line);
  void ParseHeader(std::string_view line);
  void EndHeaders();
  size_t BodyLimit() const;
  void Fail(bool too_large = false) {
    state_ = State::kBad;
    too_large_ = too_large;
  }

  Kind kind_;
  Limits limits_;
  State state_ = State::kStartLine;
  bool too_large_ = false;
  std::string line_;
  size_t header_bytes_ = 0;
  size_t remaining_ = 0;
  Message message_;
};

std::string FormatRequest(std::string_view method, std::string_view target, std::string_view host,
                          std::string_view body, bool close);
std::string FormatResponse(int status, std::string_view body, int retry_after_s, bool close);

}  // namespace badgershore::http
