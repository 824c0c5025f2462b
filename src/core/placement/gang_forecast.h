// Forecast of gang arrivals by job class.
#pragma once

#include <deque>
#include <map>
#include <string>

#include "core/placement/scaling_types.h"

namespace badgershore {

// Stores the latest gang of each job class and the recent arrivals of gangs of the class.
class GangForecast {
 public:
  struct Arrival {
    Micros at;
    int members = 0;
  };
  // The recent gangs of one job class.
  struct Demand {
    JobSpec spec;  // of the latest gang
    Micros last_seen;
    std::deque<Arrival> arrivals;  // recent ones, oldest first
  };

  // Called when a gang arrives, and while it waits for machines.
  void RecordDemand(const JobSpec& spec, Micros now);
  // Called once for each gang, in addition to RecordDemand().
  void RecordArrival(const JobSpec& spec, Micros at);
  // Called for a gang that was cancelled before it ran: it predicts no further gangs. `at`: as in
  // RecordArrival().
  void RemoveArrival(const JobSpec& spec, Micros at);

  // Whether a member of some recent gang needs more than half of such a machine.
  bool NeedsMostOf(const MachineType& type, const std::string& zone, bool spot, Micros now) const;
  // Whether gangs of a recently seen kind may preempt the job's tasks on such a machine.
  bool MayPreempt(const JobSpec& spec, const MachineType& type, const std::string& zone, bool spot,
                  Micros now) const;
  // Number of gang members to reserve room for: the expected arrivals within a machine's boot time,
  // multiplied by `spare_factor`, but at least the members of the largest recent gang.
  static int ExpectedMembers(const Demand& demand, Micros boot, Micros now, double spare_factor);

  const std::map<std::string, Demand>& by_job_class() const { return by_job_class_; }

 private:
  std::map<std::string, Demand> by_job_class_;
};

}  // namespace badgershore
