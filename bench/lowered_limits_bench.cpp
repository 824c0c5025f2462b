// Measures what smaller pages cost: the changes that a leader writes and the time until new
// machines are durable, at the state service's present limits and at lower ones. All time is
// simulated, so the result does not depend on the machine. Prints one JSON line per case.
#include <algorithm>
#include <cstdio>
#include <string>

#include "emulated_site.h"
#include "wire/json.h"
#include "wire/records.h"

using namespace badgershore;

namespace {

constexpr int kFirstMachines = 100, kNewMachines = 900;
constexpr int kJobs = 60, kTasksPerJob = 100;
constexpr Micros kLongestWait = Seconds(120);

constexpr StateServiceLimits kPresent{250, 15, 8, 8};
constexpr StateServiceLimits kLower{250, 15, 2, 4};

size_t CountRecorded(const EmulatedSite& site) {
  size_t machines = 0;
  for (const auto& [key, item] : site.state().items) {
    const auto* page = std::get_if<FleetPage>(&item.value);
    if (page) machines += page->machines.size();
  }
  return machines;
}

bool Exceeds(const StateRequest& request, const StateServiceLimits& limits) {
  if (request.mutations.size() > static_cast<size_t>(limits.mutations)) return true;
  return std::any_of(request.mutations.begin(), request.mutations.end(),
                     [&limits](const Mutation& mutation) {
                       wire::Writer writer;
                       wire::PutRecord(&writer, mutation.value);
                       return writer.Done().size() > limits.ValueBytes();
                     });
}

// Counts the changes that are written, and refuses what exceeds the limits.
struct LimitedService {
  size_t changes = 0, refused = 0;
  void Serve(EmulatedSite* site, const StateServiceLimits& limits) {
    site->refuse_state_request =
        [this, limits](const StateRequest& request) -> std::optional<StateResponse> {
      if (Exceeds(request, limits)) {
        ++refused;
        StateResponse refusal;
        refusal.outcome = StateResponse::Outcome::kTooLarge;
        return refusal;
      }
      changes += request.mutations.size();
      return std::nullopt;
    };
  }
};

// Earlier versions have no such setting.
template <typename Settings>
void Announce(Settings* settings, const StateServiceLimits& limits) {
  if constexpr (requires { settings->next_state; }) settings->next_state = limits;
}

struct Case {
  const char* name;
  StateServiceLimits configured;
  bool announces_lower;
  StateServiceLimits real;  // from the moment on at which the new machines come up
};

void Measure(const Case& c) {
  EmulatedSite site(kFirstMachines, [&c](PlatformSettings* settings, Options* options) {
    options->keep_machines = kFirstMachines + kNewMachines;
    settings->state = c.configured;
    if (c.announces_lower) Announce(settings, kLower);
  });
  site.Advance(Seconds(30));

  LimitedService written;
  written.Serve(&site, c.real);
  site.AddMachines(kNewMachines);
  const Micros came_up_at = site.now();
  while (CountRecorded(site) < kFirstMachines + kNewMachines &&
         site.now() - came_up_at < kLongestWait) {
    site.Advance(kTick);
  }
  const double durable_s = (site.now() - came_up_at).ToSeconds();
  const size_t machine_changes = written.changes;

  site.Advance(Seconds(30));
  written.changes = 0;
  const Micros jobs_from = site.now();
  for (int job = 1; job <= kJobs; ++job) {
    site.Submit(JobKind::kArray, kTasksPerJob, kSmallTaskCpus, "job-" + std::to_string(job));
    site.Advance(Seconds(1));
    site.CompleteAll();
  }
  site.Advance(Seconds(5));
  const double jobs_s = (site.now() - jobs_from).ToSeconds();
  std::printf(
      "{\"case\":\"%s\",\"durable_s\":%.1f,\"machine_changes\":%zu,"
      "\"changes_per_s_with_jobs\":%.2f,\"refused\":%zu}\n",
      c.name, durable_s, machine_changes, static_cast<double>(written.changes) / jobs_s,
      written.refused);
}

}  // namespace

int main() {
  Measure({"8 KB, 8 changes", kPresent, false, kPresent});
  Measure({"8 KB, 8 changes, lower announced", kPresent, true, kPresent});
  Measure({"2 KB, 4 changes", kLower, false, kLower});
  Measure({"fall as the machines come up, announced", kPresent, true, kLower});
  Measure({"fall as the machines come up, without notice", kPresent, false, kLower});
}
