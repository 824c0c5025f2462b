// Detection of failed machines and of a leader that is cut off from the agents.
#pragma once

#include <map>
#include <string>

#include "core/leader/leader_component.h"
#include "core/model/fleet.h"
#include "core/model/jobs.h"

namespace badgershore {

// Checks all machines in each tick: expires agents' leases, probes silent machines, releases those
// that have failed and saves tasks from announced preemptions.
class FailureDetector : public LeaderComponent {
 public:
  using LeaderComponent::LeaderComponent;

  void Tick(Micros now);
  // An agent has sent a heartbeat.
  void NoteHeartbeat(Micros now) { last_heartbeat_at_ = now; }
  // This process did not run for a while. No machine counts as failed for what was missed
  // meanwhile, until all agents have had the time to reconnect.
  void OnProcessStall(Micros now);
  // Agents sent heartbeats in this term, and for so long none did that they can't reach this
  // leader. Answers to direct calls don't count: they work without connections to the leader.
  bool ReceivesNoHeartbeats(Micros now) const;

 private:
  // How many machines are up, and of how many there was a sign of life recently.
  struct Liveness {
    int up = 0;
    int contacted = 0;  // by heartbeat or in the answer to a direct call
    int heartbeating = 0;
    // Where most are silent this leader's own network is the likely fault.
    bool IsMostlySilent() const { return contacted * 2 < up; }
    bool IsMostlyHeartbeating() const { return heartbeating * 2 >= up; }
  };

  Liveness UpdateTypesAndCount(Micros now) const;
  void CheckMachine(Micros now, Machine* machine, const Liveness& liveness, bool holds_lease,
                    int* probes);
  void ExpireAgentLease(Micros now, Machine* machine);
  void CheckBoot(Micros now, Machine* machine);
  void ProbeIfDue(Micros now, Machine* machine, int* probes);
  // Null: the machine has not failed.
  const char* FailureOf(Micros now, const Machine& machine, const Liveness& liveness) const;
  bool IsUnreachableAfterFailover(Micros now, const Machine& machine,
                                  const Liveness& liveness) const;
  bool IsKnownToReceive(Micros now, const Machine& machine) const;
  void SaveBeforePreemption(Micros now, Machine* machine);

  int up_ = 0;                    // machines that are up, as of the last tick
  Micros last_heartbeat_at_{-1};  // of any machine in this term
  Micros grace_until_;            // no machine is released for its silence before
};

}  // namespace badgershore
