#include "site/core/balance.h"

#include <algorithm>

namespace badgershore::site {
namespace {

constexpr Micros kMinPause = Seconds(3), kMaxPause = Seconds(60);
constexpr Micros kPauseMemory = Seconds(120);
constexpr size_t kProbeWindow = 6;
constexpr size_t kMaxAttempts = 3;

}  // namespace

void Balancer::OnProbe(Micros now, size_t node, bool success) {
  Node& n = nodes_[node];
  n.latest_probes.push_back(success);
  if (n.latest_probes.size() > kProbeWindow) n.latest_probes.pop_front();
  n.successes_in_row = success ? n.successes_in_row + 1 : 0;
  n.failures_in_row = success ? 0 : n.failures_in_row + 1;
  if (n.healthy) {
    const auto failures = std::count(n.latest_probes.begin(), n.latest_probes.end(), false);
    if (n.failures_in_row < 2 && failures < 3) return;
    n.healthy = false;
    n.pause =
        now - n.removed_at < kPauseMemory ? std::min(kMaxPause, n.pause + n.pause) : kMinPause;
    n.removed_at = now;
    n.healthy_not_before = now + n.pause;
    return;
  }
  // For a node that has never been healthy one successful probe is enough.
  if (n.ever_healthy ? (n.successes_in_row < 2 || now < n.healthy_not_before) : !success) return;
  n.healthy = n.ever_healthy = true;
  n.latest_probes.clear();
}

void Balancer::OnConnect(Micros now, size_t node, bool accepted) {
  Node& n = nodes_[node];
  n.refusals_in_row = accepted ? 0 : n.refusals_in_row + 1;
  if (n.refusals_in_row < 3) return;
  n.refusals_in_row = 0;
  n.skip_until = now + Seconds(3);
}

std::vector<size_t> Balancer::Order(Micros now, uint64_t tie_break) const {
  std::vector<size_t> out;
  for (size_t i = 0; i < nodes_.size(); ++i) {
    if (nodes_[i].healthy && now >= nodes_[i].skip_until) out.push_back(i);
  }
  if (!out.empty()) {
    std::rotate(out.begin(), out.begin() + static_cast<std::ptrdiff_t>(tie_break % out.size()),
                out.end());
  }
  std::stable_sort(out.begin(), out.end(), [&](size_t a, size_t b) {
    return nodes_[a].connections < nodes_[b].connections;
  });
  if (out.size() > kMaxAttempts) out.resize(kMaxAttempts);
  return out;
}

}  // namespace badgershore::site
