// A distribution of durations in bounded memory: a histogram on a logarithmic axis.
#pragma once

#include <boost/histogram.hpp>

namespace badgershore::stats {

// Covers durations from 0.1 ms to 1,000 s; shorter and longer ones are counted in the underflow and
// overflow bins. A quantile is the upper edge of its bin, at most 7% above the exact value.
class Durations {
 public:
  void Add(double seconds);
  // The quantile for `share` (0 to 1) in seconds; 0 if no duration was added.
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
