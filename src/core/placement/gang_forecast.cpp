#include "core/placement/gang_forecast.h"

#include <algorithm>
#include <cmath>

namespace badgershore {
namespace {

constexpr Micros kArrivalWindow = Seconds(120);
constexpr Micros kDemandRetention = Seconds(600);

bool IsMoreThanHalf(const Resources& need, const Resources& size) {
  return need.cpu * 2 > size.cpu || need.mem * 2 > size.mem ||
         (need.gpu > 0 && need.gpu * 2 > size.gpu);
}

}  // namespace

void GangForecast::RecordDemand(const JobSpec& spec, Micros now) {
  Demand& demand = by_job_class_[spec.job_class];
  demand.spec = spec;
  demand.last_seen = now;
  while (!demand.arrivals.empty() && now - demand.arrivals.front().at > kArrivalWindow) {
    demand.arrivals.pop_front();
  }
}

void GangForecast::RecordArrival(const JobSpec& spec, Micros at) {
  by_job_class_[spec.job_class].arrivals.push_back({at, spec.tasks});
}

void GangForecast::RemoveArrival(const JobSpec& spec, Micros at) {
  std::deque<Arrival>& arrivals = by_job_class_[spec.job_class].arrivals;
  const auto it = std::find_if(arrivals.begin(), arrivals.end(), [&](const Arrival& arrival) {
    return arrival.at == at && arrival.members == spec.tasks;
  });
  if (it != arrivals.end()) arrivals.erase(it);
}

bool GangForecast::NeedsMostOf(const MachineType& type, const std::string& zone, bool spot,
                               Micros now) const {
  for (const auto& [job_class, demand] : by_job_class_) {
    if (now - demand.last_seen > kDemandRetention) continue;
    if (!Allows(demand.spec, type, zone, spot)) continue;
    if (IsMoreThanHalf(demand.spec.need, type.size)) return true;
  }
  return false;
}

bool GangForecast::MayPreempt(const JobSpec& spec, const MachineType& type, const std::string& zone,
                              bool spot, Micros now) const {
  if (spec.checkpoint_interval.count > 0) return false;
  for (const auto& [job_class, demand] : by_job_class_) {
    if (now - demand.last_seen <= kArrivalWindow && demand.spec.priority < spec.priority &&
        Allows(demand.spec, type, zone, spot)) {
      return true;
    }
  }
  return false;
}

int GangForecast::ExpectedMembers(const Demand& demand, Micros boot, Micros now,
                                  double spare_factor) {
  int largest = 0;
  int sum = 0;
  for (const Arrival& arrival : demand.arrivals) {
    if (now - arrival.at > kArrivalWindow) continue;
    largest = std::max(largest, arrival.members);
    sum += arrival.members;
  }
  const double expected = sum * boot.ToSeconds() / kArrivalWindow.ToSeconds();
  return std::max(largest, static_cast<int>(std::ceil(expected * spare_factor)));
}

}  // namespace badgershore
