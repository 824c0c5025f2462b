#include "core/leader/cloud_inventory.h"

#include <algorithm>

#include "core/leader/machine_table.h"
#include "core/leader/provisioner.h"
#include "core/leader/record_writer.h"

namespace badgershore {
namespace {

constexpr Micros kTypesInterval = Seconds(30);
constexpr Micros kTypesRetryInterval = Seconds(2);
constexpr Micros kInstancesInterval = Seconds(2);
// A machine counts as gone after it has been missing from the list for twice the list lag plus this
// margin.
constexpr Micros kMissingMargin = Seconds(4);
constexpr Micros kNotMissing{-1};

// Prices change frequently. A change of prices alone does not justify a durable write.
bool DiffersOnlyInPrice(const MachineType& known, const MachineType& reported) {
  MachineType repriced = known;
  repriced.price = reported.price;
  repriced.spot_price = reported.spot_price;
  return repriced == reported;
}

}  // namespace

void CloudInventory::Tick(Micros now) {
  if (!types_in_flight_ && now >= next_types_at_) PollMachineTypes();
  if (!instances_in_flight_ && now >= next_instances_at_) {
    listed_ids_.clear();
    PollInstances("");
  }
}

void CloudInventory::PollMachineTypes() {
  types_in_flight_ = true;
  outbox()->SendCloud(CloudRequest{}, Guarded([this](Micros now, CloudResponse& response) {
                        types_in_flight_ = false;
                        next_types_at_ =
                            now + (response.ok() ? kTypesInterval : kTypesRetryInterval);
                        if (response.ok()) OnMachineTypes(now, response);
                      }));
}

void CloudInventory::OnMachineTypes(Micros, const CloudResponse& response) {
  bool changed = !types_known();
  std::map<std::string, MachineType> reported;
  for (const MachineType& type : response.types) {
    reported[type.name] = type;
    const auto known = types().find(type.name);
    if (known != types().end() && DiffersOnlyInPrice(known->second, type)) {
      known->second = type;
    } else {
      changed = true;
    }
  }
  record_writer().PersistMachineTypes(std::move(reported), changed);
}

void CloudInventory::PollInstances(const std::string& start_after) {
  instances_in_flight_ = true;
  CloudRequest request;
  request.kind = CloudRequest::Kind::kListInstances;
  request.start_after = start_after;
  outbox()->SendCloud(request, Guarded([this](Micros now, CloudResponse& response) {
                        instances_in_flight_ = false;
                        next_instances_at_ = now + kInstancesInterval;
                        if (response.ok()) OnInstances(now, response);
                      }));
}

void CloudInventory::OnInstances(Micros now, const CloudResponse& response) {
  for (const CloudInstance& instance : response.instances) {
    listed_ids_.insert(instance.id);
    OnInstance(now, instance);
  }
  if (response.has_more && !response.instances.empty()) {
    return PollInstances(response.instances.back().id);
  }
  ReleaseMissingMachines(now);
}

void CloudInventory::OnInstance(Micros now, const CloudInstance& instance) {
  if (machine_table().IsTombstoned(instance.id)) {
    // Scaled in long ago but still listed: repeat the request.
    if (machine_table().ShouldRetryRelease(now, instance.id))
      provisioner().RequestScaleIn(instance.id);
    return;
  }
  Machine* machine = machine_table().Find(instance.id);
  if (!machine) {
    machine = machine_table().FindOrAdd(
        now, {instance.id, instance.endpoint, instance.type, instance.zone, instance.spot});
    machine->rented_at = now - instance.age;
  }
  if (!machine->listed_by_cloud) {
    machine->listed_by_cloud = true;
    machine->rented_at = std::min(machine->rented_at, now - instance.age);
    if (machine->endpoint.empty()) machine->endpoint = instance.endpoint;
  }
  if (instance.phase == CloudInstance::Phase::kFailed) {
    machine_table().ReleaseMachine(now, machine, "the cloud reports that the instance has failed");
  }
}

// Once listed, an instance stays listed until it is gone. But a list may be older than the previous
// one, so a missing instance counts as gone only after a while.
void CloudInventory::ReleaseMissingMachines(Micros now) {
  for (auto& [id, machine] : machine_table().machines()) {
    if (!machine->listed_by_cloud || machine->stage == MachineStage::kTerminating) continue;
    if (listed_ids_.contains(id)) {
      machine->missing_since = kNotMissing;
    } else if (machine->missing_since.count < 0) {
      machine->missing_since = now;
    } else if (IsGone(now, *machine)) {
      machine_table().ReleaseMachine(now, machine.get(), "the cloud no longer lists the instance");
    }
  }
}

bool CloudInventory::IsGone(Micros now, const Machine& machine) const {
  return now - machine.missing_since > settings().cloud_list_lag.Scaled(2) + kMissingMargin &&
         now - machine.last_contact_at > options().silent_probe;
}

}  // namespace badgershore
