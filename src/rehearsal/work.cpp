#include "rehearsal/work.h"

namespace badgershore::rehearsal {

Micros Work::Checkpoint(const Job& job, Micros progress) const {
  const int64_t every = job.spec.checkpoint_interval.count;
  return {every > 0 ? progress.count / every * every : 0};
}

void Work::Finish(Job* job, const TaskKey& task) {
  if (!job->done.insert(task.ref.task).second) return;
  useful_cpu_s_ += job->run.ToSeconds() * static_cast<double>(job->spec.need.cpu) / 1000;
  hooks_.done(task);
}

void Work::Launch(const std::string& machine, const TaskKey& task, bool sick) {
  Job& job = jobs_.at(task.ref.job);
  const Micros now = hooks_.now();
  const auto exit = [this, machine, task](ExitReason cause) {
    return [this, machine, task, cause] { hooks_.exit(machine, task, cause, false); };
  };
  const bool fails = (task.ref.task * 7919 + 13) % 1000 < job.mistake * 1000;
  if (sick || fails) return hooks_.later(now + Millis(300), exit(ExitReason::kError));
  if (job.done.contains(task.ref.task)) return hooks_.later(now, exit(ExitReason::kDone));
  const double pace = 0.9 + 0.2 * Chance();
  if (job.spec.kind != JobKind::kGang) {
    const uint64_t serial = ++serial_;
    job.running[task] = {machine, now, serial};
    const Micros left = job.run.Scaled(pace) - job.saved[task.ref.task];
    return hooks_.later(now + std::max(left, Millis(1)), [this, &job, task, serial, exit] {
      auto it = job.running.find(task);
      if (it == job.running.end() || it->second.serial != serial) return;
      job.running.erase(it);
      Finish(&job, task);
      exit(ExitReason::kDone)();
    });
  }
  Gang& gang = job.gangs[task.attempt];
  gang.members[task.ref.task] = {machine, false, {}};
  if (gang.broken || gang.running || static_cast<int>(gang.members.size()) < job.spec.tasks) return;
  gang.running = true;
  gang.since = now;
  gang.serial = ++serial_;
  for (const auto& [index, member] : gang.members) {
    hooks_.gang_complete(member.machine, {{task.ref.job, index}, task.attempt});
  }
  const Micros left = std::max(job.run.Scaled(pace) - job.saved[0], Millis(1));
  hooks_.later(now + left, [this, &job, attempt = task.attempt, serial = gang.serial] {
    auto it = job.gangs.find(attempt);
    if (it == job.gangs.end() || it->second.serial != serial || it->second.broken ||
        it->second.stopping) {
      return;
    }
    const Gang gone = std::move(it->second);
    job.gangs.erase(it);
    for (const auto& [index, member] : gone.members) Finish(&job, {{job.spec.id, index}, attempt});
    for (const auto& [index, member] : gone.members) {
      hooks_.exit(member.machine, {{job.spec.id, index}, attempt}, ExitReason::kDone, false);
    }
  });
}

// Ends a running gang that has lost a member or was not stopped as a whole: the other members exit
// within the gang failure timeout.
void Work::Break(Job* job, uint64_t attempt) {
  Gang& gang = job->gangs[attempt];
  if (std::exchange(gang.broken, true) || !gang.running) return;
  const Micros progress = hooks_.now() - gang.since + job->saved[0];
  if (!gang.stopping) job->saved[0] = std::max(job->saved[0], Checkpoint(*job, progress));
  const Micros by = hooks_.now() + scenario_.site.gang_failure_timeout.Scaled(0.2 + 0.7 * Chance());
  hooks_.later(by, [this, job, attempt] {
    const Gang gone = std::move(job->gangs[attempt]);
    job->gangs.erase(attempt);
    for (const auto& [index, member] : gone.members) {
      hooks_.exit(member.machine, {{job->spec.id, index}, attempt},
                  member.saving ? ExitReason::kStopped : ExitReason::kGangMemberLost, false);
    }
  });
}

void Work::Kill(const TaskKey& task) {
  auto found = jobs_.find(task.ref.job);
  if (found == jobs_.end()) return;
  Job& job = found->second;
  if (auto it = job.running.find(task); it != job.running.end()) {
    const Micros progress = hooks_.now() - it->second.since + job.saved[task.ref.task];
    job.saved[task.ref.task] = std::max(job.saved[task.ref.task], Checkpoint(job, progress));
    job.running.erase(it);
    return;
  }
  auto gang = job.gangs.find(task.attempt);
  if (gang == job.gangs.end() || gang->second.members.erase(task.ref.task) == 0) return;
  if (gang->second.running) Break(&job, task.attempt);
}

void Work::Save(const std::string& machine, const TaskKey& task) {
  Job& job = jobs_.at(task.ref.job);
  const Micros now = hooks_.now();
  if (auto it = job.running.find(task); it != job.running.end()) {
    const Micros progress = now - it->second.since + job.saved[task.ref.task];
    const uint64_t serial = it->second.serial = ++serial_;  // cancels the scheduled completion
    return hooks_.later(now + job.spec.checkpoint_duration,
                        [this, &job, machine, task, serial, progress] {
                          auto it = job.running.find(task);
                          if (it == job.running.end() || it->second.serial != serial) return;
                          job.running.erase(it);
                          job.saved[task.ref.task] = std::max(job.saved[task.ref.task], progress);
                          hooks_.exit(machine, task, ExitReason::kStopped, true);
                        });
  }
  auto it = job.gangs.find(task.attempt);
  if (it == job.gangs.end() || !it->second.members.contains(task.ref.task)) return;
  Gang& gang = it->second;
  gang.members[task.ref.task].saving = true;
  gang.members[task.ref.task].saved_at = now + job.spec.checkpoint_duration;
  if (gang.broken) return;
  const auto alive = [&job, attempt = task.attempt]() -> Gang* {
    auto g = job.gangs.find(attempt);
    return g == job.gangs.end() || g->second.broken ? nullptr : &g->second;
  };
  if (!std::exchange(gang.stopping, true)) {
    // All members must be told within the gang failure timeout, or the gang falls back to its last
    // periodic checkpoint.
    const Micros progress = now - gang.since + job.saved[0];
    hooks_.later(now + scenario_.site.gang_failure_timeout,
                 [this, &job, alive, attempt = task.attempt, progress] {
                   Gang* g = alive();
                   if (!g) return;
                   for (const auto& [index, member] : g->members) {
                     if (member.saving) continue;
                     job.saved[0] = std::max(job.saved[0], Checkpoint(job, progress));
                     return Break(&job, attempt);
                   }
                 });
    gang.progress = progress;
  }
  Micros ready = now;
  for (const auto& [index, member] : gang.members) {
    if (!member.saving) return;
    ready = std::max(ready, member.saved_at);
  }
  hooks_.later(ready, [this, &job, alive, attempt = task.attempt] {
    Gang* g = alive();
    if (!g) return;
    job.saved[0] = std::max(job.saved[0], g->progress);
    const Gang gone = std::move(*g);
    job.gangs.erase(attempt);
    for (const auto& [index, member] : gone.members) {
      hooks_.exit(member.machine, {{job.spec.id, index}, attempt}, ExitReason::kStopped, true);
    }
  });
}

}  // namespace badgershore::rehearsal
