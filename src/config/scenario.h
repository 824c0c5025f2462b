// Test scenarios, read from YAML: the site, the jobs submitted over time, and the injected faults.
#pragma once

#include <string>
#include <vector>

#include "config/yaml.h"
#include "core/model/settings.h"
#include "core/model/types.h"

namespace badgershore::config {

struct MachineOffer {
  MachineType type;
  int capacity = 0, spot_capacity = 0, up = 0;
};
struct JobClass {
  JobSpec spec;      // the id and the number of tasks are set for each job
  std::string cell;  // where its jobs are submitted; empty: the first cell
  int min_tasks = 1, max_tasks = 1, images = 1, at_start = 0;
  double per_minute = 0;
  Micros run;
  Micros from, until;  // when jobs after the first `at_start` are submitted; until 0: to the end
  // The scenario fails if a job of the class starts, or is done, later than this after submission.
  Micros start_within, done_within;  // 0: no bound
  double failing_task_share = 0;     // the share of tasks that fail on every machine
  Micros cancel_after;               // its user cancels it this long after submission; 0: never
};
struct Cancellation {
  std::string job;
  Micros at;
};
struct Fault {
  // A fault injected from `at` for `span`. `who` and `whom` name hosts: all, leader, followers
  // (only for a cut), node-0 .. node-2, state, cloud, users, machines or zone-NAME, and cell-NAME
  // in a scenario with several cells.
  enum class Kind {
    kCloudDown,
    kCloudEmpty,
    kVanishingInstances,
    kBootFailures,
    kSpotPreemptions,
    kStateDown,
    kLostCommitResponses,
    kCommitsAfterTimeout,
    kStateRestart,
    kDiskFull,
    kKill,
    kPartition,
    kMachinesFail,
    kMachinesDie,
    kPause,
    kRestore,
    kLimit,
    kHandover,
    kStateRefuses,
    kStateSlow,  // `share` of the requests to and responses from the state service take up to 6 s
                 // longer
    kDelayedWrites,        // `share` of the writes get no response and are applied 2 to 12 s later
    kDuplicateHeartbeats,  // `share` of the heartbeats are duplicated, delayed by 2 s to more than
                           // a lease
    kMachinesReceiveNothing,     // `share` of the machines can send, but receive no responses or
                                 // requests
    kMachinesReachNoController,  // `share` of the machines can't reach a controller, but receive
                                 // direct commands
    kMachinesHang,  // `share` of the machines pause; what was sent to them is delivered afterwards
    kCancelNow,     // users cancel `count` running jobs; up to eight of their machines pause for
                    // `span`
    kCancelAtEnd,   // `share` of the jobs are cancelled at the moment their last task completes
    kQueryBursts,   // within milliseconds of a response users query all nodes and submit again
    kUnusualRequests,  // duplicate submissions, cancellations of finished jobs, jobs that can't run
    kStateLimits,      // the state service's limits change to `limits` for good
    kDelayedCommands,  // `share` of the direct commands get no response and are executed 2 to 16 s
                       // later
    kDuplicateCommands,  // a duplicate of `share` of the direct commands, and of the responses to
                         // heartbeats, arrives 2 s to a lease later
    kMachinesRestart,    // the agents of `share` of the machines end with all tasks and are back
                         // within a second, in their first epoch and without a fencing token
    kHeartbeatsHeldForNextLeader  // copies of `share` of the heartbeats reach all nodes after a new
                                  // leader started
  };
  Kind kind = Kind::kCloudDown;
  Micros at, span;
  double share = 1;
  int count = 0;
  std::string who, whom;
  std::string zone;      // of the affected machines; empty: all zones
  std::string cell;      // the affected cell; empty: the first, or all cells for kLimit
  std::string team;      // kLimit: every controller is restarted with a new limit for this team
  int64_t cpus_max = 0;  // thousandths
  StateServiceLimits limits;  // kStateLimits
  bool resets = false;  // kPartition: connections are reset instead of their data being delayed
};
struct Scenario {
  std::string name, about;
  Micros duration, settle;
  PlatformSettings site;
  std::vector<std::string> cells;  // empty: one cell. Each starts `up` machines of each type
  double boot_spread = 0.4;
  // Users query a finished job once more after a random time in this range.
  double recheck_least_s = 10, recheck_most_s = 30;
  std::vector<MachineOffer> types;
  std::vector<JobClass> classes;
  std::vector<Cancellation> cancellations;
  std::vector<std::string> racing_jobs;  // jobs whose cancellation races their completion
  std::vector<Fault> troubles;
};

// Reads a site's section; absent keys take the values of `defaults`. The caller must check for
// unknown keys.
PlatformSettings ReadSite(YamlMap* site, const PlatformSettings& defaults);

// Throws a config::Error that names the file, the line and the expected value.
Scenario LoadScenario(const std::string& file);
// Parses the scenario's text; `file` names it in errors.
Scenario ParseScenario(const std::string& text, const std::string& file);
// A small site for experiments, without generated jobs.
Scenario SmallSite();

}  // namespace badgershore::config
