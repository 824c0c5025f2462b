// The job API for users: submit, query and cancel.
#pragma once

#include <cstddef>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/api/admission_control.h"
#include "core/election/cancellation_fence.h"
#include "core/outbox/outbox.h"

namespace badgershore {

struct Submission {
  std::string id;               // empty if the request contains no valid id
  std::optional<JobSpec> spec;  // absent if the request is malformed
  std::string reason;           // why the request is malformed
};

// Serves users on the leader and on followers alike: each response is based on a durable record or
// on a fresh read. A job is reported as cancelled only once the CancellationFence says that no
// process can start its tasks; requests wait for that. Responses are put into the outbox as
// ApiResponses with HTTP status codes.
class JobApi {
 public:
  struct Callbacks {
    // Why the job can never run; empty if it can.
    std::function<std::string(const JobSpec&)> infeasible_reason;
    std::function<bool()> types_known;
    // Called right before the job's cancellation is written to the state service.
    std::function<void(Micros, const std::string& job)> on_cancellation_pending;
    // Called when a write or a read has shown that the job's cancellation is durable. The leader
    // has to confirm it.
    std::function<void(Micros, const std::string& job)> on_cancellation_recorded;
    // Task counts of a live job, for display.
    std::function<JobStatus(const std::string& job)> live_status;
  };
  JobApi(Outbox* outbox, CancellationFence* fence, Callbacks callbacks)
      : outbox_(outbox), fence_(fence), callbacks_(std::move(callbacks)) {}

  void Submit(Micros now, RequestId request_id, Submission submission);
  void Query(RequestId request_id, const std::string& id);
  // `attempts`: maximum number of writes while they fail with a conflict.
  void Cancel(RequestId request_id, const std::string& id, int attempts = 4);
  // Answers the requests about cancelled jobs whose tasks no process can start any more.
  void AnswerFencedCancellations(Micros now);

 private:
  using OnLiveJob = std::function<void(Micros, const StateResponse& job)>;

  // Reads the job and calls `on_live` if it has not ended. Otherwise responds with the job's end,
  // with `unknown_job_status` and `reason` if the job is unknown, or with 503 if the read fails.
  void ReadJob(RequestId request_id, const std::string& id, int unknown_job_status,
               const std::string& reason, const OnLiveJob& on_live);
  void ReadEndRecord(RequestId request_id, const std::string& id, int unknown_job_status,
                     const std::string& reason);
  void RecordSubmission(RequestId request_id, const std::string& id, const JobSpec& spec,
                        const OnLiveJob& on_live);
  void RecordCancellation(RequestId request_id, const std::string& id, uint64_t job_version,
                          int attempts);
  void Answer(RequestId request_id, int status, const std::string& id, JobPhase phase, int done = 0,
              int running = 0);
  void Reject(RequestId request_id, int status, const std::string& id, std::string reason,
              int retry_after_s = 1);
  // Responds from the cached end records; false if the job's end is not cached.
  bool AnswerEnded(RequestId request_id, const std::string& id);
  void AnswerLive(RequestId request_id, const std::string& id);
  void CacheEndRecord(const std::string& id, const JobEndRecord& end);
  // The job was cancelled at `revision`. The request is answered once the fence allows it.
  void AnswerCancelled(Micros now, RequestId request_id, const std::string& id, uint64_t revision);
  bool AnswerIfFenced(Micros now, const std::string& id);

  static constexpr size_t kMaxCachedEnds = 4096;

  Outbox* outbox_;
  CancellationFence* fence_;
  Callbacks callbacks_;
  AdmissionControl admission_control_;
  // Cached end records, which never change. The oldest are evicted.
  std::unordered_map<std::string, JobEndRecord> cached_ends_;
  std::list<std::string> cached_ends_order_;
  // Requests about cancelled jobs, by job, that the fence does not yet allow to answer.
  std::map<std::string, std::vector<RequestId>> fenced_requests_;
};

}  // namespace badgershore
