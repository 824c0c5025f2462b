#include "rehearsal/waiting.h"

#include <algorithm>

namespace badgershore::rehearsal {

std::vector<std::string> Waiting::See(Micros now, const std::vector<Job>& jobs,
                                      const std::vector<Machine>& machines) {
  std::vector<std::string> left;
  std::map<std::string, Since> still;
  for (const Job& job : jobs) {
    if (!job.under_limit) continue;
    const auto known = since_.find(job.id);
    const bool before = known != since_.end() && known->second.starts == job.starts;
    Since seen{before ? known->second.at : now, job.starts, {}};
    std::map<std::string, int64_t> holds;  // by zone, or all of them together
    for (const Machine& m : machines) {
      if ((m.spot && !job.spot_ok) || (before && !known->second.machines.contains(m.id))) continue;
      const int64_t n = m.free.Holds(job.need);
      if (n <= 0) continue;
      seen.machines.insert(m.id);
      holds[job.same_zone ? m.zone : ""] += n;
    }
    const bool room = std::any_of(holds.begin(), holds.end(),
                                  [&](const auto& zone) { return zone.second >= job.tasks; });
    if (!room) continue;  // the wait restarts at the next call, with the machines of that time
    if (now - seen.at >= kTooLong) {
      left.push_back(job.id);
      seen.at = now;
    }
    still[job.id] = std::move(seen);
  }
  since_ = std::move(still);
  return left;
}

}  // namespace badgershore::rehearsal
