#include "core/placement/scale_in.h"

#include <algorithm>
#include <cmath>
#include <tuple>

#include "core/placement/instance_offers.h"

namespace badgershore {
namespace {

constexpr Micros kMinBilledTime = Seconds(60);
// No machine is drained this early in a term, since not all jobs are known yet.
constexpr Micros kTermSettleTime = Seconds(20);
constexpr double kRequiredCapacitySlack = 1.2;

}  // namespace

double RequiredCapacityPeak::Update(double required, Micros now, Micros boot) {
  if (boot < kNever && boot.count > 0) {
    peak_ *= std::exp(-(now - updated_at_).ToSeconds() / boot.ToSeconds());
  }
  updated_at_ = now;
  peak_ = std::max(peak_, required * kRequiredCapacitySlack);
  return peak_;
}

void ScaleInPlanner::Plan(const ArrayCapacity& capacity, const ScaleInLimits& limits) {
  limits_ = limits;
  capacity_left_ = capacity.total;
  cheap_capacity_left_ = capacity.cheap_total;
  removable_ = CountRemovable();
  for (Machine* m : snapshot_.machines) {
    if (!IsUsable(*m) || m->stage != MachineStage::kUp) continue;
    if (decision_->reserved_for_gangs.contains(m) || decision_->needed_by_jobs.contains(m)) {
      continue;
    }
    ConsiderMachine(m);
  }
  if (snapshot_.now - snapshot_.term_began_at > kTermSettleTime) Drain();
}

int ScaleInPlanner::CountRemovable() const {
  int count = -options_.keep_machines;
  for (const Machine* m : snapshot_.machines) {
    count += IsUsable(*m) && m->stage == MachineStage::kUp && !m->draining;
  }
  return count;
}

void ScaleInPlanner::ConsiderMachine(Machine* machine) {
  const bool held_for_gangs = IsHeldForGangs(*machine);
  if (machine->idle_since.count >= 0 && DecideIdle(machine, held_for_gangs)) return;
  if (machine->draining || held_for_gangs) return;
  if (snapshot_.now - machine->rented_at < kMinBilledTime) return;
  const double capacity = meter_.CapacityOf(*machine);
  if (capacity <= 0) return;
  candidates_.push_back(
      {machine, meter_.UnitPrice(*machine, capacity), capacity, machine->allocations.size()});
}

bool ScaleInPlanner::IsHeldForGangs(const Machine& machine) const {
  const Micros limit = machine.type->boot.Scaled(options_.gang_idle_boots);
  return snapshot_.now - machine.last_gang_at < limit &&
         gang_forecast_.NeedsMostOf(*machine.type, machine.zone, machine.spot, snapshot_.now);
}

// Decides on an idle machine: true if it is released now or must be kept, false if it may still be
// drained.
bool ScaleInPlanner::DecideIdle(Machine* machine, bool held_for_gangs) {
  const double capacity = meter_.CapacityOf(*machine);
  const bool near_cheapest = !machine->draining && meter_.IsNearCheapest(*machine, capacity);
  // By idle time alone, the cheap machines would be released and the expensive ones, which were
  // added later, would stay.
  if (near_cheapest && cheap_capacity_left_ - capacity < limits_.urgent_reserve) return true;
  if (!machine->draining && removable_ <= 0) return true;
  const Micros idle_limit =
      machine->draining ? Seconds(0) : machine->type->boot.Scaled(options_.idle_boots);
  const bool idle_for_long = snapshot_.now - machine->idle_since >= idle_limit;
  const bool billed_anyway = snapshot_.now - machine->rented_at < kMinBilledTime;
  if (held_for_gangs || !idle_for_long || billed_anyway) return false;
  decision_->release.push_back(machine);
  removable_ -= !machine->draining;
  if (near_cheapest) cheap_capacity_left_ -= capacity;
  return true;
}

// Drains the most expensive machines first, and among equal ones those with the fewest tasks. A
// machine near the lowest unit price stays while there is work for it, a more expensive one only
// while work would be late without it.
void ScaleInPlanner::Drain() {
  std::sort(candidates_.begin(), candidates_.end(), [](const Candidate& a, const Candidate& b) {
    return std::make_tuple(-a.unit_price, a.tasks, a.machine->id) <
           std::make_tuple(-b.unit_price, b.tasks, b.machine->id);
  });
  for (const Candidate& candidate : candidates_) {
    if (removable_ <= 0) return;
    const double to_keep = meter_.IsNearCheapest(candidate.unit_price)
                               ? std::max(limits_.required_capacity, limits_.running_cpu)
                               : limits_.required_capacity;
    if (capacity_left_ - candidate.capacity < to_keep) continue;
    decision_->drain.push_back(candidate.machine);
    --removable_;
    capacity_left_ -= candidate.capacity;
  }
}

}  // namespace badgershore
