#include "core/placement/array_capacity.h"

#include <algorithm>

#include "core/placement/instance_offers.h"

namespace badgershore {
namespace {

// A unit price up to this multiple of the lowest counts as the lowest.
constexpr double kNearCheapestFactor = 1.6;
// A machine whose boot is overdue is expected to be up after this share of its type's boot time.
constexpr double kOverdueBootShare = 0.1;

InstanceOffer OfferOf(const Machine& m) { return {m.type_name, m.zone, m.spot}; }

void AddMachine(const Machine& m, Micros now, const CapacityMeter& meter, ArrayCapacity* capacity) {
  const double cpu = meter.CapacityOf(m);
  const bool near_cheapest = meter.IsNearCheapest(m, cpu);
  capacity->total += cpu;
  if (near_cheapest) capacity->cheap_total += cpu;
  if (m.stage == MachineStage::kUp) {
    capacity->up += cpu;
    if (near_cheapest) capacity->cheap_up += cpu;
    return;
  }
  const Micros age = now - m.rented_at;
  const Micros until_up = std::max(m.type->boot - age, m.type->boot.Scaled(kOverdueBootShare));
  capacity->booting.push_back({until_up, cpu, near_cheapest});
}

}  // namespace

CapacityMeter::CapacityMeter(const ScalingSnapshot& snapshot, const Job* typical)
    : snapshot_(snapshot), typical_(typical) {
  if (typical_) lowest_unit_price_ = LowestUnitPrice();
}

double CapacityMeter::LowestUnitPrice() const {
  double lowest = 0;
  for (const auto& [name, type] : *snapshot_.machine_types) {
    for (bool spot : {false, true}) {
      const double capacity = CapacityOf(type, typical_->spec.zone.value_or(""), spot);
      if (capacity <= 0) continue;
      const double price = HourlyPrice(snapshot_, {name, "", spot}) / capacity;
      if (lowest == 0 || price < lowest) lowest = price;
    }
  }
  return lowest;
}

double CapacityMeter::CapacityOf(const MachineType& type, const std::string& zone,
                                 bool spot) const {
  if (!typical_ || !Allows(typical_->spec, type, zone, spot)) return 0.0;
  const Resources& need = typical_->spec.need;
  return static_cast<double>(type.Capacity().Holds(need) * need.cpu);
}

double CapacityMeter::CapacityOf(const Machine& machine) const {
  if (!typical_ || !Allows(typical_->spec, *machine.type, machine.zone, machine.spot)) return 0.0;
  const Resources open = machine.type->Capacity() - machine.GangUse();
  const Resources& need = typical_->spec.need;
  return static_cast<double>(open.Holds(need) * need.cpu);
}

double CapacityMeter::UnitPrice(const Machine& machine, double capacity) const {
  return HourlyPrice(snapshot_, OfferOf(machine)) / capacity;
}

bool CapacityMeter::IsNearCheapest(double unit_price) const {
  return unit_price <= kNearCheapestFactor * lowest_unit_price_;
}

bool CapacityMeter::IsNearCheapest(const InstanceOffer& offer, double capacity) const {
  return capacity > 0 &&
         HourlyPrice(snapshot_, offer) <= kNearCheapestFactor * lowest_unit_price_ * capacity;
}

bool CapacityMeter::IsNearCheapest(const Machine& machine, double capacity) const {
  return IsNearCheapest(OfferOf(machine), capacity);
}

ArrayCapacity MeasureArrayCapacity(const ScalingSnapshot& snapshot, const CapacityMeter& meter) {
  ArrayCapacity capacity;
  for (const Machine* m : snapshot.machines) {
    if (IsUsable(*m) && !m->draining) AddMachine(*m, snapshot.now, meter, &capacity);
  }
  for (const auto& [offer, count] : snapshot.pending_scale_out) {
    const MachineType& type = snapshot.machine_types->at(offer.type);
    const double each = meter.CapacityOf(type, offer.zone, offer.spot);
    const double cpu = count * each;
    const bool near_cheapest = meter.IsNearCheapest(offer, each);
    capacity.total += cpu;
    if (near_cheapest) capacity.cheap_total += cpu;
    capacity.booting.push_back({type.boot, cpu, near_cheapest});
  }
  return capacity;
}

}  // namespace badgershore
