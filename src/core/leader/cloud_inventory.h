// The machine types and this cell's instances, as reported by the cloud.
#pragma once

#include <string>
#include <unordered_set>
#include <vector>

#include "core/leader/leader_component.h"
#include "core/model/fleet.h"

namespace badgershore {

// Polls the cloud, and updates the machine types and the machine table from its responses.
class CloudInventory : public LeaderComponent {
 public:
  using LeaderComponent::LeaderComponent;

  // Sends the polls that are due.
  void Tick(Micros now);

 private:
  void PollMachineTypes();
  void OnMachineTypes(Micros now, const CloudResponse& response);
  // Requests the instances whose ids come after `start_after`.
  void PollInstances(const std::string& start_after);
  void OnInstances(Micros now, const CloudResponse& response);
  void OnInstance(Micros now, const CloudInstance& instance);
  void ReleaseMissingMachines(Micros now);
  bool IsGone(Micros now, const Machine& machine) const;

  bool types_in_flight_ = false;
  Micros next_types_at_;
  bool instances_in_flight_ = false;
  Micros next_instances_at_;
  std::unordered_set<std::string> listed_ids_;  // from the pages of the current list so far
};

}  // namespace badgershore
