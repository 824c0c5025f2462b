#include "core/leader/leader.h"

#include <algorithm>
#include <cassert>

namespace badgershore {
namespace {

// The leader ticks every 100 ms. A gap longer than this means that the process was stalled.
constexpr Micros kStallThreshold = Seconds(1);

// Timeout of a watch without changes. It bounds the age of the known cancellations while nothing
// changes.
constexpr Micros kJobWatchTimeout = Millis(500);

constexpr Micros kLoadRetryDelay = Millis(300);

// Limits on heartbeats that wait until the records are loaded.
constexpr Micros kEarlyHeartbeatTimeout = Seconds(2);
constexpr size_t kMaxEarlyHeartbeats = 4096;

}  // namespace

Leader::Leader(LeaderContext context, Micros now, int64_t time_of_day_ms)
    : context_(std::move(context)),
      scaler_(*context_.options),
      fault_attribution_(&context_),
      job_table_(&context_),
      usage_accounting_(&context_),
      quota_checker_(&context_),
      quota_log_(&context_),
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
  context_.term_began_at = last_tick_at_ = now;
  context_.term_began_ms = time_of_day_ms;
  ConnectComponents();
  FollowJobRecords();
}

void Leader::ConnectComponents() {
  context_.scaler = &scaler_;
  context_.fault_attribution = &fault_attribution_;
  context_.job_table = &job_table_;
  context_.usage_accounting = &usage_accounting_;
  context_.quota_checker = &quota_checker_;
  context_.quota_log = &quota_log_;
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
}

// The leader's authority depends on the cache, which knows up to which time cancellations are
// known.
void Leader::FollowJobRecords() {
  jobs_cache_ = std::make_unique<KeyRangeCache>(
      context_.outbox, keys::kJob,
      [this](Micros t, const Entry& e) { job_table_.ApplyJobRecord(t, e); },
      [this](Micros) {
        if (std::exchange(jobs_loaded_, true)) return;
        // Progress is loaded after the jobs, since each progress record refers to its job.
        LoadPrefix(keys::kProgress, "");
        LoadPrefix(keys::kFleet, "");
        if (quota_shares_.is_single_cell()) return;
        ++pending_loads_;
        LoadPrefix(keys::kLimits, "");
      },
      kJobWatchTimeout);
  authority_ = std::make_unique<LeaderAuthority>(
      context_.election, jobs_cache_.get(), context_.settings->cancel_deadline,
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
    // The retry is delayed: in an outage, immediate retries would use up the request rate that user
    // requests need.
    if (!r.ok()) return failed_loads_.push_back({now + kLoadRetryDelay, prefix, after});
    for (const Entry& e : r.entries) {
      record_writer_.Load(now, e);
      quota_shares_.Load(e);
    }
    if (r.has_more && !r.entries.empty()) return LoadPrefix(prefix, r.entries.back().key);
    OnPrefixLoaded(now);
  });
}

void Leader::OnPrefixLoaded(Micros now) {
  if (--pending_loads_ > 0) return;
  ready_ = true;
  quota_shares_.OnRecordsLoaded(now);
  context_.outbox->Info("term " + std::to_string(context_.election->term()) +
                        " ready: " + std::to_string(job_table_.jobs().size()) + " jobs, " +
                        std::to_string(machine_table_.machines().size()) +
                        " machines on record; jobs as of revision " +
                        std::to_string(jobs_cache_->revision()) + ", " +
                        std::to_string((now - jobs_cache_->known_as_of()).ToMillis()) + " ms old");
  for (auto& [id, job] : job_table_.jobs()) {
    if (job->remaining() == 0) record_writer_.PersistJobEnd(id);
  }
  AnswerEarlyHeartbeats(now);
  Tick(now);  // starts the reconciliation of machines
}

void Leader::AnswerEarlyHeartbeats(Micros now) {
  for (EarlyHeartbeat& e : std::exchange(early_heartbeats_, {})) {
    HeartbeatResponse answer;
    answer.request_id = e.request_id;
    const HeartbeatOutcome outcome =
        HandleHeartbeat(now, e.request_id, e.heartbeat, &answer.commands);
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
  for (const EarlyHeartbeat& e : std::exchange(early_heartbeats_, {})) {
    context_.outbox->effects.heartbeat_responses.push_back({e.request_id, 503, "", 0, {}});
  }
  heartbeat_handler_.RejectPending();
}

Leader::HeartbeatOutcome Leader::HandleHeartbeat(Micros now, RequestId request_id,
                                                 const Heartbeat& heartbeat,
                                                 std::vector<Command>* commands) {
  if (!ready_) {
    if (early_heartbeats_.size() >= kMaxEarlyHeartbeats) return HeartbeatOutcome::kReject;
    early_heartbeats_.push_back({now, request_id, heartbeat});
    return HeartbeatOutcome::kAnswerLater;
  }
  return heartbeat_handler_.Handle(now, request_id, heartbeat, commands);
}

void Leader::Tick(Micros now) {
  jobs_cache_->Tick(now);
  const Micros gap = now - std::exchange(last_tick_at_, now);
  RetryFailedLoads(now);
  RejectExpiredEarlyHeartbeats(now);
  if (!ready_) return;
  if (gap > kStallThreshold) failure_detector_.OnProcessStall(now);
  failure_detector_.Tick(now);
  if (!context_.election->leads()) return;
  Schedule(now);
  assert(VerifyCounts().empty());
}

bool Leader::MayStart(const std::vector<Command>& commands) const {
  return std::all_of(commands.begin(), commands.end(), [this](const Command& command) {
    return command.verb != Command::Verb::kStart || job_table_.Find(command.ref.job) != nullptr;
  });
}

LeaderGauges Leader::Gauges(Micros now) const {
  LeaderGauges gauges;
  gauges.term = context_.election->term();
  gauges.unreconciled_machines = reconciler_.unreconciled().size();
  gauges.machines_with_unknown_tasks = usage_accounting_.machines_with_unknown_tasks();
  gauges.uncertain_millicores = usage_accounting_.uncertain_use().cpu;
  gauges.uncertain_placements = quota_log_.uncertain_placements();
  gauges.unwritable_records =
      record_writer_.CountUnwritable() + (quota_shares_.IsRecordRefused() ? 1 : 0);
  gauges.cancellations_age = now - jobs_cache_->known_as_of();
  return gauges;
}

void Leader::RetryFailedLoads(Micros now) {
  std::vector<FailedLoad> due;
  for (size_t i = failed_loads_.size(); i-- > 0;) {
    if (now < failed_loads_[i].retry_at) continue;
    due.push_back(failed_loads_[i]);
    failed_loads_.erase(failed_loads_.begin() + static_cast<long>(i));
  }
  for (const FailedLoad& load : due) LoadPrefix(load.prefix, load.after);
}

void Leader::RejectExpiredEarlyHeartbeats(Micros now) {
  while (!early_heartbeats_.empty() &&
         now - early_heartbeats_.front().received_at > kEarlyHeartbeatTimeout) {
    context_.outbox->effects.heartbeat_responses.push_back(
        {early_heartbeats_.front().request_id, 503, "", 0, {}});
    early_heartbeats_.pop_front();
  }
}

void Leader::Schedule(Micros now) {
  agent_client_.Tick();
  quota_shares_.Tick(now);
  job_table_.ExpireCancellations(now);
  job_table_.MarkStarved(now);
  job_table_.MarkGuaranteedTasks(now);
  fair_share_.Tick(now);
  stuck_job_detector_.Tick(now);
  job_table_.UpdateSmallestNeed();
  gang_scheduler_.Tick(now);
  dispatch_.HoldMachinesForUnstartedJobs(now);
  dispatch_.BindWaiting(now);
  heartbeat_handler_.AnswerReady(now);
  record_writer_.WriteBatch(now);
  provisioner_.Tick(now);
  quota_log_.Tick(now);
}

}  // namespace badgershore
