#include "site/core/supervise.h"

#include <algorithm>

namespace badgershore::site {
namespace {

constexpr Micros kStage = Millis(300);    // between the starts of two stages
constexpr Micros kPatience = Seconds(5);  // from SIGTERM to SIGKILL
constexpr Micros kSteady = Seconds(10);   // after this uptime the restart delay is reset
constexpr Micros kLeastPause = Millis(500), kMostPause = Seconds(10);

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
      if (!c.told) {
        c.told = true;
        c.told_at = now;
        out.push_back({Action::Kind::kTerminate, i});
      } else if (!c.killed && now - c.told_at >= kPatience) {
        c.killed = true;
        out.push_back({Action::Kind::kKill, i});
      }
      continue;
    }
    if (c.running || now < c.start_at) continue;
    const bool waits = std::any_of(children_.begin(), children_.end(), [&](const Child& o) {
      return o.stage < c.stage && o.starts == 0;
    });
    if (waits) {
      c.start_at = now + kStage;
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
  c.pause = now - c.started_at >= kSteady ? kLeastPause : std::min(kMostPause, c.pause + c.pause);
  c.start_at = std::max(c.start_at, now + c.pause);
}

Supervisor::Action Supervisor::Kill(Micros now, size_t child, Micros back_after) {
  children_[child].start_at = now + back_after;
  return {Action::Kind::kKill, child};
}

bool Supervisor::over() const {
  return stop_at_ < kNever &&
         std::none_of(children_.begin(), children_.end(), [](const Child& c) { return c.running; });
}

}  // namespace badgershore::site
