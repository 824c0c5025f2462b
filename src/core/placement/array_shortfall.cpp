#include "core/placement/array_shortfall.h"

#include <algorithm>
#include <cmath>

namespace badgershore {
namespace {

// Work on machines near the lowest unit price is to start at most this long after a boot.
constexpr Micros kCheapStartDelay = Seconds(5);

enum class PriceRange { kAny, kNearCheapest };

struct CapacityGap {
  double required = 0;
  double deficit = 0;
};

// Work that the existing machines can do until a due time, in addition to services and expected
// arrivals.
double AchievableWork(const ArrayDemand& demand, const ArrayCapacity& capacity, PriceRange range,
                      double seconds) {
  const double up = range == PriceRange::kNearCheapest ? capacity.cheap_up : capacity.up;
  double work = std::max(0.0, up - demand.service_cpu) * seconds - demand.arrival_rate * seconds;
  for (const BootingCapacity& booting : capacity.booting) {
    if (range == PriceRange::kNearCheapest && !booting.near_cheapest) continue;
    work += booting.cpu * std::max(0.0, seconds - booting.until_up.ToSeconds());
  }
  return work;
}

// Seconds for which a machine requested now can work until the due time: after its boot, rounded
// down to whole tasks.
double UsefulSeconds(const DueWork& due, Micros boot) {
  const double seconds = due.remaining.ToSeconds() - boot.ToSeconds();
  const double runtime = std::max(1.0, due.estimated_runtime.ToSeconds());
  return seconds >= runtime ? std::floor(seconds / runtime) * runtime : seconds;
}

CapacityGap MeasureGap(const ArrayDemand& demand, const ArrayCapacity& capacity, PriceRange range) {
  CapacityGap gap;
  gap.required = demand.arrival_rate;
  double worst = 0;
  double work = 0;
  for (const DueWork& due : demand.due) {
    work += due.work;
    const double seconds = due.remaining.ToSeconds();
    gap.required = std::max(gap.required, work / seconds + demand.arrival_rate);
    const double achievable = AchievableWork(demand, capacity, range, seconds);
    const double useful = UsefulSeconds(due, demand.shortest_boot);
    if (useful > 0) worst = std::max(worst, (work - achievable) / useful);
  }
  const double total = range == PriceRange::kNearCheapest ? capacity.cheap_total : capacity.total;
  const double usable =
      std::min(demand.max_parallel_cpu + demand.arrival_rate, demand.total_cpu_limit);
  gap.deficit =
      std::max(std::min(worst, usable + demand.service_cpu - total), demand.service_cpu - total);
  return gap;
}

void MoveDueTimesEarlier(ArrayDemand* demand) {
  for (DueWork& due : demand->due) {
    due.remaining =
        std::min(due.remaining, demand->shortest_boot + due.estimated_runtime + kCheapStartDelay);
  }
  SortByDueTime(&demand->due);
}

double UrgentReserve(const ArrayDemand& demand, const UrgentLoadForecast& load,
                     const Options& options) {
  return std::min(demand.total_cpu_limit,
                  (load.Mean() + options.ready_spread * load.StandardDeviation()) *
                      load.Confidence(options.ready_doubt));
}

}  // namespace

ArrayShortfall MeasureArrayShortfall(ArrayDemand* demand, const ArrayCapacity& capacity,
                                     const UrgentLoadForecast& urgent_load,
                                     const Options& options) {
  ArrayShortfall shortfall;
  const CapacityGap gap = MeasureGap(*demand, capacity, PriceRange::kAny);
  shortfall.deficit = gap.deficit;
  shortfall.required = std::min({gap.required, demand->max_parallel_cpu + demand->arrival_rate,
                                 demand->total_cpu_limit}) +
                       demand->service_cpu;
  shortfall.urgent_reserve = UrgentReserve(*demand, urgent_load, options);
  MoveDueTimesEarlier(demand);
  const CapacityGap cheap_gap = MeasureGap(*demand, capacity, PriceRange::kNearCheapest);
  shortfall.cheap_deficit = std::max(gap.deficit, cheap_gap.deficit);
  shortfall.cheap_deficit =
      std::max(shortfall.cheap_deficit, shortfall.urgent_reserve - capacity.cheap_total);
  return shortfall;
}

}  // namespace badgershore
