#include "core/leader/runtime_forecast.h"

#include <algorithm>

namespace badgershore {

Micros ExpectedRemainder(Micros now, const Allocation& allocation) {
  if (allocation.exited() || !allocation.job) return {};  // the agent is told to drop it
  if (allocation.stop_requested) return allocation.grace_period;
  if (allocation.job->IsService()) return kNever;
  const TaskState& task = allocation.job->tasks[static_cast<size_t>(allocation.ref.task)];
  const Micros ran = std::max(Micros{}, now - task.bound_at);
  const Micros estimate = allocation.job->spec.estimated_runtime;
  return std::max(estimate - ran, ran - estimate);
}

Resources ExpectedRoom(Micros now, const Machine& machine, Micros horizon) {
  Resources room = machine.type->Capacity();
  for (const auto& [key, allocation] : machine.allocations) {
    if (ExpectedRemainder(now, allocation) > horizon) room = room - allocation.need;
  }
  return room;
}

Micros MaxHold(Micros now, const Job& gang, Micros age_limit) {
  return now - gang.submitted_at > age_limit ? HoldPeriod::kMaxAgedDuration
                                             : HoldPeriod::kMaxDuration;
}

}  // namespace badgershore
