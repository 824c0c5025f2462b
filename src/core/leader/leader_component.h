// Base class of the leader's components. It gives access to the objects that outlive a term and to
// the other components. Each component owns its state; others use only its public functions.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "core/election/election.h"
#include "core/election/leader_authority.h"
#include "core/model/settings.h"
#include "core/model/types.h"
#include "core/outbox/outbox.h"
#include "core/outbox/state_limits.h"

namespace badgershore {

class AgentClient;
class Autoscaler;
class FailureDetector;
class FaultAttribution;
class JobTable;
class HeartbeatHandler;
class HeartbeatProcessor;
class Dispatch;
class GangPlacement;
class GangPreemption;
class GangQueue;
class GangReservations;
class GangScheduler;
class QuotaChecker;
class QuotaLog;
class QuotaReservations;
class Reconciler;
class UsageAccounting;
class RecordWriter;
class Provisioner;
class QuotaShares;
class MachineTable;
class FairShare;
class StuckJobDetector;

struct LeaderContext {
  Outbox* outbox = nullptr;
  const PlatformSettings* settings = nullptr;
  const Options* options = nullptr;
  Election* election = nullptr;
  StateLimits* state_limits = nullptr;
  const LeaderAuthority* authority = nullptr;
  std::map<std::string, MachineType>* types = nullptr;  // complete once `types_known`
  std::function<bool()> types_known;

  Micros term_began_at;
  int64_t term_began_ms = 0;  // time of day at `term_began_at`, in milliseconds
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);

  AgentClient* agent_client = nullptr;
  Autoscaler* scaler = nullptr;
  FailureDetector* failure_detector = nullptr;
  FaultAttribution* fault_attribution = nullptr;
  JobTable* job_table = nullptr;
  HeartbeatProcessor* heartbeat_processor = nullptr;
  HeartbeatHandler* heartbeat_handler = nullptr;
  Dispatch* dispatch = nullptr;
  GangPlacement* gang_placement = nullptr;
  GangPreemption* gang_preemption = nullptr;
  GangQueue* gang_queue = nullptr;
  GangReservations* gang_reservations = nullptr;
  GangScheduler* gang_scheduler = nullptr;
  QuotaChecker* quota_checker = nullptr;
  QuotaLog* quota_log = nullptr;
  QuotaReservations* quota_reservations = nullptr;
  Reconciler* reconciler = nullptr;
  UsageAccounting* usage_accounting = nullptr;
  RecordWriter* record_writer = nullptr;
  Provisioner* provisioner = nullptr;
  QuotaShares* quota_shares = nullptr;
  MachineTable* machine_table = nullptr;
  FairShare* fair_share = nullptr;
  StuckJobDetector* stuck_job_detector = nullptr;
};

class LeaderComponent {
 public:
  explicit LeaderComponent(const LeaderContext* context) : context_(context) {}
  LeaderComponent(const LeaderComponent&) = delete;
  LeaderComponent& operator=(const LeaderComponent&) = delete;

 protected:
  Outbox* outbox() const { return context_->outbox; }
  const PlatformSettings& settings() const { return *context_->settings; }
  const Options& options() const { return *context_->options; }
  Election* election() const { return context_->election; }
  StateLimits& state_limits() const { return *context_->state_limits; }
  const LeaderAuthority& authority() const { return *context_->authority; }
  std::map<std::string, MachineType>& types() const { return *context_->types; }
  bool types_known() const { return context_->types_known(); }
  Micros term_began_at() const { return context_->term_began_at; }
  int64_t term_began_ms() const { return context_->term_began_ms; }

  AgentClient& agent_client() const { return *context_->agent_client; }
  Autoscaler& scaler() const { return *context_->scaler; }
  FailureDetector& failure_detector() const { return *context_->failure_detector; }
  FaultAttribution& fault_attribution() const { return *context_->fault_attribution; }
  JobTable& job_table() const { return *context_->job_table; }
  HeartbeatProcessor& heartbeat_processor() const { return *context_->heartbeat_processor; }
  HeartbeatHandler& heartbeat_handler() const { return *context_->heartbeat_handler; }
  Dispatch& dispatch() const { return *context_->dispatch; }
  GangPlacement& gang_placement() const { return *context_->gang_placement; }
  GangPreemption& gang_preemption() const { return *context_->gang_preemption; }
  GangQueue& gang_queue() const { return *context_->gang_queue; }
  GangReservations& gang_reservations() const { return *context_->gang_reservations; }
  GangScheduler& gang_scheduler() const { return *context_->gang_scheduler; }
  QuotaChecker& quota_checker() const { return *context_->quota_checker; }
  QuotaLog& quota_log() const { return *context_->quota_log; }
  QuotaReservations& quota_reservations() const { return *context_->quota_reservations; }
  Reconciler& reconciler() const { return *context_->reconciler; }
  UsageAccounting& usage_accounting() const { return *context_->usage_accounting; }
  RecordWriter& record_writer() const { return *context_->record_writer; }
  Provisioner& provisioner() const { return *context_->provisioner; }
  QuotaShares& quota_shares() const { return *context_->quota_shares; }
  MachineTable& machine_table() const { return *context_->machine_table; }
  FairShare& fair_share() const { return *context_->fair_share; }
  StuckJobDetector& stuck_job_detector() const { return *context_->stuck_job_detector; }

  // Wraps a response callback so that it does nothing once the term has ended.
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
