// The agent of a machine as a state machine: the agent's side of PROTOCOL "Workers", "Gangs" and
// "Controller nodes -> workers". It uses no clock, sockets or processes. It returns actions (send a
// heartbeat, fetch an image, start or stop a task), and its owner reports their results.
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
    kReport,    // send `report` to `controller`; only one is in flight at a time
    kDescribe,  // fetch the specification of job `text`
    kFetch,     // fetch image `text`, which has `gb` gigabytes
    kGiveUp,    // cancel the fetch of image `text`: no task waits for it any more
    kLaunch,    // the image is present: run the task, or let it wait for its gang
    kSave,      // let the task write a checkpoint and exit
    kKill,      // end the task now; nothing of it may remain afterwards
  };
  Kind kind = Kind::kReport;
  uint64_t report_id = 0;
  size_t controller = 0;
  Heartbeat report;
  std::string text;
  double gb = 0;
  TaskKey task;
};

class Agent {
 public:
  // `jitter` spreads heartbeats: each is sent 0.75 to 1.25 intervals after the previous one.
  Agent(Settings settings, uint64_t jitter, Micros now);

  void Tick(Micros now);
  Micros NextDeadline() const;

  // Handles the response to a heartbeat. Status 0 means no response in time or no connection.
  void OnAnswer(Micros now, uint64_t report_id, const HeartbeatResponse& answer);
  // Handles POST /do and returns the status, 200 or 409. The body of the response is Status()
  // afterwards.
  int OnDirect(Micros now, uint64_t fencing_token, uint64_t session,
               const std::vector<Command>& orders);
  Heartbeat Status();  // takes a new sequence number

  void OnDescription(Micros now, const std::string& job, std::optional<JobSpec> spec);
  void OnImage(Micros now, const std::string& image);
  void OnGangComplete(Micros now, const TaskKey& task);  // the task stops waiting and runs
  // A task has exited by itself or after kSave. Ignored for a killed task, whose reason is already
  // recorded.
  void OnExit(Micros now, const TaskKey& task, ExitReason cause, bool saved);
  void SetNotice(Micros now, std::optional<Micros> left);

  std::vector<Action> Take() { return std::exchange(out_, {}); }
  uint64_t session() const { return session_; }
  uint64_t fencing_token() const { return fencing_token_; }
  size_t tasks() const { return tasks_.size(); }
  bool noticed() const { return notice_at_.has_value(); }
  Resources Free() const { return settings_.size - Used(); }

 private:
  struct Held {
    TaskPhase state = TaskPhase::kFetchingImage;
    ExitReason cause = ExitReason::kNone;
    bool saved = false;
    bool launched = false;
    std::optional<JobSpec> spec;
    Micros waits_until = kNever;  // for a task that waits for the rest of its gang
  };

  void Heed(Micros now, const HeartbeatResponse& answer);
  void EndWhatIsDue(Micros now);
  Micros ReportDue() const;
  void Obey(Micros now, const std::vector<Command>& orders);
  void Start(Micros now, const Command& order);
  void Halt(Micros now, const Command& order);
  void Admit(Micros now, const TaskKey& key, Held* held);
  void Launch(Micros now, const TaskKey& key, Held* held);
  void Exit(const TaskKey& key, Held* held, ExitReason cause, bool saved);
  void SeeToken(Micros now, uint64_t fencing_token);
  void NextSession(Micros now);
  void SendReport(Micros now);
  void Next(Micros now);
  void Changed() { changed_ = true; }
  bool ImageWanted(const std::string& image) const;
  Resources Used() const;
  Action& Say(Action::Kind kind) {
    out_.emplace_back();
    out_.back().kind = kind;
    return out_.back();
  }

  Settings settings_;
  uint64_t jitter_;
  std::map<TaskKey, Held> tasks_;
  std::map<std::string, bool> images_;  // requested or present; true if present
  std::optional<Micros> notice_at_;     // when the machine will be preempted
  uint64_t session_ = 1, sequence_ = 0, fencing_token_ = 0;
  Micros lease_end_;
  // Heartbeats.
  size_t at_ = 0;
  uint64_t report_id_ = 0;
  bool reporting_ = false;
  uint64_t reported_session_ = 0;
  Micros sent_at_, report_at_, hold_until_;
  bool changed_ = false;
  Micros token_change_from_;  // from then on a higher fencing token causes a heartbeat again
  std::vector<Action> out_;
};

}  // namespace badgershore::agent
