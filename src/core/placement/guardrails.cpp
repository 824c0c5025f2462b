#include "core/placement/guardrails.h"

#include <algorithm>
#include <cmath>
#include <functional>

namespace badgershore {
namespace {

// Lower bounds against degenerate estimates.
constexpr double kMinBucketSeconds = 0.001;
constexpr double kMinWorkSeconds = 0.1;

// Bucket of tasks that run for one second; the buckets below it are for shorter tasks.
constexpr int kOneSecondBucket = 16;

}  // namespace

int SizeBucket(const JobSpec& spec, double width) {
  if (spec.kind == JobKind::kService) return kSizeBuckets - 1;
  const double seconds = std::max(spec.estimated_runtime.ToSeconds(), kMinBucketSeconds);
  const int exponent = static_cast<int>(std::floor(std::log(seconds) / std::log(width)));
  return std::clamp(exponent + kOneSecondBucket, 0, kSizeBuckets - 2);
}

double NormalizedWork(const JobSpec& spec, const Resources& open) {
  const auto task_capacity = static_cast<double>(std::max<int64_t>(1, open.Holds(spec.need)));
  return std::max(spec.estimated_runtime.ToSeconds(), kMinWorkSeconds) / task_capacity;
}

LeastWorkPolicy::LeastWorkPolicy(const Job& job, const std::vector<EligibleMachine>& machines)
    : job_(job), machines_(machines) {
  const auto bucket = static_cast<size_t>(job.bucket);
  turns_.reserve(machines.size());
  for (size_t i = 0; i < machines.size(); ++i) {
    const Machine& m = *machines[i].machine;
    const double task_work = NormalizedWork(job.spec, machines[i].open);
    turns_.push_back(
        {m.dispatched_work[bucket] + task_work, !m.HasImage(job.spec.image), i, task_work});
  }
  std::make_heap(turns_.begin(), turns_.end(), std::greater<>());
}

const EligibleMachine* LeastWorkPolicy::Next() {
  if (turns_.empty()) return nullptr;
  if (tasks_left_in_turn_ == 0) {
    if (in_turn_) std::push_heap(turns_.begin(), turns_.end(), std::greater<>());
    in_turn_ = true;
    std::pop_heap(turns_.begin(), turns_.end(), std::greater<>());
    const Machine& next = *machines_[turns_.back().index].machine;
    tasks_left_in_turn_ = std::max<int64_t>(1, TasksThatFit(next));
  }
  --tasks_left_in_turn_;
  Turn& turn = turns_.back();
  turn.received += turn.task_work;
  return &machines_[turn.index];
}

// Number of the job's tasks that the machine can start in addition to its running and queued tasks.
int64_t LeastWorkPolicy::TasksThatFit(const Machine& m) const {
  Resources taken = m.Used();
  // Stops as soon as the machine is full: under load its queue has hundreds of jobs.
  for (const auto& [key, entry] : m.queue) {
    if (!job_.spec.need.Fits(m.type->Capacity() - taken)) break;
    taken = taken + entry.job->spec.need.Times(static_cast<int64_t>(entry.tasks.size()));
  }
  return (m.type->Capacity() - taken).Holds(job_.spec.need);
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
