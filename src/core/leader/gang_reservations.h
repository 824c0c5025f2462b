// Reservations of machines for waiting gangs.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "core/leader/leader_component.h"
#include "core/model/fleet.h"
#include "core/model/jobs.h"

namespace badgershore {

// The number of a gang's members that a machine is to run.
struct MachineShare {
  Machine* machine = nullptr;
  int members = 0;
};

// Reserves machines for waiting gangs and has them cleared. Tasks are spread evenly, which leaves
// no machine empty enough for a large member, so a gang would wait forever without a reservation. A
// gang reserves machines for all of its missing members or for none: two gangs that each held half
// of what they need would wait for each other forever. A machine is reserved only where the members
// will fit soon, and after a while it is open to other jobs again, see HoldPeriod.
class GangReservations : public LeaderComponent {
 public:
  using LeaderComponent::LeaderComponent;

  // Replaces the gang's reservation by the machines that cost least to clear, and preempts tasks
  // there as far as the gang may. A prioritized gang may also reserve machines where other gangs
  // run. It then waits until those have ended; other tasks keep running there until then.
  void ReserveFor(Micros now, Job* gang, bool prioritized);
  // Releases all machines reserved for the gang. Does nothing if there are none.
  void ReleaseReservation(Job* gang);
  // Replaces the gang's reservation by the machines that its next members will be placed on.
  void ReserveForPlacement(Job* gang, const std::vector<MachineShare>& shares);

 private:
  struct Candidate {
    Machine* machine;
    double cost;      // CPU-seconds, with penalties
    Resources room;   // once it has been cleared
    int members = 0;  // for which a selection reserves the machine
  };
  struct Selection {
    std::vector<Candidate> machines;
    double cost = 0;
  };
  Selection CheapestSelection(Micros now, const Job& gang, bool prioritized) const;
  std::vector<Candidate> Candidates(Micros now, const Job& gang, const std::string& zone,
                                    bool prioritized) const;
  static std::optional<Selection> Select(const Job& gang, const std::vector<Candidate>& candidates);
  bool RenewHolds(Micros now, const Job& gang, const Selection& selection) const;
  static bool Reserve(const Selection& selection, const Job& gang);
};

}  // namespace badgershore
