// The jobs that are not over: what their records say, what of them is done.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/leader/part.h"
#include "core/model/jobs.h"

namespace badgershore {

// Progress is kept in chunks of so many tasks.
constexpr int kChunkTasks = 4096;

class JobTable : public Part {
 public:
  using Part::Part;
  using Jobs = std::map<std::string, std::unique_ptr<Job>>;  // by id

  const Jobs& jobs() const { return jobs_; }
  Job* Find(const std::string& id) const;
  // A job's record has come, changed or gone.
  void ApplyJobRecord(Micros now, const Entry& e);
  // Its record is gone: done or withdrawn, and whatever of it still runs is to stop.
  void EndJob(Micros now, const std::string& id);
  void MarkDone(Micros now, Job* job, int task);
  // A node is recording its cancellation: nothing of it starts for a while. Its record alone says
  // whether it is over.
  void MarkCancelPending(Micros now, const std::string& job);
  void ExpirePendingCancellations(Micros now);  // with those whose cancellation did not come about
  void MarkStarved(Micros now);
  // A task that was queued or on a machine waits again, after a pause.
  void RequeueTask(Micros now, Job* job, int task, Micros pause);
  void MarkGuaranteed(Micros now);
  void UpdateSmallestNeed();
  // No live array's task takes less, as of the last tick or arrival.
  const Resources& smallest_need() const { return smallest_need_; }

  JobStatus Status(const std::string& job) const;
  std::vector<JobStatus> Statuses() const;

 private:
  void AddJob(Micros now, const JobSpec& spec, uint64_t stamp);
  void CloseJob(Micros now, Job* job);

  Jobs jobs_;
  std::map<std::string, Micros> cancel_pending_until_;  // until when; perhaps not known here yet
  Resources smallest_need_;
};

}  // namespace badgershore
