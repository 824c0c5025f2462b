#include "core/placement/guardrails.h"

#include <cmath>
#include <functional>

namespace badgershore {

int SizeBucket(const JobSpec& spec, double width) {
  if (spec.kind == JobKind::kService) return kSizeBuckets - 1;
  const double s = std::max(spec.estimated_runtime.ToSeconds(), 0.001);
  const int k = static_cast<int>(std::floor(std::log(s) / std::log(width))) + 16;
  return std::clamp(k, 0, kSizeBuckets - 2);
}

double NormalizedWork(const JobSpec& spec, const Resources& open) {
  const auto places = static_cast<double>(std::max<int64_t>(1, open.Holds(spec.need)));
  return std::max(spec.estimated_runtime.ToSeconds(), 0.1) / places;
}

LeastWorkPolicy::LeastWorkPolicy(const Job& job, const std::vector<EligibleMachine>& able)
    : job_(job), able_(able) {
  const auto bucket = static_cast<size_t>(job.bucket);
  turns_.reserve(able.size());
  for (size_t i = 0; i < able.size(); ++i) {
    const double each = NormalizedWork(job.spec, able[i].open);
    turns_.push_back({able[i].machine->dispatched_work[bucket] + each,
                      !able[i].machine->HasImage(job.spec.image), i, each});
  }
  std::make_heap(turns_.begin(), turns_.end(), std::greater<>());
}

const EligibleMachine* LeastWorkPolicy::Next() {
  if (turns_.empty()) return nullptr;
  if (turn_left_ == 0) {
    if (in_turn_) std::push_heap(turns_.begin(), turns_.end(), std::greater<>());
    in_turn_ = true;
    std::pop_heap(turns_.begin(), turns_.end(), std::greater<>());
    const EligibleMachine& able = able_[turns_.back().index];
    Resources taken = able.machine->Used();
    // Where much waits, the first of hundreds of jobs in its queue fill the machine already.
    for (const auto& [key, entry] : able.machine->queue) {
      if (!job_.spec.need.Fits(able.machine->type->size - taken)) break;
      taken = taken + entry.job->spec.need.Times(static_cast<int64_t>(entry.tasks.size()));
    }
    turn_left_ = std::max<int64_t>(1, (able.machine->type->size - taken).Holds(job_.spec.need));
  }
  --turn_left_;
  Turn& turn = turns_.back();
  turn.received += turn.each;
  return &able_[turn.index];
}

void InitializeDispatchedWork(Machine* machine, const std::vector<Machine*>& peers) {
  machine->dispatched_work.assign(kSizeBuckets, 0.0);
  if (peers.empty()) return;
  for (size_t b = 0; b < kSizeBuckets; ++b) {
    double sum = 0;
    for (const Machine* p : peers) sum += p->dispatched_work[b];
    machine->dispatched_work[b] = sum / static_cast<double>(peers.size());
  }
}

}  // namespace badgershore
