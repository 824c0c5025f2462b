#include "core/placement/gang_scale_out.h"

#include <algorithm>
#include <optional>
#include <tuple>
#include <utility>

namespace badgershore {
namespace {

// A running gang is expected to end soon if its runtime so far is between these shares of its
// estimate.
constexpr double kEndsSoonFrom = 0.8;
constexpr double kEndsSoonUntil = 1.3;

// Machines requested in one decision. The rest follows in the next decisions, so that a gang of any
// size takes a bounded time and leaves requests to others.
constexpr int64_t kMaxMachinesPerDecision = 1000;

// Room for gangs on a machine, or on each of several machines that are only requested.
struct MachineRoom {
  Machine* machine = nullptr;  // null if it has only been requested
  const MachineType* type = nullptr;
  std::string zone;
  bool spot = false;
  Resources free;  // on each machine
  int64_t machines = 1;
};

// How many more members may go to each zone.
class ZoneShares {
 public:
  explicit ZoneShares(int64_t most_in_zone, std::string only_zone = "")
      : most_in_zone_(most_in_zone), only_zone_(std::move(only_zone)) {}

  int64_t LeftIn(const std::string& zone) const {
    if (!only_zone_.empty() && zone != only_zone_) return 0;
    const auto it = taken_.find(zone);
    return most_in_zone_ - (it == taken_.end() ? 0 : it->second);
  }
  void Take(const std::string& zone, int64_t members) { taken_[zone] += members; }

 private:
  int64_t most_in_zone_;
  std::string only_zone_;  // empty: all zones
  std::map<std::string, int64_t> taken_;
};

// A zone in which all members of a gang could be.
struct ZoneOption {
  std::string zone;
  int64_t missing = 0;   // members for which machines have to be requested
  bool refused = false;  // none can be requested
  bool unreachable = false;
  double price = 0;

  // Zones in which the gang will run soon come first.
  auto Order() const {
    const bool waits = missing > 0;
    return std::make_tuple(waits && refused, waits && unreachable, missing, price);
  }
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
    for (const auto& [offer, count] : requested_) {
      if (count > 0) decision_->scale_out.push_back({offer, count});
    }
    return waiting;
  }

 private:
  void CollectRooms() {
    const Priority highest = HighestGangPriority(snapshot_, forecast_);
    for (Machine* m : snapshot_.machines) {
      if (!IsReachable(snapshot_, *m)) continue;
      Resources used;
      for (const auto& [key, allocation] : m->allocations) {
        if (BlocksGangs(allocation, highest, snapshot_.now)) used = used + allocation.need;
      }
      rooms_.push_back({m, m->type, m->zone, m->spot, m->type->Capacity() - used, 1});
    }
    for (const auto& [offer, count] : snapshot_.pending_scale_out) {
      const MachineType& type = snapshot_.machine_types->at(offer.type);
      rooms_.push_back({nullptr, &type, offer.zone, offer.spot, type.Capacity(), count});
    }
  }

  int ProvideForWaiting() {
    int waiting = 0;
    for (const Job* job : snapshot_.jobs) {
      if (!job->IsGang() || job->gang_attempt != 0 || job->finishing || job->IsFaulty()) continue;
      if (!ReserveQuota(job->team, job->spec, job->remaining())) continue;
      ProvideForMembers(job->spec, job->remaining());
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
      ProvideForMembers(demand.spec, ReserveQuotaUpTo(team, demand.spec, expected));
    }
  }

  Micros LongestBoot(const JobSpec& spec) const {
    Micros boot;
    for (const auto& [name, type] : *snapshot_.machine_types) {
      if (spec.need.Fits(type.Capacity())) boot = std::max(boot, type.boot);
    }
    return boot;
  }

  // Provides for the members of a gang, or of several equal ones that are expected.
  void ProvideForMembers(const JobSpec& spec, int64_t members) {
    if (members <= 0 || !CanBePlaced(spec)) return;
    if (spec.same_zone) {
      const int64_t together = std::min<int64_t>(members, spec.tasks);
      ProvideInOneZone(spec, together);
      return ProvideInZones(spec, members - together, ZoneShares(members));
    }
    const int64_t most_in_zone = spec.spread ? (members + 1) / 2 : members;
    ProvideInZones(spec, members,
                   ZoneShares(std::max<int64_t>(most_in_zone, MaxTasksInZone(spec))));
  }

  // Whether the zones that the gang may use can hold it at all.
  bool CanBePlaced(const JobSpec& spec) const {
    const bool in_one_zone = spec.zone || spec.same_zone;
    const auto zones = static_cast<int64_t>(in_one_zone ? 1 : snapshot_.zones->size());
    return zones * MaxTasksInZone(spec) >= spec.tasks;
  }

  // Machines in other zones are kept for as long as the gang waits in this one: otherwise they
  // would be requested again as soon as this zone refuses.
  void ProvideInOneZone(const JobSpec& spec, int64_t members) {
    const std::optional<ZoneOption> best = BestZone(spec, members);
    if (!best) return;
    if (best->missing > 0) KeepRooms(spec);
    ProvideInZones(spec, members, ZoneShares(members, best->zone));
  }

  std::optional<ZoneOption> BestZone(const JobSpec& spec, int64_t members) const {
    std::optional<ZoneOption> best;
    for (const std::string& zone : *snapshot_.zones) {
      if (spec.zone && *spec.zone != zone) continue;
      const ZoneOption option = OptionIn(zone, spec, members);
      if (!best || option.Order() < best->Order()) best = option;
    }
    return best;
  }

  ZoneOption OptionIn(const std::string& zone, const JobSpec& spec, int64_t members) const {
    ZoneOption option;
    option.zone = zone;
    option.missing = members;
    for (const MachineRoom& room : rooms_) {
      if (room.zone != zone || !Allows(spec, *room.type, room.zone, room.spot)) continue;
      option.missing -= std::min(option.missing, room.free.Holds(spec.need) * room.machines);
    }
    JobSpec in_zone = spec;
    in_zone.zone = zone;
    const std::vector<InstanceOffer> offers = offers_.OffersFor(snapshot_, in_zone);
    const InstanceOffer* cheapest = offers_.Cheapest(snapshot_, offers);
    option.refused = !cheapest;
    option.unreachable = offers_.IsUnreachable(snapshot_, zone);
    if (cheapest) option.price = HourlyPrice(snapshot_, *cheapest);
    return option;
  }

  void KeepRooms(const JobSpec& spec) {
    for (const MachineRoom& room : rooms_) {
      if (!room.machine || !Allows(spec, *room.type, room.zone, room.spot)) continue;
      if (room.free.Holds(spec.need) > 0) decision_->reserved_for_gangs.insert(room.machine);
    }
  }

  // Fills the rooms in their order, then requests machines. The time does not depend on the number
  // of members.
  void ProvideInZones(const JobSpec& spec, int64_t members, ZoneShares shares) {
    for (size_t i = 0; i < rooms_.size() && members > 0; ++i) {
      const std::string zone = rooms_[i].zone;
      const int64_t taken = Occupy(i, spec, std::min(members, shares.LeftIn(zone)));
      shares.Take(zone, taken);
      members -= taken;
    }
    while (members > 0) {
      const std::optional<InstanceOffer> offer = CheapestOffer(spec, shares);
      if (!offer) return;
      const int64_t taken =
          RequestMachines(spec, *offer, std::min(members, shares.LeftIn(offer->zone)));
      if (taken == 0) return;
      shares.Take(offer->zone, taken);
      members -= taken;
    }
  }

  // The cheapest offer in a zone that may take more members.
  std::optional<InstanceOffer> CheapestOffer(const JobSpec& spec, const ZoneShares& shares) const {
    std::vector<InstanceOffer> offers = offers_.OffersFor(snapshot_, spec);
    std::erase_if(offers, [&](const InstanceOffer& offer) {
      return shares.LeftIn(offer.zone) <= 0 || offers_.MaxRequests(snapshot_, offer) == 0;
    });
    const InstanceOffer* cheapest = offers_.Cheapest(snapshot_, offers);
    return cheapest ? std::optional<InstanceOffer>(*cheapest) : std::nullopt;
  }

  // Returns how many of the members the room takes.
  int64_t Occupy(size_t index, const JobSpec& spec, int64_t members) {
    if (members <= 0) return 0;
    const MachineRoom room = rooms_[index];
    if (!Allows(spec, *room.type, room.zone, room.spot)) return 0;
    const int64_t fitting = room.free.Holds(spec.need);
    if (fitting == 0) return 0;
    const int64_t taken = std::min(members, fitting * room.machines);
    if (room.machine && room.machine->draining) decision_->undrain.push_back(room.machine);
    if (room.machine) decision_->reserved_for_gangs.insert(room.machine);
    // The machines are full, except for the last one that takes a member, or free.
    const int64_t full = taken / fitting;
    const int64_t in_last = taken % fitting;
    SplitRoom(index, full, spec.need.Times(fitting));
    if (in_last > 0) SplitRoom(full > 0 ? index + 1 : index, 1, spec.need.Times(in_last));
    return taken;
  }

  // Deducts `used` on each of the first `machines` of the room's machines; the others remain as a
  // room of their own behind it.
  void SplitRoom(size_t index, int64_t machines, const Resources& used) {
    if (machines == 0) return;
    MachineRoom rest = rooms_[index];
    rooms_[index].machines = machines;
    rooms_[index].free = rest.free - used;
    rest.machines -= machines;
    if (rest.machines == 0) return;
    rooms_.insert(rooms_.begin() + static_cast<long>(index) + 1, std::move(rest));
  }

  // Returns for how many of the members machines are requested.
  int64_t RequestMachines(const JobSpec& spec, const InstanceOffer& offer, int64_t members) {
    const MachineType& type = snapshot_.machine_types->at(offer.type);
    const int64_t fitting = type.Capacity().Holds(spec.need);
    const int64_t allowed = offers_.MaxRequests(snapshot_, offer);
    const int64_t machines =
        std::min({(members + fitting - 1) / fitting, kMaxMachinesPerDecision - requested_machines_,
                  allowed < INT64_MAX ? allowed - requested_[offer] : allowed});
    if (machines <= 0) return 0;
    requested_machines_ += machines;
    requested_[offer] += static_cast<int>(machines);
    rooms_.push_back({nullptr, &type, offer.zone, offer.spot, type.Capacity(), machines});
    return Occupy(rooms_.size() - 1, spec, members);
  }

  // Deducts the members' CPU from the team's headroom; false if that is not enough: members that
  // the quota keeps from starting need no machines.
  bool ReserveQuota(int team, const JobSpec& spec, int64_t members) {
    if (!snapshot_.gang_cpu_headroom) return true;
    int64_t& reserved_cpu = reserved_quota_[{team, spec.priority}];
    const int64_t cpu = spec.need.cpu * members;
    if (cpu > snapshot_.gang_cpu_headroom(team, spec.priority) - reserved_cpu) return false;
    reserved_cpu += cpu;
    return true;
  }

  // Deducts as many members as the headroom allows, and returns their number.
  int64_t ReserveQuotaUpTo(int team, const JobSpec& spec, int64_t members) {
    if (ReserveQuota(team, spec, members)) return members;
    const int64_t headroom =
        snapshot_.gang_cpu_headroom(team, spec.priority) - reserved_quota_[{team, spec.priority}];
    const int64_t allowed = spec.need.cpu > 0 ? std::max<int64_t>(0, headroom / spec.need.cpu) : 0;
    return ReserveQuota(team, spec, allowed) ? allowed : 0;
  }

  const ScalingSnapshot& snapshot_;
  const GangForecast& forecast_;
  const InstanceOffers& offers_;
  const Options& options_;
  ScalingDecision* decision_;
  std::vector<MachineRoom> rooms_;
  std::map<InstanceOffer, int> requested_;
  int64_t requested_machines_ = 0;
  std::map<TeamPriority, int64_t> reserved_quota_;
};

}  // namespace

int ScaleOutForGangs(const ScalingSnapshot& snapshot, const GangForecast& forecast,
                     const InstanceOffers& offers, const Options& options,
                     ScalingDecision* decision) {
  return GangScaleOutPlanner(snapshot, forecast, offers, options, decision).Plan();
}

}  // namespace badgershore
