// Selects the node for a new user connection, by the rules of PROTOCOL "Users -> controller nodes":
// health by probes, least connections first, and nodes that refuse connections are skipped for a
// while.
#pragma once

#include <cstdint>
#include <deque>
#include <vector>

#include "core/model/time.h"

namespace badgershore::site {

class Balancer {
 public:
  explicit Balancer(size_t nodes) : nodes_(nodes) {}

  void OnProbe(Micros now, size_t node, bool success);
  void OnConnect(Micros now, size_t node, bool accepted);
  void OnOpen(size_t node) { ++nodes_[node].connections; }
  void OnClose(size_t node) { --nodes_[node].connections; }

  // At most three nodes, in the order to try them. `tie_break` breaks ties between nodes with the
  // same number of connections.
  std::vector<size_t> Order(Micros now, uint64_t tie_break) const;
  bool healthy(size_t node) const { return nodes_[node].healthy; }

 private:
  struct Node {
    bool healthy = false, ever_healthy = false;
    int successes_in_row = 0, failures_in_row = 0, refusals_in_row = 0, connections = 0;
    std::deque<bool> latest_probes;  // results of the latest probes, newest last
    Micros healthy_not_before;       // earliest time at which the node can be healthy again
    Micros removed_at{-1000000000};
    Micros pause = Seconds(3);
    Micros skip_until;
  };
  std::vector<Node> nodes_;
};

}  // namespace badgershore::site
