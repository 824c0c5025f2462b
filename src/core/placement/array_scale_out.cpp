#include "core/placement/array_scale_out.h"

#include <algorithm>

namespace badgershore {
namespace {

constexpr int kMaxMachinesPerDecision = 150;

// Whether the job's zone constraints will allow a task in the zone. Tasks of an array that keep
// others out of a zone by `spread` end; replicas of a service stay.
bool MayRunIn(const Job& job, const std::string& zone) {
  return (job.spec.spread && !job.IsService()) || ZoneAllows(job, zone);
}

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
  std::vector<InstanceOffer> offers = offers_.OffersFor(snapshot_, demand_.typical->spec);
  offers_.PreferReachable(snapshot_, &offers);
  for (int i = 0; i < kMaxMachinesPerDecision && shortfall->cheap_deficit > 0; ++i) {
    const OfferChoice choice = ChooseOffer(offers, *shortfall, capacity);
    if (!choice.offer) break;
    ++requested[*choice.offer];
    shortfall->deficit -= choice.capacity;
    shortfall->cheap_deficit -= choice.capacity;
  }
  for (const auto& [offer, count] : requested) {
    const int64_t allowed = std::min<int64_t>(count, offers_.MaxRequests(snapshot_, offer));
    if (allowed > 0) decision_->scale_out.push_back({offer, static_cast<int>(allowed)});
  }
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
    if (job->IsService()) services_cpu_[job->team] += job->spec.need.cpu * job->placed;
  }
  for (const Job* job : snapshot_.jobs) {
    if (job->IsGang() || job->finishing) continue;
    KeepMachinesOfReplicas(*job);
    if (job->WantedTasks() == job->placed || !MayStartBesideServices(*job)) continue;
    const std::vector<Machine*> machines = MachinesFor(*job, /*draining=*/false, 2);
    if (machines.size() == 1) decision_->needed_by_jobs.insert(machines.front());
    if (!machines.empty() || IsMachineRequestedFor(*job)) continue;
    const std::vector<Machine*> draining = MachinesFor(*job, /*draining=*/true, 1);
    if (draining.empty()) {
      RequestMachineFor(*job);
    } else {
      decision_->undrain.push_back(draining.front());
      decision_->needed_by_jobs.insert(draining.front());
    }
  }
}

void ArrayScaleOutPlanner::RequestMachineFor(const Job& job) {
  std::vector<InstanceOffer> offers = offers_.OffersFor(snapshot_, job.spec);
  std::erase_if(offers, [&](const InstanceOffer& offer) {
    return !MayRunIn(job, offer.zone) || offers_.MaxRequests(snapshot_, offer) == 0;
  });
  const InstanceOffer* cheapest = offers_.Cheapest(snapshot_, offers);
  if (cheapest) decision_->scale_out.push_back({*cheapest, 1});
}

// Whether the job fits beside the other tasks on a machine that has been requested is checked in
// the next decisions.
bool ArrayScaleOutPlanner::IsMachineRequestedFor(const Job& job) const {
  const auto allows = [&](const InstanceOffer& offer) {
    return Allows(job.spec, snapshot_.machine_types->at(offer.type), offer.zone, offer.spot) &&
           MayRunIn(job, offer.zone);
  };
  return std::any_of(decision_->scale_out.begin(), decision_->scale_out.end(),
                     [&](const ScaleOutRequest& request) { return allows(request.offer); }) ||
         std::any_of(snapshot_.pending_scale_out.begin(), snapshot_.pending_scale_out.end(),
                     [&](const auto& pending) { return allows(pending.first); });
}

std::vector<Machine*> ArrayScaleOutPlanner::MachinesFor(const Job& job, bool draining,
                                                        size_t most) const {
  std::vector<Machine*> found;
  for (Machine* m : snapshot_.machines) {
    if (found.size() == most) break;
    if (m->draining != draining || !IsReachable(snapshot_, *m)) continue;
    if (!Allows(job.spec, *m->type, m->zone, m->spot) || !MayRunIn(job, m->zone)) continue;
    if (HasRoomFor(job, *m)) found.push_back(m);
  }
  return found;
}

// Whether a task of the job fits now or once arrays and gangs have ended. Services do not end.
bool ArrayScaleOutPlanner::HasRoomFor(const Job& job, const Machine& machine) const {
  const Resources capacity = machine.type->Capacity();
  if (services_cpu_.empty() || job.spec.need.Fits(capacity - machine.Used())) return true;
  Resources used_by_services;
  for (const auto& [key, allocation] : machine.allocations) {
    if (allocation.exited() || !allocation.job || !allocation.job->IsService()) continue;
    used_by_services = used_by_services + allocation.need;
  }
  return job.spec.need.Fits(capacity - used_by_services);
}

bool ArrayScaleOutPlanner::MayStartBesideServices(const Job& job) const {
  if (!snapshot_.team_cpu_limit) return true;
  const auto it = services_cpu_.find(job.team);
  const int64_t used_by_services = it == services_cpu_.end() ? 0 : it->second;
  return job.spec.need.cpu <= snapshot_.team_cpu_limit(job.team) - used_by_services;
}

// Replicas that are bound to zones may not find another machine when theirs is drained.
void ArrayScaleOutPlanner::KeepMachinesOfReplicas(const Job& job) {
  const bool bound_to_zones = job.spec.zone || job.spec.same_zone || job.spec.spread;
  if (!job.IsService() || !bound_to_zones) return;
  for (const TaskState& task : job.tasks) {
    if (task.stage == TaskStage::kPlaced && task.machine) {
      decision_->needed_by_jobs.insert(task.machine);
    }
  }
}

}  // namespace badgershore
