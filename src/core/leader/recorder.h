// What has to be durable: machines before their first start, progress, ends; one transaction at a
// time, within the state service's rate.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <string>

#include "core/leader/part.h"
#include "core/model/fleet.h"
#include "core/model/jobs.h"
#include "core/model/paged_records.h"

namespace badgershore {

class Recorder : public Part {
 public:
  Recorder(const LeaderContext* context, Micros now);

  // A page as it was read after the win.
  void Load(Micros now, const Entry& e);
  void Keep(Micros now, Machine* m);  // no start on it before it is recorded
  void Left(Micros now, const std::string& machine);
  void Progressed(Micros now, Job* job, int task);
  void Over(Micros now, const Job& job);  // its progress is not needed any more
  void Finish(const std::string& job) { finish_queue_.push_back(job); }
  bool finishing() const { return !finish_queue_.empty(); }
  bool writing() const { return writing_; }
  void KeepTypes(std::map<std::string, MachineType> types, bool changed);
  void Write(Micros now);

 private:
  struct Batch;
  void LoadPiece(Micros now, PagedRecords::Page* page, const ProgressChunk& piece);
  void AddPage(Micros now, PagedRecords* pages, PagedRecords::Page* page, StateRequest* op,
               Batch* batch);
  Record PageValue(const PagedRecords* pages, const PagedRecords::Page& page) const;
  void Written(Micros now, const std::shared_ptr<Batch>& batch, StateResponse& r);
  void LookAtPage(PagedRecords* pages, PagedRecords::Page* page);

  PagedRecords fleet_pages_, progress_pages_;
  bool writing_ = false;
  Micros write_at_;
  double write_tokens_ = 0;
  Micros tokens_at_;
  std::deque<std::string> finish_queue_;
  Micros fleet_at_;  // no fleet page before: what comes in between shares one
  bool types_dirty_ = false;
  std::map<std::string, MachineType> new_types_;
};

}  // namespace badgershore
