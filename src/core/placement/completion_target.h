// How long jobs may take, by their deadlines and the objectives of their classes.
#pragma once

#include <vector>

#include "core/placement/scaling_types.h"

namespace badgershore {

// Time from the job's arrival until it is to be complete: its deadline, else `share` of its class's
// objective, else the default of the options.
Micros CompletionTarget(const JobSpec& spec, const std::vector<Objective>& objectives, double share,
                        const Options& options);

// Time from the snapshot until the job is to be complete: by the first of its deadline and
// objectives that a machine requested now could still help to meet, else by the default of the
// options. `boot`: how long such a machine takes to be up.
Micros RemainingTime(const ScalingSnapshot& snapshot, const Job& job, Micros boot,
                     const Options& options);

}  // namespace badgershore
