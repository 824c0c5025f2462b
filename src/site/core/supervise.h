// Decides which processes of a site to start and stop, and when. A pure state machine: it starts no
// process itself.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "core/model/time.h"

namespace badgershore::site {

class Supervisor {
 public:
  struct Action {
    enum class Kind { kStart, kTerminate, kKill } kind = Kind::kStart;
    size_t child = 0;
  };
  // Children of a later stage start after those of earlier stages and are stopped before them.
  explicit Supervisor(std::vector<int> stages) {
    children_.resize(stages.size());
    for (size_t i = 0; i < stages.size(); ++i) children_[i].stage = stages[i];
  }

  std::vector<Action> Tick(Micros now);
  void OnEnded(Micros now, size_t child);
  // Kills a child; it is restarted after `restart_after`.
  Action Kill(Micros now, size_t child, Micros restart_after);
  // Stops all children, last stage first, and starts none from now on.
  void Stop(Micros now) { stop_at_ = std::min(stop_at_, now); }

  bool running(size_t child) const { return children_[child].running; }
  int starts(size_t child) const { return children_[child].starts; }
  bool all_stopped() const;

 private:
  struct Child {
    int stage = 0;
    bool running = false, sigterm_sent = false, sigkill_sent = false;
    int starts = 0;
    Micros start_at, started_at, sigterm_sent_at, restart_delay = Millis(500);
  };
  std::vector<Child> children_;
  Micros stop_at_ = kNever;
};

}  // namespace badgershore::site
