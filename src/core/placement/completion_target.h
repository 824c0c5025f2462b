// Time limits of jobs, from their deadlines and the objectives of their classes.
#pragma once

#include <vector>

#include "core/placement/scaling_types.h"

namespace badgershore {

// Time from the job's arrival until it should be complete: its deadline, else `share` of its
// class's objective, else the default of the options.
Micros CompletionTarget(const JobSpec& spec, const std::vector<Objective>& objectives, double share,
                        const Options& options);

// Time from the snapshot until the job should be complete: the earliest of its deadline and
// objectives that can still be met with a machine requested now, else the default of the options.
// `boot`: boot time of such a machine.
Micros RemainingTime(const ScalingSnapshot& snapshot, const Job& job, Micros boot,
                     const Options& options);

}  // namespace badgershore
