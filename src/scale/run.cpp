#include "scale/run.h"

#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <sstream>

#include "config/config.h"
#include "io/mailbox.h"
#include "scale/process_usage.h"
#include "wire/json.h"

namespace badgershore::scale {
namespace {

constexpr Micros kCheckInterval = Seconds(1);
constexpr Micros kStateRestartDelay = Seconds(5);
constexpr size_t kBestWindowS = 10;
constexpr http::Limits kAnswerLimits{8 * 1024, 16 * 1024, 1024 * 1024};
// For each worker: a listener, a connection, and one for direct calls. The rest is for users and
// files.
constexpr int kDescriptorsPerWorker = 3, kOtherDescriptors = 1000;
// Keeps the fleet at the planned size: idle workers are not released.
std::string ControllerOptions(const Plan& plan) {
  return "autoscale: {keep_machines: " + std::to_string(plan.workers) + "}\n";
}

void CheckDescriptors(int workers) {
  rlimit limit{};
  ::getrlimit(RLIMIT_NOFILE, &limit);
  const auto wanted = static_cast<rlim_t>(workers * kDescriptorsPerWorker + kOtherDescriptors);
  if (limit.rlim_cur >= wanted) return;
  throw config::Error("file descriptors: expected at least " + std::to_string(wanted) +
                      " for this plan (ulimit -n), found " + std::to_string(limit.rlim_cur));
}

Counters ParseMetrics(const std::string& text) {
  Counters out;
  std::istringstream in(text);
  for (std::string line; std::getline(in, line);) {
    const size_t space = line.find(' ');
    if (line.empty() || line[0] == '#' || space == std::string::npos) continue;
    out[line.substr(0, space)] = std::atof(line.c_str() + space + 1);
  }
  return out;
}

struct Boundary {
  Micros at;
  std::string phase;  // the phase that begins at this time
};

std::vector<Boundary> BoundariesOf(const Plan& plan, Micros start) {
  const Phases& phases = plan.phases;
  const Micros peak_from = start + phases.ramp + phases.steady;
  std::vector<Boundary> out = {{start + phases.ramp, "steady"}, {peak_from, "peak"}};
  // Sampled just before the first fault, which is injected in the middle of the peak.
  if (plan.faults.any())
    out.push_back({peak_from + phases.peak.Scaled(0.5) - Millis(200), "faults"});
  out.push_back({start + phases.load(), "settle"});
  return out;
}

ProcessSample ToProcessSample(const ProcessUsage& usage) {
  return {usage.cpu_s, usage.resident_mb, usage.peak_mb};
}

}  // namespace

Run::Run(const Plan& plan, RunOptions options)
    : plan_(plan), options_(std::move(options)), scenario_(ToScenario(plan)) {
  CheckDescriptors(plan_.workers);
  rehearsal::SiteOptions site;
  site.programs = options_.programs;
  site.dir = options_.dir;
  site.seed = options_.seed;
  site.state_replicas = plan_.state_replicas;
  site.controller_options = ControllerOptions(plan_);
  site_ = std::make_unique<rehearsal::Site>(&loop_, scenario_, std::move(site));
  site_->on_event = [this](const rehearsal::Event& event) { start_times_.OnEvent(event); };
  site_->OnProcessEnded([this](const std::string& name, int status) {
    const bool killed = WIFSIGNALED(status) && WTERMSIG(status) == SIGKILL;
    if (ending_ || (killed && plan_.faults.any())) return;
    const std::string how = WIFSIGNALED(status)
                                ? "signal " + std::to_string(WTERMSIG(status))
                                : "exit code " + std::to_string(WEXITSTATUS(status));
    process_ends_.push_back(
        {"process_ended", (io::Loop::Now() - start_).ToSeconds(), name + ": " + how});
  });
}

Report Run::Execute() {
  start_ = io::Loop::Now();
  const auto started = site_->Start([this] { loop_.Stop(); });
  if (!started) throw config::Error(started.error().message);
  io::OnTerminationSignal(&loop_, [this] { Stop("interrupted"); });
  io::Spawn(Measure());
  loop_.Run();
  if (options_.progress) std::fprintf(stderr, "\n");
  return MakeReport();
}

void Run::Stop(const std::string& why) {
  if (std::exchange(ending_, true)) return;
  stop_reason_ = why;
  site_->Stop();
}

io::Task<std::string> Run::Fetch(std::string address, std::string target) {
  http::Client client(&loop_, address, 0, kAnswerLimits);
  const http::ClientResponse answer =
      co_await client.Request("GET", std::move(target), "", Seconds(2));
  co_return answer.answered() ? answer.body : std::string();
}

io::Task<Sample> Run::TakeSample(std::string phase) {
  Sample sample;
  sample.at_s = (io::Loop::Now() - start_).ToSeconds();
  sample.phase = std::move(phase);
  const site::Processes& processes = site_->processes();
  for (size_t child = 0; child < processes.size(); ++child) {
    const auto usage = ReadUsage(processes.pid(child));
    if (usage) sample.processes[site_->ProcessName(child)] = ToProcessSample(*usage);
  }
  if (const auto own = ReadUsage(::getpid())) sample.processes["hollow"] = ToProcessSample(*own);
  sample.reports = site_->heartbeat_traffic().requests;
  sample.report_bytes = site_->heartbeat_traffic().sent + site_->heartbeat_traffic().received;
  sample.starts = start_times_.starts();
  for (size_t node = 0; node < site_->node_addresses().size(); ++node) {
    const std::string text = co_await Fetch(site_->node_addresses()[node], "/metrics");
    Counters counters = ParseMetrics(text);
    if (counters["badgershore_leader"] != 1) continue;
    sample.leader = rehearsal::NodeName(node);
    sample.leader_counters = std::move(counters);
  }
  // The response for a missing key holds the current epoch, which counts the changes made so far.
  for (const std::string& address : site_->state_addresses()) {
    const std::string absent = co_await Fetch(address, "/store/scale/absent");
    rapidjson::Document document;
    if (!wire::ParseObject(absent, &document)) continue;
    sample.state_epoch = std::max(sample.state_epoch, wire::Number(document, "epoch"));
  }
  co_return sample;
}

// The replica that serves the state service; the first one if none reports that it does.
io::Task<size_t> Run::FindServingReplica() {
  const std::vector<std::string>& addresses = site_->state_addresses();
  for (size_t replica = 0; replica < addresses.size(); ++replica) {
    const std::string status = co_await Fetch(addresses[replica], "/replica/status");
    rapidjson::Document document;
    if (wire::ParseObject(status, &document) && wire::Flag(document, "serves")) co_return replica;
  }
  co_return 0;
}

// Returns false if the run ends before `at`.
io::Task<bool> Run::WaitUntil(Micros at) {
  while (!ending_ && io::Loop::Now() < at) {
    CheckBounds();
    co_await loop_.Sleep(std::min(kCheckInterval, at - io::Loop::Now()));
  }
  co_return !ending_;
}

io::Task<void> Run::Measure() {
  const Sample first = co_await TakeSample("ramp");
  samples_.push_back(first);
  for (const Boundary& boundary : BoundariesOf(plan_, start_)) {
    ShowProgress(samples_.back().phase);
    const bool still_running = co_await WaitUntil(boundary.at);
    if (!still_running) co_return;
    const Sample sample = co_await TakeSample(boundary.phase);
    samples_.push_back(sample);
    if (boundary.phase != "faults" || !plan_.faults.lose_state) continue;
    const size_t serving = co_await FindServingReplica();
    site_->LoseState(serving, kStateRestartDelay);
  }
  // The site ends by itself when all jobs have ended or the settle time has passed.
  while (!ending_ && !site_->world().IsOver()) {
    ShowProgress("settle");
    CheckBounds();
    co_await loop_.Sleep(Millis(200));
  }
  ending_ = true;
}

void Run::CheckBounds() {
  double memory_mb = 0;
  int running = 1;  // this process
  const site::Processes& processes = site_->processes();
  for (size_t child = 0; child < processes.size(); ++child) {
    const auto usage = ReadUsage(processes.pid(child));
    if (!usage) continue;
    ++running;
    memory_mb += usage->resident_mb;
  }
  if (const auto own = ReadUsage(::getpid())) memory_mb += own->resident_mb;
  most_memory_mb_ = std::max(most_memory_mb_, memory_mb);
  most_processes_ = std::max(most_processes_, running);
  if (memory_mb > plan_.bounds.memory_share * MachineMemoryMb()) Stop("the memory bound");
  if (running > plan_.bounds.processes) Stop("the bound on processes");
  if (options_.progress && !samples_.empty()) ShowProgress(samples_.back().phase);
}

void Run::ShowProgress(const std::string& phase) const {
  if (!options_.progress) return;
  std::fprintf(stderr, "\r%-8s %5.0f s  %7llu starts  %6d running  %6.0f MB   ", phase.c_str(),
               (io::Loop::Now() - start_).ToSeconds(),
               static_cast<unsigned long long>(start_times_.starts()), start_times_.running(),
               most_memory_mb_);
}

Report Run::MakeReport() {
  const rehearsal::Result result = site_->world().FinishRun();
  Report report;
  report.plan = plan_.name;
  report.workers = plan_.workers;
  report.teams = plan_.teams;
  report.starts_asked_per_s = plan_.starts_per_s;
  report.running_asked = plan_.running_tasks();
  report.starts_reached_per_s = start_times_.busiest_mean(kBestWindowS);
  report.busiest_second = start_times_.busiest_second();
  report.most_running = start_times_.most_running();
  report.starts = start_times_.starts();
  for (size_t i = 1; i < samples_.size(); ++i) {
    report.phases.push_back(UsageBetween(samples_[i - 1], samples_[i], plan_.workers));
  }
  for (const auto& [lane, times] : start_times_.classes())
    report.waits[lane] = SummarizeWaits(times);
  report.answer_p50_ms = site_->user_traffic().latencies.Quantile(0.5) * 1000;
  report.answer_p99_ms = site_->user_traffic().latencies.Quantile(0.99) * 1000;
  report.report_p50_ms = site_->heartbeat_traffic().latencies.Quantile(0.5) * 1000;
  report.report_p99_ms = site_->heartbeat_traffic().latencies.Quantile(0.99) * 1000;
  report.most_memory_mb = most_memory_mb_;
  report.most_processes = most_processes_;
  report.done = result.done;
  report.open = result.open;
  report.broken = result.violations;
  report.broken.insert(report.broken.end(), process_ends_.begin(), process_ends_.end());
  report.stopped = stop_reason_;
  return report;
}

}  // namespace badgershore::scale
