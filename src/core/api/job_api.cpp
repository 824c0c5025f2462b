#include "core/api/job_api.h"

#include <utility>

namespace badgershore {
namespace {

StateRequest GetRequest(std::string key) {
  StateRequest request;
  request.kind = StateRequest::Kind::kGet;
  request.key = std::move(key);
  return request;
}

// Confirmations that took longer are logged for the operators.
constexpr Micros kSlowConfirmation = Millis(500);

const JobEndRecord* EndRecordIn(const StateResponse& response) {
  if (!response.ok() || response.entries.empty()) return nullptr;
  return std::get_if<JobEndRecord>(&response.entries[0].value);
}

}  // namespace

void JobApi::Answer(RequestId request_id, int status, const std::string& id, JobPhase phase,
                    int done, int running) {
  outbox_->effects.api_responses.push_back({request_id, status, id, phase, done, running, "", 0});
}

void JobApi::Reject(RequestId request_id, int status, const std::string& id, std::string reason,
                    int retry_after_s) {
  ApiResponse response;
  response.request_id = request_id;
  response.status = status;
  response.job = id;
  response.reason = std::move(reason);
  if (status == 503 || status == 429) response.retry_after_s = retry_after_s;
  outbox_->effects.api_responses.push_back(std::move(response));
}

void JobApi::CacheEndRecord(const std::string& id, const JobEndRecord& end) {
  if (!cached_ends_.emplace(id, end).second) return;
  cached_ends_order_.push_back(id);
  if (cached_ends_order_.size() > kMaxCachedEnds) {
    cached_ends_.erase(cached_ends_order_.front());
    cached_ends_order_.pop_front();
  }
}

bool JobApi::AnswerEnded(RequestId request_id, const std::string& id) {
  auto it = cached_ends_.find(id);
  if (it == cached_ends_.end()) return false;
  const JobEndRecord& end = it->second;
  Answer(request_id, 200, id, end.cancelled ? JobPhase::kCancelled : JobPhase::kDone,
         end.cancelled ? 0 : end.tasks);
  return true;
}

void JobApi::AnswerCancelled(Micros now, RequestId request_id, const std::string& id,
                             uint64_t revision) {
  if (AnswerEnded(request_id, id)) return;
  const bool added = fence_->Add(now, id, revision);
  fenced_requests_[id].push_back(request_id);
  if (added) callbacks_.on_cancellation_recorded(now, id);
  AnswerIfFenced(now, id);
}

bool JobApi::AnswerIfFenced(Micros now, const std::string& id) {
  const CancellationFence::Basis basis = fence_->Check(now, id);
  if (basis == CancellationFence::Basis::kNone) return false;
  const Micros age = fence_->Age(now, id);
  if (age >= kSlowConfirmation) {
    outbox_->Info("cancellation of " + id + " confirmed to its user after " +
                  std::to_string(age.ToMillis()) + " ms: " + Name(basis));
  }
  fence_->Remove(id);
  CacheEndRecord(id, JobEndRecord{true, 0});
  auto requests = fenced_requests_.extract(id);
  if (requests.empty()) return true;
  for (const RequestId request_id : requests.mapped()) AnswerEnded(request_id, id);
  return true;
}

void JobApi::AnswerFencedCancellations(Micros now) {
  for (auto it = fenced_requests_.begin(); it != fenced_requests_.end();) {
    const std::string id = it->first;
    ++it;  // AnswerIfFenced erases the element
    AnswerIfFenced(now, id);
  }
}

void JobApi::AnswerLive(RequestId request_id, const std::string& id) {
  const JobStatus status = callbacks_.live_status(id);
  Answer(request_id, 200, id, status.running > 0 ? JobPhase::kRunning : JobPhase::kPending,
         status.done, status.running);
}

void JobApi::ReadJob(RequestId request_id, const std::string& id, int unknown_job_status,
                     const std::string& reason, const OnLiveJob& on_live) {
  if (AnswerEnded(request_id, id)) return;
  outbox_->SendState(GetRequest(keys::kJob + id), [=, this](Micros now, StateResponse& job) {
    if (job.ok()) return on_live(now, job);
    if (job.outcome != StateResponse::Outcome::kNotFound) {
      return Reject(request_id, 503, id, "the state service can't be read");
    }
    // The end record is read second, because the transaction that writes it deletes the job record.
    ReadEndRecord(request_id, id, unknown_job_status, reason);
  });
}

void JobApi::ReadEndRecord(RequestId request_id, const std::string& id, int unknown_job_status,
                           const std::string& reason) {
  outbox_->SendState(GetRequest(keys::kJobEnd + id),
                     [=, this](Micros now, StateResponse& response) {
                       if (response.outcome == StateResponse::Outcome::kNotFound) {
                         return Reject(request_id, unknown_job_status, id, reason);
                       }
                       const JobEndRecord* end = EndRecordIn(response);
                       if (!end)
                         return Reject(request_id, 503, id, "the state service can't be read");
                       if (end->cancelled) {
                         return AnswerCancelled(now, request_id, id, response.entries[0].version);
                       }
                       CacheEndRecord(id, *end);
                       AnswerEnded(request_id, id);
                     });
}

void JobApi::Submit(Micros now, RequestId request_id, Submission submission) {
  const std::string id = submission.id;
  if (id.empty()) return Reject(request_id, 400, id, submission.reason);
  const auto on_live = [=, this](Micros, const StateResponse&) { AnswerLive(request_id, id); };
  // A repeated submission of an accepted job is answered from the job's record, even if the
  // description is rejected now: a 400 would deny an accepted job. If the record can't be read, the
  // user has to retry.
  if (!submission.spec) return ReadJob(request_id, id, 400, submission.reason, on_live);
  if (!callbacks_.types_known()) {
    return ReadJob(request_id, id, 503, "the machine types are not known yet", on_live);
  }
  const std::string infeasible = callbacks_.infeasible_reason(*submission.spec);
  if (!infeasible.empty()) return ReadJob(request_id, id, 422, infeasible, on_live);
  if (AnswerEnded(request_id, id)) return;
  const int retry_after_s = admission_control_.RetryAfterSeconds(now, submission.spec->team);
  if (retry_after_s > 0) {
    return Reject(request_id, 429, id, "more jobs come than can be recorded", retry_after_s);
  }
  RecordSubmission(request_id, id, *submission.spec, on_live);
}

void JobApi::RecordSubmission(RequestId request_id, const std::string& id, const JobSpec& spec,
                              const OnLiveJob& on_live) {
  StateRequest commit;
  commit.kind = StateRequest::Kind::kCompareAndSwap;
  commit.preconditions = {{keys::kJob + id, 0}, {keys::kJobEnd + id, 0}};
  commit.mutations = {{keys::kJob + id, false, spec, 0}};
  outbox_->SendState(commit, [=, this](Micros now, StateResponse& response) {
    if (response.ok()) return Answer(request_id, 201, id, JobPhase::kPending);
    // Also a retry of a job that was accepted under larger limits.
    if (response.outcome == StateResponse::Outcome::kTooLarge) {
      return ReadJob(request_id, id, 422, "the job's description is too large", on_live);
    }
    if (response.rate_limited) admission_control_.OnRateLimited(now);
    if (response.outcome == StateResponse::Outcome::kConflict) {
      return ReadJob(request_id, id, 503, "the job's record is changing", on_live);
    }
    // The write may have been carried out or not: the user's retry finds out.
    Reject(request_id, 503, id, "the job can't be recorded now");
  });
}

void JobApi::Query(RequestId request_id, const std::string& id) {
  ReadJob(request_id, id, 404, "no such job",
          [=, this](Micros, const StateResponse&) { AnswerLive(request_id, id); });
}

void JobApi::Cancel(RequestId request_id, const std::string& id, int attempts) {
  ReadJob(request_id, id, 404, "no such job", [=, this](Micros now, const StateResponse& job) {
    // The leader is notified before the cancellation is recorded, so that it starts no task of the
    // job once the user has received the response.
    callbacks_.on_cancellation_pending(now, id);
    RecordCancellation(request_id, id, job.entries[0].version, attempts);
  });
}

void JobApi::RecordCancellation(RequestId request_id, const std::string& id, uint64_t job_version,
                                int attempts) {
  const JobEndRecord end{true, 0};
  StateRequest commit;
  commit.kind = StateRequest::Kind::kCompareAndSwap;
  commit.preconditions = {{keys::kJob + id, job_version}, {keys::kJobEnd + id, 0}};
  commit.mutations = {{keys::kJobEnd + id, false, end, 0}, {keys::kJob + id, true, {}, 0}};
  outbox_->SendState(commit, [=, this](Micros now, StateResponse& response) {
    if (response.ok()) {
      AnswerCancelled(now, request_id, id, response.revision);
    } else if (response.outcome == StateResponse::Outcome::kConflict && attempts > 1) {
      Cancel(request_id, id, attempts - 1);  // the job has ended or its record has changed
    } else {
      Reject(request_id, 503, id, "the cancellation can't be recorded now");
    }
  });
}

}  // namespace badgershore
