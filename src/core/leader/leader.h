// One term of leadership. The leader's state and decisions are split into components that each own
// their state (see leader_component.h). The leader loads the durable records, then answers
// heartbeats and ticks its components in a fixed order.
#pragma once

#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "core/leader/agent_client.h"
#include "core/leader/dispatch.h"
#include "core/leader/failure_detector.h"
#include "core/leader/fair_share.h"
#include "core/leader/fault_attribution.h"
#include "core/leader/gang_placement.h"
#include "core/leader/gang_preemption.h"
#include "core/leader/gang_queue.h"
#include "core/leader/gang_reservations.h"
#include "core/leader/gang_scheduler.h"
#include "core/leader/heartbeat_handler.h"
#include "core/leader/heartbeat_processor.h"
#include "core/leader/job_table.h"
#include "core/leader/leader_component.h"
#include "core/leader/machine_table.h"
#include "core/leader/provisioner.h"
#include "core/leader/quota_checker.h"
#include "core/leader/quota_log.h"
#include "core/leader/quota_reservations.h"
#include "core/leader/quota_shares.h"
#include "core/leader/reconciler.h"
#include "core/leader/record_writer.h"
#include "core/leader/stuck_job_detector.h"
#include "core/leader/usage_accounting.h"
#include "core/outbox/key_range_cache.h"
#include "core/placement/autoscaler.h"

namespace badgershore {

// Gauges of the current term, for GET /metrics.
struct LeaderGauges {
  uint64_t term = 0;  // the fencing token
  size_t unreconciled_machines = 0;
  int machines_with_unknown_tasks = 0;
  int64_t uncertain_millicores = 0;
  uint64_t uncertain_placements = 0;  // of limited teams' tasks, while use was uncertain
  size_t unwritable_records = 0;      // exceed the state service's limits
  Micros cancellations_age;           // all cancellations older than this are known
};

class Leader {
 public:
  // `context` holds the objects that outlive the term. The constructor sets the term's start and
  // the component pointers.
  Leader(LeaderContext context, Micros now, int64_t time_of_day_ms);
  ~Leader();

  void Tick(Micros now);
  // Answers a heartbeat. kAnswerLater: the response follows among the effects, under the request's
  // id. All answers wait until the records are loaded, since an answer would extend the agent lease
  // of tasks whose jobs may have been cancelled.
  using HeartbeatOutcome = HeartbeatHandler::Outcome;
  HeartbeatOutcome HandleHeartbeat(Micros now, RequestId request_id, const Heartbeat& heartbeat,
                                   std::vector<Command>* commands);
  JobStatus Status(const std::string& job) const { return job_table_.Status(job); }
  std::vector<JobStatus> Statuses() const { return job_table_.Statuses(); }
  Micros ValidUntil(const std::vector<Command>& commands) const {
    return heartbeat_handler_.ValidUntil(commands);
  }
  // Rejects all heartbeats that still wait for an answer; for the end of the term.
  void RejectPending();
  void OnCell(Micros now, const limits::CellMessage& message) {
    quota_shares_.OnMessage(now, message);
  }
  void MarkCancelPending(Micros now, const std::string& job) {
    job_table_.MarkCancelPending(now, job);
  }
  // The job's cancellation is durable: stops its tasks at once, even if this leader can't read the
  // record itself.
  void EndCancelledJob(Micros now, const std::string& job) { job_table_.EndCancelledJob(now, job); }
  // Whether the jobs of all starts among the commands are still live.
  bool MayStart(const std::vector<Command>& commands) const;
  const QuotaShares& quota_shares() const { return quota_shares_; }
  bool recording() const { return record_writer_.IsWriteInFlight(); }
  bool ready() const { return ready_; }
  LeaderGauges Gauges(Micros now) const;
  bool ReceivesNoHeartbeats(Micros now) const {
    return ready_ && failure_detector_.ReceivesNoHeartbeats(now);
  }
  std::string Explain(Micros now, const std::string& job) const {
    return stuck_job_detector_.ExplainJobState(now, job);
  }
  // Describes the first difference between the counts and a full recount; empty if there is none.
  std::string VerifyCounts() const { return usage_accounting_.VerifyCounts(); }

 private:
  void ConnectComponents();
  void FollowJobRecords();
  void LoadPrefix(const std::string& prefix, const std::string& after);
  void OnPrefixLoaded(Micros now);
  void AnswerEarlyHeartbeats(Micros now);
  void RetryFailedLoads(Micros now);
  void RejectExpiredEarlyHeartbeats(Micros now);
  void Schedule(Micros now);

  LeaderContext context_;
  Micros last_tick_at_{-1};
  bool ready_ = false;
  bool jobs_loaded_ = false;
  int pending_loads_ = 2;
  struct FailedLoad {
    Micros retry_at;
    std::string prefix, after;
  };
  std::vector<FailedLoad> failed_loads_;
  std::unique_ptr<KeyRangeCache> jobs_cache_;
  std::unique_ptr<LeaderAuthority> authority_;
  struct EarlyHeartbeat {
    Micros received_at;
    RequestId request_id = 0;
    Heartbeat heartbeat;
  };
  std::deque<EarlyHeartbeat> early_heartbeats_;  // arrived before the records were loaded
  Autoscaler scaler_;
  FaultAttribution fault_attribution_;
  JobTable job_table_;
  UsageAccounting usage_accounting_;
  QuotaChecker quota_checker_;
  QuotaLog quota_log_;
  QuotaReservations quota_reservations_;
  MachineTable machine_table_;
  AgentClient agent_client_;
  HeartbeatProcessor heartbeat_processor_;
  Reconciler reconciler_;
  FailureDetector failure_detector_;
  Dispatch dispatch_;
  GangPlacement gang_placement_;
  GangPreemption gang_preemption_;
  GangQueue gang_queue_;
  GangReservations gang_reservations_;
  GangScheduler gang_scheduler_;
  RecordWriter record_writer_;
  Provisioner provisioner_;
  QuotaShares quota_shares_;
  HeartbeatHandler heartbeat_handler_;
  FairShare fair_share_;
  StuckJobDetector stuck_job_detector_;
};

}  // namespace badgershore
