// Finds jobs that keep waiting though a machine has room for them, from the machines' actual state
// and not from a leader's view. Called every few seconds; a job's waiting time restarts once no
// machine has had room for it throughout, once one of its tasks starts, and once its team is at its
// limit.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/model/types.h"

namespace badgershore::rehearsal {

class StarvationDetector {
 public:
  struct Job {
    std::string id;
    Resources need;
    int tasks = 1;   // number that must start together
    int starts = 0;  // task starts so far
    bool spot_ok = false, same_zone = false;
    bool under_limit = true;  // throughout since the last call, even with this job's tasks
    std::string zone = {};    // the only one allowed; empty: any
  };
  struct Machine {
    std::string id, zone;
    Resources free;
    bool spot = false;
  };
  // Returns the ids of jobs that have now waited for kMaxWait.
  std::vector<std::string> Update(Micros now, const std::vector<Job>& jobs,
                                  const std::vector<Machine>& machines);

 private:
  static constexpr Micros kMaxWait = Seconds(90);
  struct Wait {
    Micros since;
    int starts = 0;
    std::set<std::string> machines;  // with room for a task at every call
  };
  std::map<std::string, Wait> waits_;  // by job
};

}  // namespace badgershore::rehearsal
