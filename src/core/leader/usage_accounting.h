// Accounting of the resources in use, or possibly in use, on the machines.
#pragma once

#include <array>
#include <map>
#include <string>

#include "core/leader/leader_component.h"
#include "core/model/fleet.h"
#include "core/model/jobs.h"
#include "core/model/per_team.h"

namespace badgershore {

inline constexpr size_t kPriorityCount = 4;  // number of Priority values

// Tracks the resource use of machines and teams and the task counts of jobs. Every change to a
// machine's allocations goes through this class, so that a team's use is known without iterating
// over the machines.
class UsageAccounting : public LeaderComponent {
 public:
  explicit UsageAccounting(const LeaderContext* context);

  // Places a waiting or queued task on the machine.
  Allocation* PlaceTask(Micros now, Machine* machine, Job* job, int task, uint64_t attempt);
  // Adds an allocation, replacing one of the same task and attempt. `job` is null if it has ended.
  Allocation* AddAllocation(Machine* machine, const TaskRef& ref, uint64_t attempt, Job* job);
  // The agent lists the allocation among its tasks that have not exited.
  void MarkConfirmed(Machine* machine, Allocation* allocation);
  // Sets any phase but kExited; see MarkExited().
  void SetPhase(Allocation* allocation, TaskPhase phase);
  void MarkExited(Machine* machine, Allocation* allocation, ExitReason reason);
  // Removes an allocation that is known not to be on the machine. Returns the next one.
  Allocations::iterator Remove(Machine* machine, Allocations::iterator it);
  void RemoveAll(Machine* machine);
  // The job has ended. Its allocations remain and count for its team until they are removed.
  void DetachJob(Machine* machine, const Job* job);
  // To be called when the machine becomes reconciled or unreconciled, and when its type becomes
  // known.
  void RefreshUncertainUse(Machine* machine);

  // Resources that the team's allocations use. Team -1: allocations without a known team.
  const Resources& Used(int team) const { return teams_[team].used; }
  // The part of Used() that gangs of a higher priority may preempt.
  const Resources& PreemptibleUse(int team, size_t priority) const {
    return teams_[team].preemptible[priority];
  }
  // Upper bound of what any team may use beyond the known allocations, on machines that are
  // unreconciled or run tasks of unknown jobs. An unreconciled machine counts with its whole size,
  // a reconciled one with its size less what its agent has confirmed. Starts that are only reserved
  // or sent are not subtracted, since unknown tasks may occupy their resources.
  const Resources& uncertain_use() const { return uncertain_use_; }
  // Machines that run tasks whose job, and therefore team, is unknown.
  int machines_with_unknown_tasks() const { return machines_with_unknown_tasks_; }
  // Some machine with uncertain use has an unknown type, so uncertain_use() is not an upper bound.
  bool IsUncertainUseUnbounded() const { return unbounded_machines_ > 0; }

  // A number that is unique among all attempts of all terms.
  uint64_t NextAttempt() { return (election()->term() << kAttemptBits) + ++attempts_; }

  // Compares the counts with a full recount. Describes the first difference; empty if there is
  // none.
  std::string VerifyCounts() const;

 private:
  static constexpr int kAttemptBits = 24;  // low bits of an attempt's number; the rest is the term

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

  // Subtracts an allocation that ends from its job's counts.
  void ReleaseFromJob(Allocation* allocation, const Machine& machine);
  void AddUse(Machine* machine, Allocation* allocation);
  void SubtractUse(Machine* machine, Allocation* allocation);
  // Also subtracts what an exited task still uses.
  void SubtractAllUse(Machine* machine, Allocation* allocation);
  void AddUnknownTasks(Machine* machine, int tasks);
  static void SubtractGangUse(Machine* machine, Allocation* allocation);

  static bool RecountMachine(const Machine& machine, Recount* recount);
  std::string VerifyTeams(const Recount& recount) const;
  std::string VerifyJobs(Recount* recount) const;

  PerTeam<TeamUse> teams_;
  Resources uncertain_use_;
  int unbounded_machines_ = 0;  // machines with uncertain use and of unknown type
  int machines_with_unknown_tasks_ = 0;
  uint64_t attempts_ = 0;  // in this term
};

}  // namespace badgershore
