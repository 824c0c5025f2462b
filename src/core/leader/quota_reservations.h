// Reservations of teams' quota for waiting gangs.
#pragma once

#include <array>

#include "core/leader/leader_component.h"
#include "core/leader/usage_accounting.h"
#include "core/model/fleet.h"
#include "core/model/jobs.h"
#include "core/model/per_team.h"

namespace badgershore {

// While a gang waits for quota, its reservation can't be used by other jobs whose priority is not
// higher: otherwise smaller tasks would take all quota that becomes free, bit by bit. Quota is
// reserved only for gangs that can use it soon, and after a while a team's quota is open to its
// other jobs again, see HoldPeriod. The reservations are rebuilt in each tick.
class QuotaReservations : public LeaderComponent {
 public:
  explicit QuotaReservations(const LeaderContext* context);

  // Reserves quota for all members of a gang that waits; no effect if its team has no limit, or if
  // the quota has been reserved for too long.
  void ReserveForWaiting(Micros now, const Job& gang);
  // Reserves quota for members that are about to be placed.
  void ReserveForPlacement(const Job& gang, int members);
  // Whether the team's limit will allow all members soon: once tasks have ended that are expected
  // to end within a hold period. Replicas of services do not end.
  bool AllowsSoon(Micros now, const Job& gang);
  // Drops all reservations.
  void Clear();
  // The sum of the team's reservations.
  Resources Reserved(int team) const;
  // The sum of the reservations of the job's team that the job may not use.
  Resources ReservedBefore(const Job& job) const;

 private:
  struct TeamReservations {
    std::array<Resources, kPriorityCount> total;  // by the gangs' priority
    std::array<Resources, kPriorityCount> first;  // the first reservation of each priority
    HoldPeriod hold_period;
    // Of its tasks that are expected to end within the two hold periods, as of the last forecast.
    Resources ending_soon;
    Resources ending_later;
  };
  void Reserve(const Job& gang, int members);
  void ForecastEnds(Micros now);

  PerTeam<TeamReservations> teams_;
  Micros next_forecast_at_;
};

}  // namespace badgershore
