#include "core/placement/autoscaler.h"

#include <cmath>
#include <limits>

namespace badgershore {
namespace {

constexpr Micros kArrivalsKept = Seconds(120);
constexpr Micros kGangMemory = Seconds(600);
constexpr int kMostRented = 150;  // machines in one decision
// A place at no more than so many times the lowest price is as good as the cheapest.
constexpr double kNearCheapest = 1.6;
constexpr Micros kSoon =
    Seconds(5);  // cheap machines: all waiting work starts this long after a boot
constexpr Micros kMinimumPaid = Seconds(60);  // a machine given back costs at least this much

struct Room {
  Machine* machine = nullptr;  // null: asked for, not rented yet
  const MachineType* type = nullptr;
  std::string zone;
  bool spot = false;
  Resources free;
};

bool Usable(const Machine& m) {
  return m.type && m.stage != MachineStage::kTerminating && !m.preemption_at;
}

}  // namespace

Micros Autoscaler::CompletionTarget(const JobSpec& spec, const std::vector<Objective>& objectives,
                                    double share) const {
  if (spec.deadline) return *spec.deadline;
  for (const Objective& o : objectives) {
    if (o.job_class == spec.job_class && o.kind == "finished") return o.within.Scaled(share);
  }
  return options_.drain_target + spec.estimated_runtime;
}

// How long the job's work may take from now on: until the first of its lane's aims, or its
// deadline, that a machine rented now could still help to meet. What is late for all of them is
// worked off at leisure.
Micros Autoscaler::RemainingTime(const ScalingSnapshot& view, const Job& job, Micros boot) const {
  const JobSpec& s = job.spec;
  Micros best = kNever;
  const auto consider = [&](Micros within) {
    const Micros left = job.submitted_at + within - view.now;
    if (left >= s.estimated_runtime + boot) best = std::min(best, left);
  };
  // A deadline that can't be met any more leaves the lane's aims, which can.
  if (s.deadline) consider(*s.deadline);
  for (const Objective& o : *view.objectives) {
    if (o.job_class != s.job_class) continue;
    if (o.kind == "wait") consider(o.within + s.estimated_runtime);
    if (o.kind == "finished") {
      consider(o.within.Scaled(options_.drain_share));
      consider(o.within);
    }
  }
  return best < kNever ? best : boot + options_.drain_target + s.estimated_runtime;
}

bool Autoscaler::IsNeededByGangs(const MachineType& type, const std::string& zone, bool spot,
                                 Micros now) const {
  for (const auto& [lane, need] : gang_needs_) {
    if (now - need.last > kGangMemory || !Allows(need.spec, type, zone, spot)) continue;
    const Resources& n = need.spec.need;
    if (n.cpu * 2 > type.size.cpu || n.mem * 2 > type.size.mem ||
        (n.gpu > 0 && n.gpu * 2 > type.size.gpu)) {
      return true;
    }
  }
  return false;
}

bool Autoscaler::MayBePreemptedByGangs(const JobSpec& spec, const MachineType& type,
                                       const std::string& zone, bool spot, Micros now) const {
  if (spec.checkpoint_interval.count > 0) return false;
  for (const auto& [lane, need] : gang_needs_) {
    if (now - need.last <= kArrivalsKept && need.spec.priority < spec.priority &&
        Allows(need.spec, type, zone, spot)) {
      return true;
    }
  }
  return false;
}

double Autoscaler::Price(const ScalingSnapshot& view, const InstanceOffer& offer) const {
  const MachineType& t = view.machine_types->at(offer.type);
  return offer.spot ? t.spot_price : t.price;
}

std::vector<InstanceOffer> Autoscaler::OffersFor(const ScalingSnapshot& view,
                                                 const JobSpec& spec) const {
  std::vector<InstanceOffer> out;
  for (const auto& [name, type] : *view.machine_types) {
    const auto& zones = type.zones.empty() ? *view.zones : type.zones;
    for (const std::string& zone : zones) {
      for (bool spot : {false, true}) {
        if (!Allows(spec, type, zone, spot)) continue;
        InstanceOffer offer{name, zone, spot};
        auto it = refused_until_.find(offer);
        if (it != refused_until_.end() && view.now < it->second) continue;
        out.push_back(offer);
      }
    }
  }
  return out;
}

ScalingDecision Autoscaler::Decide(const ScalingSnapshot& view) {
  ScalingDecision plan;
  summary_.clear();
  PlanGangs(view, &plan);
  PlanArrays(view, &plan);
  return plan;
}

void Autoscaler::PlanGangs(const ScalingSnapshot& view, ScalingDecision* plan) {
  std::vector<Room> rooms;
  Priority highest = Priority::kIdle;
  for (const Job* job : view.jobs) {
    if (job->IsGang() && job->gang_attempt == 0) highest = std::min(highest, job->spec.priority);
  }
  for (const auto& [lane, need] : gang_needs_) {
    if (!need.arrivals.empty()) highest = std::min(highest, need.spec.priority);
  }
  for (Machine* m : view.machines) {
    if (!Usable(*m)) continue;
    Resources used;
    for (const auto& [key, o] : m->allocations) {
      if (o.exited()) continue;
      // What a gang may push aside is as good as free.
      if (o.job && !o.job->IsGang() && o.job->spec.priority > highest) continue;
      // What is about to end frees its room before a new machine would be up.
      if (o.job && o.job->IsGang() && o.phase == TaskPhase::kRunning) {
        const Micros ran = view.now - o.job->tasks[static_cast<size_t>(o.ref.task)].bound_at;
        if (ran > o.job->spec.estimated_runtime.Scaled(0.8) &&
            ran < o.job->spec.estimated_runtime.Scaled(1.3)) {
          continue;
        }
      }
      used = used + o.need;
    }
    rooms.push_back({m, m->type, m->zone, m->spot, m->type->size - used});
  }
  for (const auto& [offer, count] : view.pending_scale_out) {
    const MachineType& t = view.machine_types->at(offer.type);
    for (int i = 0; i < count; ++i) rooms.push_back({nullptr, &t, offer.zone, offer.spot, t.size});
  }
  std::map<InstanceOffer, int> wanted;
  int waiting = 0;
  const auto provide = [&](const JobSpec& spec) {
    for (Room& room : rooms) {
      if (!Allows(spec, *room.type, room.zone, room.spot) || !spec.need.Fits(room.free)) continue;
      room.free = room.free - spec.need;
      if (room.machine && room.machine->draining) plan->undrain.push_back(room.machine);
      if (room.machine) plan->keep.insert(room.machine);
      return;
    }
    const InstanceOffer* best = nullptr;
    const std::vector<InstanceOffer> offers = OffersFor(view, spec);
    for (const InstanceOffer& o : offers) {
      if (!best || Price(view, o) < Price(view, *best)) best = &o;
    }
    if (!best) return;
    ++wanted[*best];
    const MachineType& t = view.machine_types->at(best->type);
    rooms.push_back({nullptr, &t, best->zone, best->spot, t.size - spec.need});
  };
  // What a team's limit does not let start needs no machine.
  std::map<std::pair<int, Priority>, int64_t> taken;
  const auto within_limit = [&](int team, const JobSpec& spec, int members) {
    if (!view.gang_cpu_headroom) return true;
    int64_t& sum = taken[{team, spec.priority}];
    const int64_t cpu = spec.need.cpu * members;
    if (cpu > view.gang_cpu_headroom(team, spec.priority) - sum) return false;
    sum += cpu;
    return true;
  };
  for (const Job* job : view.jobs) {
    if (!job->IsGang() || job->gang_attempt != 0 || job->finishing || job->IsFaulty()) continue;
    if (!within_limit(job->team, job->spec, job->remaining())) continue;
    for (int i = 0; i < job->remaining(); ++i) provide(job->spec);
    waiting += job->remaining();
  }
  // A gang's wait is counted in less than a boot takes, so the room for the next ones is there
  // before they are; meanwhile arrays use it and make way.
  for (const auto& [lane, need] : gang_needs_) {
    if (need.arrivals.empty()) continue;
    Micros boot;
    for (const auto& [name, type] : *view.machine_types) {
      if (need.spec.need.Fits(type.size)) boot = std::max(boot, type.boot);
    }
    const int spare = ExpectedMembers(need, boot, view.now);
    const int team = view.team_index ? view.team_index(need.spec.team) : -1;
    for (int i = 0; i < spare && within_limit(team, need.spec, 1); ++i) provide(need.spec);
  }
  for (const auto& [offer, count] : wanted) plan->scale_out.push_back({offer, count});
  if (waiting > 0) summary_ += "gang members waiting " + std::to_string(waiting) + "; ";
}

void Autoscaler::PlanArrays(const ScalingSnapshot& view, ScalingDecision* plan) {
  // One measure for all: thousandths of a CPU. `typical` is the need of the job with most left.
  const Job* typical = nullptr;
  struct Wish {
    Micros left, estimate;
    double work;
  };
  std::vector<Wish> wishes;
  std::map<int, double> wide;  // by team: all of its tasks at once
  double running = 0, waiting_work = 0, widest = 0, replicas = 0;
  Micros quickest = kNever;
  for (const auto& [name, type] : *view.machine_types) quickest = std::min(quickest, type.boot);
  for (const Job* job : view.jobs) {
    if (job->IsGang() || job->finishing) continue;
    const JobSpec& s = job->spec;
    const int open = job->WantedTasks() - job->placed;
    if (!typical || job->WantedTasks() > typical->WantedTasks()) typical = job;
    running += static_cast<double>(job->placed) * static_cast<double>(s.need.cpu);
    if (job->IsService()) {
      replicas += static_cast<double>(job->remaining()) * static_cast<double>(s.need.cpu);
      continue;
    }
    const double est = std::max(1.0, s.estimated_runtime.ToSeconds());
    const double work = (open + 0.5 * job->placed) * est * static_cast<double>(s.need.cpu);
    waiting_work += open * est * static_cast<double>(s.need.cpu);
    wishes.push_back({RemainingTime(view, *job, quickest), s.estimated_runtime, work});
    wide[job->team] += static_cast<double>(job->WantedTasks()) * static_cast<double>(s.need.cpu);
  }
  // More than its limit a team never has at once, however much of its work waits.
  double most = std::numeric_limits<double>::max();
  if (view.team_cpu_limit) {
    for (auto& [team, cpu] : wide) {
      if (view.team_cpu_limit(team) < INT64_MAX)
        cpu = std::min(cpu, static_cast<double>(view.team_cpu_limit(team)));
    }
    if (view.total_cpu_limit < INT64_MAX) most = static_cast<double>(view.total_cpu_limit);
  }
  for (const auto& [team, cpu] : wide) widest += cpu;
  std::sort(wishes.begin(), wishes.end(),
            [](const Wish& a, const Wish& b) { return a.left < b.left; });
  const auto capacity = [&](const MachineType& t, const std::string& zone, bool spot) {
    if (!typical || !Allows(typical->spec, t, zone, spot)) return 0.0;
    return static_cast<double>(t.size.Holds(typical->spec.need) * typical->spec.need.cpu);
  };
  const auto capacity_of = [&](const Machine& m) {
    if (!typical || !Allows(typical->spec, *m.type, m.zone, m.spot)) return 0.0;
    const Resources open = m.type->size - m.GangUse();
    return static_cast<double>(open.Holds(typical->spec.need) * typical->spec.need.cpu);
  };
  double cheapest = 0;
  if (typical) {
    for (const auto& [name, type] : *view.machine_types) {
      for (bool spot : {false, true}) {
        const double cap = capacity(type, typical->spec.zone.value_or(""), spot);
        if (cap <= 0) continue;
        const double price = Price(view, {name, "", spot}) / cap;
        if (cheapest == 0 || price < cheapest) cheapest = price;
      }
    }
  }
  const auto cheap = [&](const InstanceOffer& offer, double cap) {
    return cap > 0 && Price(view, offer) <= kNearCheapest * cheapest * cap;
  };
  double have = 0, up = 0, cheap_have = 0, cheap_up = 0;
  struct Coming {
    Micros wait;  // how long it still boots
    double capacity = 0;
    bool cheap = false;
  };
  std::vector<Coming> coming;
  for (Machine* m : view.machines) {
    if (!Usable(*m) || m->draining) continue;
    const double c = capacity_of(*m);
    const bool is_cheap = cheap({m->type_name, m->zone, m->spot}, c);
    have += c;
    if (is_cheap) cheap_have += c;
    if (m->stage == MachineStage::kUp) {
      up += c;
      if (is_cheap) cheap_up += c;
    } else {
      const Micros age = view.now - m->rented_at;
      coming.push_back({std::max(m->type->boot - age, m->type->boot.Scaled(0.1)), c, is_cheap});
    }
  }
  for (const auto& [offer, count] : view.pending_scale_out) {
    const MachineType& t = view.machine_types->at(offer.type);
    const double c = count * capacity(t, offer.zone, offer.spot);
    have += c;
    const bool is_cheap = cheap(offer, capacity(t, offer.zone, offer.spot));
    if (is_cheap) cheap_have += c;
    coming.push_back({t.boot, c, is_cheap});
  }
  // What has to be done by each time, against what the machines there are can do by then. A new
  // one helps only with what is left after its boot, and only with whole tasks.
  // What surely goes on arriving takes its part of all this.
  stream_.Decay(view.now);
  const double stream = std::min(stream_.LowerBound(options_.arrival_doubt), most);
  double keep = stream, deficit = 0;
  const auto measure = [&](double* kept, bool cheap_only) {
    double worst = 0, sum = 0;
    for (const Wish& w : wishes) {
      sum += w.work;
      const double left = w.left.ToSeconds();
      if (kept) *kept = std::max(*kept, sum / left + stream);
      double can = std::max(0.0, (cheap_only ? cheap_up : up) - replicas) * left - stream * left;
      for (const Coming& c : coming) {
        if (cheap_only && !c.cheap) continue;
        can += c.capacity * std::max(0.0, left - c.wait.ToSeconds());
      }
      double helps = left - quickest.ToSeconds();
      const double est = std::max(1.0, w.estimate.ToSeconds());
      if (helps >= est) helps = std::floor(helps / est) * est;
      if (helps > 0) worst = std::max(worst, (sum - can) / helps);
    }
    const double there = cheap_only ? cheap_have : have;
    return std::max(std::min(worst, std::min(widest + stream, most) + replicas - there),
                    replicas - there);
  };
  deficit = measure(&keep, false);
  // What is cheapest costs the same whenever the work is done: as soon as it can be.
  for (Wish& w : wishes) w.left = std::min(w.left, quickest + w.estimate + kSoon);
  std::sort(wishes.begin(), wishes.end(),
            [](const Wish& a, const Wish& b) { return a.left < b.left; });
  double soon = std::max(deficit, measure(nullptr, true));
  const double need = std::min({keep, widest + stream, most}) + replicas;
  urgent_.Decay(view.now);
  const double ready = std::min(most, (urgent_.Mean() + options_.ready_spread * urgent_.Spread()) *
                                          urgent_.Confidence(options_.ready_doubt));
  summary_ += "need " + std::to_string(static_cast<int>(need / 1000)) + " short " +
              std::to_string(static_cast<int>(deficit / 1000)) + " have " +
              std::to_string(static_cast<int>(have / 1000)) + " stream " +
              std::to_string(static_cast<int>(stream / 1000)) + " up " +
              std::to_string(static_cast<int>(up / 1000)) + " running " +
              std::to_string(static_cast<int>(running / 1000)) + " ready " +
              std::to_string(static_cast<int>(ready / 1000));

  soon = std::max(soon, ready - cheap_have);
  if (typical && soon > 0) {
    // Machines on their way back are the cheapest to get.
    for (Machine* m : view.machines) {
      if (soon <= 0) break;
      if (!m->draining || !Usable(*m)) continue;
      plan->undrain.push_back(m);
      const double c = capacity_of(*m);
      have += c;
      deficit -= c;
      soon -= c;
    }
  }
  if (typical && soon > 0) {
    std::map<InstanceOffer, int> wanted;
    const std::vector<InstanceOffer> offers = OffersFor(view, typical->spec);
    int rounds = 0;
    while (soon > 0 && ++rounds <= kMostRented) {
      const InstanceOffer* best = nullptr;
      double best_cost = 0, best_cap = 0;
      for (const InstanceOffer& o : offers) {
        const MachineType& t = view.machine_types->at(o.type);
        const double cap = capacity(t, o.zone, o.spot);
        if (cap <= 0) continue;
        // What is there may do the work before the new machine is up.
        if (!cheap(o, cap) && up > 0 && replicas == 0 && waiting_work / up < t.boot.ToSeconds()) {
          continue;
        }
        if (deficit <= 0 && !cheap(o, cap)) continue;
        const double cost =
            Price(view, o) / std::min(cap, std::max(deficit > 0 ? deficit : soon, 1.0));
        if (!best || cost < best_cost) {
          best = &o;
          best_cost = cost;
          best_cap = cap;
        }
      }
      if (!best) break;
      ++wanted[*best];
      deficit -= best_cap;
      soon -= best_cap;
    }
    for (const auto& [offer, count] : wanted) plan->scale_out.push_back({offer, count});
  }

  // The measure above speaks of the job with most left. One that no machine at hand can hold gets
  // a machine of its own.
  for (const Job* job : view.jobs) {
    if (job->IsGang() || job->finishing || job->WantedTasks() == job->placed) continue;
    bool held = !plan->scale_out.empty();
    for (Machine* m : view.machines) {
      if (held) break;
      held = Usable(*m) && !m->draining && Allows(job->spec, *m->type, m->zone, m->spot);
    }
    for (const auto& [offer, count] : view.pending_scale_out) {
      held |= Allows(job->spec, view.machine_types->at(offer.type), offer.zone, offer.spot);
    }
    if (held) continue;
    const std::vector<InstanceOffer> offers = OffersFor(view, job->spec);
    const auto best = std::min_element(offers.begin(), offers.end(), [&](auto& a, auto& b) {
      return Price(view, a) < Price(view, b);
    });
    if (best != offers.end()) plan->scale_out.push_back({*best, 1});
  }

  // Giving back: what has long been idle, and the dearest machine that is not needed.
  // A machine at about the lowest price stays as long as there is work for it; a dearer one only
  // as long as the work would be late without it.
  // A machine given back and rented again pays its boot twice, so a need that has passed counts
  // for a while, less and less.
  if (quickest < kNever && quickest.count > 0) {
    recent_need_ *= std::exp(-(view.now - recent_at_).ToSeconds() / quickest.ToSeconds());
  }
  recent_at_ = view.now;
  recent_need_ = std::max(recent_need_, need * 1.2);
  const double floor = std::max(recent_need_, urgent_.Mean() * 1.1);
  struct Spare {
    Machine* machine;
    double price, cap;
    size_t tasks;
  };
  std::vector<Spare> spares;
  int surplus = -options_.keep_machines;  // what may go, idle or not
  for (const Machine* m : view.machines) {
    surplus += Usable(*m) && m->stage == MachineStage::kUp && !m->draining;
  }
  for (Machine* m : view.machines) {
    if (!Usable(*m) || m->stage != MachineStage::kUp || plan->keep.count(m)) continue;
    const bool for_gangs = IsNeededByGangs(*m->type, m->zone, m->spot, view.now);
    const Micros gang_limit = m->type->boot.Scaled(options_.gang_idle_boots);
    const bool gang_lately = for_gangs && view.now - m->last_gang_at < gang_limit;
    const Micros held = view.now - m->rented_at;
    if (m->idle_since.count >= 0) {
      const Micros limit = m->draining ? Seconds(0) : m->type->boot.Scaled(options_.idle_boots);
      const double c = capacity_of(*m);
      const bool is_cheap = !m->draining && cheap({m->type_name, m->zone, m->spot}, c);
      // Given back by idleness alone, the cheap ones went and the dear ones, rented later, stayed.
      if (is_cheap && cheap_have - c < ready) continue;
      if (!m->draining && surplus <= 0) continue;
      if (!gang_lately && view.now - m->idle_since >= limit && held >= kMinimumPaid) {
        plan->release.push_back(m);
        surplus -= !m->draining;
        if (is_cheap) cheap_have -= c;
        continue;
      }
    }
    if (m->draining || gang_lately || held < kMinimumPaid) continue;
    const double cap = capacity_of(*m);
    if (cap <= 0) continue;
    const double price = Price(view, {m->type_name, m->zone, m->spot}) / cap;
    spares.push_back({m, price, cap, m->allocations.size()});
  }
  if (view.now - view.term_began_at <= Seconds(20)) return;
  // The dearest first, and of those what will be empty soonest.
  std::sort(spares.begin(), spares.end(), [](const Spare& a, const Spare& b) {
    return std::make_tuple(-a.price, a.tasks, a.machine->id) <
           std::make_tuple(-b.price, b.tasks, b.machine->id);
  });
  for (const Spare& s : spares) {
    if (surplus <= 0) break;
    if (have - s.cap < (s.price > kNearCheapest * cheapest ? floor : std::max(floor, running)))
      continue;
    plan->drain.push_back(s.machine);
    --surplus;
    have -= s.cap;
  }
}

}  // namespace badgershore
