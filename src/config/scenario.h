// A scenario to rehearse, read from YAML: the site, what arrives, and what goes wrong when.
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
  JobSpec spec;      // the id and the number of tasks are given by job
  std::string cell;  // where it arrives; empty: in the first
  int least_tasks = 1, most_tasks = 1, images = 1, at_start = 0;
  double per_minute = 0;
  Micros run;
  Micros from, until;  // those that do not come at the start come in between; until 0: to the end
  // The scenario fails where a job of it starts, or is done, later than this after its submission.
  Micros start_within, done_within;  // 0: no bound
  double mistake = 0;                // so much of its tasks fails on every machine
  Micros withdrawn_after;            // since its submission, by its user; 0: not
};
struct Withdrawal {
  std::string job;
  Micros at;
};
struct Trouble {
  // A fault, from `at` for `span`; `who` and `whom` name hosts: all, leader, followers (of a cut),
  // node-0 .. node-2, state, cloud, users, machines or zone-NAME, and in a scenario of several
  // cells cell-NAME.
  enum class Kind {
    kCloudDown,
    kCloudEmpty,
    kGrantsVanish,
    kBootsNever,
    kSpotWave,
    kStateDown,
    kStateMute,
    kStateLate,
    kStateRestart,
    kDiskFull,
    kKill,
    kCut,
    kMachinesFail,
    kMachinesDie,
    kFreeze,
    kRestore,
    kLimit,
    kRetire,
    kStateRefuses,
    kStateSlow,    // `share` of what it is asked and says takes up to 6 s longer
    kLateWrites,   // `share` of changes: no answer, carried out 2 to 12 s later
    kLateReports,  // of `share` of the reports a copy arrives again, from 2 s to over a lease later
    kDeaf,         // `share` of the machines: what they say arrives, what is said to them is lost
    kMute,         // `share` of the machines: they reach no controller, direct commands reach them
    kHang,       // `share` of the machines: nothing happens on them; what was sent comes afterwards
    kCancelNow,  // users call off `count` jobs that run; up to eight of their machines hang, `span`
    kCancelAtEnd,    // of `share` of the jobs whose last task completes, at that moment
    kCloseLooks,     // users ask at all nodes within milliseconds of an answer, and submit again
    kOddRequests,    // repeated submissions, cancellations of what is over, jobs that can't run
    kReportsForNext  // of `share` of the reports a copy comes to all nodes once a new leader has
                     // begun
  };
  Kind kind = Kind::kCloudDown;
  Micros at, span;
  double share = 1;
  int count = 0;
  std::string who, whom;
  std::string cell;      // where; empty: in the first, or in all for a limit
  std::string team;      // kLimit: every controller is restarted with another limit of this team
  int64_t cpus_max = 0;  // thousandths
  bool resets = false;   // a cut that resets connections instead of holding back what they carry
};
struct Scenario {
  std::string name, about;
  Micros duration, settle;
  PlatformSettings site;
  std::vector<std::string> cells;  // empty: one. Each has the machine types, and `up` of each
  double boot_spread = 0.4;
  // Users ask once more about a job that is over, after a time between these.
  double recheck_least_s = 10, recheck_most_s = 30;
  std::vector<MachineOffer> types;
  std::vector<JobClass> classes;
  std::vector<Withdrawal> withdrawals;
  std::vector<std::string> either;  // jobs whose withdrawal races their end
  std::vector<Trouble> troubles;
};

// A site's part of a file; `otherwise` where it says nothing. The caller looks for keys that nobody
// asked for.
PlatformSettings ReadSite(YamlMap* site, const PlatformSettings& otherwise);

// A config::Error names file, line and what was expected.
Scenario LoadScenario(const std::string& file);
// The same from its text; `file` names it in errors.
Scenario ParseScenario(const std::string& text, const std::string& file);
// A small site on which nothing arrives but what its users submit.
Scenario SmallSite();

}  // namespace badgershore::config
