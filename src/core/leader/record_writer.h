// Writes what has to be durable: machines, the progress of jobs, their ends and the machine types.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <string>

#include "core/leader/leader_component.h"
#include "core/leader/write_budget.h"
#include "core/model/fleet.h"
#include "core/model/jobs.h"
#include "core/model/paged_records.h"

namespace badgershore {

// One transaction at a time, within the state service's rate limit and guarded by the term.
class RecordWriter : public LeaderComponent {
 public:
  RecordWriter(const LeaderContext* context, Micros now);

  // Takes over a page that the state service held when the term began. Jobs must be known.
  void Load(Micros now, const Entry& entry);
  // No task may be started on the machine before `Machine::durable`.
  void PersistMachine(Micros now, Machine* machine);
  void RemoveMachine(Micros now, const std::string& machine);
  // A task of the job has been completed.
  void PersistProgress(Micros now, Job* job, int task);
  // The job has ended.
  void RemoveProgress(Micros now, const Job& job);
  // All tasks of the job are done: its end is written, then JobTable::EndJob() called.
  void PersistJobEnd(const std::string& job) { job_ends_.push_back(job); }
  bool HasPendingJobEnds() const { return !job_ends_.empty(); }
  // `changed`: whether they differ from the durable ones by more than prices.
  void PersistMachineTypes(std::map<std::string, MachineType> types, bool changed);

  // Sends what there is to write, unless a write is in flight or the rate limit forbids it.
  void WriteBatch(Micros now);
  bool IsWriteInFlight() const { return write_in_flight_; }

 private:
  struct Batch;

  void LoadProgressChunk(Micros now, PagedRecords::Page* page, const ProgressChunk& chunk);
  Job* FindJob(const std::string& id) const;

  bool HasRoom(const Batch& batch, size_t mutations) const;
  size_t MaxMutations() const;

  void AddMachineTypes(Batch* batch);
  void AddUrgentMachines(Micros now, Batch* batch);
  void AddJobEnds(Batch* batch);
  void AddDirtyPages(Micros now, PagedRecords* records, Batch* batch);
  void AddPage(Micros now, PagedRecords* records, PagedRecords::Page* page, Batch* batch);
  void CollectCompletedTasks(const std::string& item, Batch* batch) const;
  Record MachinePageValue(const PagedRecords::Page& page) const;
  Record ProgressPageValue(const PagedRecords::Page& page) const;
  void Send(std::shared_ptr<Batch> batch);

  void OnWritten(Micros now, const Batch& batch, const StateResponse& response);
  void OnCommitted(Micros now, const Batch& batch, uint64_t revision);
  void OnConflict(Micros now, const Batch& batch, const StateResponse& response);
  void OnFailed(Micros now, const Batch& batch, const StateResponse& response);
  void RequeueJobEnds(const Batch& batch, const StateResponse& response);
  void RequeuePages(Micros now, const Batch& batch, const StateResponse& response);
  void CheckJobEnd(const std::string& job);
  void RefreshPageVersion(PagedRecords* records, PagedRecords::Page* page);

  PagedRecords machine_pages_;
  PagedRecords progress_pages_;
  Micros next_machine_pages_at_;
  std::deque<std::string> job_ends_;
  std::map<std::string, MachineType> machine_types_;
  bool machine_types_dirty_ = false;

  bool write_in_flight_ = false;
  Micros next_write_at_;
  WriteBudget write_budget_;
};

}  // namespace badgershore
