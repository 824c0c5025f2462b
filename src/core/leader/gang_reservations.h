// Machines reserved for gangs that wait.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "core/leader/leader_component.h"
#include "core/model/fleet.h"
#include "core/model/jobs.h"

namespace badgershore {

// Reserves machines for waiting gangs and has them cleared. Even spreading leaves no machine empty
// enough for a large member, so a gang would wait for ever without a reservation. A gang reserves
// machines for all of its missing members or none: two gangs that each held half of what they need
// would wait for each other.
class GangReservations : public LeaderComponent {
 public:
  using LeaderComponent::LeaderComponent;

  // Replaces the gang's reservation by the machines that cost least to clear, and preempts lower
  // work there. A prioritized gang may also reserve machines where other gangs run: it waits for
  // their end, and other work goes on there until then.
  void ReserveFor(Micros now, Job* gang, bool prioritized);
  // Gives up all machines reserved for the gang. Does nothing if it has none.
  void ReleaseReservation(Job* gang);

 private:
  struct Candidate {
    Machine* machine;
    double cost;  // CPU-seconds, with penalties
  };
  struct Selection {
    std::vector<Candidate> machines;
    double cost = 0;
  };
  Selection CheapestSelection(Micros now, const Job& gang, bool prioritized) const;
  std::vector<Candidate> Candidates(Micros now, const Job& gang, const std::string& zone,
                                    bool prioritized) const;
  std::optional<Selection> Select(const Job& gang, const std::vector<Candidate>& candidates,
                                  bool prioritized) const;
  bool Reserve(const Selection& selection, const Job& gang, bool prioritized);
};

}  // namespace badgershore
