// One term: everything that the leading controller knows and decides, in parts that each own what
// they name. It reads the durable records, then answers reports and ticks its parts.
#pragma once

#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "core/frontend/mirror.h"
#include "core/leader/blame.h"
#include "core/leader/checkins.h"
#include "core/leader/dispatch.h"
#include "core/leader/fair_share.h"
#include "core/leader/gang_placement.h"
#include "core/leader/gang_preemption.h"
#include "core/leader/gang_queue.h"
#include "core/leader/gang_reservations.h"
#include "core/leader/gang_scheduler.h"
#include "core/leader/job_table.h"
#include "core/leader/machine_table.h"
#include "core/leader/occupancy.h"
#include "core/leader/part.h"
#include "core/leader/provisioner.h"
#include "core/leader/recorder.h"
#include "core/leader/rights.h"
#include "core/leader/stuck_job_detector.h"
#include "core/placement/autoscale.h"

namespace badgershore {

class Leader {
 public:
  // `context`: the outside; began, and the parts, are filled in here.
  Leader(LeaderContext context, Micros now, int64_t time_of_day_ms);
  ~Leader();

  void Tick(Micros now);
  // What to say to a report. kLater: the answer comes among the effects, by its token. Before the
  // records are read all answers wait: they would keep tasks alive of jobs that are cancelled.
  using Verdict = Checkins::Verdict;
  Verdict Checkin(Micros now, RequestId token, const Heartbeat& report,
                  std::vector<Command>* orders);
  JobStatus Status(const std::string& job) const { return job_table_.Status(job); }
  std::vector<JobStatus> Statuses() const { return job_table_.Statuses(); }
  Micros GoodUntil(const std::vector<Command>& orders) const { return checkins_.GoodUntil(orders); }
  // The term is over: whoever still waits for an answer is to look elsewhere.
  void Dismiss();
  void OnCell(Micros now, const limits::CellMessage& note) { rights_.OnNote(now, note); }
  void MarkCancelPending(Micros now, const std::string& job) {
    job_table_.MarkCancelPending(now, job);
  }
  // It is recorded: halts leave at once, though this leader may be the one that can't read it.
  void EndCancelledJob(Micros now, const std::string& job) {
    job_table_.MarkCancelPending(now, job);
    job_table_.EndJob(now, job);
  }
  const Rights& rights() const { return rights_; }
  bool recording() const { return recorder_.writing(); }
  bool ready() const { return ready_; }
  bool Deaf(Micros now) const { return ready_ && machine_table_.Deaf(now); }
  std::string Explain(Micros now, const std::string& job) const {
    return stuck_job_detector_.Explain(now, job);
  }
  // Where the counts kept as things change differ from a full count; empty: nowhere.
  std::string CountFault() const { return occupancy_.Fault(); }

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
  Blame blame_;
  JobTable job_table_;
  Occupancy occupancy_;
  MachineTable machine_table_;
  Dispatch dispatch_;
  GangPlacement gang_placement_;
  GangPreemption gang_preemption_;
  GangQueue gang_queue_;
  GangReservations gang_reservations_;
  GangScheduler gang_scheduler_;
  Recorder recorder_;
  Provisioner provisioner_;
  Rights rights_;
  Checkins checkins_;
  FairShare fair_share_;
  StuckJobDetector stuck_job_detector_;
};

}  // namespace badgershore
