#include "stats/durations.h"

#include <algorithm>

namespace badgershore::stats {

void Durations::Add(double seconds) {
  bins_(seconds);
  longest_ = std::max(longest_, seconds);
}

double Durations::Quantile(double share) const {
  const double wanted = share * count();
  if (wanted <= 0) return 0;
  double seen = 0;
  for (auto&& bin : boost::histogram::indexed(bins_, boost::histogram::coverage::all)) {
    seen += *bin;
    if (seen >= wanted) return std::min(bin.bin().upper(), longest_);
  }
  return longest_;
}

void Durations::Reset() {
  bins_.reset();
  longest_ = 0;
}

}  // namespace badgershore::stats
