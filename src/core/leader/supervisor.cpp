#include "core/leader/supervisor.h"

#include "core/leader/dispatch.h"
#include "core/leader/gangs.h"
#include "core/leader/job_table.h"
#include "core/leader/machine_table.h"
#include "core/leader/quota_checker.h"
#include "core/leader/reconciler.h"
#include "core/leader/usage_accounting.h"

namespace badgershore {
namespace {

constexpr Micros kLookEvery = Seconds(5);

std::string Number(int64_t n) { return std::to_string(n); }

}  // namespace

// Everything that a job's next step can hang on, in the order in which it would be met.
std::string Supervisor::WhyItWaits(Micros now, const Job& job) const {
  if (job.finishing) return "all done, its end waits to be written";
  if (job.cancel_pending) return "its cancellation is being recorded";
  if (reconciler().MayStillRun(job))
    return Number(static_cast<int64_t>(reconciler().unreconciled().size())) +
           " machines unresolved";
  if (!election()->MayStart(now)) return "the lease does not hold";
  if (!authority().MayStart(now)) return "what was cancelled of late is not known";
  if (!quota_checker().Allows(job, job.IsGang() ? job.remaining() - job.placed : 1))
    return "its team's limit";
  if (job.IsGang() && job.gang_stopping) return "its last attempt is being stopped";
  if (now < job.backoff_until) return "a pause after failures";
  if (!job.IsGang() && !job.delayed.empty() && job.waiting.empty() && job.queued == 0 &&
      job.placed == 0) {
    return "a pause after failures";
  }
  int able = 0, ready = 0, room = 0, unrecorded = 0;
  for (const auto& [id, m] : machine_table().machines()) {
    if (!m->type || !Allows(job.spec, *m->type, m->zone, m->spot) ||
        !usage_accounting().ZoneAllows(job, m->zone)) {
      continue;
    }
    ++able;
    if (!machine_table().IsReady(*m, now)) continue;
    ++ready;
    unrecorded += !m->durable;
    room += job.spec.need.Fits(dispatch().RoomFor(*m, job, m->Used(), now));
  }
  if (able == 0) return "no machine that may hold it";
  if (ready == 0) return "none of its " + Number(able) + " machines is ready";
  if (room == 0) return "no room on " + Number(ready) + " machines";
  if (unrecorded == ready) return "the records of its machines wait to be written";
  if (job.placed > 0) return "its tasks on machines do not end";
  return "room on " + Number(room) + " of " + Number(ready) + " machines, and nothing in the way";
}

std::string Supervisor::Explain(Micros now, const std::string& id) const {
  auto it = job_table().jobs().find(id);
  if (it == job_table().jobs().end()) return id + ": not known to the leader";
  const Job& job = *it->second;
  std::string out = id + ": " + Number(job.done) + " of " + Number(job.spec.tasks) +
                    " tasks done, " + Number(job.placed) + " on machines, " + Number(job.running) +
                    " running, " + Number(job.queued) + " in queues";
  if (job.IsGang()) out += ", attempt " + Number(static_cast<int64_t>(job.gang_attempt & 0xffffff));
  return out + "; not moved for " + Number((now - job.progressed_at).ToMillis() / 1000) +
         " s: " + WhyItWaits(now, job);
}

// So long the job's next step may take: a boot that is tried twice, an image, a run, a gang's wait.
Micros Supervisor::Patience(const Job& job) const {
  Micros boot;
  for (const auto& [name, type] : types()) boot = std::max(boot, type.boot);
  const Micros usual = boot.Scaled(2 * options().boot_patience) +
                       settings().gang_start_timeout.Scaled(2) +
                       job.spec.estimated_runtime.Scaled(4);
  return std::max(options().stuck_after, usual);
}

void Supervisor::Tick(Micros now) {
  if (now < at_) return;
  at_ = now + kLookEvery;
  for (auto& [id, ptr] : job_table().jobs()) {
    Job* job = ptr.get();
    if (job->IsService() && job->placed == job->remaining()) continue;
    if (now - job->progressed_at < Patience(*job) || now < job->stuck_logged_at) continue;
    job->stuck_logged_at = now + Patience(*job);
    asker()->Info("stuck: " + Explain(now, id));
    Recount(now, job);
    // One that only gathers is stopped as after the loss of a member: it starts anew when all of it
    // is proved gone. One that runs may just take long.
    if (job->IsGang() && job->placed > 0 && !job->gang_attempt_ran && !job->gang_stopping) {
      asker()->Info("stuck: " + id + " is stopped and tried again");
      gangs().Halt(now, job, job->spec.checkpoint_duration);
    }
  }
}

// What is on machines is the truth, a job's counts are drawn from it. Where they differ there is a
// fault in here; the job goes on all the same. A task that is said to be on a machine which holds
// nothing of it is not simply started elsewhere: the machine goes back first, and the cloud's word
// is the proof that nothing runs there.
void Supervisor::Recount(Micros now, Job* job) {
  int placed = 0, running = 0;
  std::map<std::string, int> zones;
  std::vector<char> there(job->tasks.size(), 0);
  std::set<const Machine*> known;
  for (auto& [id, m] : machine_table().machines()) {
    known.insert(m.get());
    for (auto& [key, o] : m->allocations) {
      if (o.job != job || o.exited()) continue;
      ++placed;
      running += o.phase == TaskPhase::kRunning;
      ++zones[m->zone];
      const TaskState& t = job->tasks[static_cast<size_t>(o.ref.task)];
      if (t.machine == m.get() && t.attempt == o.attempt)
        there[static_cast<size_t>(o.ref.task)] = 1;
    }
  }
  std::map<std::string, Machine*> doubtful;  // by id
  int lost = 0;
  for (int i = 0; i < job->spec.tasks; ++i) {
    TaskState& t = job->tasks[static_cast<size_t>(i)];
    if (t.stage == TaskStage::kPlaced && !there[static_cast<size_t>(i)]) {
      ++lost;
      if (known.contains(t.machine)) {
        doubtful[t.machine->id] = t.machine;
      } else {
        job_table().TaskBack(now, job, i, {});
      }
    }
  }
  if (lost == 0 && placed == job->placed && running == job->running) return;
  asker()->Log(LogLine::Level::kError,
               "counts of " + job->spec.id + " were wrong: " + Number(job->placed) +
                   " tasks on machines for " + Number(placed) + ", " + Number(job->running) +
                   " running for " + Number(running) + ", " + Number(lost) + " lost");
  job->placed = placed;
  job->running = running;
  job->zone_count = zones;
  for (auto& [machine_id, m] : doubtful)
    machine_table().ReleaseMachine(now, m, "it and the leader differ on what it runs");
}

}  // namespace badgershore
