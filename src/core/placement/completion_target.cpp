#include "core/placement/completion_target.h"

#include <algorithm>

namespace badgershore {

Micros CompletionTarget(const JobSpec& spec, const std::vector<Objective>& objectives, double share,
                        const Options& options) {
  if (spec.deadline) return *spec.deadline;
  for (const Objective& objective : objectives) {
    if (objective.job_class == spec.job_class && objective.kind == "finished") {
      return objective.within.Scaled(share);
    }
  }
  return options.drain_target + spec.estimated_runtime;
}

Micros RemainingTime(const ScalingSnapshot& snapshot, const Job& job, Micros boot,
                     const Options& options) {
  const JobSpec& spec = job.spec;
  Micros shortest = kNever;
  const auto consider = [&](Micros within) {
    const Micros remaining = job.submitted_at + within - snapshot.now;
    if (remaining >= spec.estimated_runtime + boot) shortest = std::min(shortest, remaining);
  };
  // A job that can't meet its deadline any more may still meet its class's objectives.
  if (spec.deadline) consider(*spec.deadline);
  for (const Objective& objective : *snapshot.objectives) {
    if (objective.job_class != spec.job_class) continue;
    if (objective.kind == "wait") consider(objective.within + spec.estimated_runtime);
    if (objective.kind == "finished") {
      consider(objective.within.Scaled(options.drain_share));
      consider(objective.within);
    }
  }
  return shortest < kNever ? shortest : boot + options.drain_target + spec.estimated_runtime;
}

}  // namespace badgershore
