#include "rehearsal/service.h"

#include <algorithm>

namespace badgershore::rehearsal {
namespace {

double Span(int64_t from, int64_t to) { return static_cast<double>(to - from) / 1e6; }

}  // namespace

void Service::See(const Event& e) {
  if (e.kind == Event::Kind::kSubmitted) {
    jobs_[e.job] = {{e.facts.team, e.facts.lane}, e.facts.tasks, e.at_us, -1, -1, false, false};
    return;
  }
  auto it = jobs_.find(e.job);
  if (it == jobs_.end()) return;
  Job& job = it->second;
  if (e.kind == Event::Kind::kAccepted) job.accepted = true;
  if (e.kind == Event::Kind::kWithdraws) job.withdrawn = true;
  if (e.kind == Event::Kind::kTaskOn && job.started < 0) job.started = e.at_us;
  if (e.kind == Event::Kind::kTold && e.text == "done" && job.done < 0) job.done = e.at_us;
}

std::map<Service::Key, Service::Served> Service::Sum(int64_t end_us) const {
  std::map<Key, Served> out;
  for (const auto& [id, job] : jobs_) {
    if (!job.accepted) continue;
    Served& s = out[job.key];
    ++s.accepted;
    s.withdrawn += job.withdrawn;
    if (job.withdrawn) continue;
    s.started += job.started >= 0;
    s.done += job.done >= 0;
    if (job.started >= 0) {
      s.latest_start_s = std::max(s.latest_start_s, Span(job.submitted, job.started));
    }
    if (job.done >= 0) s.latest_done_s = std::max(s.latest_done_s, Span(job.submitted, job.done));
  }
  for (auto& [key, s] : out) {
    std::vector<const Job*> owed;
    for (const auto& [id, job] : jobs_) {
      if (job.key == key && job.accepted && !job.withdrawn) owed.push_back(&job);
    }
    std::stable_sort(owed.begin(), owed.end(),
                     [](const Job* a, const Job* b) { return a->tasks > b->tasks; });
    owed.resize((owed.size() + 9) / 10);
    for (const Job* job : owed) {
      ++s.large;
      s.large_done += job->done >= 0;
      s.latest_large_start_s = std::max(
          s.latest_large_start_s, Span(job->submitted, job->started >= 0 ? job->started : end_us));
    }
  }
  return out;
}

std::vector<Broken> Service::Failed(int64_t end_us) const {
  std::vector<Broken> out;
  const double end = static_cast<double>(end_us) / 1e6;
  const auto say = [&](const char* rule, const std::string& what) {
    out.push_back({rule, end, what});
  };
  for (const auto& [key, s] : Sum(end_us)) {
    const std::string name = key.first + " " + key.second;
    if (s.share() < 0.5)
      say("half", name + ": " + std::to_string(s.done) + " done of " +
                      std::to_string(s.accepted - s.withdrawn));
    if (s.large_done * 2 < s.large || s.latest_large_start_s > 240) {
      say("largest", name + ": " + std::to_string(s.large_done) + " of its " +
                         std::to_string(s.large) + " largest done, the last started after " +
                         std::to_string(static_cast<int>(s.latest_large_start_s)) + " s");
    }
    auto it = bounds_.find(key.second);
    if (it == bounds_.end()) continue;
    const auto late = [&, owed = s.accepted - s.withdrawn](const char* what, double bound,
                                                           double latest, int count) {
      if (bound <= 0 || (latest <= bound && count == owed)) return;
      say("late", name + ": the last was " + what + " after " +
                      std::to_string(static_cast<int>(latest)) + " s, " + std::to_string(count) +
                      " of " + std::to_string(owed));
    };
    late("started", it->second.start_s, s.latest_start_s, s.started);
    late("done", it->second.done_s, s.latest_done_s, s.done);
  }
  return out;
}

}  // namespace badgershore::rehearsal
