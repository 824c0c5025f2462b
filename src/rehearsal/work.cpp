#include "rehearsal/work.h"

namespace badgershore::rehearsal {

Micros TaskEmulator::LastCheckpoint(const Job& job, Micros progress) const {
  const int64_t every = job.spec.checkpoint_interval.count;
  return {every > 0 ? progress.count / every * every : 0};
}

void TaskEmulator::CompleteTask(Job* job, const TaskKey& task) {
  if (!job->done.insert(task.ref.task).second) return;
  useful_cpu_s_ += job->run.ToSeconds() * static_cast<double>(job->spec.need.cpu) / 1000;
  hooks_.done(task);
}

void TaskEmulator::Launch(const std::string& machine, const TaskKey& task, bool machine_fails) {
  Job& job = jobs_.at(task.ref.job);
  const Micros now = hooks_.now();
  const auto exit = [this, machine, task](ExitReason cause) {
    return [this, machine, task, cause] { hooks_.exit(machine, task, cause, false); };
  };
  const bool fails = (task.ref.task * 7919 + 13) % 1000 < job.failing_share * 1000;
  if (machine_fails || fails) return hooks_.later(now + Millis(300), exit(ExitReason::kError));
  if (job.done.contains(task.ref.task)) return hooks_.later(now, exit(ExitReason::kDone));
  const double pace = 0.9 + 0.2 * RandomFraction();
  if (job.spec.kind != JobKind::kGang) {
    const uint64_t serial = ++serial_;
    job.running[task] = {machine, now, serial};
    const Micros remaining = job.run.Scaled(pace) - job.saved_progress[task.ref.task];
    return hooks_.later(now + std::max(remaining, Millis(1)), [this, &job, task, serial, exit] {
      auto it = job.running.find(task);
      if (it == job.running.end() || it->second.serial != serial) return;
      job.running.erase(it);
      CompleteTask(&job, task);
      exit(ExitReason::kDone)();
    });
  }
  Gang& gang = job.gangs[task.attempt];
  gang.members[task.ref.task] = {machine, false, {}};
  if (gang.failed || gang.running || static_cast<int>(gang.members.size()) < job.spec.tasks) return;
  gang.running = true;
  gang.started_at = now;
  gang.serial = ++serial_;
  for (const auto& [index, member] : gang.members) {
    hooks_.gang_complete(member.machine, {{task.ref.job, index}, task.attempt});
  }
  const Micros remaining = std::max(job.run.Scaled(pace) - job.saved_progress[0], Millis(1));
  hooks_.later(now + remaining, [this, &job, attempt = task.attempt, serial = gang.serial] {
    auto it = job.gangs.find(attempt);
    if (it == job.gangs.end() || it->second.serial != serial || it->second.failed ||
        it->second.stopping) {
      return;
    }
    const Gang finished = std::move(it->second);
    job.gangs.erase(it);
    for (const auto& [index, member] : finished.members)
      CompleteTask(&job, {{job.spec.id, index}, attempt});
    for (const auto& [index, member] : finished.members) {
      hooks_.exit(member.machine, {{job.spec.id, index}, attempt}, ExitReason::kDone, false);
    }
  });
}

// Ends a running gang that has lost a member or was not stopped as a whole: the other members exit
// within the gang failure timeout.
void TaskEmulator::FailGang(Job* job, uint64_t attempt) {
  Gang& gang = job->gangs[attempt];
  if (std::exchange(gang.failed, true) || !gang.running) return;
  const Micros progress = hooks_.now() - gang.started_at + job->saved_progress[0];
  if (!gang.stopping)
    job->saved_progress[0] = std::max(job->saved_progress[0], LastCheckpoint(*job, progress));
  const Micros exit_at =
      hooks_.now() + scenario_.site.gang_failure_timeout.Scaled(0.2 + 0.7 * RandomFraction());
  hooks_.later(exit_at, [this, job, attempt] {
    const Gang finished = std::move(job->gangs[attempt]);
    job->gangs.erase(attempt);
    for (const auto& [index, member] : finished.members) {
      hooks_.exit(member.machine, {{job->spec.id, index}, attempt},
                  member.checkpointing ? ExitReason::kStopped : ExitReason::kGangMemberLost, false);
    }
  });
}

void TaskEmulator::Kill(const TaskKey& task) {
  auto found = jobs_.find(task.ref.job);
  if (found == jobs_.end()) return;
  Job& job = found->second;
  if (auto it = job.running.find(task); it != job.running.end()) {
    const Micros progress =
        hooks_.now() - it->second.started_at + job.saved_progress[task.ref.task];
    job.saved_progress[task.ref.task] =
        std::max(job.saved_progress[task.ref.task], LastCheckpoint(job, progress));
    job.running.erase(it);
    return;
  }
  auto gang = job.gangs.find(task.attempt);
  if (gang == job.gangs.end() || gang->second.members.erase(task.ref.task) == 0) return;
  if (gang->second.running) FailGang(&job, task.attempt);
}

void TaskEmulator::SaveCheckpoint(const std::string& machine, const TaskKey& task) {
  Job& job = jobs_.at(task.ref.job);
  const Micros now = hooks_.now();
  if (auto it = job.running.find(task); it != job.running.end()) {
    const Micros progress = now - it->second.started_at + job.saved_progress[task.ref.task];
    const uint64_t serial = it->second.serial = ++serial_;  // cancels the scheduled completion
    return hooks_.later(
        now + job.spec.checkpoint_duration, [this, &job, machine, task, serial, progress] {
          auto it = job.running.find(task);
          if (it == job.running.end() || it->second.serial != serial) return;
          job.running.erase(it);
          job.saved_progress[task.ref.task] = std::max(job.saved_progress[task.ref.task], progress);
          hooks_.exit(machine, task, ExitReason::kStopped, true);
        });
  }
  auto it = job.gangs.find(task.attempt);
  if (it == job.gangs.end() || !it->second.members.contains(task.ref.task)) return;
  Gang& gang = it->second;
  gang.members[task.ref.task].checkpointing = true;
  gang.members[task.ref.task].checkpoint_done_at = now + job.spec.checkpoint_duration;
  if (gang.failed) return;
  const auto alive = [&job, attempt = task.attempt]() -> Gang* {
    auto g = job.gangs.find(attempt);
    return g == job.gangs.end() || g->second.failed ? nullptr : &g->second;
  };
  if (!std::exchange(gang.stopping, true)) {
    // All members must be told within the gang failure timeout, or the gang falls back to its last
    // periodic checkpoint.
    const Micros progress = now - gang.started_at + job.saved_progress[0];
    hooks_.later(now + scenario_.site.gang_failure_timeout, [this, &job, alive,
                                                             attempt = task.attempt, progress] {
      Gang* g = alive();
      if (!g) return;
      for (const auto& [index, member] : g->members) {
        if (member.checkpointing) continue;
        job.saved_progress[0] = std::max(job.saved_progress[0], LastCheckpoint(job, progress));
        return FailGang(&job, attempt);
      }
    });
    gang.stop_progress = progress;
  }
  Micros ready = now;
  for (const auto& [index, member] : gang.members) {
    if (!member.checkpointing) return;
    ready = std::max(ready, member.checkpoint_done_at);
  }
  hooks_.later(ready, [this, &job, alive, attempt = task.attempt] {
    Gang* g = alive();
    if (!g) return;
    job.saved_progress[0] = std::max(job.saved_progress[0], g->stop_progress);
    const Gang finished = std::move(*g);
    job.gangs.erase(attempt);
    for (const auto& [index, member] : finished.members) {
      hooks_.exit(member.machine, {{job.spec.id, index}, attempt}, ExitReason::kStopped, true);
    }
  });
}

}  // namespace badgershore::rehearsal
