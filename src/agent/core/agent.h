// A worker as a state machine: PROTOCOL "Workers", "Gangs" and "Controller nodes -> workers" from
// the worker's side. It knows no clock, socket or process: it says when to report, what to fetch
// and which tasks to start and stop, and is told what came of it.
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

// What the machine is to do. Everything is done in order.
struct Action {
  enum class Kind {
    kReport,    // send `report` to `controller`; one is under way at a time
    kDescribe,  // fetch the description of job `text`
    kFetch,     // fetch image `text` of `gb`
    kGiveUp,    // nobody waits for image `text` any more
    kLaunch,    // the image is there: run the task, or let it wait for its gang
    kSave,      // let the task save and end
    kKill,      // end the task now; nothing of it may be left when this has been done
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
  // `jitter` spreads reports: each comes 0.75 to 1.25 of the interval after the one before.
  Agent(Settings settings, uint64_t jitter, Micros now);

  void Tick(Micros now);
  Micros NextDeadline() const;

  // The answer to a report; status 0: none within the time, or no connection.
  void OnAnswer(Micros now, uint64_t report_id, const HeartbeatResponse& answer);
  // POST /do. The report to answer with is Status() afterwards; 200 or 409.
  int OnDirect(Micros now, uint64_t fencing_token, uint64_t session,
               const std::vector<Command>& orders);
  Heartbeat Status();  // takes a new sequence number

  void OnDescription(Micros now, const std::string& job, std::optional<JobSpec> spec);
  void OnImage(Micros now, const std::string& image);
  void OnGangComplete(Micros now, const TaskKey& task);  // waiting is over: it runs
  // A task has ended by itself, or after kSave. What it was killed for is known here already.
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
    Micros waits_until = kNever;  // a gang's task that waits for the others
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
  std::map<std::string, bool> images_;  // wanted or had: is it there?
  std::optional<Micros> notice_at_;     // when the machine is taken back
  uint64_t session_ = 1, sequence_ = 0, fencing_token_ = 0;
  Micros lease_end_;
  // Reporting.
  size_t at_ = 0;
  uint64_t report_id_ = 0;
  bool reporting_ = false;
  uint64_t reported_session_ = 0;
  Micros sent_at_, report_at_, hold_until_;
  bool changed_ = false;
  Micros token_change_from_;  // a higher fencing token counts as a change again from here on
  std::vector<Action> out_;
};

}  // namespace badgershore::agent
