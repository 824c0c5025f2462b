#include "core/api/job_api.h"

namespace badgershore {
namespace {

StateRequest GetOp(std::string key) {
  StateRequest op;
  op.kind = StateRequest::Kind::kGet;
  op.key = std::move(key);
  return op;
}

}  // namespace

void JobApi::Answer(RequestId token, int status, const std::string& id, JobPhase phase, int done,
                    int running) {
  outbox_->effects.api_responses.push_back({token, status, id, phase, done, running, "", 0});
}

void JobApi::Refuse(RequestId token, int status, const std::string& id, std::string reason,
                    int retry_after_s) {
  ApiResponse a;
  a.request_id = token;
  a.status = status;
  a.job = id;
  a.reason = std::move(reason);
  if (status == 503 || status == 429) a.retry_after_s = retry_after_s;
  outbox_->effects.api_responses.push_back(std::move(a));
}

void JobApi::Remember(const std::string& id, const JobEndRecord& end) {
  if (!finals_.emplace(id, end).second) return;
  finals_order_.push_back(id);
  if (finals_order_.size() > kFinals) {
    finals_.erase(finals_order_.front());
    finals_order_.pop_front();
  }
}

bool JobApi::AnswerFinal(RequestId token, const std::string& id) {
  auto it = finals_.find(id);
  if (it == finals_.end()) return false;
  const JobEndRecord& end = it->second;
  Answer(token, 200, id, end.cancelled ? JobPhase::kCancelled : JobPhase::kDone,
         end.cancelled ? 0 : end.tasks);
  return true;
}

void JobApi::AnswerLive(RequestId token, const std::string& id) {
  const JobStatus d = facts_.digest(id);
  Answer(token, 200, id, d.running > 0 ? JobPhase::kRunning : JobPhase::kPending, d.done,
         d.running);
}

void JobApi::Read(RequestId token, const std::string& id, int missing_status,
                  const std::string& reason, const OnRead& live) {
  if (AnswerFinal(token, id)) return;
  const auto unread = [=, this] { Refuse(token, 503, id, "the state service can't be read"); };
  outbox_->SendState(GetOp(keys::kJob + id), [=, this](Micros now, StateResponse& job) {
    if (job.ok()) return live(now, job);
    if (job.outcome != StateResponse::Outcome::kNotFound) return unread();
    // In this order: a job's record goes in the same change that writes its end.
    outbox_->SendState(GetOp(keys::kJobEnd + id), [=, this](Micros, StateResponse& end) {
      if (end.outcome == StateResponse::Outcome::kNotFound) {
        return Refuse(token, missing_status, id, reason);
      }
      const JobEndRecord* record = end.ok() && !end.entries.empty()
                                       ? std::get_if<JobEndRecord>(&end.entries[0].value)
                                       : nullptr;
      if (!record) return unread();
      Remember(id, *record);
      AnswerFinal(token, id);
    });
  });
}

void JobApi::Submit(Micros now, RequestId token, Submission submission) {
  const std::string id = submission.id;
  if (id.empty()) return Refuse(token, 400, id, submission.reason);
  const auto live = [=, this](Micros, const StateResponse&) { AnswerLive(token, id); };
  // A known id is known whatever its description would be answered today: a job that was accepted
  // may not be told 400 (`forgotten`), so where its record can't be read its user comes again.
  if (!submission.spec) return Read(token, id, 400, submission.reason, live);
  if (!facts_.knows_types()) {
    return Read(token, id, 503, "the machine types are not known yet", live);
  }
  const std::string never = facts_.never_runs(*submission.spec);
  if (!never.empty()) return Read(token, id, 422, never, live);
  if (AnswerFinal(token, id)) return;
  if (const int wait = admission_.TurnAway(now, submission.spec->team); wait > 0) {
    return Refuse(token, 429, id, "more jobs come than can be recorded", wait);
  }
  StateRequest op;
  op.kind = StateRequest::Kind::kCompareAndSwap;
  op.preconditions = {{keys::kJob + id, 0}, {keys::kJobEnd + id, 0}};
  op.mutations = {{keys::kJob + id, false, *submission.spec, 0}};
  outbox_->SendState(op, [=, this](Micros t, StateResponse& r) {
    if (r.ok()) return Answer(token, 201, id, JobPhase::kPending);
    if (r.rate_limited) admission_.Limited(t);
    if (r.outcome == StateResponse::Outcome::kConflict) {
      return Read(token, id, 503, "the job's record is changing", live);
    }
    // Not recorded, or perhaps recorded: the user asks again and learns which.
    Refuse(token, 503, id, "the job can't be recorded now");
  });
}

void JobApi::Query(RequestId token, const std::string& id) {
  Read(token, id, 404, "no such job",
       [=, this](Micros, const StateResponse&) { AnswerLive(token, id); });
}

void JobApi::Withdraw(RequestId token, const std::string& id, int rounds) {
  Read(token, id, 404, "no such job", [=, this](Micros now, const StateResponse& job) {
    // Told before it is recorded, the leader starts nothing of it once its user has been answered.
    facts_.calls_off(now, id);
    StateRequest op;
    op.kind = StateRequest::Kind::kCompareAndSwap;
    op.preconditions = {{keys::kJob + id, job.entries[0].version}, {keys::kJobEnd + id, 0}};
    const JobEndRecord end{true, 0};
    op.mutations = {{keys::kJobEnd + id, false, end, 0}, {keys::kJob + id, true, {}, 0}};
    outbox_->SendState(op, [=, this](Micros t, StateResponse& r) {
      if (r.ok()) {
        Remember(id, end);
        AnswerFinal(token, id);
        facts_.called_off(t, id);
      } else if (r.outcome == StateResponse::Outcome::kConflict && rounds > 1) {
        Withdraw(token, id, rounds - 1);  // it ended at the same moment: read which way
      } else {
        Refuse(token, 503, id, "the cancellation can't be recorded now");
      }
    });
  });
}

}  // namespace badgershore
