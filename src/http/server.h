// An HTTP server that passes each request to a handler coroutine.
#pragma once

#include <functional>
#include <string>

#include "error/error.h"
#include "http/message.h"
#include "io/loop.h"

namespace badgershore::http {

struct ServerResponse {
  int status = 503;
  std::string body = "{}";
  int retry_after_s = 0;
  // Close the connection without a response: the outcome of the request is unknown.
  bool close_connection = false;
};

class Server {
 public:
  using Handler = std::function<io::Task<ServerResponse>(Message)>;
  Server(io::Loop* loop, Handler handler, size_t max_connections, Limits limits = {})
      : loop_(loop),
        handler_(std::move(handler)),
        max_connections_(max_connections),
        limits_(limits) {}

  // Listens on `addr` (IPV4:PORT) and serves from then on.
  [[nodiscard]] Result<void> Start(const std::string& addr);
  std::string address() const { return listener_.LocalAddress(); }

 private:
  io::Task<void> AcceptLoop();
  io::Task<void> Serve(io::Socket socket);

  io::Loop* loop_;
  Handler handler_;
  size_t max_connections_;
  Limits limits_;  // for requests
  size_t connections_ = 0;
  uint64_t accepted_connections_ = 0;
  io::Socket listener_;
};

}  // namespace badgershore::http
