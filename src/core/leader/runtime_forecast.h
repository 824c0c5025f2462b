// Forecast of when tasks end, from their owners' estimates.
#pragma once

#include "core/model/fleet.h"
#include "core/model/jobs.h"

namespace badgershore {

// The time from `now` until the allocation's resources are expected to be free; kNever for a
// replica of a service. A task that has exceeded its estimate is expected to exceed it by as much
// again.
Micros ExpectedRemainder(Micros now, const Allocation& allocation);

// What will be free on the machine, whose type must be known, once all tasks have ended that are
// expected to do so within `horizon`.
Resources ExpectedRoom(Micros now, const Machine& machine, Micros horizon);

// For how long something may be set aside for the waiting gang, and so within what time it must be
// expected to start.
Micros MaxHold(Micros now, const Job& gang, Micros age_limit);

}  // namespace badgershore
