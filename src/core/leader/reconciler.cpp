#include "core/leader/reconciler.h"

#include <algorithm>

#include "core/leader/agent_client.h"
#include "core/leader/usage_accounting.h"

namespace badgershore {
namespace {

// By ReconciliationProof.
constexpr std::array<const char*, kReconciliationProofs> kProofNames = {"direct call", "heartbeat",
                                                                        "lease expiry", "removal"};

}  // namespace

void Reconciler::MarkUnreconciled(Machine* machine) {
  machine->reconciled = false;
  unreconciled_.push_back(machine);
  usage_accounting().RefreshUncertainUse(machine);
}

void Reconciler::MarkReconciled(Micros now, Machine* machine, ReconciliationProof proof) {
  if (machine->reconciled) return;
  const auto proof_index = static_cast<size_t>(proof);
  ++reconciled_by_[proof_index];
  machine->reconciled = true;
  usage_accounting().RefreshUncertainUse(machine);
  unreconciled_.erase(std::remove(unreconciled_.begin(), unreconciled_.end(), machine),
                      unreconciled_.end());
  outbox()->Debug("machine " + machine->id + " reconciled by " + kProofNames[proof_index]);
  if (!unreconciled_.empty()) return;
  std::string line = "all machines reconciled " +
                     std::to_string((now - term_began_at()).ToMillis()) + " ms into the term";
  for (size_t i = 0; i < kReconciliationProofs; ++i) {
    line += (i == 0 ? ": " : ", ") + std::to_string(reconciled_by_[i]) + " by " + kProofNames[i];
  }
  outbox()->Info(line);
}

bool Reconciler::MayStillRun(const Job& job) const {
  if (job.cancel_pending) return true;
  // No earlier leader can have started a job that was recorded after this term began: a leader
  // starts nothing after its lease has expired, and the earlier leases had expired by then.
  if (unreconciled_.empty() || job.version > election()->term_version()) return false;
  return std::any_of(unreconciled_.begin(), unreconciled_.end(), [&job](const Machine* machine) {
    return !machine->type || Allows(job.spec, *machine->type, machine->zone, machine->spot);
  });
}

int Reconciler::ProbeUnreconciled(Micros now) {
  if (unreconciled_.empty()) return 0;
  // Large machines first, since they are few and gangs wait for them.
  std::vector<Machine*> by_size = unreconciled_;
  std::stable_sort(by_size.begin(), by_size.end(), [](const Machine* a, const Machine* b) {
    return (a->type ? a->type->size.cpu : 0) > (b->type ? b->type->size.cpu : 0);
  });
  int probes = 0;
  for (Machine* machine : by_size) {
    if (probes >= AgentClient::kMaxProbesPerTick) break;
    if (machine->stage != MachineStage::kUp || !AgentClient::CanProbe(now, *machine)) continue;
    ++probes;
    agent_client().Probe(now, machine);
  }
  return probes;
}

}  // namespace badgershore
