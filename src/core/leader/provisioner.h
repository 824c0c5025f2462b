// Carries out the autoscaler's decisions: scales the fleet out and in through the cloud.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/leader/cloud_inventory.h"
#include "core/leader/leader_component.h"
#include "core/leader/machine_time_accounting.h"
#include "core/model/fleet.h"
#include "core/placement/scaling_types.h"

namespace badgershore {

// Owns the requests to the cloud. A scale-out is retried under its name while its outcome is
// unknown. No request is sent after the leader's lease has expired.
class Provisioner : public LeaderComponent {
 public:
  explicit Provisioner(const LeaderContext* context);

  // Sends the requests that are due. Once a second, requests a scaling decision and applies it.
  void Tick(Micros now);
  // Queues the instance for the next scale-in request; retried until the cloud confirms it.
  void RequestScaleIn(const std::string& machine) { scale_in_queue_.push_back(machine); }

 private:
  struct PendingScaleOut {
    InstanceOffer offer;
    int count = 0;
    int unknown_outcomes = 0;
    bool in_flight = false;
    Micros retry_at;
  };

  void RetryScaleOuts(Micros now);
  void Scale(Micros now);
  ScalingSnapshot TakeSnapshot(Micros now) const;
  int64_t TotalCpuLimit(const ScalingSnapshot& snapshot) const;
  void Apply(Micros now, const ScalingDecision& decision);
  void Drain(Micros now, Machine* machine);
  void StopServices(Machine* machine);
  void LogFleet() const;

  void ScaleOut(Micros now, const InstanceOffer& offer, int count);
  void SendScaleOut(const std::string& request_name);
  void OnScaleOutResponse(Micros now, const std::string& request_name,
                          const CloudResponse& response);
  void OnScaledOut(Micros now, const PendingScaleOut& request, const CloudResponse& response);
  void SendScaleIn();
  void OnScaleInResponse(Micros now, const std::vector<std::string>& machines,
                         const CloudResponse& response);

  CloudInventory inventory_;
  MachineTimeAccounting machine_time_;
  Micros next_scale_at_, next_log_at_;
  uint64_t scale_out_requests_ = 0;                            // number of requests in this term
  std::map<std::string, PendingScaleOut> pending_scale_outs_;  // by request name
  std::vector<std::string> scale_in_queue_;
  bool scale_in_in_flight_ = false;
  Micros next_scale_in_at_;
};

}  // namespace badgershore
