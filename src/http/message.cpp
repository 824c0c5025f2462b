#include "http/message.h"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace badgershore::http {
namespace {

bool EqualNoCase(std::string_view a, std::string_view b) {
  return a.size() == b.size() && std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) {
           return std::tolower(static_cast<unsigned char>(x)) ==
                  std::tolower(static_cast<unsigned char>(y));
         });
}

std::string_view Trim(std::string_view s) {
  while (!s.empty() && (s.front() == ' ' || s.front() == '\t')) s.remove_prefix(1);
  while (!s.empty() && (s.back() == ' ' || s.back() == '\t')) s.remove_suffix(1);
  return s;
}

bool IsToken(std::string_view s) {
  return !s.empty() && std::all_of(s.begin(), s.end(), [](char c) {
    return std::isalnum(static_cast<unsigned char>(c)) ||
           std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos;
  });
}

bool ParseNumber(std::string_view s, int base, size_t* out) {
  if (s.empty() || s.size() > 15) return false;
  auto [end, ec] = std::from_chars(s.data(), s.data() + s.size(), *out, base);
  return ec == std::errc() && end == s.data() + s.size();
}

// Control bytes in the message head are rejected: other parsers end a line or a string at some of
// them and would read a different message.
bool HasControl(std::string_view line) {
  return std::any_of(line.begin(), line.end(), [](char c) {
    return (static_cast<unsigned char>(c) < ' ' && c != '\t') || c == 0x7f;
  });
}

std::string_view ReasonPhrase(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 201:
      return "Created";
    case 400:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 408:
      return "Request Timeout";
    case 413:
      return "Payload Too Large";
    case 421:
      return "Misdirected Request";
    case 422:
      return "Unprocessable Entity";
    case 429:
      return "Too Many Requests";
    default:
      return "Service Unavailable";
  }
}

}  // namespace

size_t Parser::Feed(std::string_view data) {
  size_t used = 0;
  while (used < data.size() && state_ != State::kDone && state_ != State::kBad) {
    std::string_view rest = data.substr(used);
    if (state_ == State::kBody || state_ == State::kChunkData) {
      const size_t n = std::min(remaining_, rest.size());
      message_.body.append(rest.substr(0, n));
      remaining_ -= n;
      used += n;
      if (remaining_ == 0) state_ = state_ == State::kBody ? State::kDone : State::kChunkEnd;
      continue;
    }
    const size_t eol = rest.find('\n');
    const size_t take = eol == std::string_view::npos ? rest.size() : eol + 1;
    if (line_.size() + take > limits_.line + 2) {
      Fail(true);
      break;
    }
    line_.append(rest.substr(0, take));
    used += take;
    if (eol == std::string_view::npos) break;
    line_.pop_back();
    if (!line_.empty() && line_.back() == '\r') line_.pop_back();
    const std::string line = std::move(line_);
    line_.clear();
    ParseLine(line);
  }
  return used;
}

void Parser::ParseLine(std::string_view line) {
  if (HasControl(line)) return Fail();
  switch (state_) {
    case State::kStartLine:
      if (line.empty()) return;  // empty lines before a message are skipped
      return ParseStartLine(line);
    case State::kHeaders:
      header_bytes_ += line.size() + 2;
      if (header_bytes_ > limits_.headers) return Fail(true);
      return line.empty() ? EndHeaders() : ParseHeader(line);
    case State::kChunkSize: {
      size_t size = 0;
      if (!ParseNumber(Trim(line.substr(0, line.find(';'))), 16, &size)) return Fail();
      if (message_.body.size() + size > BodyLimit()) return Fail(true);
      remaining_ = size;
      state_ = size == 0 ? State::kTrailer : State::kChunkData;
      return;
    }
    case State::kChunkEnd:
      if (!line.empty()) return Fail();
      state_ = State::kChunkSize;
      return;
    case State::kTrailer:
      header_bytes_ += line.size() + 2;
      if (header_bytes_ > limits_.headers) return Fail(true);
      if (line.empty()) state_ = State::kDone;
      return;
    default:
      return Fail();
  }
}

void Parser::ParseStartLine(std::string_view line) {
  const size_t a = line.find(' ');
  if (a == std::string_view::npos) return Fail();
  const size_t b = line.find(' ', a + 1);
  if (kind_ == Kind::kRequest) {
    if (b == std::string_view::npos) return Fail();
    const std::string_view version = line.substr(b + 1);
    if (version != "HTTP/1.1" && version != "HTTP/1.0") return Fail();
    if (!IsToken(line.substr(0, a))) return Fail();
    message_.method = line.substr(0, a);
    message_.target = line.substr(a + 1, b - a - 1);
    if (message_.target.empty() || message_.target.front() != '/') return Fail();
    message_.close = version == "HTTP/1.0";
  } else {
    if (line.substr(0, 7) != "HTTP/1.") return Fail();
    const size_t end = b == std::string_view::npos ? line.size() : b;
    size_t status = 0;
    if (!ParseNumber(line.substr(a + 1, end - a - 1), 10, &status)) return Fail();
    if (status < 100 || status > 599) return Fail();
    message_.status = static_cast<int>(status);
  }
  state_ = State::kHeaders;
}

void Parser::ParseHeader(std::string_view line) {
  const size_t colon = line.find(':');
  if (colon == std::string_view::npos) return Fail();
  const std::string_view name = line.substr(0, colon);
  if (!IsToken(name)) return Fail();
  const std::string_view value = Trim(line.substr(colon + 1));
  if (EqualNoCase(name, "content-length")) {
    size_t length = 0;
    if (!ParseNumber(value, 10, &length)) return Fail();
    // With two different lengths, two parsers could disagree on where the message ends (request
    // smuggling).
    if (message_.has_length && length != message_.content_length) return Fail();
    message_.has_length = true;
    message_.content_length = length;
  } else if (EqualNoCase(name, "transfer-encoding")) {
    if (!EqualNoCase(value, "chunked")) return Fail();
    message_.chunked = true;
  } else if (EqualNoCase(name, "connection")) {
    if (EqualNoCase(value, "close")) message_.close = true;
  }
}

size_t Parser::BodyLimit() const {
  const std::string_view path =
      std::string_view(message_.target).substr(0, message_.target.find('?'));
  return !path.empty() && path == limits_.large_body_target ? limits_.large_body : limits_.body;
}

void Parser::EndHeaders() {
  if (message_.chunked && message_.has_length) return Fail();
  if (kind_ == Kind::kResponse && message_.status < 200) {  // an interim (1xx) response
    message_ = Message();
    state_ = State::kStartLine;
    return;
  }
  if (message_.chunked) {
    state_ = State::kChunkSize;
    return;
  }
  if (message_.content_length > BodyLimit()) return Fail(true);
  remaining_ = message_.content_length;
  message_.body.reserve(remaining_);
  state_ = remaining_ == 0 ? State::kDone : State::kBody;
}

Message Parser::Take() {
  Message out = std::move(message_);
  message_ = Message();
  state_ = State::kStartLine;
  header_bytes_ = 0;
  line_.clear();
  return out;
}

std::string FormatRequest(std::string_view method, std::string_view target, std::string_view host,
                          std::string_view body, bool close) {
  std::string out;
  out.reserve(160 + body.size());
  out.append(method).append(" ").append(target).append(" HTTP/1.1\r\nHost: ").append(host);
  if (!body.empty() || method != "GET") {
    out.append("\r\nContent-Type: application/json\r\nContent-Length: ");
    out.append(std::to_string(body.size()));
  }
  if (close) out.append("\r\nConnection: close");
  out.append("\r\n\r\n").append(body);
  return out;
}

std::string FormatResponse(int status, std::string_view body, int retry_after_s, bool close) {
  std::string out;
  out.reserve(160 + body.size());
  out.append("HTTP/1.1 ").append(std::to_string(status)).append(" ").append(ReasonPhrase(status));
  out.append("\r\nContent-Type: application/json\r\nContent-Length: ");
  out.append(std::to_string(body.size()));
  if (retry_after_s > 0) out.append("\r\nRetry-After: ").append(std::to_string(retry_after_s));
  if (close) out.append("\r\nConnection: close");
  out.append("\r\n\r\n").append(body);
  return out;
}

}  // namespace badgershore::http
