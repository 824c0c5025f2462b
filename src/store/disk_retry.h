// Decides when to retry a failing disk and when to log the failure. The caller supplies the time.
#pragma once

#include <optional>

#include "core/model/time.h"

namespace badgershore::store {

// The state of one disk. An outage lasts from the first failure to the next success.
class DiskRetry {
 public:
  struct Decision {
    Micros delay;        // until the next attempt
    Micros failing_for;  // since the outage's first failure
    bool log = false;    // true for the outage's first failure, then at intervals
  };

  Decision OnFailure(Micros now);
  // The length of the outage that this success ends; nothing if there was none.
  std::optional<Micros> OnSuccess(Micros now);

 private:
  std::optional<Micros> failing_since_;
  Micros next_delay_, next_log_at_;
};

}  // namespace badgershore::store
