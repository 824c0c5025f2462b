#include "core/leader/gang_reservations.h"

#include <algorithm>
#include <map>
#include <utility>

#include "core/leader/gang_placement.h"
#include "core/leader/gang_preemption.h"
#include "core/leader/machine_table.h"
#include "core/leader/runtime_forecast.h"

namespace badgershore {
namespace {

// A machine that is already reserved for the gang stays the first choice, since its tasks have
// already been stopped.
constexpr double kReservedCost = -1;
constexpr double kFailedMachinePenalty = 1e6;

}  // namespace

void GangReservations::ReserveFor(Micros now, Job* gang, bool prioritized) {
  if (!election()->MayStart(now)) return;
  const Selection selection = CheapestSelection(now, *gang, prioritized);
  ReleaseReservation(gang);
  if (!RenewHolds(now, *gang, selection)) return;
  gang->has_reservation = !selection.machines.empty();
  const bool after_gangs = Reserve(selection, *gang);
  for (const Candidate& c : selection.machines) {
    c.machine->reserved_after_gangs = after_gangs;
    if (!after_gangs) gang_preemption().PreemptForGang(now, c.machine, *gang);
  }
}

GangReservations::Selection GangReservations::CheapestSelection(Micros now, const Job& gang,
                                                                bool prioritized) const {
  Selection best;
  for (const std::string& zone : CandidateZones(gang.spec, settings())) {
    std::optional<Selection> selection = Select(gang, Candidates(now, gang, zone, prioritized));
    if (!selection) continue;
    if (best.machines.empty() || selection->cost < best.cost) best = std::move(*selection);
  }
  return best;
}

// The zone's machines that may be reserved, cheapest first. An empty `zone` means all zones.
std::vector<GangReservations::Candidate> GangReservations::Candidates(Micros now, const Job& gang,
                                                                      const std::string& zone,
                                                                      bool prioritized) const {
  std::vector<Candidate> candidates;
  for (auto& [id, machine] : machine_table().machines()) {
    if (!machine_table().IsReady(*machine, now) ||
        !Allows(gang.spec, *machine->type, machine->zone, machine->spot))
      continue;
    if (!zone.empty() && machine->zone != zone) continue;
    if (machine->reserved_for && machine->reserved_for != &gang) continue;
    if (machine->hold_period.IsOpen(now)) continue;
    const std::optional<GangPreemption::Clearing> clearing =
        gang_preemption().PlanClearing(now, *machine, gang, prioritized);
    if (!clearing) continue;
    double cost = machine->reserved_for == &gang ? kReservedCost : clearing->cost;
    if (machine->failed_jobs.count(gang.spec.id)) cost += kFailedMachinePenalty;
    candidates.push_back({machine.get(), cost, clearing->room});
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const Candidate& a, const Candidate& b) { return a.cost < b.cost; });
  return candidates;
}

// The first candidates that together hold all missing members; empty if even all of them can't.
std::optional<GangReservations::Selection> GangReservations::Select(
    const Job& gang, const std::vector<Candidate>& candidates) {
  Selection selection;
  std::map<std::string, int> members_in_zone;
  int members = 0;
  for (Candidate c : candidates) {
    if (members >= gang.remaining()) break;
    int& zone_members = members_in_zone[c.machine->zone];
    const int missing =
        std::min(gang.remaining() - members, MaxTasksInZone(gang.spec) - zone_members);
    c.members = static_cast<int>(std::min<int64_t>(c.room.Holds(gang.spec.need), missing));
    if (c.members == 0) continue;
    members += c.members;
    zone_members += c.members;
    selection.cost += c.cost;
    selection.machines.push_back(c);
  }
  if (members < gang.remaining()) return std::nullopt;
  return selection;
}

// Returns false if some machine has been held for so long that others must be able to use it.
bool GangReservations::RenewHolds(Micros now, const Job& gang, const Selection& selection) const {
  const Micros max_duration = MaxHold(now, gang, options().age_limit);
  bool renewed = true;
  for (const Candidate& c : selection.machines) {
    renewed &= c.machine->hold_period.Renew(now, max_duration);
  }
  return renewed;
}

// Returns whether other gangs still use resources of some of the machines that the gang needs.
bool GangReservations::Reserve(const Selection& selection, const Job& gang) {
  bool after_gangs = false;
  for (const Candidate& c : selection.machines) {
    Machine* machine = c.machine;
    machine->reserved_for = &gang;
    machine->reserved_members = c.members;
    after_gangs |= !gang.spec.need.Times(machine->reserved_members)
                        .Fits(machine->type->Capacity() - machine->GangUse());
  }
  return after_gangs;
}

void GangReservations::ReserveForPlacement(Job* gang, const std::vector<MachineShare>& shares) {
  ReleaseReservation(gang);
  gang->has_reservation = true;
  for (const MachineShare& share : shares) {
    share.machine->reserved_for = gang;
    share.machine->reserved_members = share.members;
    share.machine->reserved_after_gangs = false;
  }
}

void GangReservations::ReleaseReservation(Job* gang) {
  if (!std::exchange(gang->has_reservation, false)) return;
  for (auto& [id, machine] : machine_table().machines()) {
    if (machine->reserved_for != gang) continue;
    machine->reserved_for = nullptr;
    machine->reserved_members = 0;
  }
}

}  // namespace badgershore
