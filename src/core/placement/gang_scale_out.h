// Machines for gangs that wait or are expected.
#pragma once

#include "core/placement/gang_forecast.h"
#include "core/placement/instance_offers.h"
#include "core/placement/scaling_types.h"

namespace badgershore {

// Finds room for each member, on machines that exist where possible: those are reserved, and
// undrained if necessary. Asks for machines for the others. Returns how many members wait.
int ScaleOutForGangs(const ScalingSnapshot& snapshot, const GangForecast& forecast,
                     const InstanceOffers& offers, const Options& options,
                     ScalingDecision* decision);

}  // namespace badgershore
