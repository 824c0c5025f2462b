#include "rehearsal/service.h"

#include <algorithm>

namespace badgershore::rehearsal {
namespace {

double SecondsBetween(int64_t from, int64_t to) { return static_cast<double>(to - from) / 1e6; }

}  // namespace

void ServiceStats::OnEvent(const Event& e) {
  if (e.kind == Event::Kind::kSubmitted) {
    jobs_[e.job] = {
        {e.facts.team, e.facts.job_class}, e.facts.tasks, e.at_us, -1, -1, false, false};
    return;
  }
  auto it = jobs_.find(e.job);
  if (it == jobs_.end()) return;
  Job& job = it->second;
  if (e.kind == Event::Kind::kAccepted) job.accepted = true;
  if (e.kind == Event::Kind::kCancelRequested) job.cancelled = true;
  if (e.kind == Event::Kind::kTaskStarted && job.started < 0) job.started = e.at_us;
  if (e.kind == Event::Kind::kStatusReported && e.text == "done" && job.done < 0)
    job.done = e.at_us;
}

std::map<ServiceStats::Key, ServiceStats::ClassStats> ServiceStats::Summarize(
    int64_t end_us) const {
  std::map<Key, ClassStats> out;
  for (const auto& [id, job] : jobs_) {
    if (!job.accepted) continue;
    ClassStats& s = out[job.key];
    ++s.accepted;
    s.cancelled += job.cancelled;
    if (job.cancelled) continue;
    s.started += job.started >= 0;
    s.done += job.done >= 0;
    if (job.started >= 0) {
      s.latest_start_s = std::max(s.latest_start_s, SecondsBetween(job.submitted, job.started));
    }
    if (job.done >= 0)
      s.latest_done_s = std::max(s.latest_done_s, SecondsBetween(job.submitted, job.done));
  }
  for (auto& [key, s] : out) {
    std::vector<const Job*> expected;
    for (const auto& [id, job] : jobs_) {
      if (job.key == key && job.accepted && !job.cancelled) expected.push_back(&job);
    }
    std::stable_sort(expected.begin(), expected.end(),
                     [](const Job* a, const Job* b) { return a->tasks > b->tasks; });
    expected.resize((expected.size() + 9) / 10);
    for (const Job* job : expected) {
      ++s.largest;
      s.largest_done += job->done >= 0;
      s.latest_largest_start_s =
          std::max(s.latest_largest_start_s,
                   SecondsBetween(job->submitted, job->started >= 0 ? job->started : end_us));
    }
  }
  return out;
}

std::vector<Violation> ServiceStats::Violations(int64_t end_us) const {
  std::vector<Violation> out;
  const double end = static_cast<double>(end_us) / 1e6;
  const auto report = [&](const char* rule, const std::string& what) {
    out.push_back({rule, end, what});
  };
  for (const auto& [key, s] : Summarize(end_us)) {
    const std::string name = key.first + " " + key.second;
    if (s.share() < 0.5)
      report("half", name + ": " + std::to_string(s.done) + " done of " +
                         std::to_string(s.accepted - s.cancelled));
    if (s.largest_done * 2 < s.largest || s.latest_largest_start_s > 240) {
      report("largest", name + ": " + std::to_string(s.largest_done) + " of its " +
                            std::to_string(s.largest) + " largest done, the last started after " +
                            std::to_string(static_cast<int>(s.latest_largest_start_s)) + " s");
    }
    auto it = bounds_.find(key.second);
    if (it == bounds_.end()) continue;
    const auto late = [&, expected = s.accepted - s.cancelled](const char* what, double bound,
                                                               double latest, int count) {
      if (bound <= 0 || (latest <= bound && count == expected)) return;
      report("late", name + ": the last was " + what + " after " +
                         std::to_string(static_cast<int>(latest)) + " s, " + std::to_string(count) +
                         " of " + std::to_string(expected));
    };
    late("started", it->second.start_s, s.latest_start_s, s.started);
    late("done", it->second.done_s, s.latest_done_s, s.done);
  }
  return out;
}

}  // namespace badgershore::rehearsal
