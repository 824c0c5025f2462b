// A distribution of durations in bounded memory: a histogram on a logarithmic axis.
#pragma once

#include <boost/histogram.hpp>

namespace badgershore::stats {

// Durations from 0.1 ms to 1,000 s; longer and shorter ones count in the outermost bins. A quantile
// is the upper edge of its bin, at most 7% above the exact value.
class Durations {
 public:
  void Add(double seconds);
  // `share` from 0 to 1. In seconds; 0 where nothing was added.
  double Quantile(double share) const;
  double count() const { return boost::histogram::algorithm::sum(bins_); }
  double longest() const { return longest_; }
  void Reset();

 private:
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  using Bins = decltype(boost::histogram::make_histogram(Axis(1, 1.0, 2.0)));
  Bins bins_ = boost::histogram::make_histogram(Axis(240, 1e-4, 1e3));
  double longest_ = 0;
};

}  // namespace badgershore::stats
