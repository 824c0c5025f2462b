#include "core/leader/blame.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "core/leader/dispatch.h"
#include "core/leader/job_table.h"
#include "core/leader/machine_table.h"

namespace badgershore {
namespace {

constexpr Micros kFirstProbe = Seconds(4);
constexpr Micros kLastProbe = Seconds(64);
constexpr int kMostProbes = 1024;
constexpr int kInARow = 3;
// So long nothing but failures on a machine, and no other machine to tell whether it is the job.
constexpr Micros kNothingElse = Seconds(20);

}  // namespace

Blame::Verdict Blame::Failed(Micros now, Machine* m, Job* job, int task) {
  TaskState& t = job->tasks[static_cast<size_t>(task)];
  const bool before = job->IsFaulty();
  if (std::find(job->failed_machines.begin(), job->failed_machines.end(), m->id) ==
          job->failed_machines.end() &&
      job->failed_machines.size() < 8) {
    job->failed_machines.push_back(m->id);
  }
  ++job->failures;
  if (t.failures < 200) ++t.failures;
  if (job->IsFaulty()) {
    if (!before) Condemn(now, job);
    // A round of failures that were under way counts as one.
    if (now >= job->next_probe_at) {
      job->probe_backoff =
          before ? std::min(job->probe_backoff.Scaled(2), kLastProbe) : kFirstProbe;
      job->next_probe_at = now + job->probe_backoff;
    }
    job->probe_limit = 1;
    return {job->IsGang() ? job->next_probe_at - now : Micros{}, false};
  }
  Verdict v;
  v.pause = Seconds(0.25 * std::pow(2.0, std::min<int>(t.failures, 6)));
  if (m->failed_jobs.empty()) m->failing_since = now;
  m->failed_jobs.insert(job->spec.id);
  ++m->consecutive_failures;
  // Of jobs that nothing speaks for, those that failed elsewhere too say nothing of this machine.
  int jobs = 0;
  for (const std::string& id : m->failed_jobs) {
    const Job* other = job_table().Find(id);
    jobs += other && (Proven(*other) || other->failed_machines.size() == 1);
  }
  v.machine_at_fault = jobs >= 2 || (m->consecutive_failures >= kInARow &&
                                     (Proven(*job) || now - m->failing_since > kNothingElse));
  return v;
}

// Its machines are cleared of it, and its tasks leave their queues.
void Blame::Condemn(Micros now, Job* job) {
  outbox()->Info("job " + job->spec.id + " fails wherever it starts: one task at a time");
  job->next_probe_at = now;
  for (const auto& [id, m] : machine_table().machines()) {
    if (m->failed_jobs.erase(job->spec.id) > 0 && m->failed_jobs.empty())
      m->consecutive_failures = 0;
  }
  dispatch().Unbind(job);
}

void Blame::Done(Micros now, Machine* m, Job* job) {
  m->consecutive_failures = 0;
  m->failed_jobs.clear();
  if (!job->IsFaulty()) return;
  job->failures /= 2;
  job->probe_limit = std::min(job->probe_limit * 2, kMostProbes);
  job->probe_backoff = kFirstProbe;
  job->next_probe_at = now;
}

int Blame::MayBind(Micros now, const Job& job) const {
  if (!job.IsFaulty()) return std::numeric_limits<int>::max();
  return now < job.next_probe_at ? 0 : std::max(0, job.probe_limit - job.placed - job.queued);
}

}  // namespace badgershore
