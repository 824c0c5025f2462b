// Emulates tasks: they run, fail, wait for their gang and write checkpoints. Checkpoints and
// results survive the loss of a machine.
#pragma once

#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>

#include "agent/core/agent.h"
#include "config/scenario.h"

namespace badgershore::rehearsal {

using config::Scenario;

class TaskEmulator {
 public:
  struct Hooks {
    std::function<Micros()> now;
    std::function<void(Micros at, std::function<void()>)> later;
    // Notify the machine's agent.
    std::function<void(const std::string& machine, const TaskKey&)> gang_complete;
    std::function<void(const std::string& machine, const TaskKey&, ExitReason, bool saved)> exit;
    std::function<void(const TaskKey&)> done;  // called before `exit`
  };
  TaskEmulator(const Scenario& scenario, uint64_t seed, Hooks hooks)
      : scenario_(scenario), random_(seed), hooks_(std::move(hooks)) {}

  // `failing_share`: the share of its tasks that fail on every machine.
  void AddJob(const JobSpec& spec, Micros run, double failing_share) {
    jobs_[spec.id] = Job{spec, run, failing_share, {}, {}, {}, {}};
  }
  const JobSpec* FindJob(const std::string& job) const {
    auto it = jobs_.find(job);
    return it == jobs_.end() ? nullptr : &it->second.spec;
  }
  // `machine_fails`: every task that this machine starts fails.
  void Launch(const std::string& machine, const TaskKey& task, bool machine_fails);
  void SaveCheckpoint(const std::string& machine, const TaskKey& task);
  void Kill(const TaskKey& task);  // ends it at once; its last periodic checkpoint is kept
  double useful_cpu_s() const { return useful_cpu_s_; }

 private:
  struct Member {
    std::string machine;
    bool checkpointing = false;
    Micros checkpoint_done_at;
  };
  struct Gang {  // of one attempt
    std::map<int, Member> members;
    bool running = false, failed = false, stopping = false;
    Micros started_at, stop_progress;  // stop_progress: when the first member was told to stop
    uint64_t serial = 0;
  };
  struct RunningTask {
    std::string machine;
    Micros started_at;
    uint64_t serial = 0;
  };
  struct Job {
    JobSpec spec;
    Micros run;
    double failing_share = 0;
    std::set<int> done;
    std::map<int, Micros> saved_progress;  // array task -> saved progress; a gang's is under 0
    std::map<TaskKey, RunningTask> running;
    std::map<uint64_t, Gang> gangs;
  };
  Micros LastCheckpoint(const Job& job, Micros progress) const;
  void CompleteTask(Job* job, const TaskKey& task);
  void FailGang(Job* job, uint64_t attempt);
  double RandomFraction() { return std::uniform_real_distribution<double>(0, 1)(random_); }

  const Scenario& scenario_;
  std::mt19937_64 random_;
  Hooks hooks_;
  std::map<std::string, Job> jobs_;
  uint64_t serial_ = 0;
  double useful_cpu_s_ = 0;
};

}  // namespace badgershore::rehearsal
