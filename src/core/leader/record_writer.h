// Writes the leader's durable records: machines, job progress, job ends and machine types.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "core/leader/leader_component.h"
#include "core/leader/record_batch.h"
#include "core/leader/write_budget.h"
#include "core/model/fleet.h"
#include "core/model/jobs.h"
#include "core/model/paged_records.h"

namespace badgershore {

// Sends one transaction at a time, within the state service's limits as far as they are known. A
// transaction that is refused for its size is never sent again unchanged: its records are sent in
// smaller transactions and its pages are divided, until a record that can't be written at all is
// alone. That one waits until it changes, and holds up no other.
class RecordWriter : public LeaderComponent {
 public:
  RecordWriter(const LeaderContext* context, Micros now);

  // Loads a page that the state service held when the term began. To be called after the jobs have
  // been loaded.
  void Load(Micros now, const Entry& entry);
  // Queues the machine's record. No task may be started on the machine until `Machine::durable` is
  // set.
  void PersistMachine(Micros now, Machine* machine);
  void RemoveMachine(Micros now, const std::string& machine);
  // Queues the progress of the job, of which a task has completed.
  void PersistProgress(Micros now, Job* job, int task);
  // Removes the progress of a job that has ended.
  void RemoveProgress(Micros now, const Job& job);
  // Queues the end of a job whose tasks are all done. Once written, JobTable::EndJob() is called.
  void PersistJobEnd(const std::string& job) { job_ends_.push_back(job); }
  bool HasPendingJobEnds() const { return !job_ends_.empty(); }
  // Records that the state service does not accept, whatever the size of their transaction.
  size_t CountUnwritable() const;
  // `changed`: whether the types differ from the durable ones in more than prices.
  void PersistMachineTypes(std::map<std::string, MachineType> types, bool changed);

  // Sends queued writes, unless a write is in flight or the rate limit doesn't permit it.
  void WriteBatch(Micros now);
  bool IsWriteInFlight() const { return write_in_flight_; }

 private:
  using Batch = RecordBatch;

  void LoadProgressChunk(Micros now, PagedRecords::Page* page, const ProgressChunk& chunk);
  void OnProgressMoved(const std::string& item, PagedRecords::Page* page);
  Job* FindJob(const std::string& id) const;

  void ApplyLimits();
  bool HasRoom(const Batch& batch, size_t mutations, size_t bytes) const;

  void AddLimits(Batch* batch) const;
  void AddMachineTypes(Batch* batch);
  bool IsTypeWritten(const MachineType& type) const;
  void AddUrgentMachines(Micros now, Batch* batch);
  void AddJobEnds(Batch* batch);
  void AddDirtyPages(Micros now, PagedRecords* records, Micros delay, Batch* batch);
  void AddPagesDividedAhead(Micros now, PagedRecords* records, Batch* batch);
  void AddPage(Micros now, PagedRecords* records, PagedRecords::Page* page, Batch* batch);
  void CollectCompletedTasks(const std::string& item, Batch::PageWrite* write) const;
  Record MachinePageValue(const PagedRecords::Page& page) const;
  Record ProgressPageValue(const PagedRecords::Page& page) const;
  void Send(std::shared_ptr<Batch> batch);

  void OnWritten(Micros now, const Batch& batch, const StateResponse& response);
  void OnCommitted(Micros now, const Batch& batch, uint64_t revision);
  void OnConflict(Micros now, const Batch& batch, const StateResponse& response);
  void OnTooLarge(Micros now, const Batch& batch, const StateResponse& response);
  void OnFailed(Micros now, const Batch& batch, const StateResponse& response);
  void Requeue(Micros now, const Batch& batch, const StateResponse& response);
  void RequeueJobEnds(const Batch& batch, const StateResponse& response);
  void RequeuePages(Micros now, const Batch& batch, const StateResponse& response);
  // Keeps the only record of the batch from being sent again.
  void GiveUp(Micros now, const Batch& batch);
  void CheckJobEnd(const std::string& job);
  void RefreshPageVersion(PagedRecords* records, PagedRecords::Page* page);
  void LogUnwritable();

  PagedRecords machine_pages_;
  PagedRecords progress_pages_;
  Micros next_machine_pages_at_;
  std::deque<std::string> job_ends_;
  std::set<std::string> refused_job_ends_;
  std::map<std::string, MachineType> machine_types_;
  std::map<std::string, MachineType> written_types_;  // in this term
  std::set<std::string> refused_types_;
  bool machine_types_dirty_ = false;
  std::optional<LimitsRecord> written_limits_;  // in this term
  size_t logged_unwritable_ = 0;

  bool write_in_flight_ = false;
  Micros next_write_at_;
  WriteBudget write_budget_;
};

}  // namespace badgershore
