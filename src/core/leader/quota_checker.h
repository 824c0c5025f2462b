// Checks of teams' resource quotas.
#pragma once

#include <string>

#include "core/leader/leader_component.h"
#include "core/model/fleet.h"
#include "core/model/jobs.h"
#include "core/model/per_team.h"

namespace badgershore {

// Knows each team's limit and guarantee and tells whether more tasks of a job fit within the
// limit. Uncertain use counts as used by every team, so that a limit holds during failovers too.
class QuotaChecker : public LeaderComponent {
 public:
  explicit QuotaChecker(const LeaderContext* context);

  // The team's index in the settings; -1: none of this name.
  int TeamIndex(const std::string& name) const;

  // Replaces the team's quota: the settings' values, or this cell's share of them.
  // limits::kUnlimited: no limit.
  void SetQuota(int team, const Resources& limit, const Resources& guarantee);
  const Resources& Limit(int team) const { return quotas_[team].limit; }
  const Resources& Guarantee(int team) const { return quotas_[team].guarantee; }
  bool IsLimited(int team) const {
    return team >= 0 &&
           (Limit(team).cpu < limits::kUnlimited || Limit(team).gpu < limits::kUnlimited);
  }

  // The team stays within its limit with `tasks` more tasks of the job, whatever the uncertain
  // machines run, and leaves free what is reserved for gangs that go before the job.
  bool Allows(const Job& job, int tasks) const;
  // What Allows() is short of; zero if it holds or the team has no limit.
  Resources Shortfall(const Job& job, int tasks) const;
  // Allows() would hold after preempting all of the team's preemptible tasks of lower priority.
  bool AllowsAfterPreemption(const Job& job, int tasks) const;
  // The CPU, in millicores, that the team's gangs of this priority may still take within the
  // limit, by preemption if need be. INT64_MAX: no limit.
  int64_t RoomForGangs(int team, Priority priority) const;

  // The team's use, limit and reservations, for the log.
  std::string Describe(int team) const;
  // The same of all limited teams.
  std::string Summary() const;

 private:
  struct Quota {
    Resources limit, guarantee;
  };
  Resources UseWith(const Job& job, int tasks) const;

  PerTeam<Quota> quotas_;
};

}  // namespace badgershore
