#include "core/leader/provisioner.h"

#include <algorithm>

#include "core/leader/agent_client.h"
#include "core/leader/dispatch.h"
#include "core/leader/failure_detector.h"
#include "core/leader/job_table.h"
#include "core/leader/machine_table.h"
#include "core/leader/quota_checker.h"
#include "core/leader/quota_shares.h"
#include "core/leader/reconciler.h"
#include "core/placement/autoscaler.h"

namespace badgershore {
namespace {

constexpr int kMaxInstancesPerScaleOut = 50;
// Scale-out requests without an outcome. The cloud takes only a few a second, so that more of them
// would be throttled.
constexpr size_t kMaxPendingScaleOuts = 64;
constexpr size_t kMaxInstancesPerScaleIn = 100;
constexpr int kMaxUnknownOutcomes = 6;
constexpr Micros kScaleInterval = Seconds(1);
constexpr Micros kThrottledInterval = Seconds(2);
constexpr Micros kRetryInterval = Seconds(1);
constexpr Micros kLogInterval = Seconds(5);
// A new leader postpones scaling by up to this long while machines are unreconciled.
constexpr Micros kMaxReconciliationWait = Seconds(3);

}  // namespace

Provisioner::Provisioner(const LeaderContext* context)
    : LeaderComponent(context), inventory_(context), machine_time_(context) {}

void Provisioner::Tick(Micros now) {
  inventory_.Tick(now);
  // After the lease has expired, another leader may be scaling the fleet.
  if (!election()->MayStart(now)) return;
  RetryScaleOuts(now);
  if (now >= next_scale_at_ && types_known()) Scale(now);
  if (!scale_in_in_flight_ && !scale_in_queue_.empty() && now >= next_scale_in_at_) SendScaleIn();
}

void Provisioner::RetryScaleOuts(Micros now) {
  for (const auto& [request_name, request] : pending_scale_outs_) {
    if (!request.in_flight && now >= request.retry_at) SendScaleOut(request_name);
  }
}

void Provisioner::Scale(Micros now) {
  next_scale_at_ = now + kScaleInterval;
  if (!reconciler().unreconciled().empty() && now - term_began_at() < kMaxReconciliationWait)
    return;
  Apply(now, scaler().Decide(TakeSnapshot(now)));
  machine_time_.Update(now);
  if (now < next_log_at_) return;
  machine_time_.Log();
  next_log_at_ = now + kLogInterval;
  LogFleet();
}

ScalingSnapshot Provisioner::TakeSnapshot(Micros now) const {
  ScalingSnapshot snapshot;
  snapshot.now = now;
  snapshot.term_began_at = term_began_at();
  // If no machine is heard, the fault is probably this leader's.
  if (!failure_detector().ReceivesNoHeartbeats(now)) {
    snapshot.reachable_since = now - settings().agent_lease;
  }
  snapshot.machine_types = &types();
  snapshot.zones = &settings().zones;
  snapshot.objectives = &settings().objectives;
  snapshot.team_cpu_limit = [this](int team) {
    const int64_t cpu = quota_checker().Limit(team).cpu;
    return cpu < limits::kUnlimited ? cpu : INT64_MAX;
  };
  snapshot.total_cpu_limit = TotalCpuLimit(snapshot);
  snapshot.gang_cpu_headroom = [this](int team, Priority priority) {
    return quota_checker().RoomForGangs(team, priority);
  };
  snapshot.team_index = [this](const std::string& name) { return quota_checker().TeamIndex(name); };
  for (auto& [id, machine] : machine_table().machines()) snapshot.machines.push_back(machine.get());
  for (auto& [id, job] : job_table().jobs()) snapshot.jobs.push_back(job.get());
  for (const auto& [request_name, request] : pending_scale_outs_) {
    if (!types().contains(request.offer.type)) continue;
    snapshot.pending_scale_out[request.offer] += request.count;
  }
  return snapshot;
}

int64_t Provisioner::TotalCpuLimit(const ScalingSnapshot& snapshot) const {
  int64_t total = 0;
  for (size_t team = 0; team < settings().teams.size(); ++team) {
    const int64_t limit = snapshot.team_cpu_limit(static_cast<int>(team));
    if (limit == INT64_MAX) return INT64_MAX;
    total += limit;
  }
  return total;
}

void Provisioner::Apply(Micros now, const ScalingDecision& decision) {
  for (Machine* machine : decision.undrain) machine->draining = false;
  for (Machine* machine : decision.drain) Drain(now, machine);
  for (Machine* machine : decision.release) {
    if (machine->allocations.empty() && machine->queue.empty())
      machine_table().ReleaseMachine(now, machine, "idle");
  }
  for (const ScaleOutRequest& request : decision.scale_out) {
    ScaleOut(now, request.offer, request.count);
  }
}

void Provisioner::Drain(Micros now, Machine* machine) {
  outbox()->Debug("scale in: draining " + machine->id);
  machine->draining = true;
  dispatch().Unbind(machine);
  StopServices(machine);
  if (machine->allocations.empty() && machine->idle_since.count < 0) machine->idle_since = now;
}

// Replicas never end by themselves; they are started again elsewhere.
void Provisioner::StopServices(Machine* machine) {
  bool has_stops = false;
  for (auto& [key, allocation] : machine->allocations) {
    const Job* job = allocation.job;
    if (!job || !job->IsService() || allocation.exited() || allocation.stop_requested) continue;
    allocation.stop_requested = has_stops = true;
    allocation.grace_period = job->spec.checkpoint_duration;
  }
  if (has_stops) agent_client().SendStops(machine);
}

void Provisioner::LogFleet() const {
  int booting = 0;
  int up = 0;
  for (auto& [id, machine] : machine_table().machines()) {
    booting += machine->stage == MachineStage::kBooting;
    up += machine->stage == MachineStage::kUp;
  }
  outbox()->Debug("fleet: machines up " + std::to_string(up) + ", booting " +
                  std::to_string(booting) + ", jobs " + std::to_string(job_table().jobs().size()) +
                  "; " + scaler().Summary() + quota_checker().Summary() + quota_shares().Summary());
}

void Provisioner::ScaleOut(Micros now, const InstanceOffer& offer, int count) {
  for (; count > kMaxInstancesPerScaleOut; count -= kMaxInstancesPerScaleOut) {
    ScaleOut(now, offer, kMaxInstancesPerScaleOut);
  }
  if (pending_scale_outs_.size() >= kMaxPendingScaleOuts) return;  // decided again later
  // Unique across all leaders, since no other leader has this term.
  const std::string request_name =
      "t" + std::to_string(election()->term()) + "-" + std::to_string(++scale_out_requests_);
  pending_scale_outs_[request_name] = PendingScaleOut{offer, count, 0, false, now};
  outbox()->Info("scale out: requesting " + std::to_string(count) + " " + offer.type +
                 (offer.spot ? " (spot)" : "") + " in " + offer.zone + " as " + request_name);
  SendScaleOut(request_name);
}

void Provisioner::SendScaleOut(const std::string& request_name) {
  PendingScaleOut& pending = pending_scale_outs_.at(request_name);
  pending.in_flight = true;
  CloudRequest request;
  request.kind = CloudRequest::Kind::kScaleOut;
  request.request_name = request_name;
  request.type = pending.offer.type;
  request.zone = pending.offer.zone;
  request.spot = pending.offer.spot;
  request.count = pending.count;
  request.valid_until = election()->lease_until();
  outbox()->SendCloud(request, Guarded([this, request_name](Micros now, CloudResponse& response) {
                        OnScaleOutResponse(now, request_name, response);
                      }));
}

void Provisioner::OnScaleOutResponse(Micros now, const std::string& request_name,
                                     const CloudResponse& response) {
  using Outcome = CloudResponse::Outcome;
  const auto it = pending_scale_outs_.find(request_name);
  if (it == pending_scale_outs_.end()) return;
  PendingScaleOut& request = it->second;
  request.in_flight = false;
  if (response.ok()) {
    OnScaledOut(now, request, response);
  } else if (response.outcome == Outcome::kUnknown &&
             ++request.unknown_outcomes < kMaxUnknownOutcomes) {
    // Retried under the same name, since the request may have been carried out.
    request.retry_at = now + kRetryInterval;
    return;
  }
  if (response.outcome == Outcome::kNoCapacity) scaler().RecordRefusal(request.offer, now);
  if (response.outcome == Outcome::kThrottled) next_scale_at_ = now + kThrottledInterval;
  pending_scale_outs_.erase(it);
}

void Provisioner::OnScaledOut(Micros now, const PendingScaleOut& request,
                              const CloudResponse& response) {
  const InstanceOffer& offer = request.offer;
  for (const std::string& id : response.created) {
    if (machine_table().IsTombstoned(id)) continue;
    Machine* machine = machine_table().FindOrAdd(now, {id, "", offer.type, offer.zone, offer.spot});
    machine->rented_at = std::min(machine->rented_at, now);
  }
  if (response.created.size() < static_cast<size_t>(request.count)) {
    scaler().RecordRefusal(offer, now);
  }
}

void Provisioner::SendScaleIn() {
  scale_in_in_flight_ = true;
  CloudRequest request;
  request.kind = CloudRequest::Kind::kScaleIn;
  request.valid_until = election()->lease_until();
  const size_t count = std::min(scale_in_queue_.size(), kMaxInstancesPerScaleIn);
  const auto end = scale_in_queue_.begin() + static_cast<long>(count);
  request.machines.assign(scale_in_queue_.begin(), end);
  scale_in_queue_.erase(scale_in_queue_.begin(), end);
  outbox()->SendCloud(
      request, Guarded([this, machines = request.machines](Micros now, CloudResponse& response) {
        OnScaleInResponse(now, machines, response);
      }));
}

void Provisioner::OnScaleInResponse(Micros now, const std::vector<std::string>& machines,
                                    const CloudResponse& response) {
  scale_in_in_flight_ = false;
  if (!response.ok()) {
    next_scale_in_at_ = now + kRetryInterval;
    scale_in_queue_.insert(scale_in_queue_.end(), machines.begin(), machines.end());
    return;
  }
  // The cloud's confirmation proves that the machines and all tasks on them are gone.
  for (const std::string& id : machines) machine_table().Remove(now, id);
}

}  // namespace badgershore
