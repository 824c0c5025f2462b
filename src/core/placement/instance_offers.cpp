#include "core/placement/instance_offers.h"

#include <algorithm>

namespace badgershore {

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

double HourlyPrice(const ScalingSnapshot& snapshot, const InstanceOffer& offer) {
  const MachineType& type = snapshot.machine_types->at(offer.type);
  return offer.spot ? type.spot_price : type.price;
}

const InstanceOffer* CheapestOffer(const ScalingSnapshot& snapshot,
                                   const std::vector<InstanceOffer>& offers) {
  const auto cheapest = std::min_element(
      offers.begin(), offers.end(), [&](const InstanceOffer& a, const InstanceOffer& b) {
        return HourlyPrice(snapshot, a) < HourlyPrice(snapshot, b);
      });
  return cheapest == offers.end() ? nullptr : &*cheapest;
}

bool IsUsable(const Machine& machine) {
  return machine.type && machine.stage != MachineStage::kTerminating && !machine.preemption_at;
}

}  // namespace badgershore
