// Decides when a disk that fails is tried again and when that is said in the log. No clock.
#pragma once

#include <optional>

#include "core/model/time.h"

namespace badgershore::store {

// One disk. Failures in a row are one spell, from the first failure to the next success.
class DiskRetry {
 public:
  struct Decision {
    Micros delay;        // until the next attempt
    Micros failing_for;  // since the spell's first failure
    bool log = false;    // the spell's first failure, or the last line is old
  };

  Decision OnFailure(Micros now);
  // How long the spell lasted that this success ends; nothing where the disk did not fail.
  std::optional<Micros> OnSuccess(Micros now);

 private:
  std::optional<Micros> failing_since_;
  Micros next_delay_, next_log_;
};

}  // namespace badgershore::store
