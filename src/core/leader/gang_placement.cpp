#include "core/leader/gang_placement.h"

#include <map>
#include <tuple>

#include "core/leader/dispatch.h"
#include "core/leader/gang_reservations.h"
#include "core/leader/machine_table.h"
#include "core/leader/quota_checker.h"
#include "core/leader/usage_accounting.h"

namespace badgershore {
namespace {

std::vector<int> WaitingMembers(const Job& gang) {
  std::vector<int> members;
  for (int i = 0; i < gang.spec.tasks; ++i) {
    if (gang.tasks[static_cast<size_t>(i)].stage == TaskStage::kWaiting) members.push_back(i);
  }
  return members;
}

}  // namespace

std::vector<std::string> CandidateZones(const JobSpec& spec, const PlatformSettings& settings) {
  if (spec.same_zone) return settings.zones;
  return {""};
}

bool GangPlacement::Place(Micros now, Job* gang) {
  const std::vector<int> members = WaitingMembers(*gang);
  if (members.empty() || !quota_checker().Allows(*gang, static_cast<int>(members.size())))
    return false;
  if (gang->gang_attempt != 0 && IsOldAttemptListed(now, *gang, members)) return false;
  for (const std::string& zone : CandidateZones(gang->spec, settings())) {
    const std::vector<Machine*> chosen =
        ChooseMachines(*gang, members.size(), MachinesWithRoom(now, *gang, zone));
    if (chosen.size() != members.size()) continue;
    if (gang->gang_attempt == 0) gang->gang_attempt = usage_accounting().NextAttempt();
    for (size_t k = 0; k < members.size(); ++k) {
      usage_accounting()
          .PlaceTask(now, chosen[k], gang, members[k], gang->gang_attempt)
          ->start_unsent = true;
    }
    gang_reservations().ReleaseReservation(gang);
    outbox()->Debug("gang " + gang->spec.id + " placed, first member on machine " + chosen[0]->id +
                    ", " + std::to_string((now - gang->submitted_at).ToMillis()) +
                    " ms after submission");
    return true;
  }
  return false;
}

// Whether a ready machine still lists the current attempt of a member that waits to be placed
// again. A member that leaves a gang before all members have started (`alone`, or its start was
// rejected) is replaced under the same attempt. Its machine can't take the replacement until the
// agent has forgotten that attempt: a start would have no effect there, and the new member would be
// counted under the exited allocation. Placement waits for that, because any other machine would
// have to fetch the image first.
bool GangPlacement::IsOldAttemptListed(Micros now, const Job& gang,
                                       const std::vector<int>& members) const {
  for (const auto& [id, machine] : machine_table().machines()) {
    if (!machine_table().IsReady(*machine, now)) continue;
    for (int task : members) {
      if (machine->allocations.contains({{gang.spec.id, task}, gang.gang_attempt})) return true;
    }
  }
  return false;
}

// The resources that the zone's machines have free for the gang. An empty `zone` means all zones.
std::vector<GangPlacement::MachineRoom> GangPlacement::MachinesWithRoom(
    Micros now, const Job& gang, const std::string& zone) const {
  std::vector<MachineRoom> rooms;
  for (auto& [id, machine] : machine_table().machines()) {
    if (!machine_table().IsReady(*machine, now) ||
        !Allows(gang.spec, *machine->type, machine->zone, machine->spot))
      continue;
    if (!zone.empty() && machine->zone != zone) continue;
    if (!usage_accounting().ZoneAllows(gang, machine->zone)) continue;
    if (machine->reserved_for && machine->reserved_for != &gang) continue;
    rooms.push_back(
        {machine.get(), dispatch().AvailableResourcesFor(*machine, gang, machine->Used(), now)});
  }
  return rooms;
}

// One machine for each member. Prefers machines where the gang has not failed, then machines that
// have its image, then the tightest fit. Returns fewer than `members` if not all members fit.
std::vector<Machine*> GangPlacement::ChooseMachines(const Job& gang, size_t members,
                                                    std::vector<MachineRoom> rooms) const {
  const auto score = [&](const MachineRoom& r) {
    return std::make_tuple(r.machine->failed_jobs.count(gang.spec.id),
                           !r.machine->HasImage(gang.spec.image), r.free.cpu, r.free.mem);
  };
  std::map<std::string, int> members_in_zone = gang.zone_count;
  std::vector<Machine*> chosen;
  while (chosen.size() < members) {
    MachineRoom* best = nullptr;
    for (MachineRoom& r : rooms) {
      if (!gang.spec.need.Fits(r.free)) continue;
      if (gang.spec.spread && members_in_zone[r.machine->zone] >= (gang.spec.tasks + 1) / 2)
        continue;
      if (!best || score(r) < score(*best)) best = &r;
    }
    if (!best) break;
    best->free = best->free - gang.spec.need;
    ++members_in_zone[best->machine->zone];
    chosen.push_back(best->machine);
  }
  return chosen;
}

}  // namespace badgershore
