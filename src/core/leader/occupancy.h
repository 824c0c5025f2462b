// What is or may be on each machine: the only part that counts it. Every entry and every leaving
// of an occupant goes through here, so that a team's use is known without looking at machines.
#pragma once

#include <array>
#include <map>
#include <string>
#include <vector>

#include "core/leader/part.h"
#include "core/model/fleet.h"
#include "core/model/jobs.h"

namespace badgershore {

class Occupancy : public Part {
 public:
  explicit Occupancy(const LeaderContext* context);
  using Occupants = std::map<std::pair<TaskRef, uint64_t>, Allocation>;

  // The team's number in the settings; -1: none.
  int TeamOf(const std::string& name) const;
  // A waiting or queued task is put on a machine.
  Allocation* Place(Micros now, Machine* m, Job* job, int task, uint64_t attempt);
  // A report lists what was not known to be there; `job` null: of a job that is over.
  Allocation* Enter(Machine* m, const TaskRef& ref, uint64_t attempt, Job* job);
  void Became(Allocation* o, TaskPhase state);  // anything but exited
  void Exited(Machine* m, Allocation* o, ExitReason cause);
  // Proved not to be there, or not to come there any more. The next entry.
  Occupants::iterator Erase(Machine* m, Occupants::iterator it);
  void Clear(Machine* m);
  // The job is over; what of it is still there goes on counting for its team.
  void Disown(Machine* m, const Job* job);

  // A machine has become resolved or unresolved, or its type is known now.
  void Review(Machine* m);

  // What a team has on machines.
  const Resources& Used(int team) const { return teams_[static_cast<size_t>(team + 1)].used; }
  // What may be on machines beside that, of whatever team: on those that have not answered this
  // term, and where jobs run that are over. Bounded by the machines' sizes.
  const Resources& doubt() const { return doubt_; }
  // What the team may use at any moment, and what it is guaranteed: the settings' word, or this
  // cell's share of it. limits::kUnlimited: no limit.
  void SetRights(int team, const Resources& limit, const Resources& guarantee);
  const Resources& Guarantee(int team) const {
    return teams_[static_cast<size_t>(team + 1)].guarantee;
  }
  const Resources& Limit(int team) const { return teams_[static_cast<size_t>(team + 1)].limit; }
  bool Limited(int team) const {
    return team >= 0 &&
           (Limit(team).cpu < limits::kUnlimited || Limit(team).gpu < limits::kUnlimited);
  }

  // So many more tasks of the job keep its team within its limit, whatever may be running, and
  // leave gangs that go before it what they claim.
  bool LimitAllows(const Job& job, int more) const;
  // What is missing for that.
  Resources LimitShort(const Job& job, int more) const;
  // The limit would allow it once all of the team's work of lower rank that may be stopped is.
  bool LimitCouldAllow(const Job& job, int more) const;
  // CPU that the team's gangs of this rank may still take, by its limit.
  int64_t FirmRoom(int team, Priority rank) const;
  // A gang that waits for its team's limit: until all claims are dropped, other work of no higher
  // rank leaves it that much, or smaller tasks would take each bit that becomes free.
  void Claim(const Job& gang, int members);
  void DropClaims();
  bool ZoneAllows(const Job& job, const std::string& zone) const;
  uint64_t NextAttempt() { return (election()->term() << 24) + ++attempts_; }

  // Use and limits, for the log.
  std::string Summary() const;
  // Counts everything anew: where it differs from what was kept, and how. Empty: nowhere.
  std::string Fault() const;

 private:
  struct TeamCount {
    Resources used, limit, guarantee;
    std::array<Resources, 4> soft;    // of what is used: may be stopped for gangs, by rank
    std::array<Resources, 4> claims;  // by the claiming gangs' rank
    std::array<Resources, 4> first;   // the first claim of each rank
  };
  static size_t Index(int team) { return static_cast<size_t>(team); }
  Resources After(const Job& job, int more) const;
  void Vacate(Allocation* o, const Machine& m);
  void Count(Machine* m, Allocation* o);
  void Uncount(Machine* m, Allocation* o);

  std::vector<TeamCount> teams_;  // by team's number and one; the first is of no team
  Resources doubt_;
  int unbounded_ = 0;  // machines of unknown type that may hold anything
  uint64_t attempts_ = 0;
};

}  // namespace badgershore
