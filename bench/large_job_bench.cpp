// Measures the longest step of a leader's event loop while one job of N tasks is submitted, waits
// or runs, completes, is cancelled, or is read by a new leader. A step is one input to the
// controller together with the formatting of the messages that it sends. While a step lasts, the
// leader neither renews its lease nor answers anyone.
//
// Usage: large_job_bench N... Prints one JSON object a line for each case, size and phase. Times
// are processor time of this thread; that of the emulated site is not counted.
#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <string>
#include <utility>
#include <vector>

#include "emulated_site.h"
#include "wire/messages.h"

namespace badgershore {
namespace {

double ThreadSeconds() {
  timespec ts{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &ts);
  return static_cast<double>(ts.tv_sec) + static_cast<double>(ts.tv_nsec) / 1e9;
}

size_t FormattedBytes(const Effects& effects) {
  size_t bytes = 0;
  for (const auto& r : effects.heartbeat_responses)
    bytes += wire::FormatHeartbeatResponse(r).size();
  for (const auto& r : effects.command_requests) bytes += wire::FormatCommandRequest(r).size();
  return bytes;
}

// The longest step since the last call of Take, in seconds.
class StepTimer {
 public:
  explicit StepTimer(EmulatedSite* site) {
    site->observe_step = [this](const std::function<void()>& step, const Effects& effects) {
      const double start = ThreadSeconds();
      step();
      formatted_bytes_ += FormattedBytes(effects);
      longest_ = std::max(longest_, ThreadSeconds() - start);
    };
  }
  double Take() { return std::exchange(longest_, 0); }

 private:
  double longest_ = 0;
  size_t formatted_bytes_ = 0;
};

struct Case {
  const char* name;
  JobKind kind;
  double cpus;
  enum class End { kCancelled, kCompleted, kMachinesLost } end = End::kCancelled;
};

const char* EndName(Case::End end) {
  switch (end) {
    case Case::End::kCancelled:
      return "cancelled";
    case Case::End::kCompleted:
      return "completed";
    case Case::End::kMachinesLost:
      return "machines lost";
  }
  return "";
}

void Report(const Case& c, int tasks, const char* phase, const EmulatedSite& site,
            StepTimer* timer) {
  std::printf(
      "{\"case\":\"%s\",\"tasks\":%d,\"phase\":\"%s\",\"longest_step_ms\":%.3f,\"on_agents\":%zu}"
      "\n",
      c.name, tasks, phase, timer->Take() * 1000, site.TasksOnAgents());
  std::fflush(stdout);
}

// Gangs that fit nowhere wait while the tasks of an array run.
void RunWithWaitingGangs(int tasks) {
  constexpr int kGangs = 50;
  const Case c{"array beside 50 waiting gangs", JobKind::kArray, kSmallTaskCpus,
               Case::End::kCancelled};
  EmulatedSite site;
  StepTimer timer(&site);
  site.Submit(c.kind, tasks, c.cpus);
  site.Advance(Seconds(20));
  timer.Take();
  for (int i = 0; i < kGangs; ++i) {
    char id[16];
    std::snprintf(id, sizeof(id), "job-%06d", 100 + i);
    site.Submit(JobKind::kGang, kMachineCount + 1, 30, id);
  }
  site.Advance(Seconds(3));
  Report(c, tasks, "scheduled", site, &timer);
}

void Run(const Case& c, int tasks) {
  EmulatedSite site;
  StepTimer timer(&site);
  site.Submit(c.kind, tasks, c.cpus);
  site.Advance(Millis(500));
  Report(c, tasks, "submitted", site, &timer);
  site.Advance(Seconds(15));
  Report(c, tasks, "scheduled", site, &timer);
  site.StartController();
  site.Advance(Seconds(8));
  Report(c, tasks, "taken over", site, &timer);
  if (c.end == Case::End::kCompleted) site.CompleteAll();
  if (c.end == Case::End::kCancelled) site.Cancel();
  if (c.end == Case::End::kMachinesLost) site.SilenceAgents();
  // The agents' leases expire within 40 s.
  site.Advance(Seconds(c.end == Case::End::kMachinesLost ? 45 : 15));
  Report(c, tasks, EndName(c.end), site, &timer);
}

}  // namespace
}  // namespace badgershore

int main(int argc, char** argv) {
  using badgershore::JobKind;
  using End = badgershore::Case::End;
  constexpr double kCpus = badgershore::kSmallTaskCpus;
  const std::vector<badgershore::Case> cases = {
      {"gang that fits nowhere", JobKind::kGang, 30, End::kCancelled},
      {"gang of small tasks", JobKind::kGang, kCpus, End::kCancelled},
      {"gang of small tasks", JobKind::kGang, kCpus, End::kCompleted},
      {"gang of small tasks", JobKind::kGang, kCpus, End::kMachinesLost},
      {"array of small tasks", JobKind::kArray, kCpus, End::kCancelled},
      {"array of small tasks", JobKind::kArray, kCpus, End::kCompleted},
      {"array of small tasks", JobKind::kArray, kCpus, End::kMachinesLost},
      {"service of small tasks", JobKind::kService, kCpus, End::kCancelled}};
  for (int i = 1; i < argc; ++i) {
    for (const badgershore::Case& c : cases) badgershore::Run(c, std::atoi(argv[i]));
    badgershore::RunWithWaitingGangs(std::atoi(argv[i]));
  }
  return 0;
}
