#include "core/controller/machine_type_catalog.h"

#include "core/leader/quota_shares.h"
#include "core/model/fleet.h"

namespace badgershore {

void MachineTypeCatalog::OnControlEntry(const Entry& entry) {
  if (entry.deleted) return;
  if (const auto* type = std::get_if<MachineType>(&entry.value)) {
    types_[type->name] = *type;
  } else if (const auto* count = std::get_if<TypeCountRecord>(&entry.value)) {
    recorded_count_ = count->count;
  }
}

bool MachineTypeCatalog::complete() const {
  return recorded_count_ > 0 && static_cast<int>(types_.size()) >= recorded_count_;
}

std::string MachineTypeCatalog::InfeasibleReason(const JobSpec& spec) const {
  const Team* team = settings_->FindTeam(spec.team);
  if (!team) return "unknown team";
  if (ExceedsTeamLimit(spec, *team)) return "more than the team's limit";
  if (!FitsSomeType(spec)) return "a task fits no allowed machine type";
  return "";
}

bool MachineTypeCatalog::ExceedsTeamLimit(const JobSpec& spec, const Team& team) const {
  const Resources all = spec.kind == JobKind::kArray ? spec.need : spec.need.Times(spec.tasks);
  // With several cells, part of the limit always stays with the other cells and can't be used here.
  const double share =
      options_->cells.cells.empty() ? 1 : limits::GatherableShare(QuotaSettings(options_->cells));
  const auto exceeds = [&](int64_t needs, int64_t limit) {
    return limit > 0 && static_cast<double>(needs) > static_cast<double>(limit) * share;
  };
  return exceeds(all.cpu, team.limit.cpu) || exceeds(all.gpu, team.limit.gpu);
}

bool MachineTypeCatalog::FitsSomeType(const JobSpec& spec) const {
  for (const auto& [name, type] : types_) {
    const auto& zones = type.zones.empty() ? settings_->zones : type.zones;
    for (const std::string& zone : zones) {
      if (Allows(spec, type, zone, false)) return true;
    }
  }
  return false;
}

}  // namespace badgershore
