#include "scale/core/report.h"

#include <algorithm>
#include <cstdio>

#include "wire/json.h"

namespace badgershore::scale {
namespace {

constexpr size_t kMaxViolationsShown = 10;
const std::string kLongestTurn = "badgershore_loop_longest_turn_seconds";

std::string Format(const char* format, auto... values) {
  char text[256];
  std::snprintf(text, sizeof(text), format, values...);
  return text;
}

bool IsController(const std::string& process) { return process.rfind("node-", 0) == 0; }

std::string RoleOf(const std::string& process, const std::string& leader) {
  if (process.rfind("state", 0) == 0) return "state";
  if (!IsController(process)) return process;
  return process == leader ? "leader" : "standby";
}

// The increase of a counter. A decrease means that it was reset, by a restart of the process or by
// a change of leader; the increase is then the new value.
double Increase(double before, double after) { return after >= before ? after - before : after; }

void WritePhase(const PhaseUsage& phase, wire::Writer* w) {
  w->Begin().Put("name", phase.name).Put("span_s", phase.span_s);
  w->Key("cores").Begin();
  for (const auto& [role, cores] : phase.cores) w->Put(role.c_str(), cores);
  w->End().Key("resident_mb").Begin();
  for (const auto& [role, mb] : phase.resident_mb) w->Put(role.c_str(), mb);
  w->End().Key("leader_per_s").Begin();
  for (const auto& [name, rate] : phase.leader_per_s) w->Put(name.c_str(), rate);
  w->End().Put("longest_turn_ms", phase.longest_turn_ms);
  w->Put("state_changes_per_s", phase.state_changes_per_s);
  w->Put("reports_per_s", phase.reports_per_s).Put("starts_per_s", phase.starts_per_s);
  w->Put("worker_bytes_per_s", phase.worker_bytes_per_s).End();
}

void WriteWait(const Report::Wait& wait, wire::Writer* w) {
  w->Begin().Put("submitted", wait.submitted).Put("started_whole", wait.started_whole);
  w->Put("first_p50_s", wait.first_p50_s).Put("first_p90_s", wait.first_p90_s);
  w->Put("last_p50_s", wait.last_p50_s).Put("last_p90_s", wait.last_p90_s);
  w->Put("last_p99_s", wait.last_p99_s).Put("last_max_s", wait.last_max_s).End();
}

}  // namespace

PhaseUsage UsageBetween(const Sample& from, const Sample& to, int workers) {
  PhaseUsage phase;
  phase.name = from.phase;
  phase.span_s = to.at_s - from.at_s;
  const double span_s = phase.span_s > 0 ? phase.span_s : 1;
  for (const auto& [name, now] : to.processes) {
    const std::string role = RoleOf(name, to.leader);
    phase.resident_mb[role] += now.resident_mb;
    const auto before = from.processes.find(name);
    if (before == from.processes.end()) continue;
    phase.cores[role] += Increase(before->second.cpu_s, now.cpu_s) / span_s;
  }
  for (const auto& [name, value] : to.leader_counters) {
    if (name == kLongestTurn) continue;
    const auto before = from.leader_counters.find(name);
    const double start = before == from.leader_counters.end() ? 0 : before->second;
    phase.leader_per_s[name] = Increase(start, value) / span_s;
  }
  const auto turn = to.leader_counters.find(kLongestTurn);
  if (turn != to.leader_counters.end()) phase.longest_turn_ms = turn->second * 1000;
  phase.state_changes_per_s = (to.state_epoch - from.state_epoch) / span_s;
  phase.reports_per_s = static_cast<double>(to.reports - from.reports) / span_s;
  phase.starts_per_s = static_cast<double>(to.starts - from.starts) / span_s;
  phase.worker_bytes_per_s =
      static_cast<double>(to.report_bytes - from.report_bytes) / span_s / std::max(1, workers);
  return phase;
}

const PhaseUsage* Report::Phase(const std::string& name) const {
  for (const PhaseUsage& phase : phases) {
    if (phase.name == name) return &phase;
  }
  return nullptr;
}

Report::Wait SummarizeWaits(const StartTimes::ClassTimes& times) {
  return {times.submitted,
          times.started_whole,
          times.first_start.Quantile(0.5),
          times.first_start.Quantile(0.9),
          times.last_start.Quantile(0.5),
          times.last_start.Quantile(0.9),
          times.last_start.Quantile(0.99),
          times.last_start.longest()};
}

std::string ToJson(const Report& r) {
  wire::Writer w;
  w.Begin().Put("plan", r.plan).Put("workers", r.workers).Put("teams", r.teams);
  w.Put("starts_asked_per_s", r.starts_asked_per_s).Put("running_asked", r.running_asked);
  w.Put("starts_reached_per_s", r.starts_reached_per_s).Put("busiest_second", r.busiest_second);
  w.Put("most_running", r.most_running).Put("starts", r.starts).Key("phases").BeginList();
  for (const PhaseUsage& phase : r.phases) WritePhase(phase, &w);
  w.EndList().Key("waits").Begin();
  for (const auto& [lane, wait] : r.waits) {
    w.Key(lane.c_str());
    WriteWait(wait, &w);
  }
  w.End().Put("answer_p50_ms", r.answer_p50_ms).Put("answer_p99_ms", r.answer_p99_ms);
  w.Put("report_p50_ms", r.report_p50_ms).Put("report_p99_ms", r.report_p99_ms);
  w.Put("most_memory_mb", r.most_memory_mb).Put("most_processes", r.most_processes);
  w.Put("done", r.done).Put("open", r.open).Key("broken").BeginList();
  for (const rehearsal::Violation& b : r.broken) {
    w.Begin().Put("rule", b.rule).Put("at_s", b.at_s).Put("detail", b.detail).End();
  }
  return w.EndList().Put("stopped", r.stopped).Put("clean", r.clean()).End().Done();
}

std::string ToTable(const Report& r) {
  std::string out = Format(
      "%s: %d workers, %d teams; %.0f starts a second asked for, %.0f reached "
      "(best 10 s), %d in the busiest second\n",
      r.plan.c_str(), r.workers, r.teams, r.starts_asked_per_s, r.starts_reached_per_s,
      r.busiest_second);
  out += Format("%llu starts, %d tasks at once (%.0f asked for); jobs: %d done, %d open\n",
                static_cast<unsigned long long>(r.starts), r.most_running, r.running_asked, r.done,
                r.open);
  out += Format("%-10s %6s %8s %9s %9s %9s %11s  cores (memory, MB) by role\n", "phase", "span s",
                "starts/s", "reports/s", "changes/s", "turn ms", "worker B/s");
  for (const PhaseUsage& phase : r.phases) {
    out += Format("%-10s %6.1f %8.1f %9.1f %9.1f %9.1f %11.0f ", phase.name.c_str(), phase.span_s,
                  phase.starts_per_s, phase.reports_per_s, phase.state_changes_per_s,
                  phase.longest_turn_ms, phase.worker_bytes_per_s);
    for (const auto& [role, cores] : phase.cores) {
      out += Format(" %s %.3f (%.0f)", role.c_str(), cores, phase.resident_mb.at(role));
    }
    out += "\n";
  }
  for (const auto& [lane, wait] : r.waits) {
    out += Format(
        "%-10s %d jobs, %d started whole; first task within %.2f s (half), %.2f s (90%%); "
        "last within %.2f s (half), %.2f s (90%%), %.2f s (all)\n",
        lane.c_str(), wait.submitted, wait.started_whole, wait.first_p50_s, wait.first_p90_s,
        wait.last_p50_s, wait.last_p90_s, wait.last_max_s);
  }
  out += Format(
      "answers to users %.1f ms (half), %.1f ms (99%%); to reports %.1f ms, %.1f ms; "
      "%.0f MB, %d processes at most\n",
      r.answer_p50_ms, r.answer_p99_ms, r.report_p50_ms, r.report_p99_ms, r.most_memory_mb,
      r.most_processes);
  size_t shown = 0;
  for (const rehearsal::Violation& b : r.broken) {
    if (++shown > kMaxViolationsShown) break;
    out += "broken: " + b.rule + Format(" at %.3f s: ", b.at_s) + b.detail + "\n";
  }
  if (r.broken.size() > kMaxViolationsShown) {
    out += Format("and %zu more\n", r.broken.size() - kMaxViolationsShown);
  }
  if (!r.stopped.empty()) out += "stopped early: " + r.stopped + "\n";
  return out;
}

}  // namespace badgershore::scale
