// Breakdown of machine time in this term, by machine type, for the log.
#pragma once

#include <map>

#include "core/leader/leader_component.h"
#include "core/model/fleet.h"
#include "core/placement/scaling_types.h"

namespace badgershore {

// Sums up machine time over the term. Only for the log: no decision depends on it.
class MachineTimeAccounting : public LeaderComponent {
 public:
  using LeaderComponent::LeaderComponent;

  // Adds the time since the last call. The machines' state is assumed unchanged since then.
  void Update(Micros now);
  // One line for each machine type.
  void Log() const;

 private:
  // Machine seconds. The shares of a machine's time are by CPU.
  struct Usage {
    double held = 0;
    double booting = 0;
    double running = 0;
    double fetching_images = 0;
    double no_queued_work = 0;  // unused while no task waited
  };
  bool HasQueuedWork() const;
  static void AddMachine(const Machine& machine, double seconds, bool has_queued_work,
                         Usage* usage);

  std::map<InstanceOffer, Usage> usage_;  // the offers' zones are empty
  Micros updated_at_;                     // 0 before the first update
};

}  // namespace badgershore
