// Checks of teams' resource quotas.
#pragma once

#include <string>

#include "core/leader/leader_component.h"
#include "core/model/fleet.h"
#include "core/model/jobs.h"
#include "core/model/per_team.h"

namespace badgershore {

// Holds each team's limit and guarantee, and checks whether more tasks of a job fit within the
// limit. Uncertain use counts as used by every team, so that limits also hold during failovers.
class QuotaChecker : public LeaderComponent {
 public:
  explicit QuotaChecker(const LeaderContext* context);

  // The team's index in the settings; -1 if there is no team of this name.
  int TeamIndex(const std::string& name) const;

  // Replaces the team's quota, which is either that of the settings or this cell's share of it.
  // limits::kUnlimited: no limit.
  void SetQuota(int team, const Resources& limit, const Resources& guarantee);
  const Resources& Limit(int team) const { return quotas_[team].limit; }
  const Resources& Guarantee(int team) const { return quotas_[team].guarantee; }
  bool IsLimited(int team) const {
    return team >= 0 &&
           (Limit(team).cpu < limits::kUnlimited || Limit(team).gpu < limits::kUnlimited);
  }

  // Whether the team stays within its limit with `tasks` more tasks of the job, even if all
  // uncertain use is its own, and with what is reserved for gangs that go before the job.
  bool Allows(const Job& job, int tasks) const;
  // The resources that are missing for Allows() to hold; zero if it holds or the team has no limit.
  Resources Shortfall(const Job& job, int tasks) const;
  // Whether Allows() would hold once all of the team's preemptible tasks of lower priority were
  // preempted.
  bool AllowsAfterPreemption(const Job& job, int tasks) const;
  // The CPU, in millicores, that the team's gangs of this priority may still use within the limit,
  // including what they may preempt. INT64_MAX: no limit.
  int64_t RoomForGangs(int team, Priority priority) const;

  // The team's use, limit and reservations, for the log.
  std::string Describe(int team) const;
  // The same for all limited teams.
  std::string Summary() const;

 private:
  struct Quota {
    Resources limit, guarantee;
  };
  Resources UseWith(const Job& job, int tasks) const;

  PerTeam<Quota> quotas_;
};

}  // namespace badgershore
