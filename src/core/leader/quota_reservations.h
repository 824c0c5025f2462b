// Reservations of teams' quota for gangs that wait for it.
#pragma once

#include <array>

#include "core/leader/leader_component.h"
#include "core/leader/usage_accounting.h"
#include "core/model/fleet.h"
#include "core/model/jobs.h"
#include "core/model/per_team.h"

namespace badgershore {

// While a gang waits for its team's limit, other work of no higher priority leaves its reservation
// free: smaller tasks would otherwise take each bit of quota that becomes free. The reservations
// are made anew in each tick.
class QuotaReservations : public LeaderComponent {
 public:
  explicit QuotaReservations(const LeaderContext* context);

  // Reserves quota for so many members of the gang; no effect if its team has no limit.
  void Reserve(const Job& gang, int members);
  // Drops all reservations.
  void Clear();
  // All that is reserved in the team.
  Resources Reserved(int team) const;
  // What is reserved in the job's team and has to be left free by the job.
  Resources ReservedBefore(const Job& job) const;

 private:
  struct TeamReservations {
    std::array<Resources, kPriorityCount> total;  // by the gangs' priority
    std::array<Resources, kPriorityCount> first;  // the first reservation of each priority
  };

  PerTeam<TeamReservations> teams_;
};

}  // namespace badgershore
