// The order in which gangs are placed and reserve machines.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/leader/leader_component.h"
#include "core/model/jobs.h"

namespace badgershore {

// The unfinished gangs at one point in time, in the order in which they are served.
struct GangOrder {
  std::vector<Job*> gangs;
  std::map<int, const Job*> prioritized;  // by team; null: no gang has the team's priority turn

  // Whether the gang has its team's priority turn. The gang must be in `gangs`.
  bool IsPrioritized(const Job* gang) const { return prioritized.at(gang->team) == gang; }
};

// Orders gangs by priority, then shortest estimate first, with aging. Shortest first alone would
// starve the largest gangs, so each team regularly gives a priority turn to its largest aged gang.
class GangQueue : public LeaderComponent {
 public:
  using LeaderComponent::LeaderComponent;

  // The gangs to serve at `now`. May pass a team's priority turn to another gang.
  GangOrder ComputeOrder(Micros now);
  // To be called when a gang is placed of which no member was on any machine.
  void RecordStart(Micros now, const Job& gang, bool prioritized);

 private:
  struct PriorityTurn {
    std::string job_id;    // the gang that has the turn; empty: none
    int other_starts = 0;  // starts of the team's other gangs since the last turn was used
    Micros next_at;        // the next turn is due then, even if few other gangs have started
  };
  const Job* PrioritizedGang(Micros now, int team, const std::vector<Job*>& gangs);

  std::map<int, PriorityTurn> priority_turns_;  // by team
};

}  // namespace badgershore
