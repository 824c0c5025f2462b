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
  std::string id, team, lane;
  int tasks = 0;
  int64_t cpu_m = 0, gpu_m = 0;  // per task, in thousandths
  std::string zone;              // empty: any
  bool same_zone = false, spread = false, spot_ok = false;
  bool cannot_run = false;  // fits no machine, or its submission lacks a field
  int64_t submitted_us = 0;
};

struct Event {
  enum class Kind {
    kSubmitted,   // facts; sent for the first time
    kAccepted,    // 201 or 200 to a submission
    kRejected,    // 400 or 422 to a submission
    kWithdraws,   // its user requests cancellation
    kTold,        // 200 to a query or cancellation; text: the phase
    kUnknownJob,  // 404 to a query
    kNoAnswer,    // a query got no response or another status
    kMachineUp,   // machine, text: zone, number: 1 for spot
    kMachineGone,
    kTaskOn,    // launched, with its image on the machine
    kTaskOff,   // exited, killed
    kTaskDone,  // completed
    kLimit,     // the limit of team `text` for starts from now on; number: thousandths of a CPU
    kNote,      // text
  };
  int64_t at_us = 0;
  Kind kind = Kind::kNote;
  std::string job, machine, text;
  int task = 0;
  uint64_t number = 0;    // attempt, status
  int64_t asked_us = -1;  // kTold: when the user sent the request; -1: unknown
  JobFacts facts;
};
std::string Line(const Event& e);

struct Broken {
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
    double troubles_over_s = 0;  // from then on every user must get a response within 75 s
  };
  explicit Checker(Bounds bounds) : bounds_(std::move(bounds)) {}
  void See(const Event& e);
  void End(int64_t at_us);
  const std::vector<Broken>& broken() const { return broken_; }
  // The longest that a task of a cancelled job was on a machine after the cancellation was
  // confirmed.
  double latest_cancelled_s() const { return static_cast<double>(latest_cancelled_us_) / 1e6; }
  // Tasks that started after their job's cancellation was confirmed, however soon.
  int started_cancelled() const { return started_cancelled_; }
  // Responses that contradict a later state which the user had already been told, to requests that
  // were sent before that: concurrent requests may be answered out of order, and no rule forbids
  // it.
  int crossed() const { return crossed_; }
  // Each team's peak CPU use, in thousandths, since the last call.
  std::map<std::string, int64_t> TakePeakCpu();
  // Accepted jobs and their final phase: done, withdrawn or open.
  std::map<std::string, std::string> FinalStates() const;

 private:
  struct Place {
    std::string machine, zone;
  };
  struct Job {
    JobFacts facts;
    bool submitted = false, accepted = false, asked_withdrawal = false;
    std::string final_phase;
    int64_t final_at = -1, withdrawn_at = -1, silent_since = -1;
    std::set<int> done;
    std::map<int, std::map<std::string, uint64_t>> on;  // task -> machine -> attempt
  };
  struct Machine {
    std::string zone;
    bool spot = false, gone = false;
  };
  void Say(const Event& e, const char* rule, const std::string& detail);
  void Started(const Event& e, Job* job);
  void CheckCancelled(int64_t at_us);
  std::vector<Place> PlacesOf(const Job& job) const;

  Bounds bounds_;
  std::map<std::string, Job> jobs_;
  std::map<std::string, Machine> machines_;
  std::map<std::string, std::pair<int64_t, int64_t>> used_;
  std::map<std::string, int64_t> peak_cpu_;  // by team, since the last TakePeakCpu()
  std::set<std::string> withdrawn_;
  int64_t others_answered_at_ = 0, latest_cancelled_us_ = 0;
  int started_cancelled_ = 0, crossed_ = 0;
  bool any_started_ = false;
  std::vector<Broken> broken_;
};

}  // namespace badgershore::rehearsal
