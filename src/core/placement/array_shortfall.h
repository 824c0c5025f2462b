// How much capacity the demand of arrays and services lacks, in thousandths of a CPU.
#pragma once

#include "core/placement/array_capacity.h"
#include "core/placement/array_demand.h"
#include "core/placement/arrival_forecast.h"

namespace badgershore {

// Positive deficits are to be made up; negative ones are spare capacity.
struct ArrayShortfall {
  double required = 0;  // capacity that meets all due times
  double deficit = 0;   // what is missing of it, of machines at any price
  // What is missing of machines near the lowest price, on which work is done as soon as possible:
  // that costs the same whenever it is done. At least `deficit`.
  double cheap_deficit = 0;
  double urgent_reserve = 0;  // capacity to keep for work that can't wait for a machine to boot
};

// The forecast must be decayed to the snapshot's time. Moves the demand's due times.
ArrayShortfall MeasureArrayShortfall(ArrayDemand* demand, const ArrayCapacity& capacity,
                                     const UrgentLoadForecast& urgent_load, const Options& options);

}  // namespace badgershore
