// Places gangs on machines, all members at once.
#pragma once

#include <string>
#include <vector>

#include "core/leader/leader_component.h"
#include "core/model/fleet.h"
#include "core/model/jobs.h"

namespace badgershore {

// The zones to try in turn for placing all of a job's tasks. An empty name stands for all zones
// together.
std::vector<std::string> CandidateZones(const JobSpec& spec, const PlatformSettings& settings);

// Places all waiting members of a gang on machines, or none of them.
class GangPlacement : public LeaderComponent {
 public:
  using LeaderComponent::LeaderComponent;

  // Places all waiting members and releases the gang's reservation. Their starts are sent in the
  // responses to the machines' next heartbeats. Returns false, without any effect, if not all
  // members fit.
  bool Place(Micros now, Job* gang);

 private:
  struct MachineRoom {
    Machine* machine;
    Resources free;
  };
  bool IsOldAttemptListed(Micros now, const Job& gang, const std::vector<int>& members) const;
  std::vector<MachineRoom> MachinesWithRoom(Micros now, const Job& gang,
                                            const std::string& zone) const;
  std::vector<Machine*> ChooseMachines(const Job& gang, size_t members,
                                       std::vector<MachineRoom> rooms) const;
};

}  // namespace badgershore
