// Explores leader election (the production code of core/election/election) around a state service
// in which requests are executed late and responses are lost. Nodes restart at once while requests
// of their previous run are still under way, pause (they do not tick while time passes) and hand
// over leadership. A world is the list of its events, which are replayed, as the code can't be
// copied.
#pragma once

#include <string>
#include <vector>

#include "check/explore.h"

namespace badgershore::check {

// A fault injected around the election. The exploration must find each.
enum class ElectionFault { kNone, kSlowClock, kEarlyExpiry, kIgnoredPreconditions, kReusedLeaseId };

struct ElectionPlan {
  int nodes = 3;
  int restarts = 1, delays = 1, losses = 1, handovers = 1;
  int time_steps = 12;  // time steps of a third of a lease
  ElectionFault fault = ElectionFault::kNone;
};

ReplayedWorld ElectionModel(const ElectionPlan& plan);

}  // namespace badgershore::check
