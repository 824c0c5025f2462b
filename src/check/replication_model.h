// The replicated state service as it ships (replication/core), explored: messages are delivered in
// any order, twice or never, replicas end, are back at once, lose their disk, or stand still while
// time passes. A world is the list of its events: the code under test is not copied but played
// again.
#pragma once

#include "check/explore.h"

namespace badgershore::check {

// A fault planted around or in what a replica is told; the exploration has to find each.
enum class PlantedInReplication {
  kNone,
  kForgetsState,     // a durable batch is not on the disk after an end
  kSlowClock,        // replica a counts a fifth of the time that passes
  kEmptyDiskCounts,  // a replica that lost its disk says that it is a member with nothing
};

// What the walks have come through, to see that they come through enough.
struct ReplicationCoverage {
  uint64_t commits = 0, leaders = 0, images = 0;
};

struct ReplicationPlan {
  int proposals = 2, ends = 1, wipes = 0, times = 6, losses = 1;
  int first_leader_ticks = 8;  // time that passes, all messages delivered, before the exploration
  PlantedInReplication planted = PlantedInReplication::kNone;
  ReplicationCoverage* coverage = nullptr;
};

// Broken: two replicas may answer clients at the same time; a replica that may answer lacks a
// committed batch; two states at one position differ.
Replayed ReplicationModel(const ReplicationPlan& plan);
// The same, to be walked through.
std::unique_ptr<Play> ReplicationPlay(const ReplicationPlan& plan);

}  // namespace badgershore::check
