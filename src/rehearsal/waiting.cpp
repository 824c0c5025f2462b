#include "rehearsal/waiting.h"

#include <algorithm>

namespace badgershore::rehearsal {

std::vector<std::string> StarvationDetector::Update(Micros now, const std::vector<Job>& jobs,
                                                    const std::vector<Machine>& machines) {
  std::vector<std::string> starved;
  std::map<std::string, Wait> waits;
  for (const Job& job : jobs) {
    if (!job.under_limit) continue;
    const auto previous = waits_.find(job.id);
    const bool continues = previous != waits_.end() && previous->second.starts == job.starts;
    Wait wait{continues ? previous->second.since : now, job.starts, {}};
    std::map<std::string, int64_t> capacity;  // by zone, or all of them together
    for (const Machine& m : machines) {
      if ((m.spot && !job.spot_ok) || (continues && !previous->second.machines.contains(m.id)))
        continue;
      if (!job.zone.empty() && job.zone != m.zone) continue;
      const int64_t count = m.free.Holds(job.need);
      if (count <= 0) continue;
      wait.machines.insert(m.id);
      capacity[job.same_zone ? m.zone : ""] += count;
    }
    const bool room = std::any_of(capacity.begin(), capacity.end(),
                                  [&](const auto& zone) { return zone.second >= job.tasks; });
    if (!room) continue;  // the wait restarts at the next call, with the machines of that time
    if (now - wait.since >= kMaxWait) {
      starved.push_back(job.id);
      wait.since = now;
    }
    waits[job.id] = std::move(wait);
  }
  waits_ = std::move(waits);
  return starved;
}

}  // namespace badgershore::rehearsal
