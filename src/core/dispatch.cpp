#include "core/dispatch.h"

#include <cmath>

namespace badgershore {

int BucketOf(const JobSpec& spec, double width) {
  if (spec.shape == Shape::kService) return kBuckets - 1;
  const double s = std::max(spec.estimate.ToSeconds(), 0.001);
  const int k = static_cast<int>(std::floor(std::log(s) / std::log(width))) + 16;
  return std::clamp(k, 0, kBuckets - 2);
}

double WorkOn(const JobSpec& spec, const Resources& open) {
  const auto places = static_cast<double>(std::max<int64_t>(1, open.Holds(spec.need)));
  return std::max(spec.estimate.ToSeconds(), 0.1) / places;
}

const Able* LeastReceived(const Job& job, const std::vector<Able>& able) {
  const Able* best = nullptr;
  double least = 0;
  bool image = false;
  const auto bucket = static_cast<size_t>(job.bucket);
  for (const Able& a : able) {
    const double work = a.machine->work[bucket] + WorkOn(job.spec, a.open);
    const bool has = a.machine->HasImage(job.spec.image);
    const double slack = 1e-9 * (1 + least);
    if (!best || work < least - slack || (work < least + slack && has && !image)) {
      best = &a;
      least = work;
      image = has;
    }
  }
  return best;
}

void LevelCounters(Machine* machine, const std::vector<Machine*>& peers) {
  machine->work.assign(kBuckets, 0.0);
  if (peers.empty()) return;
  for (size_t b = 0; b < kBuckets; ++b) {
    double sum = 0;
    for (const Machine* p : peers) sum += p->work[b];
    machine->work[b] = sum / static_cast<double>(peers.size());
  }
}

}  // namespace badgershore
