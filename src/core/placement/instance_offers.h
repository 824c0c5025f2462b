// Instance offers that may be requested, considering job constraints, prices and recent refusals.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/placement/scaling_types.h"

namespace badgershore {

// Selects offers that the cloud has not refused recently. Offers in a zone whose agents can't be
// reached come last: machines there would be returned and requested again until the zone is back.
class InstanceOffers {
 public:
  explicit InstanceOffers(const Options& options) : options_(options) {}

  // Excludes the offer for `Options::refusal_memory`.
  void RecordRefusal(const InstanceOffer& offer, Micros now);
  // Called when a machine of the zone is given up because its agent did not answer, or, if
  // `booting`, did not come up in time. Until an agent of the zone is heard again, or for some
  // minutes, the zone counts as unreachable.
  void RecordUnreachable(const std::string& zone, bool booting, Micros now);
  // Offers whose machines may hold a task of the job, ordered by type, zone and spot.
  std::vector<InstanceOffer> OffersFor(const ScalingSnapshot& snapshot, const JobSpec& spec) const;
  // The first offer with the lowest price, if possible in a reachable zone; null if there are none.
  const InstanceOffer* Cheapest(const ScalingSnapshot& snapshot,
                                const std::vector<InstanceOffer>& offers) const;
  // Removes the offers in unreachable zones, unless there are no others.
  void PreferReachable(const ScalingSnapshot& snapshot, std::vector<InstanceOffer>* offers) const;
  bool IsUnreachable(const ScalingSnapshot& snapshot, const std::string& zone) const;
  // How many machines of the offer may be requested now: one at a time in a zone in which machines
  // did not come up, else any number.
  int64_t MaxRequests(const ScalingSnapshot& snapshot, const InstanceOffer& offer) const;

 private:
  struct UnreachableZone {
    Micros since;  // of the last machine that was given up
    bool booting = false;
  };
  bool IsRefused(const InstanceOffer& offer, Micros now) const;

  const Options& options_;
  std::map<InstanceOffer, Micros> refused_until_;
  std::map<std::string, UnreachableZone> unreachable_zones_;
};

// Price of an instance per hour. Its type must be in the snapshot.
double HourlyPrice(const ScalingSnapshot& snapshot, const InstanceOffer& offer);

// Whether the machine has a known type and is neither terminating nor about to be preempted. It may
// still be booting or draining.
bool IsUsable(const Machine& machine);

// Whether tasks may be placed on the machine, or will be once it has booted: it is usable and its
// agent has not been silent for long.
bool IsReachable(const ScalingSnapshot& snapshot, const Machine& machine);

}  // namespace badgershore
