#include "core/model/fleet.h"

#include "core/model/jobs.h"

namespace badgershore {

Resources Machine::GangUse() const {
  Resources used;
  for (const auto& [key, o] : allocations) {
    if (!o.exited() && o.job && o.job->IsGang()) used = used + o.need;
  }
  return used;
}

bool Allows(const JobSpec& spec, const MachineType& type, const std::string& zone, bool spot) {
  if (spot && !spec.allow_spot) return false;
  if (spec.zone && *spec.zone != zone) return false;
  if (spec.machine_types && std::find(spec.machine_types->begin(), spec.machine_types->end(),
                                      type.name) == spec.machine_types->end()) {
    return false;
  }
  return spec.need.Fits(type.size);
}

}  // namespace badgershore
