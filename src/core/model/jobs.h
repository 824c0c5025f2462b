// Jobs that have not ended, and the state of each of their tasks.
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
  kWaiting,  // not assigned to a machine
  kQueued,   // in a machine's queue, start command not sent
  kPlaced,   // on a machine, or possibly there
  kDone,
};

struct TaskState {
  TaskStage stage = TaskStage::kWaiting;
  bool durable = false;  // its completion is recorded durably
  uint8_t failures = 0;
  Machine* machine = nullptr;
  Micros bound_at;  // when it was queued, then when it was placed
  uint64_t attempt = 0;
};

// A task in a machine's queue. Stale once the task's state differs from it.
struct QueuedTask {
  int task = 0;
  Micros bound_at;
};

// Time span in which a task has to start to meet an objective.
struct StartWindow {
  Micros from, until;
};

struct Job {
  JobSpec spec;
  uint64_t version = 0;      // version of its durable record
  Micros submitted_at;       // monotonic time, computed from the time of day at submission
  int bucket = 0;            // size bucket of its tasks, see SizeBucket()
  int team = -1;             // the team's index in the settings; -1: unknown
  Micros start_by = kNever;  // deadline by the wait objective of its class
  std::vector<StartWindow> objective_windows;  // one for each objective of its class
  std::vector<TaskState> tasks;
  int done = 0;
  int placed = 0;
  int running = 0;
  int tasks_within_guarantee = 0;         // number of its tasks covered by its team's guarantee
  Micros guarantee_short_since = kNever;  // since then, some of those are not on a machine
  std::map<std::string, int> zone_count;  // tasks that are or may be on machines, by zone
  bool finishing = false;                 // all tasks are done, the end record is being written
  bool cancel_pending = false;            // a controller is recording its cancellation

  std::deque<int> waiting;             // may contain tasks that are no longer kWaiting
  std::deque<QueuedTask> bound;        // tasks in machines' queues, oldest first; may be stale
  std::multimap<Micros, int> delayed;  // tasks in backoff after a failure, by its end
  int queued = 0;

  Micros progressed_at;    // when a task was last started, returned to waiting or was done
  Micros stuck_logged_at;  // the job is not logged as stuck again before this time

  uint64_t gang_attempt = 0;      // 0: not placed
  bool gang_attempt_ran = false;  // some member of this attempt was reported running
  bool gang_stopping = false;
  // Gangs: only some members of this attempt are placed, since not all of them are in one step. The
  // machines for the others are reserved.
  bool is_being_placed = false;
  bool has_run = false;                 // gangs: some attempt ran during this term
  bool starved = false;                 // arrays and services: no progress for a long time
  bool has_reservation = false;         // machines are reserved for it
  Micros quota_blocked_since = kNever;  // gangs: since then it waits for its team's limit
  Micros backoff_until;                 // gangs: no new attempt before this time

  // The page that stores the progress of each chunk of tasks; null before a task of it is done.
  std::vector<PagedRecords::Page*> progress_pages;
  int failures = 0;
  std::vector<std::string> failed_machines;  // distinct machines, only the first few
  // While the job is faulty: maximum number of tasks at a time, and when the next may start.
  int probe_limit = 1;
  Micros next_probe_at, probe_backoff;

  bool IsGang() const { return spec.kind == JobKind::kGang; }
  bool IsService() const { return spec.kind == JobKind::kService; }
  int remaining() const { return spec.tasks - done; }
  // Its tasks fail on several machines, and few of them run or are done.
  bool IsFaulty() const { return failed_machines.size() >= 3 && failures >= 3 * (done + running); }
  // Number of tasks that should get room: a faulty job gets room only for its probes.
  int WantedTasks() const {
    return IsFaulty() ? std::min(remaining(), placed + probe_limit) : remaining();
  }
  // Whether its next task is within its team's guarantee.
  bool IsGuaranteed() const { return placed < tasks_within_guarantee; }
  // Whether none of its tasks is on a machine or done although it is well past the age limit.
  bool IsUnstarted(Micros now, Micros limit) const {
    return placed == 0 && done == 0 && now - submitted_at > limit.Scaled(1.25);
  }
  // Whether its tasks start before others: it has waited past the age limit, or would otherwise
  // miss an objective.
  bool IsAged(Micros now, Micros limit) const {
    if (now - submitted_at > limit) return true;
    for (const auto& [from, until] : objective_windows) {
      if (now > from && now < until) return true;
    }
    return false;
  }
};

// The most tasks of the job that may be in one zone at a time.
int MaxTasksInZone(const JobSpec& spec);
// Whether the job's zone constraints allow another task in this zone beside those that are or may
// be on machines.
bool ZoneAllows(const Job& job, const std::string& zone);

// Bitmap of the finished tasks of a chunk, as hex digits.
std::string EncodeProgress(const Job& job, int chunk, int chunk_tasks);
// Calls `each` for every finished task in the chunk.
void DecodeProgress(const std::string& bits, int chunk, int chunk_tasks, int tasks,
                    const std::function<void(int)>& each);
// Name of a chunk's item in the progress pages.
std::string ProgressItem(const std::string& job, int chunk);
// Parses "JOB/CHUNK"; false if the item has another form.
bool ParseProgressItem(const std::string& item, std::string* job, int* chunk);

}  // namespace badgershore
