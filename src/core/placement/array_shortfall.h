// Capacity that is missing for the demand of arrays and services, in thousandths of a CPU.
#pragma once

#include "core/placement/array_capacity.h"
#include "core/placement/array_demand.h"
#include "core/placement/arrival_forecast.h"

namespace badgershore {

// Positive deficits must be covered by scale-out; negative deficits are spare capacity.
struct ArrayShortfall {
  double required = 0;  // capacity with which all work is done by its due time
  double deficit = 0;   // the part that is missing, on machines of any price
  // Missing capacity of machines near the lowest unit price. There, work is done as soon as
  // possible, since it costs the same at any time. At least `deficit`.
  double cheap_deficit = 0;
  double urgent_reserve = 0;  // capacity kept for work that can't wait for a machine to boot
};

// The forecast must have been decayed to the snapshot's time. Modifies the due times in `demand`.
ArrayShortfall MeasureArrayShortfall(ArrayDemand* demand, const ArrayCapacity& capacity,
                                     const UrgentLoadForecast& urgent_load, const Options& options);

}  // namespace badgershore
