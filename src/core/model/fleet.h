// Machines, their agents' epochs and leases, and the tasks that are or may be on each machine.
#pragma once

#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/model/effects.h"
#include "core/model/hold_period.h"
#include "core/model/jobs.h"
#include "core/model/types.h"

namespace badgershore {

// An attempt of a task that is on a machine, or may be there.
struct Allocation {
  TaskRef ref;
  uint64_t attempt = 0;
  Job* job = nullptr;  // null once the job has ended
  int team = -1;       // the team's index in the settings; -1: unknown
  Resources need;
  TaskPhase phase = TaskPhase::kStartSent;
  ExitReason exit_reason = ExitReason::kNone;
  // Reserved: the start command is sent in the response to the machine's next heartbeat.
  bool start_unsent = false;
  bool reported = false;   // a heartbeat has listed it
  bool confirmed = false;  // a heartbeat has listed it, and it has not exited
  // Agent epoch and sequence number of the heartbeat whose response carried the start command.
  uint64_t sent_epoch = 0, sent_sequence = 0;
  bool stop_requested = false;
  Micros grace_period;
  bool counted = false;  // included in the usage accounting
  bool counted_for_gangs = false;
  int preemptible_priority = -1;  // its priority if a gang of higher priority may preempt it
  bool exited() const { return phase == TaskPhase::kExited; }
};

using Allocations = std::map<TaskKey, Allocation>;

struct QueueEntry {
  Job* job = nullptr;
  std::deque<QueuedTask> tasks;
};
struct QueueKey {
  Priority priority;
  Micros estimate;
  std::string job;
  auto operator<=>(const QueueKey&) const = default;
};

enum class MachineStage {
  kBooting,      // requested from the cloud; no heartbeat yet
  kUp,           // its agent sends heartbeats
  kTerminating,  // the cloud has been asked to terminate it
};

struct Machine {
  std::string id, endpoint, type_name, zone;
  bool spot = false;
  const MachineType* type = nullptr;
  MachineStage stage = MachineStage::kBooting;

  // Whether the machine's record is durable. No task is started on the machine before that.
  bool durable = false;
  bool durable_write_pending = false;

  // False from a failover until the agent is known to accept commands of this term only.
  bool reconciled = true;
  // Without further responses, the agent's lease has expired and all its tasks have stopped by
  // then.
  Micros agent_lease_until;

  uint64_t agent_epoch = 0, sequence = 0;
  // Sequence number of the last heartbeat of this agent epoch, except for those that responded to a
  // direct call.
  uint64_t heartbeat_sequence = 0;
  Micros last_contact_at{-1};  // last valid heartbeat, including those in responses to direct calls
  // Last heartbeat that the agent sent by itself. Start commands are sent only in responses to
  // these.
  Micros last_heartbeat_at{-1};
  // First response to a heartbeat with the fencing token of an earlier term, since the agent last
  // sent one with the current token.
  Micros first_answered_at{-1};
  // Connection of the last heartbeat that was taken from the agent. An agent that was restarted
  // within its lease counts epochs and heartbeats from the beginning, so that heartbeats of the
  // process before it may seem to be newer. They arrive on connections that are older.
  uint64_t connection = 0;
  // The agent, which has only one heartbeat in flight, has sent a later one and no longer waits for
  // a response to this one.
  bool IsSuperseded(const Heartbeat& r) const {
    return r.agent_epoch < agent_epoch || r.connection < connection ||
           (r.agent_epoch == agent_epoch && r.sequence <= heartbeat_sequence);
  }
  Micros rented_at;
  Micros probe_at;  // time of the next direct call if the agent is unresponsive or unreconciled
  bool probe_in_flight = false;
  Micros first_probed_at{-1};  // the first direct call of this term
  bool listed_by_cloud = false;
  Micros missing_since{-1};
  std::optional<Micros> preemption_at;  // when the spot machine is terminated, by its notice

  Allocations allocations;
  std::map<QueueKey, QueueEntry> queue;
  std::vector<double> dispatched_work;  // total work dispatched to the machine, by size bucket
  Micros last_gang_at;                  // when a gang was last on it
  const Job* reserved_for = nullptr;    // the waiting gang for which room is reserved here
  int reserved_members = 0;
  // Some machines that are reserved for this gang still run other gangs.
  bool reserved_after_gangs = false;
  // Room that was freed by preemption for a job within its team's guarantee. Other jobs may not use
  // it before `held_until`.
  const Job* held_for = nullptr;
  int held_tasks = 0;
  Micros held_until;
  HoldPeriod hold_period;  // of the reservation for a gang, or of the room that is held
  bool draining = false;
  Micros idle_since{-1};
  Micros start_backoff_until;  // no starts before this time, after the agent refused one

  // Heartbeats that are answered once the machine's record is durable, or once there is work.
  std::vector<RequestId> pending_heartbeats;
  Micros heartbeats_pending_since;

  std::set<std::string> failed_jobs;
  int consecutive_failures = 0;
  Micros failing_since;
  std::deque<std::string> images;  // most recent last

  // Maintained by UsageAccounting: the resources of all allocations that have not exited, with what
  // the exited ones take of the report, the part that belongs to gangs, the part that the agent has
  // confirmed, the number of tasks of unknown jobs, and the resources that other tasks may use on
  // the machine.
  Resources used;
  Resources gang_use;
  Resources confirmed_use;
  int unknown_tasks = 0;
  Resources uncertain_use;
  bool uncertain_use_unbounded = false;
  const Resources& Used() const { return used; }
  // Resources that gangs use on the machine; the rest is available to other jobs.
  const Resources& GangUse() const { return gang_use; }
  // The allocations of the job's tasks, from the first up to the second iterator.
  std::pair<Allocations::iterator, Allocations::iterator> AllocationsOf(const std::string& job);
  std::pair<Allocations::const_iterator, Allocations::const_iterator> AllocationsOf(
      const std::string& job) const;
  int ActiveTasks() const {
    int n = 0;
    for (const auto& [key, o] : allocations) n += !o.exited();
    return n;
  }
  bool HasImage(const std::string& image) const {
    return std::find(images.begin(), images.end(), image) != images.end();
  }
  void RecordImageUse(const std::string& image) {
    images.erase(std::remove(images.begin(), images.end(), image), images.end());
    images.push_back(image);
    if (images.size() > 8) images.pop_front();
  }
};

// Whether the job's constraints allow its tasks on such a machine, and a task fits on an empty one.
bool Allows(const JobSpec& spec, const MachineType& type, const std::string& zone, bool spot);

}  // namespace badgershore
