// The leader is cut from the state service and from the other controllers, not from workers. Users
// cancel jobs at another controller, which confirms. Do tasks of these jobs start afterwards?
#include <cstdlib>

#include "site.h"

using namespace review;

namespace {

constexpr int kMachines = 6, kJobs = 5, kTasks = 400;
constexpr double kCutFor = 10;
// A start counts only if the worker sent the report that it answers this long after the user was
// told: such a command can't have been in flight when the user was told.
constexpr double kMargin = 0.25;

std::string JobId(int k) {
  char id[16];
  std::snprintf(id, sizeof(id), "job-%06d", k + 1);
  return id;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 4) return 2;
  const char* trouble = std::getenv("TROUBLE");
  const bool cut = !trouble || std::string(trouble) != "0";
  OpenRecord(argv[3]);

  StateLimits limits;
  WorkerTimes times;
  Jobs jobs;
  StateService state(limits);
  Cloud cloud({{"chico", 4, 32, 0.8, 40}}, "salto", times, &jobs);
  Controllers nodes(
      argv[1], argv[2], "salto", times, limits, nullptr,
      R"([{"name":"recaudacion","cpus":0.0,"cpus_max":0.0,"gpus":0.0,"gpus_max":0.0}])", 104, 2000,
      state.address(), cloud.address());
  cloud.nodes = nodes.Nodes();
  cloud.capacity = kMachines;

  std::mutex mutex;
  int starts = 0, late = 0;
  cloud.events.on_start = [&](const StartEvent& start) {
    const std::lock_guard<std::mutex> lock(mutex);
    ++starts;
    Record("worker %s: start of %s, attempt %llu, in the answer to the report sent at %.3f",
           start.machine.c_str(), start.leg.c_str(), static_cast<unsigned long long>(start.attempt),
           start.report_sent_at);
    JobInfo info;
    jobs.Find(start.leg.substr(0, start.leg.rfind('/')), &info);
    if (info.cancelled_at < 0 || start.report_sent_at < info.cancelled_at + kMargin) return;
    ++late;
    Record("RULE BROKEN: %s starts on %s %.3f s after its user was told that the job is cancelled",
           start.leg.c_str(), start.machine.c_str(), start.at - info.cancelled_at);
  };

  for (int i = 0; i < 3; ++i) nodes.Start(i);
  if (nodes.WaitForLeader(20) < 0) return 2;
  for (int i = 0; i < kMachines; ++i) cloud.AddMachine("chico", true);
  SleepFor(4);
  for (int k = 0; k < kJobs; ++k) {
    JobInfo info;
    info.legs = kTasks;
    info.mem_gb = 1.5;
    info.run_s = 1;
    jobs.Add(JobId(k), info);
    const std::string body =
        JobBody(JobId(k), "lectura-placas", "recaudacion", "array", "idle", info);
    const JobReply reply = Submit(nodes.address(k % 3), body);
    Record("user: submitted %s at %s: %d", JobId(k).c_str(), nodes.name(k % 3).c_str(),
           reply.status);
    if (reply.status != 200 && reply.status != 201) return 2;
  }
  SleepFor(8);

  const int leader = nodes.Leader();
  if (leader < 0) return 2;
  const int other = (leader + 1) % 3;
  if (cut) {
    nodes.CutState(leader, true);
    nodes.CutPeers(leader, true);
  }
  const double cut_at = Now();
  Record("%s leads; %s", nodes.name(leader).c_str(),
         cut ? "cut from the state service and the other controllers" : "nothing is cut");
  int told = 0;
  for (int k = 0; k < kJobs; ++k) {
    const JobReply reply = Withdraw(nodes.address(other), JobId(k));
    if (reply.status == 200 && reply.phase == "withdrawn") {
      jobs.SetCancelled(JobId(k), Now());
      ++told;
    }
    Record("user: %s cancelled at %s: %d %s", JobId(k).c_str(), nodes.name(other).c_str(),
           reply.status, reply.phase.c_str());
    SleepFor(0.1);
  }
  SleepFor(kCutFor - (Now() - cut_at));
  if (cut) {
    nodes.CutState(leader, false);
    nodes.CutPeers(leader, false);
    Record("the cut ends");
  }
  SleepFor(5);

  const std::lock_guard<std::mutex> lock(mutex);
  Record("%d cancellations confirmed; %d starts, %d of them after a confirmed cancellation", told,
         starts, late);
  for (int i = 0; i < 3; ++i) nodes.Kill(i);
  std::printf("%d starts after a confirmed cancellation\n", late);
  std::fflush(stdout);
  if (told == 0 || starts == 0) std::_Exit(2);
  std::_Exit(late > 0 ? 1 : 0);
}
