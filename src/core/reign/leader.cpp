#include "core/reign/leader.h"

#include <cassert>

namespace badgershore {
namespace {

// Ticks come every tenth of a second; after such a gap this process has stood still, or its
// machine has.
constexpr Micros kStoodStill = Seconds(1);

}  // namespace

Leader::Leader(Reign reign, Micros now, int64_t time_of_day_ms)
    : reign_(std::move(reign)),
      scaler_(*reign_.options),
      blame_(&reign_),
      book_(&reign_),
      ledger_(&reign_),
      roster_(&reign_),
      dispatch_(&reign_),
      gangs_(&reign_),
      recorder_(&reign_, now),
      renter_(&reign_),
      rights_(&reign_),
      checkins_(&reign_),
      sharing_(&reign_),
      supervisor_(&reign_) {
  reign_.began = ticked_at_ = now;
  reign_.began_ms = time_of_day_ms;
  reign_.scaler = &scaler_;
  reign_.blame = &blame_;
  reign_.book = &book_;
  reign_.ledger = &ledger_;
  reign_.roster = &roster_;
  reign_.dispatch = &dispatch_;
  reign_.gangs = &gangs_;
  reign_.recorder = &recorder_;
  reign_.renter = &renter_;
  reign_.rights = &rights_;
  reign_.checkins = &checkins_;
  reign_.sharing = &sharing_;
  reign_.supervisor = &supervisor_;
  jobs_mirror_ = std::make_unique<Mirror>(
      reign_.asker, keys::kJob, [this](Micros t, const Entry& e) { book_.OnJobEntry(t, e); },
      [this](Micros) {
        if (std::exchange(jobs_loaded_, true)) return;
        // Progress is read after the jobs, so that each finds its job.
        LoadPrefix(keys::kProgress, "");
        LoadPrefix(keys::kFleet, "");
        if (rights_.alone()) return;
        ++loading_;
        LoadPrefix(keys::kLimits, "");
      });
}

Leader::~Leader() { *reign_.alive = false; }

void Leader::LoadPrefix(const std::string& prefix, const std::string& after) {
  StateOp op;
  op.kind = StateOp::Kind::kList;
  op.key = prefix;
  op.after = after;
  reign_.asker->State(op, [=, this, alive = reign_.alive](Micros now, StateReply& r) {
    if (!*alive) return;
    if (!r.ok()) return LoadPrefix(prefix, after);
    for (const Entry& e : r.entries) {
      recorder_.Load(now, e);
      rights_.Load(e);
    }
    if (r.more && !r.entries.empty()) return LoadPrefix(prefix, r.entries.back().key);
    Loaded(now);
  });
}

void Leader::Loaded(Micros now) {
  if (--loading_ > 0) return;
  ready_ = true;
  rights_.Begin(now);
  reign_.asker->Info("term " + std::to_string(reign_.election->term()) +
                     " ready: " + std::to_string(book_.jobs().size()) + " jobs, " +
                     std::to_string(roster_.machines().size()) + " machines on record");
  for (auto& [id, job] : book_.jobs()) {
    if (job->left() == 0) recorder_.Finish(id);
  }
  Tick(now);  // which begins to ask the unresolved machines
}

Leader::Verdict Leader::Checkin(Micros now, RequestId token, const Report& report,
                                std::vector<Order>* orders) {
  if (now >= checkins_.AnswerUntil()) return Verdict::kCannot;
  if (!ready_ || roster_.Buried(report.machine)) return Verdict::kAnswer;
  return checkins_.Take(now, token, report, orders);
}

void Leader::Tick(Micros now) {
  jobs_mirror_->Tick(now);
  const Micros gap = now - std::exchange(ticked_at_, now);
  if (!ready_) return;
  if (gap > kStoodStill) roster_.Awoke(now);
  roster_.Watch(now);
  if (!reign_.election->leads()) return;
  rights_.Tick(now);
  book_.MarkGuaranteed(now);
  sharing_.Tick(now);
  supervisor_.Tick(now);
  book_.NoteLeastNeed();
  gangs_.Tick(now);
  dispatch_.BindWaiting(now);
  checkins_.AnswerReady(now);
  recorder_.Write(now);
  renter_.Tick(now);
  assert(CountFault().empty());
}

}  // namespace badgershore
