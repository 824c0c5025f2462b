// Table of the jobs that have not ended.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/leader/leader_component.h"
#include "core/model/jobs.h"

namespace badgershore {

// Number of tasks in one chunk of a job's durable progress.
constexpr int kChunkTasks = 4096;

// Owns the jobs that have not ended. Follows their durable records, and tracks which tasks of each
// job are waiting or done and whether the job is being cancelled.
class JobTable : public LeaderComponent {
 public:
  using LeaderComponent::LeaderComponent;
  using Jobs = std::map<std::string, std::unique_ptr<Job>>;  // by id

  const Jobs& jobs() const { return jobs_; }
  // Null if the job is unknown or has ended.
  Job* Find(const std::string& id) const;
  // Applies a job's durable record that has been read, changed or deleted.
  void ApplyJobRecord(Micros now, const Entry& e);
  // The job's record was deleted, since the job is finished or cancelled. Stops all its remaining
  // tasks. Does nothing for an unknown job.
  void EndJob(Micros now, const std::string& id);
  // The job's cancellation is durable: ends the job as EndJob does, even if it is not known here
  // yet.
  void EndCancelledJob(Micros now, const std::string& id);
  // A task has completed; a gang's tasks complete together. After the last task the job's end is
  // written.
  void MarkDone(Micros now, Job* job, int task);
  // A controller is recording the job's cancellation: no task of it starts for a while. Only the
  // job's record decides whether it is cancelled. The job may still be unknown here.
  void MarkCancelPending(Micros now, const std::string& job);
  // Resumes jobs whose cancellation was not recorded in time, and forgets cancellations that the
  // job records show.
  void ExpireCancellations(Micros now);
  // Marks the arrays and services that have made no progress for long.
  void MarkStarved(Micros now);
  // Returns a task that was queued or placed to the waiting tasks, after `delay`.
  void RequeueTask(Micros now, Job* job, int task, Micros delay);
  // Counts for each job how many of its tasks are within its team's guarantee.
  void MarkGuaranteedTasks(Micros now);
  // Recomputes `smallest_need`; called once a tick.
  void UpdateSmallestNeed();
  // A lower bound on the resources of a task of any array or service. May be too low until the next
  // tick.
  const Resources& smallest_need() const { return smallest_need_; }

  // All counts are zero for an unknown job.
  JobStatus Status(const std::string& job) const;
  // The status of the jobs with running or completed tasks, in order of id; at most 2000.
  std::vector<JobStatus> Statuses() const;

 private:
  void AddJob(Micros now, const JobSpec& spec, uint64_t version);
  std::unique_ptr<Job> MakeJob(Micros now, const JobSpec& spec, uint64_t version) const;
  void SetObjectives(Job* job) const;
  void ForecastArrival(Micros now, const Job& job);
  void DetachJob(Micros now, Job* job);
  void StopTasks(const std::string& id);
  bool StopTasksOn(Machine* machine, const std::string& id);
  void MarkTaskDone(Micros now, Job* job, int task);
  void MarkTeamGuaranteedTasks(Micros now, int team);

  Jobs jobs_;
  std::map<std::string, Micros> cancel_pending_until_;
  // Jobs whose cancellation another controller has reported, and when it did. The job records read
  // here may be older, so that they still contain such a job.
  std::map<std::string, Micros> cancelled_at_;
  Resources smallest_need_;
};

}  // namespace badgershore
