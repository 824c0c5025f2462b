// Decides which machines to request and which to release, from the unfinished jobs, recent arrivals
// and the fleet.
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

// Created for each term. A new leader rebuilds the forecasts from the jobs that it reads.
class Autoscaler {
 public:
  explicit Autoscaler(const Options& options) : options_(options), offers_(options) {}

  // Does not change the fleet: the caller carries out the decision.
  ScalingDecision Decide(const ScalingSnapshot& snapshot);
  // Called when the cloud could not provide all requested machines of this offer.
  void RecordRefusal(const InstanceOffer& offer, Micros now) { offers_.RecordRefusal(offer, now); }

  // Called when a machine of the zone is given up because its agent did not answer, or, if
  // `booting`, did not come up in time.
  void RecordUnreachable(const std::string& zone, bool booting, Micros now) {
    offers_.RecordUnreachable(zone, booting, now);
  }

  // Called when a job is accepted, or read by a new leader, which knows earlier arrivals only from
  // unfinished jobs.
  void RecordArrayArrival(const JobSpec& spec, Micros arrived, Micros now);
  // The same for load that can't wait for a machine to boot. `slack`: how long after its arrival
  // the job may start. Ignores jobs that can wait for a boot or are not arrays.
  void RecordUrgentArrival(const JobSpec& spec, Micros slack, Micros boot, Micros arrived,
                           Micros now);
  // The same for a gang. Also call RecordGangDemand().
  void RecordGangArrival(const JobSpec& spec, Micros at) { gangs_.RecordArrival(spec, at); }
  // Called for a gang that was cancelled before it ran.
  void RemoveGangArrival(const JobSpec& spec, Micros at) { gangs_.RemoveArrival(spec, at); }
  // Called when a gang arrives, and while it waits for machines.
  void RecordGangDemand(const JobSpec& spec, Micros now) { gangs_.RecordDemand(spec, now); }

  // Time from the job's arrival until it should be complete: its deadline, else `share` of its
  // class's objective, else a default.
  Micros CompletionTarget(const JobSpec& spec, const std::vector<Objective>& objectives,
                          double share) const;
  // Whether gangs of a recently seen kind may preempt the job's tasks on such a machine.
  bool MayBePreemptedByGangs(const JobSpec& spec, const MachineType& type, const std::string& zone,
                             bool spot, Micros now) const {
    return gangs_.MayPreempt(spec, type, zone, spot, now);
  }
  // The measurements behind the last decision, for the log.
  std::string Summary() const { return summary_; }

 private:
  void ScaleForGangs(const ScalingSnapshot& snapshot, ScalingDecision* decision);
  // For arrays and services that may only run in one of several zones: the capacity of the other
  // zones is no use to them. Adds what is requested to the snapshot's pending requests, so that it
  // counts as capacity for the others.
  void ScaleForBoundJobs(ScalingSnapshot* snapshot, ScalingDecision* decision) const;
  void ScaleForJobsIn(const std::string& zone, const ScalingSnapshot& snapshot,
                      ScalingDecision* decision) const;
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
