// Reconciliation of the machines after a failover.
#pragma once

#include <array>
#include <vector>

#include "core/leader/leader_component.h"
#include "core/model/fleet.h"
#include "core/model/jobs.h"

namespace badgershore {

// The event that made the tasks on a machine known.
enum class ReconciliationProof {
  kDirectCall,   // its agent answered a call of this term
  kHeartbeat,    // its agent sent a heartbeat of this term
  kLeaseExpiry,  // its agent's lease has expired
  kRemoval,      // the cloud has removed it
};
inline constexpr size_t kReconciliationProofs = 4;

// Tracks the machines on which tasks of earlier leaders may run. A machine is reconciled once its
// agent has answered this term, its lease has expired, or the cloud has removed it.
class Reconciler : public LeaderComponent {
 public:
  using LeaderComponent::LeaderComponent;

  const std::vector<Machine*>& unreconciled() const { return unreconciled_; }
  // The machine has a durable record, but its tasks are unknown.
  void MarkUnreconciled(Machine* machine);
  // The machine's tasks are known, and no earlier leader can start any.
  void MarkReconciled(Micros now, Machine* machine, ReconciliationProof proof);
  // Whether tasks of the job may run on an unreconciled machine, or its cancellation is being
  // recorded. No task of such a job may be started.
  bool MayStillRun(const Job& job) const;
  // Sends probes to unreconciled machines, at most AgentClient::kMaxProbesPerTick. Returns their
  // number.
  int ProbeUnreconciled(Micros now);

 private:
  std::vector<Machine*> unreconciled_;                         // in the order of loading
  std::array<int, kReconciliationProofs> reconciled_by_ = {};  // machines, by proof
};

}  // namespace badgershore
