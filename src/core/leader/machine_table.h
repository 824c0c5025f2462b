// The cluster's machines.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "core/leader/leader_component.h"
#include "core/model/fleet.h"

namespace badgershore {

// Owns the machines known in this term, from when they are first seen until the cloud has removed
// them.
class MachineTable : public LeaderComponent {
 public:
  using LeaderComponent::LeaderComponent;
  using Machines = std::map<std::string, std::unique_ptr<Machine>>;  // by id

  const Machines& machines() const { return machines_; }
  // Null if the machine is unknown.
  Machine* Find(const std::string& id) const;
  // Returns the machine, and adds it if it is unknown.
  Machine* FindOrAdd(Micros now, const MachineRecord& record);
  // Adds a machine from its durable record. An earlier leader may have started tasks on it, so it
  // has to be reconciled.
  void Load(Micros now, const MachineRecord& record);
  // The cloud has confirmed that the machine no longer exists.
  void Remove(Micros now, const std::string& id);
  // Scales in: asks the cloud to terminate the machine. No effect without a confirmed lease.
  void ReleaseMachine(Micros now, Machine* machine, const std::string& reason);

  // Whether tasks may be started on the machine.
  bool IsReady(const Machine& machine, Micros now) const;
  // Number of machines and of allocations on them: the cost of looking at all of them once.
  size_t ScanCost() const;
  // Looks up the machine's type, if it is not known yet.
  void UpdateType(Machine* machine);
  // The allocation is known not to be on the machine: requeues its task.
  void OnAllocationLost(Micros now, Machine* machine, const Allocation& allocation);
  // Removes all of the machine's allocations, which are known to have ended, and requeues their
  // tasks.
  void DropAllocations(Micros now, Machine* machine);

  // Whether the machine was removed recently, so that delayed messages about it may still arrive.
  bool IsTombstoned(const std::string& id) const { return tombstones_.contains(id); }
  // The cloud still lists a tombstoned machine. Returns whether to repeat its release now.
  bool ShouldRetryRelease(Micros now, const std::string& id);
  void ExpireTombstones(Micros now);

 private:
  Machines machines_;
  std::map<std::string, Micros> tombstones_;  // the time of removal or of the last retry, by id
};

}  // namespace badgershore
