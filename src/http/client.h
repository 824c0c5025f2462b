// An HTTP client for one address that keeps some connections open between requests.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "http/message.h"
#include "io/loop.h"

namespace badgershore::http {

// Totals since the client was constructed; byte counts include the HTTP headers.
struct Traffic {
  uint64_t requests = 0, sent = 0, received = 0;
};

struct ClientResponse {
  // kNotSent: no connection was made, so the request cannot have reached the server. kUnknown: the
  // request may have been carried out.
  enum class Outcome { kAnswered, kNotSent, kUnknown } outcome = Outcome::kNotSent;
  int status = 0;
  std::string body;
  bool answered() const { return outcome == Outcome::kAnswered; }
};

class Client {
 public:
  Client(io::Loop* loop, std::string addr, size_t max_idle, Limits limits)
      : loop_(loop), addr_(std::move(addr)), max_idle_(max_idle), limits_(limits) {}

  io::Task<ClientResponse> Request(std::string method, std::string target, std::string body,
                                   Micros timeout);
  const Traffic& traffic() const { return traffic_; }

 private:
  struct IdleConnection {
    io::Socket socket;
    Micros since;
  };
  io::Loop* loop_;
  std::string addr_;
  size_t max_idle_;
  Limits limits_;
  std::vector<IdleConnection> idle_connections_;
  Traffic traffic_;
};

}  // namespace badgershore::http
