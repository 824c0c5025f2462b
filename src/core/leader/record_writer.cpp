#include "core/leader/record_writer.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "core/leader/heartbeat_handler.h"
#include "core/leader/job_table.h"
#include "core/leader/machine_table.h"
#include "core/model/record_size.h"

namespace badgershore {
namespace {

// New machines within this time share a page write.
constexpr Micros kMachinePagesInterval = Millis(250);
// A page that is not urgent collects changes for this long before it is written.
constexpr Micros kDirtyPageDelay = Millis(1500);
constexpr Micros kRetryInterval = Millis(300);
// Share of the state service's largest value that a page's items may take.
constexpr double kPageFill = 0.85;
constexpr size_t kPageOverheadBytes = 32;
constexpr size_t kJobEndMutations = 2;
constexpr size_t kJobEndBytes = 256;

PageLimits PageLimitsFor(size_t value_bytes) {
  return {static_cast<size_t>(static_cast<double>(value_bytes) * kPageFill),
          value_bytes - std::min(value_bytes, kPageOverheadBytes)};
}

MachineRecord ToMachineRecord(const Machine& machine) {
  return {machine.id, machine.endpoint, machine.type_name, machine.zone, machine.spot};
}

size_t ChunkBytes(const Job& job, int chunk) {
  return ProgressItemBytes(job.spec.id,
                           std::min(kChunkTasks, job.spec.tasks - chunk * kChunkTasks));
}

bool Contains(const std::vector<std::string>& list, const std::string& key) {
  return std::find(list.begin(), list.end(), key) != list.end();
}

}  // namespace

RecordWriter::RecordWriter(const LeaderContext* context, Micros now)
    : LeaderComponent(context),
      machine_pages_(keys::kFleet, PageLimitsFor(state_limits().value_bytes()),
                     [](const std::string&, PagedRecords::Page*) {}),
      progress_pages_(keys::kProgress, PageLimitsFor(state_limits().value_bytes()),
                      [this](const std::string& item, PagedRecords::Page* page) {
                        OnProgressMoved(item, page);
                      }),
      write_budget_(state_limits(), now) {}

void RecordWriter::Load(Micros now, const Entry& entry) {
  if (const auto* progress = std::get_if<ProgressPage>(&entry.value)) {
    PagedRecords::Page* page = progress_pages_.AddExisting(entry.key, entry.version);
    for (const ProgressChunk& chunk : progress->chunks) LoadProgressChunk(now, page, chunk);
  } else if (const auto* fleet = std::get_if<FleetPage>(&entry.value)) {
    PagedRecords::Page* page = machine_pages_.AddExisting(entry.key, entry.version);
    for (const MachineRecord& record : fleet->machines) {
      machine_pages_.AddItem(page, record.id, MachineItemBytes(record), now);
      machine_table().Load(now, record);
    }
  }
}

void RecordWriter::LoadProgressChunk(Micros now, PagedRecords::Page* page,
                                     const ProgressChunk& chunk) {
  Job* job = FindJob(chunk.job);
  if (!job || chunk.chunk < 0 || static_cast<size_t>(chunk.chunk) >= job->progress_pages.size()) {
    // The chunk's job has ended: the page is written without it.
    return progress_pages_.MarkDirty(page, false, now);
  }
  job->progress_pages[static_cast<size_t>(chunk.chunk)] = progress_pages_.AddItem(
      page, ProgressItem(chunk.job, chunk.chunk), ChunkBytes(*job, chunk.chunk), now);
  DecodeProgress(chunk.bits, chunk.chunk, kChunkTasks, job->spec.tasks, [&](int task) {
    TaskState& state = job->tasks[static_cast<size_t>(task)];
    if (state.stage != TaskStage::kDone) ++job->done;
    state.stage = TaskStage::kDone;
    state.durable = true;
  });
}

void RecordWriter::OnProgressMoved(const std::string& item, PagedRecords::Page* page) {
  std::string id;
  int chunk = 0;
  Job* job = ParseProgressItem(item, &id, &chunk) ? FindJob(id) : nullptr;
  if (job) job->progress_pages[static_cast<size_t>(chunk)] = page;
}

Job* RecordWriter::FindJob(const std::string& id) const {
  const auto it = job_table().jobs().find(id);
  return it == job_table().jobs().end() ? nullptr : it->second.get();
}

void RecordWriter::PersistMachine(Micros now, Machine* machine) {
  if (std::exchange(machine->durable_write_pending, true)) return;
  machine_pages_.PutItem(machine->id, MachineItemBytes(ToMachineRecord(*machine)), true, now);
}

void RecordWriter::RemoveMachine(Micros now, const std::string& machine) {
  machine_pages_.RemoveItem(machine, now);
}

void RecordWriter::PersistProgress(Micros now, Job* job, int task) {
  const int chunk = task / kChunkTasks;
  PagedRecords::Page*& page = job->progress_pages[static_cast<size_t>(chunk)];
  if (page) {
    progress_pages_.MarkDirty(page, false, now);
  } else {
    page = progress_pages_.PutItem(ProgressItem(job->spec.id, chunk), ChunkBytes(*job, chunk),
                                   false, now);
  }
}

void RecordWriter::RemoveProgress(Micros now, const Job& job) {
  for (size_t chunk = 0; chunk < job.progress_pages.size(); ++chunk) {
    if (!job.progress_pages[chunk]) continue;
    progress_pages_.RemoveItem(ProgressItem(job.spec.id, static_cast<int>(chunk)), now);
  }
}

void RecordWriter::PersistMachineTypes(std::map<std::string, MachineType> types, bool changed) {
  machine_types_ = std::move(types);
  machine_types_dirty_ = changed;
  std::erase_if(refused_types_,
                [this](const std::string& name) { return !machine_types_.contains(name); });
}

size_t RecordWriter::CountUnwritable() const {
  return machine_pages_.CountUnwritable() + progress_pages_.CountUnwritable() +
         refused_job_ends_.size() + refused_types_.size();
}

// Smaller pages cost more changes. So where the limits are announced to fall, pages get their later
// size while changes are to spare, and the present one while many machines come up.
void RecordWriter::ApplyLimits() {
  const PageLimits limits = PageLimitsFor(state_limits().value_bytes());
  const size_t later = PageLimitsFor(state_limits().announced_value_bytes()).page_bytes;
  const size_t preferred = write_budget_.IsScarce() ? limits.page_bytes : later;
  machine_pages_.SetLimits(limits, preferred);
  progress_pages_.SetLimits(limits, preferred);
}

bool RecordWriter::HasRoom(const Batch& batch, size_t mutations, size_t bytes) const {
  return batch.HasRoom(state_limits(), write_budget_, mutations, bytes);
}

// Writes that a task's start or a response to a user waits for go first.
void RecordWriter::WriteBatch(Micros now) {
  write_budget_.Refill(now);
  if (write_in_flight_ || now < next_write_at_ || !election()->leads()) return;
  ApplyLimits();
  auto batch = std::make_shared<Batch>(election()->term_version());
  AddLimits(batch.get());
  if (machine_types_dirty_) AddMachineTypes(batch.get());
  AddUrgentMachines(now, batch.get());
  AddJobEnds(batch.get());
  AddDirtyPages(now, &progress_pages_, kDirtyPageDelay, batch.get());
  AddDirtyPages(now, &machine_pages_, kDirtyPageDelay, batch.get());
  AddPagesDividedAhead(now, &progress_pages_, batch.get());
  AddPagesDividedAhead(now, &machine_pages_, batch.get());
  LogUnwritable();
  if (!batch->empty()) Send(std::move(batch));
}

void RecordWriter::AddLimits(Batch* batch) const {
  const std::optional<LimitsRecord> learned = state_limits().Learned();
  if (!learned || learned == written_limits_ || !HasRoom(*batch, 1, 0)) return;
  batch->AddRecord(keys::kStateLimits, *learned);
  batch->limits = learned;
}

bool RecordWriter::IsTypeWritten(const MachineType& type) const {
  const auto written = written_types_.find(type.name);
  if (written != written_types_.end()) return written->second == type;
  const auto known = types().find(type.name);
  return known != types().end() && known->second == type;
}

// The count is written last, so that a reader of the count finds all types.
void RecordWriter::AddMachineTypes(Batch* batch) {
  for (const auto& [name, type] : machine_types_) {
    if (refused_types_.contains(name) || IsTypeWritten(type)) continue;
    if (!HasRoom(*batch, 1, MaxRecordBytes(type))) return;
    batch->AddRecord(keys::kType + name, type);
    batch->machine_types.push_back(type);
  }
  if (!HasRoom(*batch, 1, 0)) return;
  const size_t count = machine_types_.size() - refused_types_.size();
  batch->AddRecord(keys::kTypes, TypeCountRecord{static_cast<int>(count)});
  batch->has_type_count = true;
  machine_types_dirty_ = false;
}

void RecordWriter::AddUrgentMachines(Micros now, Batch* batch) {
  const size_t page_bytes = PageLimitsFor(state_limits().value_bytes()).page_bytes;
  // With few tokens left only one page is written per interval, so that new machines share it.
  while ((!write_budget_.IsScarce() || now >= next_machine_pages_at_) &&
         HasRoom(*batch, 1, page_bytes)) {
    PagedRecords::Page* page = machine_pages_.NextToWrite(true, now, {});
    if (!page) return;
    AddPage(now, &machine_pages_, page, batch);
  }
}

void RecordWriter::AddJobEnds(Batch* batch) {
  while (!job_ends_.empty() && HasRoom(*batch, kJobEndMutations, kJobEndBytes)) {
    const std::string id = job_ends_.front();
    job_ends_.pop_front();
    if (const Job* job = FindJob(id)) batch->AddJobEnd(*job);
  }
}

void RecordWriter::AddDirtyPages(Micros now, PagedRecords* records, Micros delay, Batch* batch) {
  const size_t page_bytes = PageLimitsFor(state_limits().value_bytes()).page_bytes;
  while (HasRoom(*batch, 1, page_bytes) &&
         write_budget_.AdmitsDeferrable(batch->request.mutations.size())) {
    PagedRecords::Page* page = records->NextToWrite(false, now, delay);
    if (!page) return;
    AddPage(now, records, page, batch);
  }
}

// Divides a page that exceeds the limits that are announced or in force, while nothing else has to
// be written. All parts fit in one transaction, unless the limits have fallen further.
void RecordWriter::AddPagesDividedAhead(Micros now, PagedRecords* records, Batch* batch) {
  if (!batch->empty() || write_budget_.IsScarce()) return;
  const PageLimits later = PageLimitsFor(state_limits().announced_value_bytes());
  size_t max_pages = state_limits().mutations();
  while (max_pages > 1 && !write_budget_.AdmitsDeferrable(max_pages - 1)) --max_pages;
  if (records->DivideAhead(later, max_pages, now)) AddDirtyPages(now, records, {}, batch);
}

void RecordWriter::AddPage(Micros now, PagedRecords* records, PagedRecords::Page* page,
                           Batch* batch) {
  const bool holds_machines = records == &machine_pages_;
  Batch::PageWrite& write = batch->AddPage(
      records, page, holds_machines ? MachinePageValue(*page) : ProgressPageValue(*page));
  for (const std::string& item : page->items) {
    if (holds_machines) {
      write.machines.push_back(item);
    } else {
      CollectCompletedTasks(item, &write);
    }
  }
  records->OnSent(page);
  if (holds_machines) next_machine_pages_at_ = now + kMachinePagesInterval;
}

void RecordWriter::CollectCompletedTasks(const std::string& item, Batch::PageWrite* write) const {
  std::string id;
  int chunk = 0;
  if (!ParseProgressItem(item, &id, &chunk)) return;
  const Job* job = FindJob(id);
  if (!job) return;
  Batch::CompletedTasks completed{id, {}};
  const int end = std::min(job->spec.tasks, (chunk + 1) * kChunkTasks);
  for (int task = chunk * kChunkTasks; task < end; ++task) {
    const TaskState& state = job->tasks[static_cast<size_t>(task)];
    if (state.stage != TaskStage::kDone || state.durable) continue;
    completed.tasks.push_back(task);
  }
  if (!completed.tasks.empty()) write->tasks.push_back(std::move(completed));
}

Record RecordWriter::MachinePageValue(const PagedRecords::Page& page) const {
  FleetPage value;
  for (const std::string& id : page.items) {
    const auto it = machine_table().machines().find(id);
    if (it != machine_table().machines().end())
      value.machines.push_back(ToMachineRecord(*it->second));
  }
  return value;
}

Record RecordWriter::ProgressPageValue(const PagedRecords::Page& page) const {
  ProgressPage value;
  for (const std::string& item : page.items) {
    ProgressChunk chunk;
    if (!ParseProgressItem(item, &chunk.job, &chunk.chunk)) continue;
    const Job* job = FindJob(chunk.job);
    if (!job) continue;
    chunk.bits = EncodeProgress(*job, chunk.chunk, kChunkTasks);
    value.chunks.push_back(std::move(chunk));
  }
  return value;
}

void RecordWriter::Send(std::shared_ptr<Batch> batch) {
  batch->size.mutations = batch->request.mutations.size();
  write_budget_.Spend(batch->size.mutations);
  write_in_flight_ = true;
  StateRequest request = std::move(batch->request);
  batch->request = {};
  outbox()->SendState(std::move(request), Guarded([this, batch = std::move(batch)](
                                                      Micros now, StateResponse& response) {
                        OnWritten(now, *batch, response);
                      }));
}

void RecordWriter::OnWritten(Micros now, const Batch& batch, const StateResponse& response) {
  using Outcome = StateResponse::Outcome;
  write_in_flight_ = false;
  if (response.ok()) {
    OnCommitted(now, batch, response.revision);
  } else if (response.outcome == Outcome::kConflict) {
    OnConflict(now, batch, response);
  } else if (response.outcome == Outcome::kTooLarge) {
    OnTooLarge(now, batch, response);
  } else {
    OnFailed(now, batch, response);
  }
}

void RecordWriter::OnCommitted(Micros now, const Batch& batch, uint64_t revision) {
  state_limits().OnAccepted();
  if (batch.limits) written_limits_ = batch.limits;
  for (const MachineType& type : batch.machine_types) written_types_[type.name] = type;
  for (const Batch::PageWrite& write : batch.pages) {
    write.records->OnWritten(write.page, write.deleted ? 0 : revision);
    for (const std::string& id : write.machines) {
      Machine* machine = machine_table().Find(id);
      if (!machine) continue;
      machine->durable = true;
      heartbeat_handler().AnswerPending(now, machine);
    }
    for (const Batch::CompletedTasks& completed : write.tasks) {
      Job* job = FindJob(completed.job);
      if (!job) continue;
      for (const int task : completed.tasks) job->tasks[static_cast<size_t>(task)].durable = true;
    }
  }
  for (const std::string& id : batch.job_ends) job_table().EndJob(now, id);
  WriteBatch(now);
}

// Nothing was written, and the response names the keys whose preconditions failed, usually of a job
// that was cancelled as it ended. The rest is sent again at once; otherwise one cancellation would
// delay all job ends and the first starts on all new machines.
void RecordWriter::OnConflict(Micros now, const Batch& batch, const StateResponse& response) {
  if (Contains(response.failed_keys, keys::kTerm)) {
    return election()->StepDown(now, "a later term has begun");
  }
  next_write_at_ = now;
  Requeue(now, batch, response);
  if (!response.failed_keys.empty()) WriteBatch(now);
}

// Nothing was written. The next transaction differs from this one, so it is sent at once.
void RecordWriter::OnTooLarge(Micros now, const Batch& batch, const StateResponse& response) {
  const TransactionSize& size = batch.size;
  const StateLimits::Conclusion conclusion = state_limits().OnTooLarge(size);
  outbox()->Info(
      "the state service refused a transaction as too large: " + std::to_string(size.mutations) +
      " mutations, largest value at most " + std::to_string(size.largest_value_bytes) + " bytes (" +
      size.largest_key + "); limits taken as " + state_limits().Description());
  write_budget_.Refund(size.mutations);
  Requeue(now, batch, response);
  if (conclusion == StateLimits::Conclusion::kRecordRefused) GiveUp(now, batch);
  next_write_at_ = now;
  WriteBatch(now);
}

void RecordWriter::GiveUp(Micros now, const Batch& batch) {
  outbox()->Log(LogLine::Level::kError, "the state service does not accept the record " +
                                            batch.size.largest_key +
                                            "; it is not sent again until it changes");
  if (batch.limits) written_limits_ = batch.limits;
  if (batch.has_type_count) machine_types_dirty_ = false;
  for (const MachineType& type : batch.machine_types) refused_types_.insert(type.name);
  for (const std::string& id : batch.job_ends) {
    std::erase(job_ends_, id);
    refused_job_ends_.insert(id);
  }
  for (const Batch::PageWrite& write : batch.pages) write.records->OnRefused(write.page, now);
}

// The write was refused, or its outcome is unknown. With an unknown outcome it may have been
// carried out, so the records are read again before the retry.
void RecordWriter::OnFailed(Micros now, const Batch& batch, const StateResponse& response) {
  next_write_at_ = now + kRetryInterval;
  if (response.rate_limited) {
    state_limits().OnRateLimited();
  } else if (response.outcome == StateResponse::Outcome::kRefused) {
    write_budget_.Refund(batch.size.mutations);
  }
  Requeue(now, batch, response);
}

void RecordWriter::Requeue(Micros now, const Batch& batch, const StateResponse& response) {
  if (!batch.machine_types.empty() || batch.has_type_count) machine_types_dirty_ = true;
  RequeueJobEnds(batch, response);
  RequeuePages(now, batch, response);
}

void RecordWriter::RequeueJobEnds(const Batch& batch, const StateResponse& response) {
  // In reverse, so that they keep their order at the front of the queue.
  for (auto job_end = batch.job_ends.rbegin(); job_end != batch.job_ends.rend(); ++job_end) {
    if (IsJobEndUnaffected(response, *job_end)) job_ends_.push_front(*job_end);
  }
  for (const std::string& id : batch.job_ends) {
    if (!IsJobEndUnaffected(response, id)) CheckJobEnd(id);
  }
}

void RecordWriter::CheckJobEnd(const std::string& job) {
  StateRequest get;
  get.key = keys::kJob + job;
  outbox()->SendState(get, Guarded([this, job](Micros now, StateResponse& response) {
                        if (response.outcome == StateResponse::Outcome::kNotFound) {
                          return job_table().EndJob(now, job);
                        }
                        job_ends_.push_back(job);
                      }));
}

void RecordWriter::RequeuePages(Micros now, const Batch& batch, const StateResponse& response) {
  // After a failure whose cause may last, all pages are sent before new records.
  const bool keeps_urgency = response.outcome == StateResponse::Outcome::kConflict ||
                             response.outcome == StateResponse::Outcome::kTooLarge;
  for (const Batch::PageWrite& write : batch.pages) {
    const bool version_known = IsUnaffected(response, write.page->key);
    if (write.records == &machine_pages_) next_machine_pages_at_ = now;
    write.records->OnFailed(write.page, !version_known, write.urgent || !keeps_urgency, now);
    if (!version_known) RefreshPageVersion(write.records, write.page);
  }
}

// If this read fails too, the next write's precondition fails and the version is read again.
void RecordWriter::RefreshPageVersion(PagedRecords* records, PagedRecords::Page* page) {
  StateRequest get;
  get.key = page->key;
  outbox()->SendState(get, Guarded([records, page](Micros now, StateResponse& response) {
                        if (response.ok() && !response.entries.empty()) {
                          page->version = response.entries[0].version;
                        } else if (response.outcome == StateResponse::Outcome::kNotFound) {
                          page->version = 0;
                        }
                        page->version_unknown = false;
                        records->MarkDirty(page, true, now);
                      }));
}

void RecordWriter::LogUnwritable() {
  const size_t unwritable = CountUnwritable();
  if (unwritable == std::exchange(logged_unwritable_, unwritable)) return;
  outbox()->Log(unwritable > 0 ? LogLine::Level::kError : LogLine::Level::kInfo,
                std::to_string(unwritable) +
                    " records can't be written within the state service's limits, taken as " +
                    state_limits().Description());
}

}  // namespace badgershore
