// Accounting of what runs, or may run, on the machines.
#pragma once

#include <array>
#include <map>
#include <string>

#include "core/leader/leader_component.h"
#include "core/model/fleet.h"
#include "core/model/jobs.h"
#include "core/model/per_team.h"

namespace badgershore {

inline constexpr size_t kPriorityCount = 4;  // values of Priority

// Keeps the resource use of machines and teams and the task counts of jobs. Every change to a
// machine's allocations goes through this class, so that a team's use is known without looking at
// the machines.
class UsageAccounting : public LeaderComponent {
 public:
  explicit UsageAccounting(const LeaderContext* context);
  using Allocations = std::map<TaskKey, Allocation>;

  // Places a waiting or queued task on the machine.
  Allocation* PlaceTask(Micros now, Machine* machine, Job* job, int task, uint64_t attempt);
  // Adds an allocation, replacing one of the same task and attempt. `job` is null if it is over.
  Allocation* AddAllocation(Machine* machine, const TaskRef& ref, uint64_t attempt, Job* job);
  // The agent lists the allocation among its tasks that have not exited.
  void MarkConfirmed(Machine* machine, Allocation* allocation);
  // Sets any phase but kExited; see MarkExited().
  void SetPhase(Allocation* allocation, TaskPhase phase);
  void MarkExited(Machine* machine, Allocation* allocation, ExitReason reason);
  // Removes an allocation that is proved not to be on the machine. Returns the next one.
  Allocations::iterator Remove(Machine* machine, Allocations::iterator it);
  void RemoveAll(Machine* machine);
  // The job is over. Its allocations remain and count for its team until they are removed.
  void DetachJob(Machine* machine, const Job* job);
  // Call this when the machine has been reconciled or has to be, and when its type becomes known.
  void RefreshUncertainUse(Machine* machine);

  // What the team's allocations use; -1: those of no known team.
  const Resources& Used(int team) const { return teams_[team].used; }
  // The part of Used() that gangs of a higher priority may preempt.
  const Resources& PreemptibleUse(int team, size_t priority) const {
    return teams_[team].preemptible[priority];
  }
  // What may be in use beyond the known allocations, by any team: on machines that are not
  // reconciled or that run tasks of unknown jobs. Bounded by the machines' sizes, on reconciled
  // ones less what the agents have confirmed: a start that is reserved or sent may find no room
  // there.
  const Resources& uncertain_use() const { return uncertain_use_; }
  // Machines that run tasks whose job, and so team, is not known.
  int machines_with_unknown_tasks() const { return machines_with_unknown_tasks_; }
  // Some machine with uncertain use has an unknown type, so uncertain_use() is no bound.
  bool IsUncertainUseUnbounded() const { return unbounded_machines_ > 0; }

  // The job's zone constraints allow another task in this zone.
  bool ZoneAllows(const Job& job, const std::string& zone) const;
  // A number that is unique among all attempts of all terms.
  uint64_t NextAttempt() { return (election()->term() << kAttemptBits) + ++attempts_; }

  // Compares the counts with a full recount. Empty: equal; else describes the first difference.
  std::string VerifyCounts() const;

 private:
  static constexpr int kAttemptBits = 24;  // of an attempt's number; the rest is the term

  struct TeamUse {
    Resources used;
    std::array<Resources, kPriorityCount> preemptible;  // by priority
  };
  struct JobTasks {
    int placed = 0;
    int running = 0;
    std::map<std::string, int> by_zone;
  };
  struct Recount {
    explicit Recount(size_t known_teams) : teams(known_teams) {}
    PerTeam<TeamUse> teams;
    std::map<const Job*, JobTasks> jobs;
    Resources uncertain_use;
  };

  // Takes an allocation that ends out of its job's counts.
  void ReleaseFromJob(Allocation* allocation, const Machine& machine);
  void AddUse(Machine* machine, Allocation* allocation);
  void SubtractUse(Machine* machine, Allocation* allocation);
  void AddUnknownTasks(Machine* machine, int tasks);

  static bool RecountMachine(const Machine& machine, Recount* recount);
  std::string VerifyTeams(const Recount& recount) const;
  std::string VerifyJobs(Recount* recount) const;

  PerTeam<TeamUse> teams_;
  Resources uncertain_use_;
  int unbounded_machines_ = 0;  // uncertain ones of unknown type
  int machines_with_unknown_tasks_ = 0;
  uint64_t attempts_ = 0;  // in this term
};

}  // namespace badgershore
