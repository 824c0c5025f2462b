// A load balancer: one address for users in front of several controllers. Each request goes to a
// healthy node, and to the next one if that node refuses the connection.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "error/error.h"
#include "http/client.h"
#include "http/server.h"
#include "site/core/balance.h"

namespace badgershore::site {

class LoadBalancer {
 public:
  LoadBalancer(io::Loop* loop, std::vector<std::string> nodes);
  // Listens for users on `addr` (IPV4:PORT) and starts the health probes of the controllers.
  [[nodiscard]] Result<void> Start(const std::string& addr);
  std::string address() const { return server_.address(); }
  // Whether at least one node is healthy.
  bool ready() const;

 private:
  io::Task<http::ServerResponse> Handle(http::Message request);
  io::Task<void> Probe(size_t node);

  io::Loop* loop_;
  std::vector<std::string> nodes_;
  Balancer balancer_;
  uint64_t request_count_ = 0;
  http::Server server_;
};

}  // namespace badgershore::site
