// One term: everything that the leading controller knows and decides, in parts that each own what
// they name. It reads the durable records, then answers reports and ticks its parts.
#pragma once

#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "core/frontend/mirror.h"
#include "core/leader/agent_client.h"
#include "core/leader/dispatch.h"
#include "core/leader/failure_detector.h"
#include "core/leader/fault_attribution.h"
#include "core/leader/gangs.h"
#include "core/leader/heartbeat_handler.h"
#include "core/leader/heartbeat_processor.h"
#include "core/leader/job_table.h"
#include "core/leader/machine_table.h"
#include "core/leader/part.h"
#include "core/leader/provisioner.h"
#include "core/leader/quota_checker.h"
#include "core/leader/quota_reservations.h"
#include "core/leader/reconciler.h"
#include "core/leader/recorder.h"
#include "core/leader/rights.h"
#include "core/leader/sharing.h"
#include "core/leader/supervisor.h"
#include "core/leader/usage_accounting.h"
#include "core/placement/autoscale.h"

namespace badgershore {

class Leader {
 public:
  // `context`: the outside; began, and the parts, are filled in here.
  Leader(LeaderContext context, Micros now, int64_t time_of_day_ms);
  ~Leader();

  void Tick(Micros now);
  // What to say to a report. kAnswerLater: the answer comes among the effects, by its token. Before
  // the records are read all answers wait: they would keep tasks alive of jobs that are cancelled.
  using HeartbeatOutcome = HeartbeatHandler::Outcome;
  HeartbeatOutcome HandleHeartbeat(Micros now, RequestId token, const Heartbeat& report,
                                   std::vector<Command>* orders);
  JobStatus Digest(const std::string& job) const { return job_table_.Digest(job); }
  std::vector<JobStatus> Digests() const { return job_table_.Digests(); }
  Micros ValidUntil(const std::vector<Command>& orders) const {
    return heartbeat_handler_.ValidUntil(orders);
  }
  // The term is over: whoever still waits for an answer is to look elsewhere.
  void RejectPending();
  void OnCell(Micros now, const limits::CellMessage& note) { rights_.OnNote(now, note); }
  void CallOff(Micros now, const std::string& job) { job_table_.CallOff(now, job); }
  // It is recorded: halts leave at once, though this leader may be the one that can't read it.
  void CalledOff(Micros now, const std::string& job) {
    job_table_.CallOff(now, job);
    job_table_.EndJob(now, job);
  }
  const Rights& rights() const { return rights_; }
  bool recording() const { return recorder_.writing(); }
  bool ready() const { return ready_; }
  bool ReceivesNoHeartbeats(Micros now) const {
    return ready_ && failure_detector_.ReceivesNoHeartbeats(now);
  }
  std::string Explain(Micros now, const std::string& job) const {
    return supervisor_.Explain(now, job);
  }
  // The first difference between the counts and a full recount; empty: none.
  std::string VerifyCounts() const { return usage_accounting_.VerifyCounts(); }

 private:
  void LoadPrefix(const std::string& prefix, const std::string& after);
  void Loaded(Micros now);
  void AnswerEarly(Micros now);

  LeaderContext context_;
  Micros ticked_at_{-1};
  bool ready_ = false;
  bool jobs_loaded_ = false;
  int loading_ = 2;
  struct Load {
    Micros at;
    std::string prefix, after;
  };
  std::vector<Load> load_again_;
  std::unique_ptr<Mirror> jobs_mirror_;
  std::unique_ptr<LeaderAuthority> authority_;
  struct EarlyReport {
    Micros at;
    RequestId token = 0;
    Heartbeat report;
  };
  std::deque<EarlyReport> early_;  // came before the records were read
  Autoscaler scaler_;
  FaultAttribution fault_attribution_;
  JobTable job_table_;
  UsageAccounting usage_accounting_;
  QuotaChecker quota_checker_;
  QuotaReservations quota_reservations_;
  MachineTable machine_table_;
  AgentClient agent_client_;
  HeartbeatProcessor heartbeat_processor_;
  Reconciler reconciler_;
  FailureDetector failure_detector_;
  Dispatch dispatch_;
  Gangs gangs_;
  Recorder recorder_;
  Provisioner provisioner_;
  Rights rights_;
  HeartbeatHandler heartbeat_handler_;
  Sharing sharing_;
  Supervisor supervisor_;
};

}  // namespace badgershore
