// The agent on a machine, as a state machine: the agent's side of "Workers", "Gangs" and
// "Controller nodes -> workers" in PROTOCOL. It uses no clock, sockets or processes. It returns
// actions (send a heartbeat, fetch an image, start or stop a task), and its owner passes their
// results back.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/model/effects.h"
#include "core/model/types.h"

namespace badgershore::agent {

struct Settings {
  MachineRecord machine;
  Resources size;
  std::vector<std::string> controllers;  // names, in the order in which they are tried
  Micros report_every, lease, gang_wait;
};

// An action that the machine has to execute. Actions are executed in order.
struct Action {
  enum class Kind {
    kSendHeartbeat,     // send a heartbeat to `controller`; only one is in flight at a time
    kFetchJobSpec,      // fetch the specification of job `text`
    kFetchImage,        // fetch image `text`, which has `gb` gigabytes
    kCancelImageFetch,  // cancel the fetch of image `text`: no task waits for it any more
    kLaunch,            // the image is present: run the task, or let it wait for its gang
    kSaveCheckpoint,    // let the task write a checkpoint and exit
    kKill,              // end the task now; nothing of it may remain afterwards
  };
  Kind kind = Kind::kSendHeartbeat;
  uint64_t report_id = 0;
  size_t controller = 0;
  Heartbeat report;
  std::string text;
  double gb = 0;
  TaskKey task;
};

class Agent {
 public:
  // `jitter`: a random number, different after each restart. It spreads heartbeats: each is sent
  // 0.75 to 1.25 intervals after the previous one. Their ids begin with it, so that a late answer
  // to a heartbeat before the restart is not taken for one to a new heartbeat.
  Agent(Settings settings, uint64_t jitter, Micros now);

  void Tick(Micros now);
  Micros NextDeadline() const;

  // Handles the response to a heartbeat. Status 0 means no response in time or no connection.
  void OnAnswer(Micros now, uint64_t heartbeat_id, const HeartbeatResponse& response);
  // Handles POST /do and returns the status of the response, 200 or 409. The body of the response
  // is the heartbeat that the next function returns.
  int OnCommands(Micros now, uint64_t fencing_token, uint64_t epoch,
                 const std::vector<Command>& commands);
  Heartbeat Status();  // takes a new sequence number

  void OnJobSpec(Micros now, const std::string& job, std::optional<JobSpec> spec);
  void OnImage(Micros now, const std::string& image);
  void OnGangComplete(Micros now, const TaskKey& task);  // the task stops waiting and runs
  // A task has exited by itself or after writing a requested checkpoint. Ignored for a killed task,
  // whose reason is already recorded.
  void OnExit(Micros now, const TaskKey& task, ExitReason exit_reason, bool checkpointed);
  void SetPreemptionNotice(Micros now, std::optional<Micros> remaining);

  std::vector<Action> Take() { return std::exchange(actions_, {}); }
  uint64_t session() const { return epoch_; }
  uint64_t fencing_token() const { return fencing_token_; }
  size_t tasks() const { return tasks_.size(); }
  bool has_preemption_notice() const { return preemption_at_.has_value(); }
  // Including what its report may still list.
  Resources Free() const;

 private:
  struct TaskEntry {
    TaskPhase phase = TaskPhase::kFetchingImage;
    ExitReason exit_reason = ExitReason::kNone;
    bool checkpointed = false;
    bool launched = false;
    std::optional<JobSpec> spec;
    Micros gang_deadline = kNever;  // for a task that waits for the rest of its gang
  };

  void HandleResponse(Micros now, const HeartbeatResponse& response);
  void EndExpired(Micros now);
  Micros HeartbeatDue() const;
  void ExecuteCommands(Micros now, const std::vector<Command>& commands);
  void StartTask(Micros now, const Command& command);
  void StopTask(Micros now, const Command& command);
  void FetchImageOrLaunch(Micros now, const TaskKey& key, TaskEntry* entry);
  void Launch(Micros now, const TaskKey& key, TaskEntry* entry);
  void MarkExited(const TaskKey& key, TaskEntry* entry, ExitReason exit_reason, bool checkpointed);
  void ObserveFencingToken(Micros now, uint64_t fencing_token);
  void StartNextEpoch(Micros now);
  void SendHeartbeat(Micros now);
  void ScheduleNextHeartbeat(Micros now);
  void MarkChanged() { changed_ = true; }
  bool IsImageNeeded(const std::string& image) const;
  Resources UsedResources() const;
  Action& AddAction(Action::Kind kind) {
    actions_.emplace_back();
    actions_.back().kind = kind;
    return actions_.back();
  }

  Settings settings_;
  uint64_t jitter_;
  uint64_t heartbeat_id_;  // of the last heartbeat that was sent
  std::map<TaskKey, TaskEntry> tasks_;
  std::map<std::string, bool> images_;   // requested or present; true if present
  std::optional<Micros> preemption_at_;  // when the machine will be preempted
  uint64_t epoch_ = 1, sequence_ = 0, fencing_token_ = 0;
  Micros lease_end_;
  // Heartbeats.
  size_t controller_index_ = 0;
  bool heartbeat_in_flight_ = false;
  uint64_t sent_epoch_ = 0;
  Micros sent_at_, next_heartbeat_at_, retry_at_;
  bool changed_ = false;
  Micros token_change_from_;  // from then on a higher fencing token causes a heartbeat again
  std::vector<Action> actions_;
};

}  // namespace badgershore::agent
