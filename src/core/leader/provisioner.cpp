// Dealings with the cloud.
#include "core/leader/provisioner.h"

#include "core/leader/agent_client.h"
#include "core/leader/dispatch.h"
#include "core/leader/job_table.h"
#include "core/leader/machine_table.h"
#include "core/leader/quota_checker.h"
#include "core/leader/reconciler.h"
#include "core/leader/recorder.h"
#include "core/leader/rights.h"

namespace badgershore {
namespace {

constexpr int kMostInRental = 50;  // machines in one request to the cloud

}  // namespace

void Provisioner::Tick(Micros now) {
  if (!asking_types_ && now >= types_at_) AskTypes(now);
  if (!listing_ && now >= list_at_) {
    listing_ = true;
    list_seen_.clear();
    ListMachines(now, "");
  }
  // What is rented or given back past the lease is another leader's.
  if (!election()->MayStart(now)) return;
  for (auto& [name, rent] : pending_) {
    if (!rent.asking && now >= rent.retry_at) SendRent(now, name);
  }
  if (now >= scale_at_ && types_known()) Scale(now);
  if (!returning_ && !return_queue_.empty() && now >= return_at_) SendReturns(now);
}

void Provisioner::AskTypes(Micros now) {
  asking_types_ = true;
  (void)now;
  asker()->Cloud(CloudRequest{}, Guarded([this](Micros t, CloudResponse& r) {
                   asking_types_ = false;
                   types_at_ = t + (r.ok() ? Seconds(30) : Seconds(2));
                   if (!r.ok()) return;
                   bool changed = !types_known();
                   std::map<std::string, MachineType> found;
                   for (const MachineType& type : r.types) {
                     found[type.name] = type;
                     auto it = types().find(type.name);
                     if (it == types().end()) {
                       changed = true;
                       continue;
                     }
                     // Prices move all the time; they are followed here and not written again.
                     MachineType same = it->second;
                     same.price = type.price;
                     same.spot_price = type.spot_price;
                     if (same == type) {
                       it->second = type;
                     } else {
                       changed = true;
                     }
                   }
                   recorder().KeepTypes(std::move(found), changed);
                 }));
}

void Provisioner::ListMachines(Micros now, const std::string& after) {
  (void)now;
  CloudRequest op;
  op.kind = CloudRequest::Kind::kListInstances;
  op.start_after = after;
  asker()->Cloud(
      op, Guarded([this](Micros t, CloudResponse& r) {
        listing_ = false;
        list_at_ = t + Seconds(2);
        if (!r.ok()) return;
        for (const CloudInstance& l : r.instances) {
          list_seen_.insert(l.id);
          Listed(t, l);
        }
        if (r.has_more && !r.instances.empty()) {
          listing_ = true;
          return ListMachines(t, r.instances.back().id);
        }
        // Once listed, a machine stays listed until it is gone; but a list may be older than the
        // one before, so an absence counts only after a while.
        for (auto& [id, m] : machine_table().machines()) {
          if (!m->listed_by_cloud || m->stage == MachineStage::kTerminating) continue;
          if (list_seen_.count(id)) {
            m->missing_since = {-1};
          } else if (m->missing_since.count < 0) {
            m->missing_since = t;
          } else if (t - m->missing_since > settings().cloud_list_lag.Scaled(2) + Seconds(4) &&
                     t - m->last_contact_at > options().silent_probe) {
            machine_table().ReleaseMachine(t, m.get(), "gone from the cloud's list");
          }
        }
      }));
}

void Provisioner::Listed(Micros now, const CloudInstance& l) {
  if (machine_table().IsTombstoned(l.id)) {
    // Given back long ago and still there: once more.
    if (machine_table().ShouldRetryRelease(now, l.id)) return_queue_.push_back(l.id);
    return;
  }
  Machine* m = machine_table().Find(l.id);
  if (!m) {
    m = machine_table().FindOrAdd(now, {l.id, l.endpoint, l.type, l.zone, l.spot});
    m->rented_at = now - l.age;
  }
  if (!m->listed_by_cloud) {
    m->listed_by_cloud = true;
    m->rented_at = std::min(m->rented_at, now - l.age);
    if (m->endpoint.empty()) m->endpoint = l.endpoint;
  }
  if (l.phase == CloudInstance::Phase::kFailed)
    machine_table().ReleaseMachine(now, m, "failed, says the cloud");
}

void Provisioner::Rent(Micros now, const Offer& offer, int count) {
  for (; count > kMostInRental; count -= kMostInRental) Rent(now, offer, kMostInRental);
  // A name is never used twice: the term is this leader's alone.
  const std::string name =
      "t" + std::to_string(election()->term()) + "-" + std::to_string(++rents_);
  pending_[name] = PendingRent{offer, count, 0, false, now};
  asker()->Info("renting " + std::to_string(count) + " " + offer.type +
                (offer.spot ? " (spot)" : "") + " in " + offer.zone + " as " + name);
  SendRent(now, name);
}

void Provisioner::SendRent(Micros now, const std::string& name) {
  (void)now;
  PendingRent& rent = pending_.at(name);
  rent.asking = true;
  CloudRequest op;
  op.kind = CloudRequest::Kind::kScaleOut;
  op.request_name = name;
  op.type = rent.offer.type;
  op.zone = rent.offer.zone;
  op.spot = rent.offer.spot;
  op.count = rent.count;
  op.valid_until = election()->lease_until();
  asker()->Cloud(op, Guarded([this, name](Micros t, CloudResponse& r) {
                   auto it = pending_.find(name);
                   if (it == pending_.end()) return;
                   PendingRent& p = it->second;
                   p.asking = false;
                   if (r.ok()) {
                     for (const std::string& id : r.created) {
                       if (machine_table().IsTombstoned(id)) continue;
                       Machine* m = machine_table().FindOrAdd(
                           t, {id, "", p.offer.type, p.offer.zone, p.offer.spot});
                       m->rented_at = std::min(m->rented_at, t);
                     }
                     if (r.created.size() < static_cast<size_t>(p.count))
                       scaler().Refused(p.offer, t);
                     pending_.erase(it);
                   } else if (r.outcome == CloudResponse::Outcome::kUnknown && ++p.tries < 6) {
                     p.retry_at = t + Seconds(1);  // the same name: it may have been carried out
                   } else {
                     if (r.outcome == CloudResponse::Outcome::kNoCapacity)
                       scaler().Refused(p.offer, t);
                     if (r.outcome == CloudResponse::Outcome::kThrottled)
                       scale_at_ = t + Seconds(2);
                     pending_.erase(it);
                   }
                 }));
}

void Provisioner::Scale(Micros now) {
  scale_at_ = now + Seconds(1);
  // While what runs where is not known, the need isn't either.
  if (!reconciler().unreconciled().empty() && now - began() < Seconds(3)) return;
  ScaleView view;
  view.now = now;
  view.reign_began = began();
  view.types = &types();
  view.zones = &settings().zones;
  view.objectives = &settings().objectives;
  view.limit = [this](int team) {
    const int64_t cpu = quota_checker().Limit(team).cpu;
    return cpu < limits::kUnlimited ? cpu : INT64_MAX;
  };
  int64_t all_limits = 0;
  for (size_t i = 0; i < settings().teams.size() && all_limits < INT64_MAX; ++i) {
    const int64_t limit = view.limit(static_cast<int>(i));
    all_limits = limit < INT64_MAX ? all_limits + limit : INT64_MAX;
  }
  view.all_limits = all_limits;
  view.gang_room = [this](int team, Priority rank) {
    return quota_checker().RoomForGangs(team, rank);
  };
  view.team_of = [this](const std::string& name) { return quota_checker().TeamIndex(name); };
  for (auto& [id, m] : machine_table().machines()) view.machines.push_back(m.get());
  for (auto& [id, job] : job_table().jobs()) view.jobs.push_back(job.get());
  for (auto& [name, p] : pending_) {
    if (types().count(p.offer.type)) view.pending[p.offer] += p.count;
  }
  const ScalePlan plan = scaler().Decide(view);
  for (Machine* m : plan.unretire) m->draining = false;
  for (Machine* m : plan.retire) {
    asker()->Debug("retiring " + m->id);
    m->draining = true;
    dispatch().Unbind(m);
    // Replicas end only when they are told to; they go on elsewhere.
    bool any = false;
    for (auto& [key, o] : m->allocations) {
      if (!o.job || !o.job->IsService() || o.exited() || o.stop_requested) continue;
      o.stop_requested = any = true;
      o.grace_period = o.job->spec.checkpoint_duration;
    }
    if (any) agent_client().SendStops(m);
    if (m->allocations.empty() && m->idle_since.count < 0) m->idle_since = now;
  }
  for (Machine* m : plan.give_back) {
    if (m->allocations.empty() && m->queue.empty()) machine_table().ReleaseMachine(now, m, "idle");
  }
  for (const RentPlan& r : plan.rent) Rent(now, r.offer, r.count);
  CountPaid(now);
  if (now >= log_at_) {
    log_at_ = now + Seconds(5);
    int booting = 0, up = 0;
    for (auto& [id, m] : machine_table().machines()) {
      booting += m->stage == MachineStage::kBooting;
      up += m->stage == MachineStage::kUp;
    }
    asker()->Debug("machines up " + std::to_string(up) + " booting " + std::to_string(booting) +
                   " jobs " + std::to_string(job_table().jobs().size()) + "; " +
                   scaler().Summary() + quota_checker().Summary() + rights().Summary());
  }
}

void Provisioner::CountPaid(Micros now) {
  const double dt = paid_at_.count == 0 ? 0 : (now - paid_at_).ToSeconds();
  paid_at_ = now;
  bool work_waits = false;
  for (auto& [id, job] : job_table().jobs()) work_waits |= job->queued > 0 || !job->waiting.empty();
  for (auto& [id, m] : machine_table().machines()) {
    if (!m->type || m->type->size.cpu == 0) continue;
    Paid& p = paid_[Offer{m->type_name, "", m->spot}];
    p.held += dt;
    if (m->stage == MachineStage::kBooting) {
      p.boot += dt;
      continue;
    }
    if (!work_waits) {
      p.short_of_work += dt * static_cast<double>((m->type->size - m->Used()).cpu) /
                         static_cast<double>(m->type->size.cpu);
    }
    for (auto& [key, o] : m->allocations) {
      const double share =
          static_cast<double>(o.need.cpu) / static_cast<double>(m->type->size.cpu) * dt;
      if (o.phase == TaskPhase::kRunning) p.used += share;
      if (o.phase == TaskPhase::kFetchingImage || o.phase == TaskPhase::kStartSent)
        p.fetching += share;
    }
  }
  if (now < log_at_) return;
  for (const auto& [offer, p] : paid_) {
    if (p.held <= 0) continue;
    const auto percent = [held = p.held](double part) {
      return std::to_string(static_cast<int>(100 * part / held)) + "%";
    };
    asker()->Debug("paid " + offer.type + (offer.spot ? " (spot) " : " ") +
                   std::to_string(static_cast<int>(p.held)) + " s: boot " + percent(p.boot) +
                   ", run " + percent(p.used) + ", fetch " + percent(p.fetching) + ", no work " +
                   percent(p.short_of_work));
  }
}

void Provisioner::SendReturns(Micros now) {
  (void)now;
  returning_ = true;
  CloudRequest op;
  op.kind = CloudRequest::Kind::kScaleIn;
  op.valid_until = election()->lease_until();
  const size_t n = std::min<size_t>(return_queue_.size(), 100);
  op.machines.assign(return_queue_.begin(), return_queue_.begin() + static_cast<long>(n));
  return_queue_.erase(return_queue_.begin(), return_queue_.begin() + static_cast<long>(n));
  asker()->Cloud(op, Guarded([this, names = op.machines](Micros t, CloudResponse& r) {
                   returning_ = false;
                   if (!r.ok()) {
                     return_at_ = t + Seconds(1);
                     return_queue_.insert(return_queue_.end(), names.begin(), names.end());
                     return;
                   }
                   // The cloud's word is the proof that the machines and all on them are gone.
                   for (const std::string& id : names) machine_table().Remove(t, id);
                 }));
}

}  // namespace badgershore
