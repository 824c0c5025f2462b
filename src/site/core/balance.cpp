#include "site/core/balance.h"

#include <algorithm>

namespace badgershore::site {
namespace {

constexpr Micros kLeastPause = Seconds(3), kMostPause = Seconds(60);
constexpr Micros kMemory = Seconds(120);
constexpr size_t kLatest = 6;
constexpr size_t kTries = 3;

}  // namespace

void Balancer::OnProbe(Micros now, size_t node, bool good) {
  Node& n = nodes_[node];
  n.latest.push_back(good);
  if (n.latest.size() > kLatest) n.latest.pop_front();
  n.good_in_row = good ? n.good_in_row + 1 : 0;
  n.bad_in_row = good ? 0 : n.bad_in_row + 1;
  if (n.healthy) {
    const auto bad = std::count(n.latest.begin(), n.latest.end(), false);
    if (n.bad_in_row < 2 && bad < 3) return;
    n.healthy = false;
    n.pause = now - n.removed_at < kMemory ? std::min(kMostPause, n.pause + n.pause) : kLeastPause;
    n.removed_at = now;
    n.back_at = now + n.pause;
    return;
  }
  // For a node that has never been healthy one successful probe is enough.
  if (n.ever ? (n.good_in_row < 2 || now < n.back_at) : !good) return;
  n.healthy = n.ever = true;
  n.latest.clear();
}

void Balancer::OnConnect(Micros now, size_t node, bool accepted) {
  Node& n = nodes_[node];
  n.refused_in_row = accepted ? 0 : n.refused_in_row + 1;
  if (n.refused_in_row < 3) return;
  n.refused_in_row = 0;
  n.skip_until = now + Seconds(3);
}

std::vector<size_t> Balancer::Order(Micros now, uint64_t chance) const {
  std::vector<size_t> out;
  for (size_t i = 0; i < nodes_.size(); ++i) {
    if (nodes_[i].healthy && now >= nodes_[i].skip_until) out.push_back(i);
  }
  if (!out.empty()) {
    std::rotate(out.begin(), out.begin() + static_cast<std::ptrdiff_t>(chance % out.size()),
                out.end());
  }
  std::stable_sort(out.begin(), out.end(),
                   [&](size_t a, size_t b) { return nodes_[a].open < nodes_[b].open; });
  if (out.size() > kTries) out.resize(kTries);
  return out;
}

}  // namespace badgershore::site
