// Decides from when on a recorded cancellation holds for every process that could start the job's
// tasks.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/election/election.h"

namespace badgershore {

// A cancellation may be reported to users once no leader can start a task of the job any more. The
// durable record alone does not ensure that: a leader that can't read it goes on until its lease or
// its knowledge of the job records expires. One of these facts is needed in addition:
//
// - The leader has applied the cancellation and confirmed it while its lease was valid. Any later
//   leader is elected after the record was written, and reads it before it starts anything.
// - The leader key changed at a revision after the record's. All leaders elected before have
//   stopped.
// - The record has been known here for so long that no leader may act without having read it.
class CancellationFence {
 public:
  enum class Basis { kNone, kLeaderConfirmed, kLeaderChanged, kKnowledgeExpired };

  // `leader_lease`: duration of the leader lease.
  CancellationFence(const Election* election, Micros leader_lease);

  // The job's cancellation was recorded at `revision`. Returns false if it was added before.
  bool Add(Micros now, const std::string& job, uint64_t revision);
  // The leader starts no more tasks of the job, and its lease was valid after it had learned that.
  void OnLeaderConfirmed(const std::string& job);
  // The fact due to which no leader can start tasks of the job; kNone: there is none yet, or the
  // job was not added.
  Basis Check(Micros now, const std::string& job) const;
  // Time since the cancellation was added; zero for a job that was not added.
  Micros Age(Micros now, const std::string& job) const;
  void Remove(const std::string& job) { cancellations_.erase(job); }

  // The first jobs in order of id, at most `limit`.
  std::vector<std::string> Jobs(size_t limit) const;
  size_t size() const { return cancellations_.size(); }

 private:
  struct Cancellation {
    Micros known_since;
    uint64_t revision = 0;
    bool leader_confirmed = false;
  };

  const Election* election_;
  Micros knowledge_expiry_;
  std::map<std::string, Cancellation> cancellations_;  // by job
};

// For the log.
const char* Name(CancellationFence::Basis basis);

}  // namespace badgershore
