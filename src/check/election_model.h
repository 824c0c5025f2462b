// Leadership of a cell as it ships (core/election/election), around a state service in which
// requests are carried out late, answers are lost, nodes end and are back at once with requests of
// their last life still under way, stand still (they do not tick while time passes) and hand over.
// A world is the list of its events: the code under test is not copied but played again.
#pragma once

#include <string>
#include <vector>

#include "check/explore.h"

namespace badgershore::check {

// A fault planted in what surrounds the election; the exploration has to find each.
enum class PlantedInLease { kNone, kSlowClock, kEarlyEnd, kNoGuards, kLeaseOfName };

struct ElectionPlan {
  int nodes = 3;
  int ends = 1, lates = 1, losses = 1, retires = 1;
  int times = 12;  // steps of a third of a lease
  PlantedInLease planted = PlantedInLease::kNone;
};

Replayed ElectionModel(const ElectionPlan& plan);

}  // namespace badgershore::check
