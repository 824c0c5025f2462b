#include "core/placement/gang_scale_out.h"

#include <algorithm>

namespace badgershore {
namespace {

// A running gang is expected to end soon if its runtime so far is between these shares of its
// estimate.
constexpr double kEndsSoonFrom = 0.8;
constexpr double kEndsSoonUntil = 1.3;

// Room for gangs on a machine.
struct MachineRoom {
  Machine* machine = nullptr;  // null if it has only been requested
  const MachineType* type = nullptr;
  std::string zone;
  bool spot = false;
  Resources free;
};

struct TeamPriority {
  int team = -1;
  Priority priority = Priority::kIdle;
  auto operator<=>(const TeamPriority&) const = default;
};

// The highest priority among waiting and expected gangs.
Priority HighestGangPriority(const ScalingSnapshot& snapshot, const GangForecast& forecast) {
  Priority highest = Priority::kIdle;
  for (const Job* job : snapshot.jobs) {
    if (job->IsGang() && job->gang_attempt == 0) highest = std::min(highest, job->spec.priority);
  }
  for (const auto& [job_class, demand] : forecast.by_job_class()) {
    if (!demand.arrivals.empty()) highest = std::min(highest, demand.spec.priority);
  }
  return highest;
}

// Whether the gang's room will probably be free before a new machine would be up.
bool EndsSoon(const Allocation& allocation, Micros now) {
  const Job& job = *allocation.job;
  if (!job.IsGang() || allocation.phase != TaskPhase::kRunning) return false;
  const Micros ran = now - job.tasks[static_cast<size_t>(allocation.ref.task)].bound_at;
  return ran > job.spec.estimated_runtime.Scaled(kEndsSoonFrom) &&
         ran < job.spec.estimated_runtime.Scaled(kEndsSoonUntil);
}

// Whether the allocation's room is not available to gangs of this priority.
bool BlocksGangs(const Allocation& allocation, Priority priority, Micros now) {
  if (allocation.exited()) return false;
  if (!allocation.job) return true;
  const bool preemptible = !allocation.job->IsGang() && allocation.job->spec.priority > priority;
  return !preemptible && !EndsSoon(allocation, now);
}

class GangScaleOutPlanner {
 public:
  GangScaleOutPlanner(const ScalingSnapshot& snapshot, const GangForecast& forecast,
                      const InstanceOffers& offers, const Options& options,
                      ScalingDecision* decision)
      : snapshot_(snapshot),
        forecast_(forecast),
        offers_(offers),
        options_(options),
        decision_(decision) {}

  // Returns the number of waiting gang members.
  int Plan() {
    CollectRooms();
    const int waiting = ProvideForWaiting();
    ProvideForExpected();
    for (const auto& [offer, count] : requested_) decision_->scale_out.push_back({offer, count});
    return waiting;
  }

 private:
  void CollectRooms() {
    const Priority highest = HighestGangPriority(snapshot_, forecast_);
    for (Machine* m : snapshot_.machines) {
      if (!IsUsable(*m)) continue;
      Resources used;
      for (const auto& [key, allocation] : m->allocations) {
        if (BlocksGangs(allocation, highest, snapshot_.now)) used = used + allocation.need;
      }
      rooms_.push_back({m, m->type, m->zone, m->spot, m->type->size - used});
    }
    for (const auto& [offer, count] : snapshot_.pending_scale_out) {
      const MachineType& type = snapshot_.machine_types->at(offer.type);
      for (int i = 0; i < count; ++i) {
        rooms_.push_back({nullptr, &type, offer.zone, offer.spot, type.size});
      }
    }
  }

  int ProvideForWaiting() {
    int waiting = 0;
    for (const Job* job : snapshot_.jobs) {
      if (!job->IsGang() || job->gang_attempt != 0 || job->finishing || job->IsFaulty()) continue;
      if (!ReserveQuota(job->team, job->spec, job->remaining())) continue;
      for (int i = 0; i < job->remaining(); ++i) ProvideForMember(job->spec);
      waiting += job->remaining();
    }
    return waiting;
  }

  // Gangs should wait for less than a boot time, so the room must exist before they arrive. Until
  // then arrays use it and can be preempted.
  void ProvideForExpected() {
    for (const auto& [job_class, demand] : forecast_.by_job_class()) {
      if (demand.arrivals.empty()) continue;
      const int expected = GangForecast::ExpectedMembers(demand, LongestBoot(demand.spec),
                                                         snapshot_.now, options_.gang_spare);
      const int team = snapshot_.team_index ? snapshot_.team_index(demand.spec.team) : -1;
      for (int i = 0; i < expected && ReserveQuota(team, demand.spec, 1); ++i) {
        ProvideForMember(demand.spec);
      }
    }
  }

  Micros LongestBoot(const JobSpec& spec) const {
    Micros boot;
    for (const auto& [name, type] : *snapshot_.machine_types) {
      if (spec.need.Fits(type.size)) boot = std::max(boot, type.boot);
    }
    return boot;
  }

  void ProvideForMember(const JobSpec& spec) {
    for (MachineRoom& room : rooms_) {
      if (!Allows(spec, *room.type, room.zone, room.spot) || !spec.need.Fits(room.free)) continue;
      room.free = room.free - spec.need;
      if (room.machine && room.machine->draining) decision_->undrain.push_back(room.machine);
      if (room.machine) decision_->reserved_for_gangs.insert(room.machine);
      return;
    }
    const std::vector<InstanceOffer> offers = offers_.OffersFor(snapshot_, spec);
    const InstanceOffer* cheapest = CheapestOffer(snapshot_, offers);
    if (!cheapest) return;
    ++requested_[*cheapest];
    const MachineType& type = snapshot_.machine_types->at(cheapest->type);
    rooms_.push_back({nullptr, &type, cheapest->zone, cheapest->spot, type.size - spec.need});
  }

  // Deducts the members' CPU from the team's headroom; false if that is not enough: members that
  // the quota keeps from starting need no machines.
  bool ReserveQuota(int team, const JobSpec& spec, int members) {
    if (!snapshot_.gang_cpu_headroom) return true;
    int64_t& reserved_cpu = reserved_quota_[{team, spec.priority}];
    const int64_t cpu = spec.need.cpu * members;
    if (cpu > snapshot_.gang_cpu_headroom(team, spec.priority) - reserved_cpu) return false;
    reserved_cpu += cpu;
    return true;
  }

  const ScalingSnapshot& snapshot_;
  const GangForecast& forecast_;
  const InstanceOffers& offers_;
  const Options& options_;
  ScalingDecision* decision_;
  std::vector<MachineRoom> rooms_;
  std::map<InstanceOffer, int> requested_;
  std::map<TeamPriority, int64_t> reserved_quota_;
};

}  // namespace

int ScaleOutForGangs(const ScalingSnapshot& snapshot, const GangForecast& forecast,
                     const InstanceOffers& offers, const Options& options,
                     ScalingDecision* decision) {
  return GangScaleOutPlanner(snapshot, forecast, offers, options, decision).Plan();
}

}  // namespace badgershore
