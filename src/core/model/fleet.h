// Machines, their sessions, and what is or may be on each.
#pragma once

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/model/effects.h"
#include "core/model/jobs.h"
#include "core/model/types.h"

namespace badgershore {

// A task on a machine, or one that may be there.
struct Allocation {
  TaskRef ref;
  uint64_t attempt = 0;
  Job* job = nullptr;  // null once the job is over
  int team = -1;       // its number in the settings; -1: not known
  Resources need;
  TaskPhase phase = TaskPhase::kStartSent;
  ExitReason exit_reason = ExitReason::kNone;
  bool start_unsent = false;  // reserved; its start goes out with the machine's next check-in
  bool reported = false;      // a report has listed it
  bool confirmed = false;     // reported while on the machine, and has not exited
  uint64_t sent_epoch = 0, sent_sequence = 0;  // of the report whose answer carried the start
  bool stop_requested = false;
  Micros grace_period;
  bool counted = false;           // in the usage accounting
  int preemptible_priority = -1;  // its rank, where a gang of higher rank may stop it
  bool exited() const { return phase == TaskPhase::kExited; }
};

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
  kBooting,      // rented, has not reported
  kUp,           // reports
  kTerminating,  // the cloud has been asked to take it back
};

struct Machine {
  std::string id, endpoint, type_name, zone;
  bool spot = false;
  const MachineType* type = nullptr;
  MachineStage stage = MachineStage::kBooting;

  // Durable record. No start before it is written.
  bool durable = false;
  bool durable_write_pending = false;

  // False from a takeover until the machine is known to obey this term only.
  bool reconciled = true;
  // Its lease, and with it all its tasks, surely ends by then if nobody answers it any more.
  Micros agent_lease_until;

  uint64_t agent_epoch = 0, sequence = 0;
  uint64_t heartbeat_sequence =
      0;                         // of the session's last report that was no answer to a direct call
  Micros last_contact_at{-1};    // last valid report, also in the answer to a direct call
  Micros last_heartbeat_at{-1};  // the last that it sent by itself: only their answers bring starts
  Micros first_answered_at{
      -1};  // first answer to a report of an earlier term since it knew this one
  // Its worker, which has one report in flight, has sent a later one: nobody awaits an answer.
  bool IsSuperseded(const Heartbeat& r) const {
    return r.agent_epoch < agent_epoch ||
           (r.agent_epoch == agent_epoch && r.sequence <= heartbeat_sequence);
  }
  Micros rented_at;
  Micros probe_at;  // next direct call, if it is silent or unresolved
  bool probe_in_flight = false;
  Micros first_probed_at{-1};  // the first direct call of this term
  bool listed_by_cloud = false;
  Micros missing_since{-1};
  std::optional<Micros> preemption_at;  // spot notice, as a time

  std::map<TaskKey, Allocation> allocations;
  std::map<QueueKey, QueueEntry> queue;
  std::vector<double> dispatched_work;  // received so far, by bucket
  Micros last_gang_at;                  // when a gang was last on it
  const Job* reserved_for = nullptr;    // a waiting gang that is to have room here
  int reserved_members = 0;
  bool reserved_after_gangs = false;  // not all of its machines are free of gangs yet
  // Room that was made for a job within its team's guarantee: others leave it free until then.
  const Job* held_for = nullptr;
  int held_tasks = 0;
  Micros held_until;
  bool draining = false;
  Micros idle_since{-1};
  Micros start_backoff_until;  // no starts before (after a refusal)

  std::vector<RequestId> pending_heartbeats;  // answered when recorded, or when there is work
  Micros heartbeats_pending_since;

  std::set<std::string> failed_jobs;
  int consecutive_failures = 0;
  Micros failing_since;
  std::deque<std::string> images;  // most recent last

  // Kept by UsageAccounting: what has not exited, the part of it that the agent has reported, how
  // many of jobs that are not known, and what else may be on it.
  Resources used;
  Resources confirmed_use;
  int unknown_tasks = 0;
  Resources uncertain_use;
  bool uncertain_use_unbounded = false;
  const Resources& Used() const { return used; }
  // What gangs have on it; the rest is open to other work.
  Resources GangUse() const;
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

// The job's fields that bind it to kinds of machines.
bool Allows(const JobSpec& spec, const MachineType& type, const std::string& zone, bool spot);

}  // namespace badgershore
