// Places gangs on machines, all members at once.
#pragma once

#include <string>
#include <vector>

#include "core/leader/gang_reservations.h"
#include "core/leader/leader_component.h"
#include "core/model/fleet.h"
#include "core/model/jobs.h"

namespace badgershore {

// The zones to try in turn for placing all of a job's tasks. An empty name stands for all zones
// together.
std::vector<std::string> CandidateZones(const JobSpec& spec, const PlatformSettings& settings);

// Places all waiting members of a gang on machines, or none of them. The members of a very large
// gang are placed in several steps, for which the machines are reserved.
class GangPlacement : public LeaderComponent {
 public:
  using LeaderComponent::LeaderComponent;

  // Limit on the members placed in one step.
  static constexpr int kMaxMembersPerStep = 4096;

  // Places the waiting members if all of them fit, and releases the gang's reservation. If there
  // are too many for one step, sets Job::is_being_placed and has to be called again. The starts are
  // sent in the responses to the machines' next heartbeats.
  void Place(Micros now, Job* gang);

 private:
  struct MachineRoom {
    Machine* machine;
    Resources free;
  };
  bool IsOldAttemptListed(Micros now, const Job& gang) const;
  std::vector<MachineRoom> MachinesWithRoom(Micros now, const Job& gang,
                                            const std::string& zone) const;
  std::vector<MachineShare> ChooseMachines(const Job& gang, int members,
                                           std::vector<MachineRoom> rooms) const;
  std::vector<MachineShare> FindMachines(Micros now, const Job& gang, int members) const;
  void PlaceMembers(Micros now, Job* gang, const std::vector<int>& members,
                    std::vector<MachineShare> shares);
};

}  // namespace badgershore
