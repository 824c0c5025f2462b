// How long a leader's word holds: what it may still say to machines, by its lease and by the moment
// up to which it surely knows every cancellation. Asked when something is decided; what leaves the
// process later carries the time that it was good until.
//
// A node that the state service refuses can't tell that from an outage, so nothing that it hears
// elsewhere lengthens a bound. Whoever else confirms a cancellation does so after `known_as_of`, or
// it is known here; counted from there, no machine's lease outlives the time that a cancellation
// has.
#pragma once

#include <algorithm>

#include "core/election/election.h"
#include "core/outbox/key_range_cache.h"

namespace badgershore {

class LeaderAuthority {
 public:
  // `jobs`: the copy of the live jobs' records, which a cancellation deletes.
  LeaderAuthority(const Election* election, const KeyRangeCache* jobs, Micros cancel_within,
                  Micros worker_lease, Micros lease)
      : election_(election),
        jobs_(jobs),
        answering_(std::max(Seconds(0), cancel_within - worker_lease - kMargin)),
        fresh_(lease.Scaled(2)) {}

  // Every cancellation recorded before then has been applied here.
  Micros known_as_of() const { return jobs_->known_as_of(); }

  // Reports may be answered until then, since an answer lets a machine keep its tasks for a lease
  // from the report's sending. By the lease's renewals too: a successor counts on it that nobody
  // kept machines alive for longer after its predecessor's lease.
  Micros answer_until() const {
    return std::min(election_->confirmed_at(), known_as_of()) + answering_;
  }
  bool MayAnswer(Micros now) const { return now < answer_until(); }

  // What starts tasks may leave this process until then. A renewal that succeeds right after an
  // outage says nothing of what was cancelled meanwhile.
  Micros start_until() const {
    return std::min({election_->lease_until(), known_as_of() + fresh_, answer_until()});
  }
  bool MayStart(Micros now) const { return election_->MayStart(now) && now < start_until(); }

 private:
  // Clocks that run apart over both spans, and a worker that ends its tasks a moment late.
  static constexpr Micros kMargin = Seconds(2);

  const Election* election_;
  const KeyRangeCache* jobs_;
  Micros answering_, fresh_;
};

}  // namespace badgershore
