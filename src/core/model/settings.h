// Settings of a controller: those of the platform and those of the operators.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "core/model/types.h"

namespace badgershore {

struct Team {
  std::string name;
  Resources guarantee;  // cpu and gpu only; 0: no guarantee
  Resources limit;      // cpu and gpu only; 0: no limit
  bool limited() const { return limit.cpu > 0 || limit.gpu > 0; }
};

struct Objective {
  std::string kind;
  std::string job_class;
  Micros within;
  double share = 0;
};

// Limits of the state service.
struct StateServiceLimits {
  double requests_per_s = 100;
  double changes_per_s = 10;  // mutations of all transactions
  double value_kb = 8;
  int mutations = 8;  // of one transaction
  size_t ValueBytes() const { return static_cast<size_t>(value_kb * 1024); }
};

// Settings that the platform provides.
struct PlatformSettings {
  std::string member;
  std::string site;
  std::string client_listen;
  std::string peer_listen;
  struct Member {
    std::string name;
    std::string addr;
  };
  std::vector<Member> members;
  std::string cloud_addr;
  std::string state_addr;
  std::vector<std::string> zones;
  std::vector<Team> teams;
  std::vector<Objective> objectives;
  Micros heartbeat_interval, agent_lease, gang_start_timeout, gang_failure_timeout, cancel_deadline;
  StateServiceLimits state;
  // Limits that the state service will have from some later moment on.
  std::optional<StateServiceLimits> next_state;
  double cloud_rps = 5;
  Micros cloud_list_lag;
  double quota_mem_mb = 64;
  int quota_connections = 500;

  const Team* FindTeam(const std::string& name) const {
    for (const Team& t : teams)
      if (t.name == name) return &t;
    return nullptr;
  }
};

// A cell that shares the teams' limits and guarantees with others.
struct CellConfig {
  std::string name;
  std::vector<std::string> addresses;  // of its controllers, for messages between cells
  bool initial_member = true;          // has held a quota share from the beginning
  bool draining = false;               // takes no quota and transfers all that it does not use
  std::string successor;  // not empty: the cell was removed, and this one inherits its quota share
};
// All such cells; empty if there is only this one.
struct CellsConfig {
  std::string self;
  std::vector<CellConfig> cells;
};

// The operators' settings (YAML). The defaults apply if there is no file.
struct Options {
  // Ratio of the bounds of a size bucket, see SizeBucket().
  double bucket_width = 2.0;
  // How long a task waits in a machine's queue before another machine may start it.
  Micros rebind_wait = Seconds(3);
  // Jobs that have waited for longer start before others.
  Micros age_limit = Seconds(120);
  // Duration of the leader lease.
  Micros lease = Millis(2500);
  // An agent that has sent nothing for this long is probed.
  Micros silent_probe = Seconds(5);
  // A machine whose agent has sent nothing for about this long is released.
  Micros silent_return = Seconds(9);
  // Unreconciled machines are released this long after the term began if they are few (10%).
  Micros resolve_wait = Seconds(4);
  // The response to the heartbeat of an empty machine may be delayed for this long.
  Micros hold_checkin = Seconds(1.5);
  // Unreconciled machines are released this long after their first probe if they are very few (2%).
  Micros resolve_soon = Seconds(1.2);
  // A machine that was idle for this many boot times is released.
  double idle_boots = 0.6;
  // The same for machines of which a gang member needs more than half.
  double gang_idle_boots = 1.2;
  // Number of machines that are kept even if idle.
  int keep_machines = 0;
  // Room kept for gangs, as a multiple of the members expected to arrive during a boot.
  double gang_spare = 1.0;
  // Default time to completion, and the share of a class's objective to aim for.
  Micros drain_target = Seconds(30);
  double drain_share = 0.45;
  // The arrival rate forecast is zero for up to this many recent jobs of equal size.
  double arrival_doubt = 6;
  // Room kept for jobs that can't wait for a boot: their mean load plus this many standard
  // deviations.
  double ready_spread = 2;
  // That room is zero for up to this many recent jobs of equal size.
  double ready_doubt = 2;
  // A machine that has not booted within this multiple of its boot time is released.
  double boot_patience = 1.8;
  // An offer that the cloud refused is not requested again for this long.
  Micros refusal_memory = Seconds(20);
  // A job without progress for at least this long is checked for being stuck.
  Micros stuck_after = Seconds(300);
  // Maximum number of a job's tasks in machines' queues.
  int bind_window = 1024;
  CellsConfig cells;
  // Among jobs of equal priority, those of a team whose dominant share exceeds this multiple of the
  // mean, over the teams that use or want resources, start after the others.
  double fair_margin = 1.1;
  // A team that has been short of its guarantee for this long preempts tasks of other teams.
  Micros reclaim_wait = Seconds(4);
  // Maximum amount preempted for a guarantee per minute, as a multiple of the guarantee.
  double reclaim_share = 2;
  // A gang that its team's limit has blocked for this long preempts the team's work of lower
  // priority.
  Micros limit_patience = Seconds(3);
};

}  // namespace badgershore
