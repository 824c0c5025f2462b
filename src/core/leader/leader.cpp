#include "core/leader/leader.h"

#include <cassert>

namespace badgershore {
namespace {

// Ticks come every tenth of a second; after such a gap this process has stood still, or its
// machine has.
constexpr Micros kStoodStill = Seconds(1);

// A watch on the jobs without news is answered after so long: how old the knowledge of
// cancellations gets while nothing happens, for two requests a second.
constexpr Micros kNewsAtLeast = Millis(500);

constexpr Micros kLoadPause = Millis(300);

// So long a report waits for the records to be read, and so many of them.
constexpr Micros kEarlyPatience = Seconds(2);
constexpr size_t kMostEarly = 4096;

}  // namespace

Leader::Leader(LeaderContext context, Micros now, int64_t time_of_day_ms)
    : context_(std::move(context)),
      scaler_(*context_.options),
      fault_attribution_(&context_),
      job_table_(&context_),
      usage_accounting_(&context_),
      quota_checker_(&context_),
      quota_reservations_(&context_),
      machine_table_(&context_),
      agent_client_(&context_),
      heartbeat_processor_(&context_),
      reconciler_(&context_),
      failure_detector_(&context_),
      dispatch_(&context_),
      gang_placement_(&context_),
      gang_preemption_(&context_),
      gang_queue_(&context_),
      gang_reservations_(&context_),
      gang_scheduler_(&context_),
      record_writer_(&context_, now),
      provisioner_(&context_),
      quota_shares_(&context_),
      heartbeat_handler_(&context_),
      fair_share_(&context_),
      stuck_job_detector_(&context_) {
  context_.began = ticked_at_ = now;
  context_.began_ms = time_of_day_ms;
  context_.scaler = &scaler_;
  context_.fault_attribution = &fault_attribution_;
  context_.job_table = &job_table_;
  context_.usage_accounting = &usage_accounting_;
  context_.quota_checker = &quota_checker_;
  context_.quota_reservations = &quota_reservations_;
  context_.machine_table = &machine_table_;
  context_.agent_client = &agent_client_;
  context_.heartbeat_processor = &heartbeat_processor_;
  context_.reconciler = &reconciler_;
  context_.failure_detector = &failure_detector_;
  context_.dispatch = &dispatch_;
  context_.gang_placement = &gang_placement_;
  context_.gang_preemption = &gang_preemption_;
  context_.gang_queue = &gang_queue_;
  context_.gang_reservations = &gang_reservations_;
  context_.gang_scheduler = &gang_scheduler_;
  context_.record_writer = &record_writer_;
  context_.provisioner = &provisioner_;
  context_.quota_shares = &quota_shares_;
  context_.heartbeat_handler = &heartbeat_handler_;
  context_.fair_share = &fair_share_;
  context_.stuck_job_detector = &stuck_job_detector_;
  jobs_mirror_ = std::make_unique<KeyRangeCache>(
      context_.outbox, keys::kJob,
      [this](Micros t, const Entry& e) { job_table_.ApplyJobRecord(t, e); },
      [this](Micros) {
        if (std::exchange(jobs_loaded_, true)) return;
        // Progress is read after the jobs, so that each finds its job.
        LoadPrefix(keys::kProgress, "");
        LoadPrefix(keys::kFleet, "");
        if (quota_shares_.alone()) return;
        ++loading_;
        LoadPrefix(keys::kLimits, "");
      },
      kNewsAtLeast);
  authority_ = std::make_unique<LeaderAuthority>(
      context_.election, jobs_mirror_.get(), context_.settings->cancel_deadline,
      context_.settings->agent_lease, context_.options->lease);
  context_.authority = authority_.get();
}

Leader::~Leader() { *context_.alive = false; }

void Leader::LoadPrefix(const std::string& prefix, const std::string& after) {
  StateRequest op;
  op.kind = StateRequest::Kind::kList;
  op.key = prefix;
  op.start_after = after;
  context_.outbox->SendState(op, [=, this, alive = context_.alive](Micros now, StateResponse& r) {
    if (!*alive) return;
    // Not at once: in an outage that would use up the node's requests, and its users' with them.
    if (!r.ok()) return load_again_.push_back({now + kLoadPause, prefix, after});
    for (const Entry& e : r.entries) {
      record_writer_.Load(now, e);
      quota_shares_.Load(e);
    }
    if (r.has_more && !r.entries.empty()) return LoadPrefix(prefix, r.entries.back().key);
    Loaded(now);
  });
}

void Leader::Loaded(Micros now) {
  if (--loading_ > 0) return;
  ready_ = true;
  quota_shares_.Begin(now);
  context_.outbox->Info("term " + std::to_string(context_.election->term()) +
                        " ready: " + std::to_string(job_table_.jobs().size()) + " jobs, " +
                        std::to_string(machine_table_.machines().size()) + " machines on record");
  for (auto& [id, job] : job_table_.jobs()) {
    if (job->remaining() == 0) record_writer_.PersistJobEnd(id);
  }
  AnswerEarly(now);
  Tick(now);  // which begins to ask the unresolved machines
}

void Leader::AnswerEarly(Micros now) {
  for (EarlyReport& e : std::exchange(early_, {})) {
    HeartbeatResponse answer;
    answer.request_id = e.token;
    const HeartbeatOutcome outcome = HandleHeartbeat(now, e.token, e.report, &answer.commands);
    if (outcome == HeartbeatOutcome::kAnswerLater) continue;
    if (outcome == HeartbeatOutcome::kAnswer) {
      answer.status = 200;
      answer.fencing_token = context_.election->term();
      answer.valid_until = ValidUntil(answer.commands);
    }
    context_.outbox->effects.heartbeat_responses.push_back(std::move(answer));
  }
}

void Leader::RejectPending() {
  for (const EarlyReport& e : std::exchange(early_, {})) {
    context_.outbox->effects.heartbeat_responses.push_back({e.token, 503, "", 0, {}});
  }
  heartbeat_handler_.RejectPending();
}

Leader::HeartbeatOutcome Leader::HandleHeartbeat(Micros now, RequestId token,
                                                 const Heartbeat& report,
                                                 std::vector<Command>* orders) {
  if (!ready_) {
    if (early_.size() >= kMostEarly) return HeartbeatOutcome::kReject;
    early_.push_back({now, token, report});
    return HeartbeatOutcome::kAnswerLater;
  }
  return heartbeat_handler_.Handle(now, token, report, orders);
}

void Leader::Tick(Micros now) {
  jobs_mirror_->Tick(now);
  const Micros gap = now - std::exchange(ticked_at_, now);
  std::vector<Load> due;
  for (size_t i = load_again_.size(); i-- > 0;) {
    if (now < load_again_[i].at) continue;
    due.push_back(load_again_[i]);
    load_again_.erase(load_again_.begin() + static_cast<long>(i));
  }
  for (const Load& load : due) LoadPrefix(load.prefix, load.after);
  while (!early_.empty() && now - early_.front().at > kEarlyPatience) {
    context_.outbox->effects.heartbeat_responses.push_back({early_.front().token, 503, "", 0, {}});
    early_.pop_front();
  }
  if (!ready_) return;
  if (gap > kStoodStill) failure_detector_.OnProcessStall(now);
  failure_detector_.Tick(now);
  if (!context_.election->leads()) return;
  quota_shares_.Tick(now);
  job_table_.ExpirePendingCancellations(now);
  job_table_.MarkStarved(now);
  job_table_.MarkGuaranteed(now);
  fair_share_.Tick(now);
  stuck_job_detector_.Tick(now);
  job_table_.UpdateSmallestNeed();
  gang_scheduler_.Tick(now);
  dispatch_.HoldMachinesForUnstartedJobs(now);
  dispatch_.BindWaiting(now);
  heartbeat_handler_.AnswerReady(now);
  record_writer_.WriteBatch(now);
  provisioner_.Tick(now);
  assert(VerifyCounts().empty());
}

}  // namespace badgershore
