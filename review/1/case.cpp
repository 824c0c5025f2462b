// A user submits a settlement gang with 100,000 tasks instead of 1 and cancels it a little later.
// Are questions about a job that already runs still answered?
#include <cstdlib>

#include "site.h"

using namespace review;

namespace {

constexpr double kEnd = 108;
constexpr int kHomeTasks = 16;
constexpr double kHomeRun = 30;
// The protocol allows at most 100,000 tasks; the gangs of the site have 1.
constexpr int kMistakenTasks = 100000, kOrdinaryTasks = 1;
// The user begins to cancel the gang this long after its submission, and repeats the request.
constexpr double kCancelAfter = 15;
// A job about which no question is answered for this long, once all troubles are over, counts as
// forgotten. Counted here from the first request to cancel the gang.
constexpr double kForgotten = 75;

}  // namespace

int main(int argc, char** argv) {
  if (argc != 4) return 2;
  const char* trouble = std::getenv("TROUBLE");
  const bool mistake = !trouble || std::string(trouble) != "0";
  OpenRecord(argv[3]);

  StateLimits limits;
  WorkerTimes times;
  Jobs jobs;
  StateService state(limits);
  Cloud cloud({{"chico", 4, 32, 0.8, 40}, {"grande", 32, 64, 0.2, 40}}, "salto", times, &jobs);
  Controllers nodes(
      argv[1], argv[2], "salto", times, limits, nullptr,
      R"([{"name":"recaudacion","cpus":0.0,"cpus_max":0.0,"gpus":0.0,"gpus_max":0.0}])", 104, 2000,
      state.address(), cloud.address());
  cloud.nodes = nodes.Nodes();
  cloud.capacity = 14;

  std::atomic<int> done{0}, killed{0};
  cloud.events.on_end = [&](const std::string& leg, const std::string& machine, const char* cause) {
    if (leg.compare(0, 11, "job-000001/") != 0) return;
    done += std::string(cause) == "done";
    killed += std::string(cause) == "killed";
    Record("worker %s: %s ended: %s", machine.c_str(), leg.c_str(), cause);
  };

  for (int i = 0; i < 3; ++i) nodes.Start(i);
  if (nodes.WaitForLeader(20) < 0) return 2;
  for (int i = 0; i < 6; ++i) cloud.AddMachine("chico", true);
  for (int i = 0; i < 2; ++i) cloud.AddMachine("grande", true);
  SleepFor(4);

  const auto submit = [&](const std::string& id, const char* lane, const char* shape,
                          const char* rank, const JobInfo& info) {
    jobs.Add(id, info);
    const JobReply reply =
        Submit(nodes.address(0), JobBody(id, lane, "recaudacion", shape, rank, info));
    Record("user: submitted %s, %s of %d tasks of %g CPUs: %d", id.c_str(), shape, info.legs,
           info.cpus, reply.status);
    return reply.status;
  };
  JobInfo home;
  home.legs = kHomeTasks;
  home.mem_gb = 1.5;
  home.run_s = kHomeRun;
  if (submit("job-000001", "lectura-placas", "array", "idle", home) != 201) return 2;
  SleepFor(4);
  JobInfo gang;
  gang.legs = mistake ? kMistakenTasks : kOrdinaryTasks;
  gang.cpus = 30;
  gang.mem_gb = 51;
  gang.image = "img-2";
  gang.run_s = 35;
  const int status = submit("job-000002", "liquidacion", "gang", "high", gang);
  if (status != 201 && status != 422) return 2;
  const double cancel_at = Now() + kCancelAfter;

  std::mutex mutex;
  double answered_at = cancel_at, longest_silence = 0;
  int asked = 0, answered = 0;
  std::string phase;
  std::vector<std::thread> users;
  for (int node = 0; node < 3; ++node) {
    users.emplace_back([&, node] {
      while (Now() < kEnd) {
        const JobReply reply = Poll(nodes.address(node), "job-000001");
        Record("user: job-000001 at %s: %d %s, %d done, %d running", nodes.name(node).c_str(),
               reply.status, reply.phase.c_str(), reply.done, reply.running);
        {
          const std::lock_guard<std::mutex> lock(mutex);
          ++asked;
          longest_silence = std::max(longest_silence, Now() - answered_at);
          if (reply.status == 200) {
            ++answered;
            phase = reply.phase;
            answered_at = std::max(cancel_at, Now());
          }
          if (phase == "done") return;
        }
        SleepFor(2);
      }
    });
  }
  users.emplace_back([&] {
    SleepFor(cancel_at - Now());
    for (int turn = 0; Now() < kEnd - 5; ++turn) {
      const JobReply reply = Withdraw(nodes.address(turn % 3), "job-000002");
      Record("user: cancels job-000002 at %s: %d %s", nodes.name(turn % 3).c_str(), reply.status,
             reply.phase.c_str());
      if (reply.status == 200 || reply.status == 404) return;
      SleepFor(1);
    }
  });
  for (std::thread& user : users) user.join();

  const bool forgotten = longest_silence >= kForgotten, lost = phase != "done";
  if (forgotten) {
    Record(
        "RULE BROKEN: no question about job-000001 was answered for %.1f s, counted from the "
        "first request to cancel the gang",
        longest_silence);
  }
  if (lost) {
    Record("job-000001 is accepted and not done %.0f s later, with all machines up", Now() - 4);
  }
  Record(
      "tasks of job-000001: %d ended done, %d killed because no controller answered their "
      "worker; %d of %d questions answered; the longest time without an answer was %.1f s",
      done.load(), killed.load(), answered, asked, longest_silence);
  for (int i = 0; i < 3; ++i) nodes.Kill(i);
  std::printf("job-000001 is %s; %d of its tasks were killed; no answer for %.1f s\n",
              lost ? "not done" : "done", killed.load(), longest_silence);
  std::fflush(stdout);
  std::_Exit(forgotten ? 1 : 0);
}
