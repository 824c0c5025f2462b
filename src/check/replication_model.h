// Explores the replicated state service (the production code of replication/core): messages are
// delivered in any order or lost, replicas restart at once, lose their disk, or pause while time
// passes. A world is the list of its events, which are replayed, as the code can't be copied.
#pragma once

#include "check/explore.h"

namespace badgershore::check {

// A fault injected around a replica. The exploration must find each.
enum class PlantedInReplication {
  kNone,
  kForgetsState,     // a durable batch is not on the disk after a restart
  kSlowClock,        // the clock of replica a runs at a fifth of the speed
  kEmptyDiskCounts,  // a replica that lost its disk still counts as a member, with an empty log
};

// Counts what the walks have exercised, to check that they exercise enough.
struct ReplicationCoverage {
  uint64_t commits = 0, leaders = 0, images = 0;
};

struct ReplicationPlan {
  int proposals = 2, ends = 1, wipes = 0, times = 6, losses = 1;
  int first_leader_ticks = 8;  // time steps before the exploration, with all messages delivered
  PlantedInReplication planted = PlantedInReplication::kNone;
  ReplicationCoverage* coverage = nullptr;
};

// Invariants: no two replicas may serve clients at the same time; a replica that may serve has
// every committed batch; states at the same log position are equal.
Replayed ReplicationModel(const ReplicationPlan& plan);
// The same model, for Walk.
std::unique_ptr<Play> ReplicationPlay(const ReplicationPlan& plan);

}  // namespace badgershore::check
