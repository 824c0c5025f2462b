#include "core/model/fleet.h"

#include <limits>

#include "core/model/jobs.h"
#include "core/model/message_size.h"

namespace badgershore {

namespace {

// Less than the keys of all tasks of the job, and greater than those of all jobs before it.
TaskKey FirstKeyOf(const std::string& job) { return {{job, std::numeric_limits<int>::min()}, 0}; }

// The smallest id that is greater than `job`.
std::string NextId(const std::string& job) { return job + '\0'; }

}  // namespace

std::pair<Allocations::iterator, Allocations::iterator> Machine::AllocationsOf(
    const std::string& job) {
  return {allocations.lower_bound(FirstKeyOf(job)),
          allocations.lower_bound(FirstKeyOf(NextId(job)))};
}

std::pair<Allocations::const_iterator, Allocations::const_iterator> Machine::AllocationsOf(
    const std::string& job) const {
  return {allocations.lower_bound(FirstKeyOf(job)),
          allocations.lower_bound(FirstKeyOf(NextId(job)))};
}

Resources MachineType::Capacity() const {
  Resources capacity = size;
  capacity.report = kReportedTasksBytes;
  return capacity;
}

bool Allows(const JobSpec& spec, const MachineType& type, const std::string& zone, bool spot) {
  if (spot && !spec.allow_spot) return false;
  if (spec.zone && *spec.zone != zone) return false;
  if (spec.machine_types && std::find(spec.machine_types->begin(), spec.machine_types->end(),
                                      type.name) == spec.machine_types->end()) {
    return false;
  }
  return spec.need.Fits(type.Capacity());
}

}  // namespace badgershore
