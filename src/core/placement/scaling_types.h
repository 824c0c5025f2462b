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

// A number of instances to ask the cloud for.
struct ScaleOutRequest {
  InstanceOffer offer;
  int count = 0;
};

// What to change about the fleet. Pointers are to machines of the snapshot.
struct ScalingDecision {
  std::vector<ScaleOutRequest> scale_out;
  std::vector<Machine*> drain;                  // take no new work, released when empty
  std::vector<Machine*> undrain;                // take work again
  std::vector<Machine*> release;                // idle, to be scaled in now
  std::set<const Machine*> reserved_for_gangs;  // hold room for waiting or expected gangs
};

// State of the fleet and of the unfinished jobs at one time. Pointers outlive the decision.
struct ScalingSnapshot {
  Micros now;
  Micros term_began_at;
  const std::map<std::string, MachineType>* machine_types = nullptr;
  std::vector<Machine*> machines;
  std::map<InstanceOffer, int> pending_scale_out;  // requested, response outstanding
  std::vector<const Job*> jobs;
  const std::vector<std::string>* zones = nullptr;
  const std::vector<Objective>* objectives = nullptr;
  // Quotas by the team's index, in thousandths of a CPU; INT64_MAX: unlimited. Null: no quotas.
  std::function<int64_t(int)> team_cpu_limit;
  // CPU that the team's gangs of the priority may still take.
  std::function<int64_t(int, Priority)> gang_cpu_headroom;
  std::function<int(const std::string&)> team_index;  // -1: unknown team
  // Sum of the teams' quotas; INT64_MAX unless every team has one.
  int64_t total_cpu_limit = INT64_MAX;
};

}  // namespace badgershore
