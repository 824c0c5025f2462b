// The events of a scenario as observed outside the controllers. No core headers are included: the
// checker must not depend on the controllers' code.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace badgershore::rehearsal {

struct JobFacts {
  std::string id, team, job_class;
  int tasks = 0;
  int64_t cpu_m = 0, gpu_m = 0;  // per task, in thousandths
  std::string zone;              // empty: any
  bool same_zone = false, spread = false, spot_ok = false;
  bool cannot_run = false;  // fits no machine, or its submission lacks a field
  int64_t submitted_us = 0;
};

struct Event {
  enum class Kind {
    kSubmitted,        // facts; sent for the first time
    kAccepted,         // 201 or 200 to a submission
    kRejected,         // 400 or 422 to a submission
    kCancelRequested,  // its user requests cancellation
    kStatusReported,   // 200 to a query or cancellation; text: the phase
    kUnknownJob,       // 404 to a query
    kNoAnswer,         // a query got no response or another status
    kMachineUp,        // machine, text: zone, number: 1 for spot
    kMachineGone,
    kTaskStarted,    // launched, with its image on the machine
    kTaskExited,     // exited, killed
    kTaskCompleted,  // completed
    kLimit,  // the limit of team `text` for starts from now on; number: thousandths of a CPU
    kNote,   // text
  };
  int64_t at_us = 0;
  Kind kind = Kind::kNote;
  std::string job, machine, text;
  int task = 0;
  uint64_t number = 0;        // attempt, status
  int64_t requested_us = -1;  // kStatusReported: when the user sent the request; -1: unknown
  JobFacts facts;
};
std::string FormatEvent(const Event& e);

struct Violation {
  std::string rule;
  double at_s = 0;
  std::string detail;
};

// Checks a history against PROTOCOL "Rules", event by event.
class Checker {
 public:
  struct Bounds {
    double cancel_s = 40;
    std::map<std::string, std::pair<int64_t, int64_t>> limits;  // team -> cpu, gpu; 0: none
    double faults_end_s = 0;  // from then on every user must get a response within 75 s
  };
  explicit Checker(Bounds bounds) : bounds_(std::move(bounds)) {}
  void OnEvent(const Event& e);
  void Finish(int64_t at_us);
  const std::vector<Violation>& violations() const { return violations_; }
  // The longest that a task of a cancelled job was on a machine after the cancellation was
  // confirmed.
  double latest_cancelled_s() const { return static_cast<double>(latest_cancelled_us_) / 1e6; }
  // Tasks that started after their job's cancellation was confirmed, however soon.
  int started_cancelled() const { return started_cancelled_; }
  // Responses that contradict a later state which the user had already been told, to requests that
  // were sent before that: concurrent requests may be answered out of order, and no rule forbids
  // it.
  int reordered_responses() const { return reordered_responses_; }
  // Each team's peak CPU use, in thousandths, since the last call.
  std::map<std::string, int64_t> TakePeakCpu();
  // Accepted jobs and their final phase: done, withdrawn or open.
  std::map<std::string, std::string> FinalStates() const;

 private:
  struct Placement {
    std::string machine, zone;
  };
  struct Job {
    JobFacts facts;
    bool submitted = false, accepted = false, cancel_requested = false;
    std::string final_phase;
    int64_t final_at = -1, cancelled_at = -1, unanswered_since = -1;
    std::set<int> done;
    std::map<int, std::map<std::string, uint64_t>> placements;  // task -> machine -> attempt
  };
  struct Machine {
    std::string zone;
    bool spot = false, gone = false;
  };
  void ReportViolation(const Event& e, const char* rule, const std::string& detail);
  void OnTaskStarted(const Event& e, Job* job);
  void CheckCancelled(int64_t at_us);
  std::vector<Placement> PlacementsOf(const Job& job) const;

  Bounds bounds_;
  std::map<std::string, Job> jobs_;
  std::map<std::string, Machine> machines_;
  std::map<std::string, std::pair<int64_t, int64_t>> used_;
  std::map<std::string, int64_t> peak_cpu_;  // by team, since the last TakePeakCpu()
  std::set<std::string> cancelled_jobs_;
  int64_t last_response_us_ = 0, latest_cancelled_us_ = 0;
  int started_cancelled_ = 0, reordered_responses_ = 0;
  bool any_started_ = false;
  std::vector<Violation> violations_;
};

}  // namespace badgershore::rehearsal
