// Scale-out for waiting and expected gangs.
#pragma once

#include "core/placement/gang_forecast.h"
#include "core/placement/instance_offers.h"
#include "core/placement/scaling_types.h"

namespace badgershore {

// Finds room for each member, preferably on existing machines, which are then reserved and, if
// necessary, undrained. Requests machines for the other members. Returns the number of waiting
// members.
int ScaleOutForGangs(const ScalingSnapshot& snapshot, const GangForecast& forecast,
                     const InstanceOffers& offers, const Options& options,
                     ScalingDecision* decision);

}  // namespace badgershore
