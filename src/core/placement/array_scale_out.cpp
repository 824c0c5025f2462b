#include "core/placement/array_scale_out.h"

#include <algorithm>

namespace badgershore {
namespace {

constexpr int kMaxMachinesPerDecision = 150;

}  // namespace

void ArrayScaleOutPlanner::Plan(ArrayShortfall shortfall, ArrayCapacity* capacity) {
  if (!meter_.HasTypicalJob()) return;
  Undrain(&shortfall, capacity);
  RequestMachines(&shortfall, *capacity);
}

// Draining machines are used first, since they need no time to boot.
void ArrayScaleOutPlanner::Undrain(ArrayShortfall* shortfall, ArrayCapacity* capacity) {
  for (Machine* m : snapshot_.machines) {
    if (shortfall->cheap_deficit <= 0) return;
    if (!m->draining || !IsUsable(*m)) continue;
    decision_->undrain.push_back(m);
    const double cpu = meter_.CapacityOf(*m);
    capacity->total += cpu;
    shortfall->deficit -= cpu;
    shortfall->cheap_deficit -= cpu;
  }
}

void ArrayScaleOutPlanner::RequestMachines(ArrayShortfall* shortfall,
                                           const ArrayCapacity& capacity) {
  if (shortfall->cheap_deficit <= 0) return;
  std::map<InstanceOffer, int> requested;
  const std::vector<InstanceOffer> offers = offers_.OffersFor(snapshot_, demand_.typical->spec);
  for (int i = 0; i < kMaxMachinesPerDecision && shortfall->cheap_deficit > 0; ++i) {
    const OfferChoice choice = ChooseOffer(offers, *shortfall, capacity);
    if (!choice.offer) break;
    ++requested[*choice.offer];
    shortfall->deficit -= choice.capacity;
    shortfall->cheap_deficit -= choice.capacity;
  }
  for (const auto& [offer, count] : requested) decision_->scale_out.push_back({offer, count});
}

// The offer with the lowest price per unit of capacity that would be used. Offers that are not near
// the lowest unit price are requested only for work that would be late otherwise.
ArrayScaleOutPlanner::OfferChoice ArrayScaleOutPlanner::ChooseOffer(
    const std::vector<InstanceOffer>& offers, const ArrayShortfall& shortfall,
    const ArrayCapacity& capacity) const {
  const double missing = shortfall.deficit > 0 ? shortfall.deficit : shortfall.cheap_deficit;
  OfferChoice best;
  double best_cost = 0;
  for (const InstanceOffer& offer : offers) {
    const MachineType& type = snapshot_.machine_types->at(offer.type);
    const double cpu = meter_.CapacityOf(type, offer.zone, offer.spot);
    if (cpu <= 0) continue;
    if (!meter_.IsNearCheapest(offer, cpu) &&
        (shortfall.deficit <= 0 || IsDoneBeforeBoot(type, capacity))) {
      continue;
    }
    const double cost = HourlyPrice(snapshot_, offer) / std::min(cpu, std::max(missing, 1.0));
    if (best.offer && cost >= best_cost) continue;
    best = {&offer, cpu};
    best_cost = cost;
  }
  return best;
}

// Whether the machines that are up can finish all waiting work before a new machine has booted.
bool ArrayScaleOutPlanner::IsDoneBeforeBoot(const MachineType& type,
                                            const ArrayCapacity& capacity) const {
  return capacity.up > 0 && demand_.service_cpu == 0 &&
         demand_.waiting_work / capacity.up < type.boot.ToSeconds();
}

void ArrayScaleOutPlanner::PlanForUnplaceableJobs() {
  for (const Job* job : snapshot_.jobs) {
    if (job->IsGang() || job->finishing || job->WantedTasks() == job->placed) continue;
    if (HasMachineFor(*job)) continue;
    const std::vector<InstanceOffer> offers = offers_.OffersFor(snapshot_, job->spec);
    const InstanceOffer* cheapest = CheapestOffer(snapshot_, offers);
    if (cheapest) decision_->scale_out.push_back({*cheapest, 1});
  }
}

// Any machine requested in this decision counts, even for another job: whether the job fits on it
// is checked in the next decision.
bool ArrayScaleOutPlanner::HasMachineFor(const Job& job) const {
  if (!decision_->scale_out.empty()) return true;
  for (const Machine* m : snapshot_.machines) {
    if (IsUsable(*m) && !m->draining && Allows(job.spec, *m->type, m->zone, m->spot)) return true;
  }
  for (const auto& [offer, count] : snapshot_.pending_scale_out) {
    const MachineType& type = snapshot_.machine_types->at(offer.type);
    if (Allows(job.spec, type, offer.zone, offer.spot)) return true;
  }
  return false;
}

}  // namespace badgershore
