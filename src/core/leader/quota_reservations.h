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
// higher: otherwise smaller tasks would take all quota that becomes free, bit by bit. The
// reservations are rebuilt in each tick.
class QuotaReservations : public LeaderComponent {
 public:
  explicit QuotaReservations(const LeaderContext* context);

  // Reserves quota for this number of members of the gang; no effect if its team has no limit.
  void Reserve(const Job& gang, int members);
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
  };

  PerTeam<TeamReservations> teams_;
};

}  // namespace badgershore
