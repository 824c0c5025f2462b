#include "scale/core/start_times.h"

#include <algorithm>
#include <numeric>

namespace badgershore::scale {
namespace {

using rehearsal::Event;
constexpr int64_t kSecondUs = 1000000;

double SecondsBetween(int64_t from_us, int64_t to_us) {
  return static_cast<double>(to_us - from_us) / kSecondUs;
}

}  // namespace

void StartTimes::OnEvent(const Event& event) {
  if (first_event_us_ < 0) first_event_us_ = event.at_us;
  switch (event.kind) {
    case Event::Kind::kSubmitted:
      jobs_[event.job] = {event.facts.job_class, event.facts.tasks, event.at_us, {}};
      ++classes_[event.facts.job_class].submitted;
      return;
    case Event::Kind::kTaskStarted:
      return OnTaskStarted(event);
    case Event::Kind::kTaskExited:
      --running_;
      return;
    default:
      return;
  }
}

void StartTimes::OnTaskStarted(const Event& event) {
  ++starts_;
  most_running_ = std::max(most_running_, ++running_);
  const auto second = static_cast<size_t>((event.at_us - first_event_us_) / kSecondUs);
  if (second >= per_second_.size()) per_second_.resize(second + 1);
  ++per_second_[second];
  const auto found = jobs_.find(event.job);
  if (found == jobs_.end()) return;  // a restart: all tasks of the job have been started before
  WaitingJob& job = found->second;
  ClassTimes& times = classes_[job.job_class];
  const double waited_s = SecondsBetween(job.submitted_us, event.at_us);
  if (job.started.empty()) times.first_start.Add(waited_s);
  job.started.insert(event.task);
  if (static_cast<int>(job.started.size()) < job.tasks) return;
  times.last_start.Add(waited_s);
  ++times.started_whole;
  jobs_.erase(found);
}

int StartTimes::busiest_second() const {
  return per_second_.empty() ? 0 : *std::max_element(per_second_.begin(), per_second_.end());
}

double StartTimes::busiest_mean(size_t span_s) const {
  if (span_s == 0 || per_second_.size() < span_s) return 0;
  const auto span = static_cast<std::ptrdiff_t>(span_s);
  int sum = std::accumulate(per_second_.begin(), per_second_.begin() + span, 0);
  int most = sum;
  for (size_t i = span_s; i < per_second_.size(); ++i) {
    sum += per_second_[i] - per_second_[i - span_s];
    most = std::max(most, sum);
  }
  return static_cast<double>(most) / static_cast<double>(span_s);
}

}  // namespace badgershore::scale
