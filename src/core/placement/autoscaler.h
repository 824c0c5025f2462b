// Decides which machines to ask the cloud for and which to give up, from the unfinished jobs, the
// recent arrivals and the fleet.
#pragma once

#include <string>
#include <vector>

#include "core/placement/array_demand.h"
#include "core/placement/array_shortfall.h"
#include "core/placement/arrival_forecast.h"
#include "core/placement/gang_forecast.h"
#include "core/placement/instance_offers.h"
#include "core/placement/scale_in.h"
#include "core/placement/scaling_types.h"

namespace badgershore {

// One per term; a new leader rebuilds the forecasts from the jobs it reads.
class Autoscaler {
 public:
  explicit Autoscaler(const Options& options) : options_(options), offers_(options) {}

  // Changes nothing in the fleet: the caller carries the decision out.
  ScalingDecision Decide(const ScalingSnapshot& snapshot);
  // The cloud could not provide all machines of this kind that were asked for.
  void RecordRefusal(const InstanceOffer& offer, Micros now) { offers_.RecordRefusal(offer, now); }

  // A job has been accepted, or read by a new leader, which learns of earlier arrivals only by the
  // jobs that are unfinished.
  void RecordArrayArrival(const JobSpec& spec, Micros arrived, Micros now);
  // The same for the load that can't wait for a machine to boot. `slack`: how long after its
  // arrival the job may start; ignored when it can wait for a boot, or is no array.
  void RecordUrgentArrival(const JobSpec& spec, Micros slack, Micros boot, Micros arrived,
                           Micros now);
  // The same for a gang. Call RecordGangDemand() too.
  void RecordGangArrival(const JobSpec& spec, Micros at) { gangs_.RecordArrival(spec, at); }
  // A gang of this kind arrived or waits for machines.
  void RecordGangDemand(const JobSpec& spec, Micros now) { gangs_.RecordDemand(spec, now); }

  // Time from the job's arrival until it is to be complete: its deadline, else `share` of its
  // class's objective, else a default.
  Micros CompletionTarget(const JobSpec& spec, const std::vector<Objective>& objectives,
                          double share) const;
  // Whether gangs that arrived of late may preempt the job's tasks on such a machine.
  bool MayBePreemptedByGangs(const JobSpec& spec, const MachineType& type, const std::string& zone,
                             bool spot, Micros now) const {
    return gangs_.MayPreempt(spec, type, zone, spot, now);
  }
  // The measures behind the last decision, for the log.
  std::string Summary() const { return summary_; }

 private:
  void ScaleForGangs(const ScalingSnapshot& snapshot, ScalingDecision* decision);
  void ScaleForArrays(const ScalingSnapshot& snapshot, ScalingDecision* decision);
  void SummarizeArrays(const ArrayDemand& demand, const ArrayCapacity& capacity,
                       const ArrayShortfall& shortfall);

  const Options& options_;
  InstanceOffers offers_;
  ArrivalRateForecast arrival_rate_;  // of all arrays
  UrgentLoadForecast urgent_load_;
  GangForecast gangs_;
  RequiredCapacityPeak required_capacity_;
  std::string summary_;
};

}  // namespace badgershore
