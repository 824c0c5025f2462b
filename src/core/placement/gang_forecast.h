// Forecast of the gangs that will arrive, by job class.
#pragma once

#include <deque>
#include <map>
#include <string>

#include "core/placement/scaling_types.h"

namespace badgershore {

// Remembers the latest gang of each job class and when gangs of the class arrived.
class GangForecast {
 public:
  struct Arrival {
    Micros at;
    int members = 0;
  };
  // What is known of the gangs of one job class.
  struct Demand {
    JobSpec spec;  // of the latest gang
    Micros last_seen;
    std::deque<Arrival> arrivals;  // recent ones, oldest first
  };

  // A gang of this kind arrived or waits for machines.
  void RecordDemand(const JobSpec& spec, Micros now);
  // Called once for each gang, beside RecordDemand().
  void RecordArrival(const JobSpec& spec, Micros at);

  // Whether gangs seen of late need more than half of such a machine.
  bool NeedsMostOf(const MachineType& type, const std::string& zone, bool spot, Micros now) const;
  // Whether gangs that arrived of late may preempt the job's tasks on such a machine.
  bool MayPreempt(const JobSpec& spec, const MachineType& type, const std::string& zone, bool spot,
                  Micros now) const;
  // Members to hold room for: those that may arrive within a machine's boot time, and at least the
  // largest recent gang. `spare_factor` scales the former.
  static int ExpectedMembers(const Demand& demand, Micros boot, Micros now, double spare_factor);

  const std::map<std::string, Demand>& by_job_class() const { return by_job_class_; }

 private:
  std::map<std::string, Demand> by_job_class_;
};

}  // namespace badgershore
