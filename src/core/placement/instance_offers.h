// Instance offers that may be requested, considering job constraints, prices and recent refusals.
#pragma once

#include <map>
#include <vector>

#include "core/placement/scaling_types.h"

namespace badgershore {

// Selects offers that the cloud has not refused recently.
class InstanceOffers {
 public:
  explicit InstanceOffers(const Options& options) : options_(options) {}

  // Excludes the offer for `Options::refusal_memory`.
  void RecordRefusal(const InstanceOffer& offer, Micros now);
  // Offers whose machines may hold a task of the job, ordered by type, zone and spot.
  std::vector<InstanceOffer> OffersFor(const ScalingSnapshot& snapshot, const JobSpec& spec) const;

 private:
  bool IsRefused(const InstanceOffer& offer, Micros now) const;

  const Options& options_;
  std::map<InstanceOffer, Micros> refused_until_;
};

// Price of an instance per hour. Its type must be in the snapshot.
double HourlyPrice(const ScalingSnapshot& snapshot, const InstanceOffer& offer);

// The first offer with the lowest price; null if there are no offers.
const InstanceOffer* CheapestOffer(const ScalingSnapshot& snapshot,
                                   const std::vector<InstanceOffer>& offers);

// Whether the machine has a known type and is neither terminating nor about to be preempted. It may
// still be booting or draining.
bool IsUsable(const Machine& machine);

}  // namespace badgershore
