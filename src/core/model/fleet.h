// Machines, their sessions, and what is or may be on each.
#pragma once

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/model/effects.h"
#include "core/model/types.h"

namespace badgershore {

struct Job;

// A task on a machine, or one that may be there.
struct Occupant {
  TaskRef ref;
  uint64_t attempt = 0;
  Job* job = nullptr;  // null once the job is over
  int team = -1;       // its number in the settings; -1: not known
  Resources need;
  RunState state = RunState::kSent;
  ExitCause cause = ExitCause::kNone;
  bool unsent = false;  // reserved; its start goes out with the machine's next check-in
  bool seen = false;    // a report has listed it
  uint64_t sent_session = 0, sent_seq = 0;  // of the report whose answer carried the start
  bool halt = false;
  Micros grace;
  bool counted = false;  // in the occupancy
  int soft = -1;         // its rank, where a gang of higher rank may stop it
  bool exited() const { return state == RunState::kExited; }
};

struct QueueEntry {
  Job* job = nullptr;
  std::deque<std::pair<int, Micros>> tasks;  // (task, bound_at); valid while the task agrees
};
struct QueueKey {
  Rank rank;
  Micros estimate;
  std::string job;
  auto operator<=>(const QueueKey&) const = default;
};

enum class MachineStage {
  kBooting,    // rented, has not reported
  kUp,         // reports
  kReturning,  // the cloud has been asked to take it back
};

struct Machine {
  std::string id, endpoint, type_name, zone;
  bool spot = false;
  const MachineType* type = nullptr;
  MachineStage stage = MachineStage::kBooting;

  // Durable record. No start before it is written.
  bool recorded = false;
  bool recording = false;

  // False from a takeover until the machine is known to obey this term only.
  bool resolved = true;
  // Its lease, and with it all its tasks, surely ends by then if nobody answers it any more.
  Micros alive_until;

  uint64_t session = 0, seq = 0;
  uint64_t checkin_seq = 0;  // of the session's last report that was no answer to a direct call
  Micros heard_at{-1};       // last valid report, also in the answer to a direct call
  Micros reported_at{-1};    // the last that it sent by itself: only their answers bring starts
  Micros greeted_at{-1};     // first answer to a report of an earlier term since it knew this one
  // Its worker, which has one report in flight, has sent a later one: nobody awaits an answer.
  bool Passed(const Report& r) const {
    return r.session < session || (r.session == session && r.seq <= checkin_seq);
  }
  Micros rented_at;
  Micros probe_at;  // next direct call, if it is silent or unresolved
  bool probing = false;
  Micros asked_at{-1};  // the first direct call of this term
  bool listed = false;
  Micros missing_since{-1};
  std::optional<Micros> gone_at;  // spot notice, as a time

  std::map<std::pair<TaskRef, uint64_t>, Occupant> occupants;
  std::map<QueueKey, QueueEntry> queue;
  std::vector<double> work;       // received so far, by bucket
  Micros gang_at;                 // when a gang was last on it
  const Job* reserved = nullptr;  // a waiting gang that is to have room here
  int reserved_members = 0;
  bool reserved_later = false;  // not all of its machines are free of gangs yet
  // Room that was made for a job within its team's guarantee: others leave it free until then.
  const Job* kept_for = nullptr;
  int kept_tasks = 0;
  Micros kept_until;
  bool retiring = false;
  Micros idle_since{-1};
  Micros hold_off;  // no starts before (after a refusal)

  std::vector<RequestId> held_checkins;  // answered when recorded, or when there is work
  Micros held_since;

  std::set<std::string> failed_jobs;
  int failures_in_row = 0;
  Micros failing_since;
  std::deque<std::string> images;  // most recent last

  // The occupancy keeps these: what has not exited, how many of jobs that are not known, and what
  // else may be on it.
  Resources used;
  int unknown = 0;
  Resources doubt;
  bool doubt_unbounded = false;
  const Resources& Used() const { return used; }
  // What gangs have on it; the rest is open to other work.
  Resources GangUse() const;
  int Busy() const {
    int n = 0;
    for (const auto& [key, o] : occupants) n += !o.exited();
    return n;
  }
  bool HasImage(const std::string& image) const {
    return std::find(images.begin(), images.end(), image) != images.end();
  }
  void NoteImage(const std::string& image) {
    images.erase(std::remove(images.begin(), images.end(), image), images.end());
    images.push_back(image);
    if (images.size() > 8) images.pop_front();
  }
};

// The job's fields that bind it to kinds of machines.
bool Allows(const JobSpec& spec, const MachineType& type, const std::string& zone, bool spot);

}  // namespace badgershore
