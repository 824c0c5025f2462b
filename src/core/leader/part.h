// What the parts of a term have in common: the outside, and each other's calls. A part's state is
// its own; what others may know or bring about is in its public calls.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "core/frontend/asker.h"
#include "core/frontend/election.h"
#include "core/frontend/leader_authority.h"
#include "core/model/settings.h"
#include "core/model/types.h"

namespace badgershore {

class Autoscaler;
class Blame;
class JobTable;
class Checkins;
class Dispatch;
class GangPlacement;
class GangPreemption;
class GangQueue;
class GangReservations;
class GangScheduler;
class Occupancy;
class Recorder;
class Provisioner;
class Rights;
class MachineTable;
class FairShare;
class StuckJobDetector;

struct LeaderContext {
  Asker* asker = nullptr;
  const PlatformSettings* settings = nullptr;
  const Options* options = nullptr;
  Election* election = nullptr;
  const LeaderAuthority* authority = nullptr;
  std::map<std::string, MachineType>* types = nullptr;  // complete once `types_known`
  std::function<bool()> types_known;

  Micros began;
  int64_t began_ms = 0;  // the time of day then
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);

  Autoscaler* scaler = nullptr;
  Blame* blame = nullptr;
  JobTable* job_table = nullptr;
  Checkins* checkins = nullptr;
  Dispatch* dispatch = nullptr;
  GangPlacement* gang_placement = nullptr;
  GangPreemption* gang_preemption = nullptr;
  GangQueue* gang_queue = nullptr;
  GangReservations* gang_reservations = nullptr;
  GangScheduler* gang_scheduler = nullptr;
  Occupancy* occupancy = nullptr;
  Recorder* recorder = nullptr;
  Provisioner* provisioner = nullptr;
  Rights* rights = nullptr;
  MachineTable* machine_table = nullptr;
  FairShare* fair_share = nullptr;
  StuckJobDetector* stuck_job_detector = nullptr;
};

class Part {
 public:
  explicit Part(const LeaderContext* context) : context_(context) {}
  Part(const Part&) = delete;
  Part& operator=(const Part&) = delete;

 protected:
  Asker* asker() const { return context_->asker; }
  const PlatformSettings& settings() const { return *context_->settings; }
  const Options& options() const { return *context_->options; }
  Election* election() const { return context_->election; }
  const LeaderAuthority& authority() const { return *context_->authority; }
  std::map<std::string, MachineType>& types() const { return *context_->types; }
  bool types_known() const { return context_->types_known(); }
  Micros began() const { return context_->began; }
  int64_t began_ms() const { return context_->began_ms; }

  Autoscaler& scaler() const { return *context_->scaler; }
  Blame& blame() const { return *context_->blame; }
  JobTable& job_table() const { return *context_->job_table; }
  Checkins& checkins() const { return *context_->checkins; }
  Dispatch& dispatch() const { return *context_->dispatch; }
  GangPlacement& gang_placement() const { return *context_->gang_placement; }
  GangPreemption& gang_preemption() const { return *context_->gang_preemption; }
  GangQueue& gang_queue() const { return *context_->gang_queue; }
  GangReservations& gang_reservations() const { return *context_->gang_reservations; }
  GangScheduler& gang_scheduler() const { return *context_->gang_scheduler; }
  Occupancy& occupancy() const { return *context_->occupancy; }
  Recorder& recorder() const { return *context_->recorder; }
  Provisioner& provisioner() const { return *context_->provisioner; }
  Rights& rights() const { return *context_->rights; }
  MachineTable& machine_table() const { return *context_->machine_table; }
  FairShare& fair_share() const { return *context_->fair_share; }
  StuckJobDetector& stuck_job_detector() const { return *context_->stuck_job_detector; }

  // Wraps a continuation so that it does nothing after the term.
  template <typename F>
  auto Guarded(F f) const {
    return [alive = context_->alive, f = std::move(f)](Micros now, auto& r) {
      if (*alive) f(now, r);
    };
  }

 private:
  const LeaderContext* context_;
};

}  // namespace badgershore
