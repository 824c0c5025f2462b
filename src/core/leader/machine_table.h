// The cluster's machines.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "core/leader/leader_component.h"
#include "core/model/fleet.h"

namespace badgershore {

// Owns the machines known in this term, from their first mention until the cloud has removed them.
class MachineTable : public LeaderComponent {
 public:
  using LeaderComponent::LeaderComponent;
  using Machines = std::map<std::string, std::unique_ptr<Machine>>;  // by id

  const Machines& machines() const { return machines_; }
  // Null: not known.
  Machine* Find(const std::string& id) const;
  // Adds the machine unless it is known.
  Machine* FindOrAdd(Micros now, const MachineRecord& record);
  // Adds a machine from its durable record. An earlier leader may have started tasks on it, so it
  // has to be reconciled.
  void Load(Micros now, const MachineRecord& record);
  // The cloud has confirmed that the machine no longer exists.
  void Remove(Micros now, const std::string& id);
  // Scales in: asks the cloud to terminate the machine. No effect without a confirmed lease.
  void ReleaseMachine(Micros now, Machine* machine, const std::string& reason);

  // May be given tasks.
  bool IsReady(const Machine& machine, Micros now) const;
  // Looks up the machine's type, if it is not known yet.
  void UpdateType(Machine* machine);
  // The allocation is proved not to be on the machine: its task returns to the queue.
  void OnAllocationLost(Micros now, Machine* machine, const Allocation& allocation);
  // All of the machine's allocations are proved to have ended.
  void DropAllocations(Micros now, Machine* machine);

  // Was removed a short while ago; messages about it may still arrive.
  bool IsTombstoned(const std::string& id) const { return tombstones_.contains(id); }
  // A tombstoned machine is still listed by the cloud. True: its release has to be repeated now.
  bool ShouldRetryRelease(Micros now, const std::string& id);
  void ExpireTombstones(Micros now);

 private:
  Machines machines_;
  std::map<std::string, Micros> tombstones_;  // the time of removal or of the last retry, by id
};

}  // namespace badgershore
