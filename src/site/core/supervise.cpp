#include "site/core/supervise.h"

#include <algorithm>

namespace badgershore::site {
namespace {

constexpr Micros kStageDelay = Millis(300);    // between the starts of two stages
constexpr Micros kKillDelay = Seconds(5);      // from SIGTERM to SIGKILL
constexpr Micros kStableUptime = Seconds(10);  // after this uptime the restart delay is reset
constexpr Micros kMinRestartDelay = Millis(500), kMaxRestartDelay = Seconds(10);

}  // namespace

std::vector<Supervisor::Action> Supervisor::Tick(Micros now) {
  std::vector<Action> out;
  const bool stopping = now >= stop_at_;
  int last_running = -1;
  for (const Child& c : children_) {
    if (c.running) last_running = std::max(last_running, c.stage);
  }
  for (size_t i = 0; i < children_.size(); ++i) {
    Child& c = children_[i];
    if (stopping) {
      if (!c.running || c.stage != last_running) continue;
      if (!c.sigterm_sent) {
        c.sigterm_sent = true;
        c.sigterm_sent_at = now;
        out.push_back({Action::Kind::kTerminate, i});
      } else if (!c.sigkill_sent && now - c.sigterm_sent_at >= kKillDelay) {
        c.sigkill_sent = true;
        out.push_back({Action::Kind::kKill, i});
      }
      continue;
    }
    if (c.running || now < c.start_at) continue;
    const bool blocked = std::any_of(children_.begin(), children_.end(), [&](const Child& o) {
      return o.stage < c.stage && o.starts == 0;
    });
    if (blocked) {
      c.start_at = now + kStageDelay;
      continue;
    }
    c.running = true;
    c.started_at = now;
    ++c.starts;
    out.push_back({Action::Kind::kStart, i});
  }
  return out;
}

void Supervisor::OnEnded(Micros now, size_t child) {
  Child& c = children_[child];
  if (!std::exchange(c.running, false)) return;
  // Exponential backoff for a child that keeps ending soon after its start.
  c.restart_delay = now - c.started_at >= kStableUptime
                        ? kMinRestartDelay
                        : std::min(kMaxRestartDelay, c.restart_delay + c.restart_delay);
  c.start_at = std::max(c.start_at, now + c.restart_delay);
}

Supervisor::Action Supervisor::Kill(Micros now, size_t child, Micros restart_after) {
  children_[child].start_at = now + restart_after;
  return {Action::Kind::kKill, child};
}

bool Supervisor::all_stopped() const {
  return stop_at_ < kNever &&
         std::none_of(children_.begin(), children_.end(), [](const Child& c) { return c.running; });
}

}  // namespace badgershore::site
