// What a cell's controllers let live and start, as it ships (core/election, core/outbox), around
// one worker with one task of one job, which somebody cancels. The state service refuses one
// controller, is down for all, or keeps the answers to lists and watches back; the worker goes from
// one controller to the other; controllers end. Explored: every order of these, a second at a time.
#pragma once

#include <string>
#include <vector>

#include "check/explore.h"

namespace badgershore::check {

enum class PlantedInAuthority {
  kNone,
  kRenewalIsKnowledge,  // counted from the lease's renewal
  kUnreadAnswers,       // reports are answered before the jobs are read
  kArrivalIsKnowledge,  // counted from when a watch's answer came
  kNoHaltInGreeting     // the first answer of a term stops nothing
};

struct CancelPlan {
  int seconds = 16, troubles = 4;  // troubles: changes of who is served, heard or there
  PlantedInAuthority planted = PlantedInAuthority::kNone;
  std::vector<std::string> first;  // what happens before the exploration begins
};

Replayed CancelModel(const CancelPlan& plan);

}  // namespace badgershore::check
