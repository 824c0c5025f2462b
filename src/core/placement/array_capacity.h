// What machines offer to arrays and services, in thousandths of a CPU that tasks like the typical
// job's can use.
#pragma once

#include <string>
#include <vector>

#include "core/placement/array_demand.h"
#include "core/placement/scaling_types.h"

namespace badgershore {

// Capacity of machines and offers for tasks of one job.
class CapacityMeter {
 public:
  // `typical`: null when there is no job, and all capacity is zero. Both must outlive this.
  CapacityMeter(const ScalingSnapshot& snapshot, const Job* typical);

  // Of an empty machine.
  double Of(const MachineType& type, const std::string& zone, bool spot) const;
  // Of what gangs leave of the machine.
  double Of(const Machine& machine) const;
  // Price of a machine per hour and unit of its capacity, which is positive.
  double UnitPrice(const Machine& machine, double capacity) const;
  // Whether the price is about the lowest one for the typical job's tasks.
  bool IsNearCheapest(double unit_price) const;
  // Whether the offer, of this capacity, costs about the lowest price there is.
  bool IsNearCheapest(const InstanceOffer& offer, double capacity) const;
  bool IsNearCheapest(const Machine& machine, double capacity) const;
  bool HasTypicalJob() const { return typical_ != nullptr; }

 private:
  double LowestUnitPrice() const;

  const ScalingSnapshot& snapshot_;
  const Job* typical_;
  double lowest_unit_price_ = 0;  // 0: no type can hold the tasks
};

struct BootingCapacity {
  Micros until_up;
  double cpu = 0;
  bool near_cheapest = false;
};

// Capacity of the machines that take work or will, once booted.
struct ArrayCapacity {
  double total = 0;
  double up = 0;
  double cheap_total = 0;  // of machines near the lowest price
  double cheap_up = 0;
  std::vector<BootingCapacity> booting;
};

ArrayCapacity MeasureArrayCapacity(const ScalingSnapshot& snapshot, const CapacityMeter& meter);

}  // namespace badgershore
