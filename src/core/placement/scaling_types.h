// Input and output of the autoscaler.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/model/fleet.h"
#include "core/model/jobs.h"
#include "core/model/settings.h"

namespace badgershore {

// One kind of instance that the cloud may provide.
struct InstanceOffer {
  std::string type;
  std::string zone;
  bool spot = false;
  auto operator<=>(const InstanceOffer&) const = default;
};

// A number of instances to request from the cloud.
struct ScaleOutRequest {
  InstanceOffer offer;
  int count = 0;
};

// Changes to the fleet. The pointers are to machines of the snapshot.
struct ScalingDecision {
  std::vector<ScaleOutRequest> scale_out;
  std::vector<Machine*> drain;    // accept no new work and are released when empty
  std::vector<Machine*> undrain;  // accept work again
  std::vector<Machine*> release;  // idle machines that are released now
  // Machines with room that is reserved for waiting or expected gangs.
  std::set<const Machine*> reserved_for_gangs;
  // Machines without which some array or service could not run. They are kept.
  std::set<const Machine*> needed_by_jobs;
};

// State of the fleet and of the unfinished jobs at one time. The objects pointed to outlive the
// decision.
struct ScalingSnapshot {
  Micros now;
  Micros term_began_at;
  // Machines that are up and have sent no heartbeat since this time get no tasks.
  Micros reachable_since{-1};
  const std::map<std::string, MachineType>* machine_types = nullptr;
  std::vector<Machine*> machines;
  std::map<InstanceOffer, int> pending_scale_out;  // requested, no response yet
  std::vector<const Job*> jobs;
  const std::vector<std::string>* zones = nullptr;
  const std::vector<Objective>* objectives = nullptr;
  // A team's quota in thousandths of a CPU, by the team's index; INT64_MAX if unlimited. Null if
  // there are no quotas.
  std::function<int64_t(int)> team_cpu_limit;
  // CPU that the team's gangs of this priority may still use.
  std::function<int64_t(int, Priority)> gang_cpu_headroom;
  std::function<int(const std::string&)> team_index;  // -1: unknown team
  // Sum of the teams' quotas; INT64_MAX if some team is unlimited.
  int64_t total_cpu_limit = INT64_MAX;
};

}  // namespace badgershore
