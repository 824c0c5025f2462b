#include "core/placement/autoscaler.h"

#include <algorithm>

#include "core/placement/array_capacity.h"
#include "core/placement/array_scale_out.h"
#include "core/placement/completion_target.h"
#include "core/placement/gang_scale_out.h"

namespace badgershore {
namespace {

// A job is urgent if it must start within this many boot times of its arrival: otherwise it can
// wait for a machine that is requested when it arrives.
constexpr double kUrgentSlackBoots = 1.5;
constexpr double kUrgentLoadSlack = 1.1;
constexpr double kUnitsPerCpu = 1000;

// The machines of a zone are kept while they have less than this times the capacity that the jobs
// bound to the zone require.
constexpr double kBoundCapacitySlack = 1.2;

}  // namespace

ScalingDecision Autoscaler::Decide(const ScalingSnapshot& snapshot) {
  ScalingDecision decision;
  summary_.clear();
  ScaleForGangs(snapshot, &decision);
  ScalingSnapshot with_requests = snapshot;
  ScaleForBoundJobs(&with_requests, &decision);
  ScaleForArrays(with_requests, &decision);
  return decision;
}

void Autoscaler::ScaleForBoundJobs(ScalingSnapshot* snapshot, ScalingDecision* decision) const {
  if (snapshot->zones->size() < 2) return;
  std::set<std::string> zones;
  for (const Job* job : snapshot->jobs) {
    if (!job->IsGang() && !job->finishing && job->spec.zone) zones.insert(*job->spec.zone);
  }
  const size_t requested_before = decision->scale_out.size();
  for (const std::string& zone : zones) ScaleForJobsIn(zone, *snapshot, decision);
  for (size_t i = requested_before; i < decision->scale_out.size(); ++i) {
    const ScaleOutRequest& request = decision->scale_out[i];
    snapshot->pending_scale_out[request.offer] += request.count;
  }
}

void Autoscaler::ScaleForJobsIn(const std::string& zone, const ScalingSnapshot& snapshot,
                                ScalingDecision* decision) const {
  ScalingSnapshot bound = snapshot;
  std::erase_if(bound.jobs, [&](const Job* job) { return job->spec.zone != zone; });
  ArrayDemand demand = MeasureArrayDemand(bound, options_);
  const CapacityMeter meter(bound, demand.typical);
  ArrayCapacity capacity = MeasureArrayCapacity(bound, meter);
  const ArrayShortfall shortfall =
      MeasureArrayShortfall(&demand, capacity, UrgentLoadForecast(), options_);
  ArrayScaleOutPlanner(bound, offers_, meter, demand, decision).Plan(shortfall, &capacity);
  if (capacity.total > shortfall.required * kBoundCapacitySlack) return;
  for (const Machine* machine : bound.machines) {
    if (machine->type && meter.CapacityOf(*machine) > 0) decision->needed_by_jobs.insert(machine);
  }
}

void Autoscaler::ScaleForGangs(const ScalingSnapshot& snapshot, ScalingDecision* decision) {
  const int waiting = ScaleOutForGangs(snapshot, gangs_, offers_, options_, decision);
  if (waiting > 0) summary_ += "gang members waiting " + std::to_string(waiting) + "; ";
}

void Autoscaler::ScaleForArrays(const ScalingSnapshot& snapshot, ScalingDecision* decision) {
  ArrayDemand demand = MeasureArrayDemand(snapshot, options_);
  arrival_rate_.Decay(snapshot.now);
  demand.arrival_rate =
      std::min(arrival_rate_.LowerBound(options_.arrival_doubt), demand.total_cpu_limit);
  const CapacityMeter meter(snapshot, demand.typical);
  ArrayCapacity capacity = MeasureArrayCapacity(snapshot, meter);
  urgent_load_.Decay(snapshot.now);
  const ArrayShortfall shortfall = MeasureArrayShortfall(&demand, capacity, urgent_load_, options_);
  SummarizeArrays(demand, capacity, shortfall);

  ArrayScaleOutPlanner scale_out(snapshot, offers_, meter, demand, decision);
  scale_out.Plan(shortfall, &capacity);
  scale_out.PlanForUnplaceableJobs();

  const double peak =
      required_capacity_.Update(shortfall.required, snapshot.now, demand.shortest_boot);
  ScaleInLimits limits;
  limits.urgent_reserve = shortfall.urgent_reserve;
  limits.required_capacity = std::max(peak, urgent_load_.Mean() * kUrgentLoadSlack);
  limits.running_cpu = demand.running_cpu;
  ScaleInPlanner(snapshot, gangs_, meter, options_, decision).Plan(capacity, limits);
}

void Autoscaler::SummarizeArrays(const ArrayDemand& demand, const ArrayCapacity& capacity,
                                 const ArrayShortfall& shortfall) {
  const auto add = [this](const char* name, double cpu) {
    summary_ += std::string(name) + std::to_string(static_cast<int>(cpu / kUnitsPerCpu));
  };
  add("CPUs required ", shortfall.required);
  add(", deficit ", shortfall.deficit);
  add(", capacity ", capacity.total);
  add(", arrival rate ", demand.arrival_rate);
  add(", up ", capacity.up);
  add(", running ", demand.running_cpu);
  add(", urgent reserve ", shortfall.urgent_reserve);
}

void Autoscaler::RecordArrayArrival(const JobSpec& spec, Micros arrived, Micros now) {
  arrival_rate_.Add(
      static_cast<double>(spec.need.cpu) * spec.tasks * spec.estimated_runtime.ToSeconds(), arrived,
      now);
}

void Autoscaler::RecordUrgentArrival(const JobSpec& spec, Micros slack, Micros boot, Micros arrived,
                                     Micros now) {
  if (spec.kind != JobKind::kArray || slack > boot.Scaled(kUrgentSlackBoots)) return;
  urgent_load_.Add(static_cast<double>(spec.need.cpu) * spec.tasks,
                   spec.estimated_runtime.ToSeconds(), arrived, now);
}

Micros Autoscaler::CompletionTarget(const JobSpec& spec, const std::vector<Objective>& objectives,
                                    double share) const {
  return badgershore::CompletionTarget(spec, objectives, share, options_);
}

}  // namespace badgershore
