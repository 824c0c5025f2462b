#include "core/leader/gang_placement.h"

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

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

void GangPlacement::Place(Micros now, Job* gang) {
  const bool continued = std::exchange(gang->is_being_placed, false);
  // At least so many members wait. Checked first: usually the gang does not fit, and listing its
  // members takes longer.
  const int missing = gang->remaining() - gang->placed;
  if (missing > 0 && FindMachines(now, *gang, missing).empty()) return;
  if (gang->gang_attempt != 0 && IsOldAttemptListed(now, *gang)) return;
  const std::vector<int> members = WaitingMembers(*gang);
  if (members.empty()) return;
  std::vector<MachineShare> shares = FindMachines(now, *gang, static_cast<int>(members.size()));
  if (shares.empty()) return;
  if (gang->gang_attempt == 0) gang->gang_attempt = usage_accounting().NextAttempt();
  if (!continued) {
    outbox()->Debug("gang " + gang->spec.id + " placed, first member on machine " +
                    shares[0].machine->id + ", " +
                    std::to_string((now - gang->submitted_at).ToMillis()) + " ms after submission");
  }
  PlaceMembers(now, gang, members, std::move(shares));
}

// Machines for this many members; empty if not all of them fit or the team's limit does not allow
// them.
std::vector<MachineShare> GangPlacement::FindMachines(Micros now, const Job& gang,
                                                      int members) const {
  if (members <= 0 || !quota_checker().Allows(gang, members)) return {};
  for (const std::string& zone : CandidateZones(gang.spec, settings())) {
    std::vector<MachineShare> shares =
        ChooseMachines(gang, members, MachinesWithRoom(now, gang, zone));
    if (!shares.empty()) return shares;
  }
  return {};
}

// Places the first members, as many as one step may, and reserves the machines for the others.
void GangPlacement::PlaceMembers(Micros now, Job* gang, const std::vector<int>& members,
                                 std::vector<MachineShare> shares) {
  const size_t placeable = std::min(members.size(), static_cast<size_t>(kMaxMembersPerStep));
  auto share = shares.begin();
  for (size_t k = 0; k < placeable; ++k) {
    while (share->members == 0) ++share;
    --share->members;
    usage_accounting()
        .PlaceTask(now, share->machine, gang, members[k], gang->gang_attempt)
        ->start_unsent = true;
  }
  if (placeable == members.size()) return gang_reservations().ReleaseReservation(gang);
  shares.erase(shares.begin(), share);
  gang->is_being_placed = true;
  gang_reservations().ReserveForPlacement(gang, shares);
}

// Whether a ready machine still lists the current attempt of a member that waits to be placed
// again. A member that leaves a gang before all members have started (`alone`, or its start was
// rejected) is replaced under the same attempt. Its machine can't take the replacement until the
// agent has forgotten that attempt: a start would have no effect there, and the new member would be
// counted under the exited allocation. Placement waits for that, because any other machine would
// have to fetch the image first.
bool GangPlacement::IsOldAttemptListed(Micros now, const Job& gang) const {
  for (const auto& [id, machine] : machine_table().machines()) {
    if (!machine_table().IsReady(*machine, now)) continue;
    const auto [begin, end] = std::as_const(*machine).AllocationsOf(gang.spec.id);
    const bool is_listed = std::any_of(begin, end, [&gang](const auto& entry) {
      const TaskKey& key = entry.first;
      return key.attempt == gang.gang_attempt && key.ref.task >= 0 &&
             key.ref.task < gang.spec.tasks &&
             gang.tasks[static_cast<size_t>(key.ref.task)].stage == TaskStage::kWaiting;
    });
    if (is_listed) return true;
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
    if (!ZoneAllows(gang, machine->zone)) continue;
    if (machine->reserved_for && machine->reserved_for != &gang) continue;
    rooms.push_back(
        {machine.get(), dispatch().AvailableResourcesFor(*machine, gang, machine->Used(), now)});
  }
  return rooms;
}

// Prefers machines where the gang has not failed, then machines that have its image, then the
// tightest fit. Since all members are equal, a machine that takes one is preferred for the next
// until it is full. Empty if not all members fit.
std::vector<MachineShare> GangPlacement::ChooseMachines(const Job& gang, int members,
                                                        std::vector<MachineRoom> rooms) const {
  const auto score = [&](const MachineRoom& r) {
    return std::make_tuple(r.machine->failed_jobs.count(gang.spec.id),
                           !r.machine->HasImage(gang.spec.image), r.free.cpu, r.free.mem);
  };
  int64_t fitting = 0;
  for (const MachineRoom& room : rooms) fitting += room.free.Holds(gang.spec.need);
  if (fitting < members) return {};
  std::stable_sort(rooms.begin(), rooms.end(),
                   [&](const MachineRoom& a, const MachineRoom& b) { return score(a) < score(b); });
  std::map<std::string, int> members_in_zone = gang.zone_count;
  std::vector<MachineShare> shares;
  for (const MachineRoom& room : rooms) {
    if (members == 0) break;
    int& in_zone = members_in_zone[room.machine->zone];
    int64_t share = std::min<int64_t>(room.free.Holds(gang.spec.need), members);
    share = std::clamp<int64_t>(MaxTasksInZone(gang.spec) - in_zone, 0, share);
    if (share == 0) continue;
    in_zone += static_cast<int>(share);
    members -= static_cast<int>(share);
    shares.push_back({room.machine, static_cast<int>(share)});
  }
  return members == 0 ? shares : std::vector<MachineShare>();
}

}  // namespace badgershore
