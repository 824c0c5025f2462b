// What a controller is told: the platform's settings, and the operators' own.
#pragma once

#include <string>
#include <vector>

#include "core/model/types.h"

namespace badgershore {

struct Team {
  std::string name;
  Resources guarantee;  // cpu and gpu only; 0: none
  Resources limit;      // 0: no limit
  bool limited() const { return limit.cpu > 0 || limit.gpu > 0; }
};

struct Objective {
  std::string kind;
  std::string job_class;
  Micros within;
  double share = 0;
};

// Settings handed over by the platform.
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
  double state_rps = 100, state_write_rps = 10, state_value_kb = 8;
  int state_txn_ops = 8;
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

// The cells that share the teams' limits and guarantees, and where their controllers hear each
// other; empty: this cell is alone.
struct CellSite {
  std::string name;
  std::vector<std::string> addresses;  // addresses of its controllers
  bool initial_member = true;          // had its part of the rights from the beginning
  bool draining = false;               // takes no rights, gives all that it does not use
  std::string successor;               // not empty: gone for good, and its rights are that cell's
};
struct CellsPlan {
  std::string self;
  std::vector<CellSite> cells;
};

// The operators' own settings (YAML), with the defaults that hold without a file.
struct Options {
  double bucket_width = 2.0;
  Micros rebind_wait = Seconds(3);
  Micros age_limit = Seconds(120);
  Micros lease = Millis(2500);
  Micros silent_probe = Seconds(5);
  Micros silent_return = Seconds(9);
  Micros resolve_wait = Seconds(4);    // into a term: few that have not answered are given back
  Micros hold_checkin = Seconds(1.5);  // so long the answer to an empty machine may wait
  Micros resolve_soon = Seconds(1.2);  // so long after they were asked: hardly any (2%) are
  double idle_boots = 0.6;             // idle for so many boot times: given back
  double gang_idle_boots = 1.2;        // the same for machines that gangs need most of
  int keep_machines = 0;               // so many stay, idle or not
  double gang_spare = 1.0;  // room kept for gangs, as a share of what a boot's time brings
  Micros drain_target = Seconds(30);
  double drain_share = 0.45;
  double arrival_doubt = 6;  // so few jobs of late foretell nothing
  double ready_spread = 2;   // room kept for what can't wait for a boot: deviations above the mean
  double ready_doubt = 2;    // so few such jobs of late foretell nothing
  double boot_patience = 1.8;
  Micros refusal_memory = Seconds(20);
  Micros stuck_after =
      Seconds(300);  // a job that has not moved for this long, at least, is looked at
  int bind_window = 1024;
  CellsPlan cells;
  // Teams of equal rank share what there is not enough of: one that has more than so many times
  // the mean share of those that have or want something goes after the others.
  double fair_margin = 1.1;
  Micros reclaim_wait = Seconds(4);    // a guarantee that is short for so long is given by stopping
  double reclaim_share = 2;            // of a guarantee, at most, is stopped for it in a minute
  Micros limit_patience = Seconds(3);  // then work of lower rank makes way under a team's limit
};

}  // namespace badgershore
