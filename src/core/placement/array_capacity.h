// Capacity of machines for arrays and services, in thousandths of a CPU that tasks like those of
// the typical job can use.
#pragma once

#include <string>
#include <vector>

#include "core/placement/array_demand.h"
#include "core/placement/scaling_types.h"

namespace badgershore {

// Measures the capacity of machines and offers for tasks like those of one job.
class CapacityMeter {
 public:
  // `typical`: null if there is no job; all capacities are zero then. Both must outlive this.
  CapacityMeter(const ScalingSnapshot& snapshot, const Job* typical);

  // Capacity of an empty machine.
  double CapacityOf(const MachineType& type, const std::string& zone, bool spot) const;
  // Capacity of the resources that gangs do not use on the machine.
  double CapacityOf(const Machine& machine) const;
  // Price of a machine per hour and unit of its capacity, which must be positive.
  double UnitPrice(const Machine& machine, double capacity) const;
  // Whether the unit price is near the lowest one for the typical job's tasks.
  bool IsNearCheapest(double unit_price) const;
  // Whether the unit price of the offer or machine, which has this capacity, is near the lowest
  // one.
  bool IsNearCheapest(const InstanceOffer& offer, double capacity) const;
  bool IsNearCheapest(const Machine& machine, double capacity) const;
  bool HasTypicalJob() const { return typical_ != nullptr; }

 private:
  double LowestUnitPrice() const;

  const ScalingSnapshot& snapshot_;
  const Job* typical_;
  double lowest_unit_price_ = 0;  // 0 if no type can hold the tasks
};

struct BootingCapacity {
  Micros until_up;
  double cpu = 0;
  bool near_cheapest = false;
};

// Capacity of the machines that accept work now or once they have booted.
struct ArrayCapacity {
  double total = 0;
  double up = 0;
  double cheap_total = 0;  // of machines near the lowest unit price
  double cheap_up = 0;
  std::vector<BootingCapacity> booting;
};

ArrayCapacity MeasureArrayCapacity(const ScalingSnapshot& snapshot, const CapacityMeter& meter);

}  // namespace badgershore
