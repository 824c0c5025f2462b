// The users' requests, on any node: every answer rests on a durable record or a fresh read.
#pragma once

#include <functional>
#include <list>
#include <string>
#include <unordered_map>

#include "core/api/admission_control.h"
#include "core/outbox/outbox.h"

namespace badgershore {

struct Submission {
  std::string id;               // empty: not even an id could be read
  std::optional<JobSpec> spec;  // absent: malformed
  std::string reason;
};

class JobApi {
 public:
  struct Facts {
    // Empty: can run. Otherwise why it never can.
    std::function<std::string(const JobSpec&)> never_runs;
    std::function<bool()> knows_types;
    // The job's cancellation is about to be recorded.
    std::function<void(Micros, const std::string&)> calls_off;
    std::function<void(Micros, const std::string&)> called_off;  // and is recorded
    // Display counts of a live job.
    std::function<JobStatus(const std::string&)> digest;
  };
  JobApi(Outbox* outbox, Facts facts) : outbox_(outbox), facts_(std::move(facts)) {}

  void Submit(Micros now, RequestId token, Submission submission);
  void Query(RequestId token, const std::string& id);
  void Withdraw(RequestId token, const std::string& id, int rounds = 4);

 private:
  using OnRead = std::function<void(Micros, const StateResponse& job)>;
  // Reads the job; answers by itself when it is over, unknown (`missing_status`) or can't be read.
  void Read(RequestId token, const std::string& id, int missing_status, const std::string& reason,
            const OnRead& live);
  void Answer(RequestId token, int status, const std::string& id, JobPhase phase, int done = 0,
              int running = 0);
  void Refuse(RequestId token, int status, const std::string& id, std::string reason,
              int retry_after_s = 1);
  bool AnswerFinal(RequestId token, const std::string& id);
  void Remember(const std::string& id, const JobEndRecord& end);
  void AnswerLive(RequestId token, const std::string& id);

  Outbox* outbox_;
  Facts facts_;
  AdmissionControl admission_;
  // Ends never change, so they may be kept; the oldest fall out.
  static constexpr size_t kFinals = 4096;
  std::unordered_map<std::string, JobEndRecord> finals_;
  std::list<std::string> finals_order_;
};

}  // namespace badgershore
