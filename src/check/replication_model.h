// Explores the replicated state service (the production code of replication/core): messages are
// delivered in any order or lost, replicas restart at once, lose their disk, or pause while time
// passes. A world is the list of its events, which are replayed, as the code can't be copied.
#pragma once

#include "check/explore.h"

namespace badgershore::check {

// A fault injected around a replica. The exploration must find each.
enum class ReplicationFault {
  kNone,
  kLosesDurableState,  // a durable batch is not on the disk after a restart
  kSlowClock,          // the clock of replica a runs at a fifth of the speed
  kEmptyDiskIsMember,  // a replica that lost its disk still counts as a member, with an empty log
};

// Counts what the walks have exercised, to check that they exercise enough.
struct ReplicationCoverage {
  uint64_t commits = 0, leaders = 0, images = 0;
};

struct ReplicationPlan {
  int proposals = 2, restarts = 1, disk_losses = 0, time_steps = 6, losses = 1;
  int first_leader_ticks = 8;  // time steps before the exploration, with all messages delivered
  ReplicationFault fault = ReplicationFault::kNone;
  ReplicationCoverage* coverage = nullptr;
};

// Invariants: no two replicas may serve clients at the same time; a replica that may serve has
// every committed batch; states at the same log position are equal.
ReplayedWorld ReplicationModel(const ReplicationPlan& plan);
// The same model, for RunRandomWalks.
std::unique_ptr<ReplayableModel> MakeReplicationModel(const ReplicationPlan& plan);

}  // namespace badgershore::check
