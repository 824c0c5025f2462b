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

}  // namespace

ScalingDecision Autoscaler::Decide(const ScalingSnapshot& snapshot) {
  ScalingDecision decision;
  summary_.clear();
  ScaleForGangs(snapshot, &decision);
  ScaleForArrays(snapshot, &decision);
  return decision;
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
