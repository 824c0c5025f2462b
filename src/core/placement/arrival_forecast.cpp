// What of late arrived foretells: how much work comes, how much of it can't wait for a boot, which
// gangs come again. Part of the autoscaler.
#include <algorithm>
#include <cmath>

#include "core/placement/autoscaler.h"

namespace badgershore {
namespace {

constexpr Micros kStreamWindow = Seconds(60);
constexpr Micros kCrowdWindow = Seconds(180);
constexpr Micros kLeastSeen = Seconds(60);
constexpr Micros kArrivalsKept = Seconds(120);

}  // namespace

void Autoscaler::ArrivalRateForecast::Add(double work, Micros arrived, Micros now) {
  Decay(now);
  const double share =
      std::exp(-std::max(0.0, (now - arrived).ToSeconds()) / kStreamWindow.ToSeconds());
  sum += work * share;
  squares += work * work * share * share;
}

void Autoscaler::ArrivalRateForecast::Decay(Micros now) {
  const double share = std::exp(-(now - at).ToSeconds() / kStreamWindow.ToSeconds());
  sum *= share;
  squares *= share * share;
  at = now;
}

// Work a second that surely goes on arriving: the mean of late, shrunk by what chance makes of it.
// A few large jobs foretell nothing, many small ones do. `jobs`: how many of one size would vary
// as these do.
double Autoscaler::ArrivalRateForecast::LowerBound(double doubt) const {
  if (sum <= 0) return 0;
  const double jobs = sum * sum / squares;
  return sum / kStreamWindow.ToSeconds() * std::max(0.0, 1 - doubt / jobs);
}

void Autoscaler::RecordArrayArrival(const JobSpec& spec, Micros arrived, Micros now) {
  stream_.Add(static_cast<double>(spec.need.cpu) * spec.tasks * spec.estimated_runtime.ToSeconds(),
              arrived, now);
}

void Autoscaler::RecordUrgentArrival(const JobSpec& spec, Micros slack, Micros boot, Micros arrived,
                                     Micros now) {
  if (spec.kind != JobKind::kArray || slack > boot.Scaled(1.5)) return;
  urgent_.Add(static_cast<double>(spec.need.cpu) * spec.tasks, spec.estimated_runtime.ToSeconds(),
              arrived, now);
}

void Autoscaler::UrgentLoadForecast::Decay(Micros now) {
  const double share = std::exp(-(now - at).ToSeconds() / kCrowdWindow.ToSeconds());
  work *= share;
  squares *= share * share;
  bursts *= share;
  at = now;
}

void Autoscaler::UrgentLoadForecast::Add(double cpus, double seconds, Micros arrived, Micros now) {
  Decay(now);
  since = std::min(since, arrived);
  const double share =
      std::exp(-std::max(0.0, (now - arrived).ToSeconds()) / kCrowdWindow.ToSeconds());
  work += cpus * seconds * share;
  squares += cpus * seconds * cpus * seconds * share * share;
  bursts += cpus * cpus * seconds * share;
}

// While less than the window has been seen, what came speaks of the time that it came in.
double Autoscaler::UrgentLoadForecast::Window() const {
  const double seen = since < kNever ? std::max(kLeastSeen, at - since).ToSeconds() : 0;
  const double window = kCrowdWindow.ToSeconds();
  return window * (1 - std::exp(-std::max(seen, 1.0) / window));
}

// Jobs that come at random and all find room are under way in a number whose mean is the work that
// comes in a second and whose variance is the sum of the squares of their sizes (M/G/infinity).
double Autoscaler::UrgentLoadForecast::Mean() const { return work / Window(); }
double Autoscaler::UrgentLoadForecast::Spread() const { return std::sqrt(bursts / Window()); }
double Autoscaler::UrgentLoadForecast::Confidence(double doubt) const {
  return work > 0 ? std::max(0.0, 1 - doubt * squares / (work * work)) : 0;
}

void Autoscaler::RecordGangDemand(const JobSpec& spec, Micros now) {
  GangNeed& need = gang_needs_[spec.job_class];
  need.spec = spec;
  need.last = now;
  while (!need.arrivals.empty() && now - need.arrivals.front().first > kArrivalsKept) {
    need.arrivals.pop_front();
  }
}

void Autoscaler::RecordGangArrival(const JobSpec& spec, Micros at) {
  gang_needs_[spec.job_class].arrivals.emplace_back(at, spec.tasks);
}

int Autoscaler::ExpectedMembers(const GangNeed& need, Micros boot, Micros now) const {
  int largest = 0, sum = 0;
  for (const auto& [at, members] : need.arrivals) {
    if (now - at > kArrivalsKept) continue;
    largest = std::max(largest, members);
    sum += members;
  }
  const double expected = sum * boot.ToSeconds() / kArrivalsKept.ToSeconds();
  return std::max(largest, static_cast<int>(std::ceil(expected * options_.gang_spare)));
}

}  // namespace badgershore
