// Deadlines until which a leader may act on its decisions.
#pragma once

#include <algorithm>

#include "core/election/election.h"
#include "core/outbox/key_range_cache.h"

namespace badgershore {

// Limits what a leader may still send to agents, by the leader lease and by the time up to which
// the leader has read all cancellations. It is checked when a decision is made; a message that
// leaves the process later carries its deadline.
//
// A leader that the state service refuses can't distinguish this from an outage, so messages from
// elsewhere never extend a limit. A cancellation that another controller confirms was either
// recorded after known_as_of or is known here. Measured from known_as_of, no agent lease that this
// leader extends outlasts the cancellation deadline.
class LeaderAuthority {
 public:
  // `jobs`: cache of the live jobs' records; a cancellation deletes its job's record.
  // `cancel_deadline`: time within which the tasks of a cancelled job must have stopped.
  // `agent_lease`, `leader_lease`: durations of the leases.
  LeaderAuthority(const Election* election, const KeyRangeCache* jobs, Micros cancel_deadline,
                  Micros agent_lease, Micros leader_lease)
      : election_(election),
        jobs_(jobs),
        heartbeat_answer_span_(std::max(Seconds(0), cancel_deadline - agent_lease - kMargin)),
        cancellation_knowledge_span_(CancellationKnowledgeSpan(leader_lease)) {}

  // A leader starts nothing when its knowledge of the cancellations is older than this by its own
  // clock.
  static Micros CancellationKnowledgeSpan(Micros leader_lease) {
    return leader_lease.Scaled(kCancellationKnowledgeLeases);
  }

  // Every cancellation that was recorded before this time has been applied here.
  Micros known_as_of() const { return jobs_->known_as_of(); }

  // Heartbeats may be answered until this time. An answer extends the agent lease, by which the
  // agent keeps its tasks, counted from when the heartbeat was sent. The limit also follows the
  // leader lease, because a successor relies on no agent lease being extended after the lease of
  // its predecessor has expired.
  Micros answer_until() const {
    return std::min(election_->confirmed_at(), known_as_of()) + heartbeat_answer_span_;
  }
  bool MayAnswerHeartbeats(Micros now) const { return now < answer_until(); }

  // Commands that start tasks may leave this process until this time. The leader lease alone is not
  // enough: a renewal that succeeds right after an outage does not tell which jobs were cancelled
  // during it.
  Micros start_until() const {
    return std::min(
        {election_->lease_until(), known_as_of() + cancellation_knowledge_span_, answer_until()});
  }
  bool MayStart(Micros now) const { return election_->MayStart(now) && now < start_until(); }

 private:
  // Allows for clock drift over both spans and for an agent that stops its tasks slightly late.
  static constexpr Micros kMargin = Seconds(2);
  static constexpr double kCancellationKnowledgeLeases = 2;

  const Election* election_;
  const KeyRangeCache* jobs_;
  Micros heartbeat_answer_span_;
  Micros cancellation_knowledge_span_;
};

}  // namespace badgershore
