#include "core/leader/machine_time_accounting.h"

#include <string>

#include "core/leader/job_table.h"
#include "core/leader/machine_table.h"

namespace badgershore {
namespace {

std::string Percent(double part, double whole) {
  return std::to_string(static_cast<int>(100 * part / whole)) + "%";
}

}  // namespace

void MachineTimeAccounting::Update(Micros now) {
  const double seconds = updated_at_.count == 0 ? 0 : (now - updated_at_).ToSeconds();
  updated_at_ = now;
  const bool has_queued_work = HasQueuedWork();
  for (auto& [id, machine] : machine_table().machines()) {
    if (!machine->type || machine->type->size.cpu == 0) continue;
    Usage& usage = usage_[InstanceOffer{machine->type_name, "", machine->spot}];
    AddMachine(*machine, seconds, has_queued_work, &usage);
  }
}

bool MachineTimeAccounting::HasQueuedWork() const {
  for (auto& [id, job] : job_table().jobs()) {
    if (job->queued > 0 || !job->waiting.empty()) return true;
  }
  return false;
}

void MachineTimeAccounting::AddMachine(const Machine& machine, double seconds, bool has_queued_work,
                                       Usage* usage) {
  usage->held += seconds;
  if (machine.stage == MachineStage::kBooting) {
    usage->booting += seconds;
    return;
  }
  const auto machine_cpu = static_cast<double>(machine.type->size.cpu);
  if (!has_queued_work) {
    const Resources unused = machine.type->Capacity() - machine.Used();
    usage->no_queued_work += seconds * static_cast<double>(unused.cpu) / machine_cpu;
  }
  for (const auto& [key, allocation] : machine.allocations) {
    const double share = static_cast<double>(allocation.need.cpu) / machine_cpu * seconds;
    if (allocation.phase == TaskPhase::kRunning) usage->running += share;
    if (allocation.phase == TaskPhase::kFetchingImage ||
        allocation.phase == TaskPhase::kStartSent) {
      usage->fetching_images += share;
    }
  }
}

void MachineTimeAccounting::Log() const {
  for (const auto& [offer, usage] : usage_) {
    if (usage.held <= 0) continue;
    outbox()->Debug("machine time of " + offer.type + (offer.spot ? " (spot)" : "") + ": " +
                    std::to_string(static_cast<int>(usage.held)) + " s, booting " +
                    Percent(usage.booting, usage.held) + ", running " +
                    Percent(usage.running, usage.held) + ", fetching images " +
                    Percent(usage.fetching_images, usage.held) + ", no queued work " +
                    Percent(usage.no_queued_work, usage.held));
  }
}

}  // namespace badgershore
