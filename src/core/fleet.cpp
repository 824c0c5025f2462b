#include "core/fleet.h"

namespace badgershore {

bool Allows(const JobSpec& spec, const MachineType& type, const std::string& zone, bool spot) {
  if (spot && !spec.spot_ok) return false;
  if (spec.zone && *spec.zone != zone) return false;
  if (spec.types &&
      std::find(spec.types->begin(), spec.types->end(), type.name) == spec.types->end()) {
    return false;
  }
  return spec.need.Fits(type.size);
}

}  // namespace badgershore
