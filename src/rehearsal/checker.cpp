#include <algorithm>
#include <cstdio>
#include <utility>

#include "rehearsal/history.h"

namespace badgershore::rehearsal {
namespace {
constexpr int64_t kSecond = 1000000;
constexpr int64_t kMaxUnanswered = 90 * kSecond, kMaxUnansweredAfterFaults = 75 * kSecond;
using Kind = Event::Kind;
}  // namespace

std::string FormatEvent(const Event& e) {
  static const char* const kNames[] = {
      "submitted",  "accepted",     "rejected", "withdraws", "told",      "unknown", "no-answer",
      "machine-up", "machine-gone", "task-on",  "task-off",  "task-done", "limit",   "note"};
  char head[64];
  std::snprintf(head, sizeof(head), "%.6f %s", static_cast<double>(e.at_us) / kSecond,
                kNames[static_cast<int>(e.kind)]);
  std::string out = head;
  if (!e.job.empty()) out += " " + e.job;
  if (e.kind >= Kind::kTaskStarted && e.kind <= Kind::kTaskCompleted)
    out += "/" + std::to_string(e.task);
  if (!e.machine.empty()) out += " " + e.machine;
  if (e.number != 0) out += " " + std::to_string(e.number);
  if (!e.text.empty()) out += " " + e.text;
  return out;
}

void Checker::ReportViolation(const Event& e, const char* rule, const std::string& detail) {
  violations_.push_back({rule, static_cast<double>(e.at_us) / kSecond, detail});
}

std::vector<Checker::Placement> Checker::PlacementsOf(const Job& job) const {
  std::vector<Placement> out;
  for (const auto& [task, machines] : job.placements) {
    for (const auto& [machine, attempt] : machines) {
      out.push_back({machine, machines_.at(machine).zone});
    }
  }
  return out;
}

void Checker::OnTaskStarted(const Event& e, Job* job) {
  const std::string task = e.job + "/" + std::to_string(e.task);
  any_started_ = true;
  for (const auto& [machine, attempt] : job->placements[e.task]) {
    if (machine != e.machine)
      ReportViolation(e, "ran_twice", task + " on " + machine + " and " + e.machine);
  }
  const Machine& m = machines_[e.machine];
  const JobFacts& f = job->facts;
  if (m.spot && !f.spot_ok) ReportViolation(e, "wrong_place", task + " on a spot machine");
  if (!f.zone.empty() && f.zone != m.zone)
    ReportViolation(e, "wrong_place", task + " in zone " + m.zone);
  int tasks_in_zone = 1;
  // Skipped for jobs without a placement rule: a large job has many tasks.
  for (const Placement& p :
       f.same_zone || f.spread ? PlacementsOf(*job) : std::vector<Placement>()) {
    if (f.same_zone && p.zone != m.zone)
      ReportViolation(e, "wrong_place",
                      task + " is apart from the job's other tasks, in zone " + m.zone);
    tasks_in_zone += p.zone == m.zone;
  }
  if (f.spread && tasks_in_zone > (f.tasks + 1) / 2)
    ReportViolation(e, "wrong_place", task + " exceeds the job's share of tasks in zone " + m.zone);
  job->placements[e.task][e.machine] = e.number;
  auto& used = used_[f.team];
  used.first += f.cpu_m;
  used.second += f.gpu_m;
  peak_cpu_[f.team] = std::max(peak_cpu_[f.team], used.first);
  const auto limit = bounds_.limits.find(f.team);
  if (limit != bounds_.limits.end() &&
      ((limit->second.first > 0 && used.first > limit->second.first) ||
       (limit->second.second > 0 && used.second > limit->second.second))) {
    ReportViolation(e, "quota",
                    f.team + " uses " + std::to_string(used.first) + " thousandths of a CPU");
  }
}

std::map<std::string, int64_t> Checker::TakePeakCpu() {
  std::map<std::string, int64_t> now;
  for (const auto& [team, used] : used_) now[team] = used.first;
  return std::exchange(peak_cpu_, std::move(now));
}

void Checker::CheckCancelled(int64_t at_us) {
  for (const std::string& id : cancelled_jobs_) {
    Job& job = jobs_[id];
    if (at_us - job.cancelled_at <= static_cast<int64_t>(bounds_.cancel_s * kSecond)) continue;
    for (const Placement& p : PlacementsOf(job)) {
      Event e;
      e.at_us = at_us;
      ReportViolation(e, "ran_cancelled",
                      id + " still runs after its cancellation deadline on " + p.machine);
    }
  }
}

void Checker::OnEvent(const Event& e) {
  if (e.kind == Kind::kMachineUp) {
    machines_[e.machine] = {e.text, e.number == 1, false};
    return;
  }
  if (e.kind == Kind::kLimit) {
    bounds_.limits[e.text].first = static_cast<int64_t>(e.number);
    return;
  }
  if (e.kind == Kind::kNote || e.kind == Kind::kMachineGone) {
    CheckCancelled(e.at_us);
    return;
  }
  Job& job = jobs_[e.job];
  switch (e.kind) {
    case Kind::kSubmitted:
      job.facts = e.facts;
      job.submitted = true;
      return;
    case Kind::kAccepted:
      if (job.facts.cannot_run)
        ReportViolation(e, "accepted", e.job + " can't run or lacks a field");
      job.accepted = true;
      job.unanswered_since = -1;
      last_response_us_ = e.at_us;
      return;
    case Kind::kRejected:
      if (job.accepted)
        ReportViolation(
            e, "forgotten",
            e.job + " was accepted and then rejected with status " + std::to_string(e.number));
      return;
    case Kind::kUnknownJob:
      if (job.accepted) ReportViolation(e, "forgotten", e.job + " is unknown (404)");
      last_response_us_ = e.at_us;
      return;
    case Kind::kNoAnswer:
      if (!job.accepted) return;
      if (job.unanswered_since < 0) job.unanswered_since = e.at_us;
      // After the last fault, whether or not other users get responses.
      if (bounds_.faults_end_s > 0 &&
          e.at_us - std::max(job.unanswered_since,
                             static_cast<int64_t>(bounds_.faults_end_s * 1e6)) >=
              kMaxUnansweredAfterFaults) {
        ReportViolation(e, "forgotten", e.job + " got no response for 75 s after the last fault");
        job.unanswered_since = e.at_us;
      }
      // Other users must still be getting responses: else this is an outage.
      if (e.at_us - job.unanswered_since >= kMaxUnanswered &&
          e.at_us - last_response_us_ < 5 * kSecond) {
        ReportViolation(e, "forgotten", e.job + " got no response for 90 s");
        job.unanswered_since = -1;
      }
      return;
    case Kind::kCancelRequested:
      job.cancel_requested = true;
      return;
    case Kind::kStatusReported: {
      last_response_us_ = e.at_us;
      job.unanswered_since = -1;
      if (!job.submitted)
        ReportViolation(e, "invented",
                        e.job + " was never submitted, but is reported as " + e.text);
      const bool final = e.text == "done" || e.text == "withdrawn";
      // A request that was sent before the user was told the final phase may have been answered
      // before the job ended.
      const bool requested_before = !final && e.requested_us >= 0 && e.requested_us < job.final_at;
      if (!job.final_phase.empty() && job.final_phase != e.text) {
        if (requested_before) {
          ++reordered_responses_;
        } else {
          ReportViolation(e, "went_back", e.job + " was " + job.final_phase + ", now " + e.text);
        }
      }
      if (e.text == "withdrawn" && !job.cancel_requested) {
        ReportViolation(e, "went_back", e.job + " withdrawn without a cancellation request");
      }
      if (e.text == "done" && job.final_phase.empty() &&
          static_cast<int>(job.done.size()) < job.facts.tasks) {
        ReportViolation(e, "not_done",
                        e.job + " reported done with " + std::to_string(job.done.size()) + " of " +
                            std::to_string(job.facts.tasks) + " tasks completed");
      }
      if (final && job.final_phase.empty()) {
        job.final_phase = e.text;
        job.final_at = e.at_us;
        if (e.text == "withdrawn") {
          job.cancelled_at = e.at_us;
          cancelled_jobs_.insert(e.job);
        }
      }
      return;
    }
    case Kind::kTaskStarted:
      CheckCancelled(e.at_us);
      started_cancelled_ += job.cancelled_at >= 0;
      if (job.cancelled_at >= 0 &&
          e.at_us - job.cancelled_at > static_cast<int64_t>(bounds_.cancel_s * kSecond)) {
        ReportViolation(e, "ran_cancelled",
                        e.job + " starts after its cancellation deadline on " + e.machine);
      }
      OnTaskStarted(e, &job);
      return;
    case Kind::kTaskCompleted:
      job.done.insert(e.task);
      return;
    case Kind::kTaskExited: {
      if (job.placements[e.task].erase(e.machine) == 0) return;
      if (job.cancelled_at >= 0) {
        const int64_t after = e.at_us - job.cancelled_at;
        latest_cancelled_us_ = std::max(latest_cancelled_us_, after);
        if (after > static_cast<int64_t>(bounds_.cancel_s * kSecond)) {
          ReportViolation(e, "ran_cancelled",
                          e.job + " exits from " + e.machine + " after its cancellation deadline");
        }
      }
      if (job.placements[e.task].empty()) job.placements.erase(e.task);
      auto& used = used_[job.facts.team];
      used.first -= job.facts.cpu_m;
      used.second -= job.facts.gpu_m;
      return;
    }
    default:
      return;
  }
}

void Checker::Finish(int64_t at_us) {
  CheckCancelled(at_us);
  if (!any_started_) {
    Event e;
    e.at_us = at_us;
    ReportViolation(e, "nothing_ran", "no task was started");
  }
}

std::map<std::string, std::string> Checker::FinalStates() const {
  std::map<std::string, std::string> out;
  for (const auto& [id, job] : jobs_) {
    if (job.accepted) out[id] = job.final_phase.empty() ? "open" : job.final_phase;
  }
  return out;
}

}  // namespace badgershore::rehearsal
