// Until when a leader may act on its decisions.
#pragma once

#include <algorithm>

#include "core/election/election.h"
#include "core/outbox/key_range_cache.h"

namespace badgershore {

// Bounds what a leader may still send to workers, by its lease and by the moment up to which it
// surely knows every cancellation. Queried at the decision; what leaves the process later carries
// its deadline with it.
//
// A leader whom the state service refuses can't tell that from an outage, so nothing that it hears
// elsewhere extends a bound. Whoever else confirms a cancellation does so after known_as_of, or it
// is known here; counted from there, no worker's lease outlives the cancellation deadline.
class LeaderAuthority {
 public:
  // `jobs`: the cache of the live jobs' records, which a cancellation deletes. `cancel_deadline`:
  // by when a cancelled job's tasks have to be stopped. `lease`: the leader's.
  LeaderAuthority(const Election* election, const KeyRangeCache* jobs, Micros cancel_deadline,
                  Micros worker_lease, Micros lease)
      : election_(election),
        jobs_(jobs),
        answer_span_(std::max(Seconds(0), cancel_deadline - worker_lease - kMargin)),
        knowledge_span_(lease.Scaled(2)) {}

  // Every cancellation recorded before then has been applied here.
  Micros known_as_of() const { return jobs_->known_as_of(); }

  // Heartbeats may be answered until then: an answer lets a worker keep its tasks for a lease from
  // the heartbeat's sending. Bounded by the leader lease too, since a successor relies on workers'
  // leases not being extended after its predecessor's.
  Micros answer_until() const {
    return std::min(election_->confirmed_at(), known_as_of()) + answer_span_;
  }
  bool MayAnswer(Micros now) const { return now < answer_until(); }

  // Commands that start tasks may leave this process until then. A renewal that succeeds right
  // after an outage says nothing of what was cancelled meanwhile.
  Micros start_until() const {
    return std::min({election_->lease_until(), known_as_of() + knowledge_span_, answer_until()});
  }
  bool MayStart(Micros now) const { return election_->MayStart(now) && now < start_until(); }

 private:
  // Covers the clocks' drift over both spans, and a worker that ends its tasks a moment late.
  static constexpr Micros kMargin = Seconds(2);

  const Election* election_;
  const KeyRangeCache* jobs_;
  Micros answer_span_;
  Micros knowledge_span_;
};

}  // namespace badgershore
