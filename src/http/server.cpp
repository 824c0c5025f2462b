#include "http/server.h"

namespace badgershore::http {
namespace {
constexpr Micros kIdleTimeout = Seconds(75);     // a keep-alive connection without a request
constexpr Micros kRequestTimeout = Seconds(10);  // from a request's first byte to its last
constexpr Micros kWriteTimeout = Seconds(10);
}  // namespace

Result<void> Server::Start(const std::string& addr) {
  Result<io::Socket> listener = io::Socket::Listen(loop_, addr);
  if (!listener) return tl::make_unexpected(std::move(listener.error()));
  listener_ = std::move(*listener);
  io::Spawn(AcceptLoop());
  return {};
}

io::Task<void> Server::AcceptLoop() {
  for (;;) {
    io::Socket socket = co_await listener_.Accept();
    // Over the limit the connection is closed at once, so that the client tries another server.
    if (connections_ >= max_connections_) continue;
    io::Spawn(Serve(std::move(socket)));
  }
}

io::Task<void> Server::Serve(io::Socket socket) {
  ++connections_;
  const uint64_t connection = ++accepted_connections_;
  Parser parser(Parser::Kind::kRequest, limits_);
  std::string pending;
  bool open = true;
  while (open) {
    Micros deadline = io::Loop::Now() + (pending.empty() ? kIdleTimeout : kRequestTimeout);
    bool started = !pending.empty();
    while (!parser.done() && !parser.bad()) {
      if (!pending.empty()) {
        const size_t used = parser.Feed(pending);
        pending.erase(0, used);
        continue;
      }
      char buffer[4096];
      const ssize_t n = co_await socket.Read(buffer, sizeof(buffer), deadline);
      if (n <= 0) {
        open = false;
        break;
      }
      if (!started) deadline = io::Loop::Now() + kRequestTimeout;
      started = true;
      pending.append(buffer, static_cast<size_t>(n));
    }
    if (!open) break;
    if (parser.bad()) {
      const std::string out = FormatResponse(400, "{\"error\":\"bad request\"}", 0, true);
      co_await socket.WriteAll(out, io::Loop::Now() + kWriteTimeout);
      break;
    }
    Message request = parser.Take();
    request.connection = connection;
    const bool close = request.close;
    ServerResponse answer = co_await handler_(std::move(request));
    if (answer.close_connection) break;
    const std::string out = FormatResponse(answer.status, answer.body, answer.retry_after_s, close);
    open = co_await socket.WriteAll(out, io::Loop::Now() + kWriteTimeout);
    if (close) open = false;
  }
  --connections_;
}

}  // namespace badgershore::http
