// Detection of failed machines, and of a leader that the agents can't reach.
#pragma once

#include <map>
#include <string>

#include "core/leader/leader_component.h"
#include "core/model/fleet.h"
#include "core/model/jobs.h"

namespace badgershore {

// Checks all machines in each tick: expires agent leases, probes unresponsive machines, releases
// failed ones, and has tasks write checkpoints before an announced preemption.
class FailureDetector : public LeaderComponent {
 public:
  using LeaderComponent::LeaderComponent;

  void Tick(Micros now);
  // To be called when an agent has sent a heartbeat.
  void RecordHeartbeat(Micros now) { last_heartbeat_at_ = now; }
  // To be called after a pause of this process. No machine counts as failed for heartbeats that
  // were missed meanwhile until all agents have had time to reconnect.
  void OnProcessStall(Micros now);
  // Whether agents have sent heartbeats in this term, but none for so long that they probably can't
  // reach this leader. Responses to direct calls don't count, since they need no connection from an
  // agent to the leader.
  bool ReceivesNoHeartbeats(Micros now) const;

 private:
  // The number of machines that are up, and of those with recent contact.
  struct Liveness {
    int up = 0;
    int contacted = 0;  // by a heartbeat or the response to a direct call
    int heartbeating = 0;
    // If most machines are unresponsive, the fault is probably in this leader's own network.
    bool IsMostlyUnresponsive() const { return contacted * 2 < up; }
    bool IsMostlyHeartbeating() const { return heartbeating * 2 >= up; }
  };

  Liveness UpdateTypesAndCount(Micros now) const;
  void CheckMachine(Micros now, Machine* machine, const Liveness& liveness, bool holds_lease,
                    int* probes);
  void ExpireAgentLease(Micros now, Machine* machine);
  void CheckBoot(Micros now, Machine* machine);
  void ProbeIfDue(Micros now, Machine* machine, int* probes);
  // Null if the machine has not failed.
  const char* FailureReason(Micros now, const Machine& machine, const Liveness& liveness) const;
  bool IsUnreachableAfterFailover(Micros now, const Machine& machine,
                                  const Liveness& liveness) const;
  bool ReceivesAnswers(Micros now, const Machine& machine) const;
  void CheckpointBeforePreemption(Micros now, Machine* machine);

  int up_ = 0;                    // machines that are up, as of the last tick
  Micros last_heartbeat_at_{-1};  // of any machine in this term
  Micros grace_until_;            // no machine is released as unresponsive before this time
};

}  // namespace badgershore
