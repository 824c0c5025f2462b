// Jobs that are not over, and where each of their tasks stands.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/model/paged_records.h"
#include "core/model/types.h"

namespace badgershore {

struct Machine;

enum class TaskStage : uint8_t {
  kWaiting,  // not given to any machine
  kQueued,   // in a machine's queue, not sent
  kPlaced,   // on a machine, or perhaps on it
  kDone,
};

struct TaskState {
  TaskStage stage = TaskStage::kWaiting;
  bool durable = false;  // its completion is durable
  uint8_t failures = 0;
  Machine* machine = nullptr;
  Micros bound_at;  // when it was queued, then when it was placed
  uint64_t attempt = 0;
};

// A task in a machine's queue. Out of date once the task's state differs from it.
struct QueuedTask {
  int task = 0;
  Micros bound_at;
};

// When a task has to start to meet an objective.
struct StartWindow {
  Micros from, until;
};

struct Job {
  JobSpec spec;
  uint64_t version = 0;  // version of its durable record
  Micros submitted_at;   // on the leader's steady clock, from the time of day at submission
  int bucket = 0;
  int team = -1;                               // its number in the settings
  Micros start_by = kNever;                    // by its lane's objective
  std::vector<StartWindow> objective_windows;  // one for each objective of its class
  std::vector<TaskState> tasks;
  int done = 0;
  int placed = 0;
  int running = 0;
  int tasks_within_guarantee = 0;         // so many of its tasks are within its team's guarantee
  Micros guarantee_short_since = kNever;  // some of those are on no machine since then
  std::map<std::string, int> zone_count;  // tasks on machines, or perhaps there
  bool finishing = false;                 // all done, the end is being written
  bool cancel_pending = false;            // its cancellation is being recorded, says a node

  std::deque<int> waiting;             // may hold tasks that have left kWaiting
  std::deque<QueuedTask> bound;        // oldest first
  std::multimap<Micros, int> delayed;  // after failures
  int queued = 0;

  Micros progressed_at;    // a task was started, came back or was done
  Micros stuck_logged_at;  // no word that it does not move before

  uint64_t gang_attempt = 0;      // 0: not placed
  bool gang_attempt_ran = false;  // some member was seen running in this attempt
  bool gang_stopping = false;
  bool has_run = false;                 // gangs: some attempt of it ran, in this term
  bool starved = false;                 // arrays: nothing of it has moved for long
  bool has_reservation = false;         // machines are kept for it
  Micros quota_blocked_since = kNever;  // gangs: waits for its team's limit since then
  Micros backoff_until;                 // gangs: no new attempt before

  // Where the progress of each chunk of tasks is kept; null before any is done.
  std::vector<PagedRecords::Page*> progress_pages;
  int failures = 0;
  std::vector<std::string> failed_machines;  // distinct machines, a few
  // While it is at fault: so many tasks at a time, the next not before.
  int probe_limit = 1;
  Micros next_probe_at, probe_backoff;

  bool IsGang() const { return spec.kind == JobKind::kGang; }
  bool IsService() const { return spec.kind == JobKind::kService; }
  int remaining() const { return spec.tasks - done; }
  // It fails on one machine after the other, and hardly anywhere else.
  bool IsFaulty() const { return failed_machines.size() >= 3 && failures >= 3 * (done + running); }
  // What of it is worth room: a job at fault gets none beyond its probes.
  int WantedTasks() const {
    return IsFaulty() ? std::min(remaining(), placed + probe_limit) : remaining();
  }
  // Its next start is within its team's guarantee.
  bool IsGuaranteed() const { return placed < tasks_within_guarantee; }
  // No task of it is on a machine or done, though it has waited well past the age limit.
  bool IsUnstarted(Micros now, Micros limit) const {
    return placed == 0 && done == 0 && now - submitted_at > limit.Scaled(1.25);
  }
  // Its tasks start next: it has waited past the age limit, or would else miss an aim.
  bool IsAged(Micros now, Micros limit) const {
    if (now - submitted_at > limit) return true;
    for (const auto& [from, until] : objective_windows) {
      if (now > from && now < until) return true;
    }
    return false;
  }
};

// Which finished tasks a chunk holds, as hex digits.
std::string EncodeProgress(const Job& job, int chunk, int chunk_tasks);
// Calls `each` for every finished task in the chunk.
void DecodeProgress(const std::string& bits, int chunk, int chunk_tasks, int tasks,
                    const std::function<void(int)>& each);
// A chunk's name among the progress pages' items.
std::string ProgressItem(const std::string& job, int chunk);
// Splits "JOB/CHUNK"; false where the item is of another form.
bool ParseProgressItem(const std::string& item, std::string* job, int* chunk);

}  // namespace badgershore
