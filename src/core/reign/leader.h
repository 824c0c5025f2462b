// One reign: everything that the leading controller knows and decides, in parts that each own what
// they name. It reads the durable records, then answers reports and ticks its parts.
#pragma once

#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "core/desk/mirror.h"
#include "core/place/autoscale.h"
#include "core/reign/blame.h"
#include "core/reign/book.h"
#include "core/reign/checkins.h"
#include "core/reign/dispatch.h"
#include "core/reign/gangs.h"
#include "core/reign/ledger.h"
#include "core/reign/part.h"
#include "core/reign/recorder.h"
#include "core/reign/renter.h"
#include "core/reign/rights.h"
#include "core/reign/roster.h"
#include "core/reign/sharing.h"
#include "core/reign/supervisor.h"

namespace badgershore {

class Leader {
 public:
  // `reign`: the outside; began, and the parts, are filled in here.
  Leader(Reign reign, Micros now, int64_t time_of_day_ms);
  ~Leader();

  void Tick(Micros now);
  // What to say to a report. kLater: the answer comes among the effects, by its token. Before the
  // records are read all answers wait: they would keep tasks alive of jobs that are cancelled.
  using Verdict = Checkins::Verdict;
  Verdict Checkin(Micros now, RequestId token, const Report& report, std::vector<Order>* orders);
  JobDigest Digest(const std::string& job) const { return book_.Digest(job); }
  std::vector<JobDigest> Digests() const { return book_.Digests(); }
  Micros GoodUntil(const std::vector<Order>& orders) const { return checkins_.GoodUntil(orders); }
  // The reign is over: whoever still waits for an answer is to look elsewhere.
  void Dismiss();
  void OnCell(Micros now, const limits::CellNote& note) { rights_.OnNote(now, note); }
  void CallOff(Micros now, const std::string& job) { book_.CallOff(now, job); }
  // It is recorded: halts leave at once, though this leader may be the one that can't read it.
  void CalledOff(Micros now, const std::string& job) {
    book_.CallOff(now, job);
    book_.EndJob(now, job);
  }
  const Rights& rights() const { return rights_; }
  bool recording() const { return recorder_.writing(); }
  bool ready() const { return ready_; }
  bool Deaf(Micros now) const { return ready_ && roster_.Deaf(now); }
  std::string Explain(Micros now, const std::string& job) const {
    return supervisor_.Explain(now, job);
  }
  // Where the counts kept as things change differ from a full count; empty: nowhere.
  std::string CountFault() const { return ledger_.Fault(); }

 private:
  void LoadPrefix(const std::string& prefix, const std::string& after);
  void Loaded(Micros now);
  void AnswerEarly(Micros now);

  Reign reign_;
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
  std::unique_ptr<Warrant> warrant_;
  struct EarlyReport {
    Micros at;
    RequestId token = 0;
    Report report;
  };
  std::deque<EarlyReport> early_;  // came before the records were read
  Autoscaler scaler_;
  Blame blame_;
  Book book_;
  Ledger ledger_;
  Roster roster_;
  Dispatch dispatch_;
  Gangs gangs_;
  Recorder recorder_;
  Renter renter_;
  Rights rights_;
  Checkins checkins_;
  Sharing sharing_;
  Supervisor supervisor_;
};

}  // namespace badgershore
