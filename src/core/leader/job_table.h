// The jobs that are not over.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/leader/leader_component.h"
#include "core/model/jobs.h"

namespace badgershore {

// Tasks in one chunk of a job's durable progress.
constexpr int kChunkTasks = 4096;

// Owns the jobs that are not over. Follows their durable records, and keeps what of each job is
// waiting, done or being cancelled.
class JobTable : public LeaderComponent {
 public:
  using LeaderComponent::LeaderComponent;
  using Jobs = std::map<std::string, std::unique_ptr<Job>>;  // by id

  const Jobs& jobs() const { return jobs_; }
  // Null: not known, or over.
  Job* Find(const std::string& id) const;
  // A job's durable record has been read, has changed or is gone.
  void ApplyJobRecord(Micros now, const Entry& e);
  // Its record is gone: it is finished or cancelled. Stops all that still runs of it; does nothing
  // for an unknown job.
  void EndJob(Micros now, const std::string& id);
  // A task has completed; a gang's tasks complete together. Finishes the job with its last task.
  void MarkDone(Micros now, Job* job, int task);
  // A node is recording the job's cancellation: nothing of it starts for a while. Whether it is
  // cancelled its record alone says. The job may be unknown here yet.
  void MarkCancelPending(Micros now, const std::string& job);
  // Lets jobs go on whose cancellation was not recorded in time.
  void ExpirePendingCancellations(Micros now);
  // Marks the arrays and services of which nothing has moved for long.
  void MarkStarved(Micros now);
  // A task that was queued or on a machine waits again, but not before `pause` is over.
  void RequeueTask(Micros now, Job* job, int task, Micros pause);
  // Counts for each job how many of its tasks are within its team's guarantee.
  void MarkGuaranteed(Micros now);
  // Brings `smallest_need` up to date, once a tick.
  void UpdateSmallestNeed();
  // A lower bound of what a task of any array or service needs. May be too low until the next tick.
  const Resources& smallest_need() const { return smallest_need_; }

  // Zero counts for an unknown job.
  JobStatus Status(const std::string& job) const;
  // Of jobs with some task running or done, by id; a few thousand at most.
  std::vector<JobStatus> Statuses() const;

 private:
  void AddJob(Micros now, const JobSpec& spec, uint64_t version);
  std::unique_ptr<Job> MakeJob(Micros now, const JobSpec& spec, uint64_t version) const;
  void SetObjectives(Job* job) const;
  void ForecastArrival(Micros now, const Job& job);
  void DetachJob(Micros now, Job* job);
  void StopTasks(const std::string& id);
  bool StopTasksOn(Machine* m, const std::string& id);
  void MarkTaskDone(Micros now, Job* job, int task);
  void MarkGuaranteedOf(Micros now, int team);

  Jobs jobs_;
  std::map<std::string, Micros> cancel_pending_until_;
  Resources smallest_need_;
};

}  // namespace badgershore
