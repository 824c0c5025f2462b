#include "core/placement/instance_offers.h"

#include <algorithm>
#include <tuple>

namespace badgershore {
namespace {

// How long a zone without heartbeats counts as unreachable after its last machine was given up.
constexpr Micros kUnreachableMemory = Seconds(180);

}  // namespace

void InstanceOffers::RecordRefusal(const InstanceOffer& offer, Micros now) {
  refused_until_[offer] = now + options_.refusal_memory;
}

bool InstanceOffers::IsRefused(const InstanceOffer& offer, Micros now) const {
  const auto it = refused_until_.find(offer);
  return it != refused_until_.end() && now < it->second;
}

std::vector<InstanceOffer> InstanceOffers::OffersFor(const ScalingSnapshot& snapshot,
                                                     const JobSpec& spec) const {
  std::vector<InstanceOffer> offers;
  for (const auto& [name, type] : *snapshot.machine_types) {
    const auto& zones = type.zones.empty() ? *snapshot.zones : type.zones;
    for (const std::string& zone : zones) {
      for (bool spot : {false, true}) {
        if (!Allows(spec, type, zone, spot)) continue;
        const InstanceOffer offer{name, zone, spot};
        if (IsRefused(offer, snapshot.now)) continue;
        offers.push_back(offer);
      }
    }
  }
  return offers;
}

void InstanceOffers::RecordUnreachable(const std::string& zone, bool booting, Micros now) {
  UnreachableZone& unreachable = unreachable_zones_[zone];
  const bool known = now - unreachable.since < kUnreachableMemory;
  unreachable = {now, booting || (known && unreachable.booting)};
}

bool InstanceOffers::IsUnreachable(const ScalingSnapshot& snapshot, const std::string& zone) const {
  const auto it = unreachable_zones_.find(zone);
  if (it == unreachable_zones_.end() || snapshot.now - it->second.since >= kUnreachableMemory) {
    return false;
  }
  return std::none_of(
      snapshot.machines.begin(), snapshot.machines.end(), [&](const Machine* machine) {
        return machine->zone == zone && machine->last_heartbeat_at >= it->second.since;
      });
}

int64_t InstanceOffers::MaxRequests(const ScalingSnapshot& snapshot,
                                    const InstanceOffer& offer) const {
  if (!IsUnreachable(snapshot, offer.zone) || !unreachable_zones_.at(offer.zone).booting) {
    return INT64_MAX;
  }
  const bool requested =
      std::any_of(snapshot.pending_scale_out.begin(), snapshot.pending_scale_out.end(),
                  [&](const auto& pending) { return pending.first.zone == offer.zone; });
  const bool booting =
      std::any_of(snapshot.machines.begin(), snapshot.machines.end(), [&](const Machine* machine) {
        return machine->zone == offer.zone && machine->stage == MachineStage::kBooting;
      });
  return requested || booting ? 0 : 1;
}

void InstanceOffers::PreferReachable(const ScalingSnapshot& snapshot,
                                     std::vector<InstanceOffer>* offers) const {
  const auto unreachable = std::stable_partition(
      offers->begin(), offers->end(),
      [&](const InstanceOffer& offer) { return !IsUnreachable(snapshot, offer.zone); });
  if (unreachable != offers->begin()) offers->erase(unreachable, offers->end());
}

const InstanceOffer* InstanceOffers::Cheapest(const ScalingSnapshot& snapshot,
                                              const std::vector<InstanceOffer>& offers) const {
  const auto key = [&](const InstanceOffer& offer) {
    return std::make_tuple(IsUnreachable(snapshot, offer.zone), HourlyPrice(snapshot, offer));
  };
  const auto cheapest = std::min_element(
      offers.begin(), offers.end(),
      [&](const InstanceOffer& a, const InstanceOffer& b) { return key(a) < key(b); });
  return cheapest == offers.end() ? nullptr : &*cheapest;
}

double HourlyPrice(const ScalingSnapshot& snapshot, const InstanceOffer& offer) {
  const MachineType& type = snapshot.machine_types->at(offer.type);
  return offer.spot ? type.spot_price : type.price;
}

bool IsUsable(const Machine& machine) {
  return machine.type && machine.stage != MachineStage::kTerminating && !machine.preemption_at;
}

bool IsReachable(const ScalingSnapshot& snapshot, const Machine& machine) {
  return IsUsable(machine) && (machine.stage != MachineStage::kUp ||
                               machine.last_heartbeat_at >= snapshot.reachable_since);
}

}  // namespace badgershore
