// Applies heartbeats to the leader's state.
#pragma once

#include <set>

#include "core/leader/leader_component.h"
#include "core/model/fleet.h"
#include "core/model/jobs.h"

namespace badgershore {

enum class HeartbeatSource {
  kAgent,       // sent by the agent on its own
  kDirectCall,  // in the response to a direct call of the leader
};

// Updates a machine and the jobs on it from what a heartbeat proves: the agent is alive in this
// epoch, the listed tasks are in the listed phases, and tasks that are no longer listed have ended.
class HeartbeatProcessor : public LeaderComponent {
 public:
  using LeaderComponent::LeaderComponent;

  // Returns false, without any effect, if the heartbeat is not newer than the last one.
  bool Process(Micros now, Machine* machine, const Heartbeat& heartbeat, HeartbeatSource source);

 private:
  void EndAgentEpoch(Micros now, Machine* machine);
  void RecordContact(Micros now, Machine* machine, const Heartbeat& heartbeat,
                     HeartbeatSource source);
  void MarkUp(Micros now, Machine* machine);
  void RecordPreemptionNotice(Micros now, Machine* machine, Micros notice);
  void ProcessTask(Micros now, Machine* machine, const TaskStatus& status);
  // Null if the job has ended or has no such task.
  Job* FindJob(const TaskRef& ref) const;
  Allocation* AddUnknownTask(Micros now, Machine* machine, const TaskStatus& status, Job* job);
  void RecordGangRunning(Micros now, Job* gang);
  void OnTaskExited(Micros now, Machine* machine, Allocation* allocation, ExitReason reason);
  Micros OnTaskFailed(Micros now, Machine* machine, Job* job, int task);
  void RemoveUnlisted(Micros now, Machine* machine, const Heartbeat& heartbeat,
                      HeartbeatSource source, const std::set<TaskKey>& listed);
  void UpdateIdleSince(Micros now, Machine* machine) const;
};

}  // namespace badgershore
