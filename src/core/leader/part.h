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

class AgentClient;
class Autoscaler;
class FailureDetector;
class FaultAttribution;
class JobTable;
class HeartbeatHandler;
class HeartbeatProcessor;
class Dispatch;
class Gangs;
class Reconciler;
class Recorder;
class Provisioner;
class QuotaChecker;
class QuotaReservations;
class Rights;
class MachineTable;
class Sharing;
class Supervisor;
class UsageAccounting;

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

  AgentClient* agent_client = nullptr;
  Autoscaler* scaler = nullptr;
  FailureDetector* failure_detector = nullptr;
  FaultAttribution* fault_attribution = nullptr;
  JobTable* job_table = nullptr;
  HeartbeatProcessor* heartbeat_processor = nullptr;
  HeartbeatHandler* heartbeat_handler = nullptr;
  Dispatch* dispatch = nullptr;
  Gangs* gangs = nullptr;
  Reconciler* reconciler = nullptr;
  Recorder* recorder = nullptr;
  Provisioner* provisioner = nullptr;
  QuotaChecker* quota_checker = nullptr;
  QuotaReservations* quota_reservations = nullptr;
  Rights* rights = nullptr;
  MachineTable* machine_table = nullptr;
  Sharing* sharing = nullptr;
  Supervisor* supervisor = nullptr;
  UsageAccounting* usage_accounting = nullptr;
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

  AgentClient& agent_client() const { return *context_->agent_client; }
  Autoscaler& scaler() const { return *context_->scaler; }
  FailureDetector& failure_detector() const { return *context_->failure_detector; }
  FaultAttribution& fault_attribution() const { return *context_->fault_attribution; }
  JobTable& job_table() const { return *context_->job_table; }
  HeartbeatProcessor& heartbeat_processor() const { return *context_->heartbeat_processor; }
  HeartbeatHandler& heartbeat_handler() const { return *context_->heartbeat_handler; }
  Dispatch& dispatch() const { return *context_->dispatch; }
  Gangs& gangs() const { return *context_->gangs; }
  Reconciler& reconciler() const { return *context_->reconciler; }
  Recorder& recorder() const { return *context_->recorder; }
  Provisioner& provisioner() const { return *context_->provisioner; }
  QuotaChecker& quota_checker() const { return *context_->quota_checker; }
  QuotaReservations& quota_reservations() const { return *context_->quota_reservations; }
  Rights& rights() const { return *context_->rights; }
  MachineTable& machine_table() const { return *context_->machine_table; }
  Sharing& sharing() const { return *context_->sharing; }
  Supervisor& supervisor() const { return *context_->supervisor; }
  UsageAccounting& usage_accounting() const { return *context_->usage_accounting; }

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
