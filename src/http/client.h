// A client for one address, which keeps a few connections open between requests.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "http/message.h"
#include "io/loop.h"

namespace badgershore::http {

// What a client has sent and received since it was made; bytes with heads.
struct Traffic {
  uint64_t requests = 0, sent = 0, received = 0;
};

struct ClientAnswer {
  // kNotSent: the request surely never reached the other side.
  enum class Outcome { kAnswered, kNotSent, kUnknown } outcome = Outcome::kNotSent;
  int status = 0;
  std::string body;
  bool answered() const { return outcome == Outcome::kAnswered; }
};

class Client {
 public:
  Client(io::Loop* loop, std::string addr, size_t keep, Limits limits)
      : loop_(loop), addr_(std::move(addr)), keep_(keep), limits_(limits) {}

  io::Task<ClientAnswer> Request(std::string method, std::string target, std::string body,
                                 Micros timeout);
  const Traffic& traffic() const { return traffic_; }

 private:
  struct Idle {
    io::Socket socket;
    Micros since;
  };
  io::Loop* loop_;
  std::string addr_;
  size_t keep_;
  Limits limits_;
  std::vector<Idle> idle_;
  Traffic traffic_;
};

}  // namespace badgershore::http
