#include "core/leader/record_writer.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "core/leader/heartbeat_handler.h"
#include "core/leader/job_table.h"
#include "core/leader/machine_table.h"

namespace badgershore {
namespace {

// New machines within this time share a page write.
constexpr Micros kMachinePagesInterval = Millis(250);
// A page that is not urgent collects changes for this long before it is written.
constexpr Micros kDirtyPageDelay = Millis(1500);
constexpr Micros kRetryInterval = Millis(300);
constexpr int kMinMutationsPerTransaction = 3;
// Share of the state service's largest value that a page's items may take.
constexpr double kPageFill = 0.85;
constexpr size_t kMachineItemOverheadBytes = 64;
constexpr size_t kProgressItemOverheadBytes = 48;

size_t MaxPageBytes(const PlatformSettings& settings) {
  return static_cast<size_t>(settings.state.value_kb * 1024 * kPageFill);
}

MachineRecord ToMachineRecord(const Machine& machine) {
  return {machine.id, machine.endpoint, machine.type_name, machine.zone, machine.spot};
}

// Upper bounds of the size that an item takes in its page's value.
size_t MachineItemBytes(const MachineRecord& r) {
  return kMachineItemOverheadBytes + r.id.size() + r.endpoint.size() + r.type.size() +
         r.zone.size();
}

size_t ProgressItemBytes(const Job& job, int chunk) {
  const int tasks = std::min(kChunkTasks, job.spec.tasks - chunk * kChunkTasks);
  return kProgressItemOverheadBytes + job.spec.id.size() + static_cast<size_t>(tasks + 3) / 4;
}

bool Contains(const std::vector<std::string>& list, const std::string& key) {
  return std::find(list.begin(), list.end(), key) != list.end();
}

// Whether the response to the failed transaction shows that this key's record is unchanged from
// what the batch expected, so that the write may be retried without reading the record again.
bool IsUnaffected(const StateResponse& response, const std::string& key) {
  using Outcome = StateResponse::Outcome;
  if (response.outcome == Outcome::kRefused) return true;
  return response.outcome == Outcome::kConflict && !response.failed_keys.empty() &&
         !Contains(response.failed_keys, key);
}

bool IsJobEndUnaffected(const StateResponse& response, const std::string& job) {
  return IsUnaffected(response, keys::kJob + job) && IsUnaffected(response, keys::kJobEnd + job);
}

}  // namespace

// A transaction, and the data that is needed to process its response.
struct RecordWriter::Batch {
  struct CompletedTasks {
    std::string job;
    std::vector<int> tasks;
  };
  struct PageWrite {
    PagedRecords* records = nullptr;
    PagedRecords::Page* page = nullptr;
    bool deleted = false;
    bool urgent = false;
    // Durable once the page is written.
    std::vector<std::string> machines;
    std::vector<CompletedTasks> tasks;
  };

  StateRequest request;  // empty once sent
  size_t mutations = 0;  // tokens spent of the write budget
  // Upper bound of the size of the largest value, and its key.
  size_t largest_value_bytes = 0;
  std::string largest_key;
  bool has_machine_types = false;
  std::vector<std::string> job_ends;
  std::vector<PageWrite> pages;
};

RecordWriter::RecordWriter(const LeaderContext* context, Micros now)
    : LeaderComponent(context),
      machine_pages_(keys::kFleet, MaxPageBytes(settings())),
      progress_pages_(keys::kProgress, MaxPageBytes(settings())),
      write_budget_(settings(), now) {}

void RecordWriter::Load(Micros now, const Entry& entry) {
  if (const auto* progress = std::get_if<ProgressPage>(&entry.value)) {
    PagedRecords::Page* page = progress_pages_.AddExisting(entry.key, entry.version);
    for (const ProgressChunk& chunk : progress->chunks) LoadProgressChunk(now, page, chunk);
  } else if (const auto* fleet = std::get_if<FleetPage>(&entry.value)) {
    PagedRecords::Page* page = machine_pages_.AddExisting(entry.key, entry.version);
    for (const MachineRecord& record : fleet->machines) {
      machine_pages_.AddItem(page, record.id, MachineItemBytes(record));
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
  progress_pages_.AddItem(page, ProgressItem(chunk.job, chunk.chunk),
                          ProgressItemBytes(*job, chunk.chunk));
  job->progress_pages[static_cast<size_t>(chunk.chunk)] = page;
  DecodeProgress(chunk.bits, chunk.chunk, kChunkTasks, job->spec.tasks, [&](int task) {
    TaskState& state = job->tasks[static_cast<size_t>(task)];
    if (state.stage != TaskStage::kDone) ++job->done;
    state.stage = TaskStage::kDone;
    state.durable = true;
  });
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
    page = progress_pages_.PutItem(ProgressItem(job->spec.id, chunk),
                                   ProgressItemBytes(*job, chunk), false, now);
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
}

size_t RecordWriter::MaxMutations() const {
  return static_cast<size_t>(std::max(kMinMutationsPerTransaction, settings().state.mutations));
}

bool RecordWriter::HasRoom(const Batch& batch, size_t mutations) const {
  const size_t total = batch.request.mutations.size() + mutations;
  return total <= MaxMutations() && write_budget_.Admits(total);
}

// Writes that a task's start or a response to a user waits for go first.
void RecordWriter::WriteBatch(Micros now) {
  write_budget_.Refill(now);
  if (write_in_flight_ || now < next_write_at_ || !election()->leads()) return;
  auto batch = std::make_shared<Batch>();
  batch->request.kind = StateRequest::Kind::kCompareAndSwap;
  batch->request.preconditions.push_back({keys::kTerm, election()->term_version()});
  if (machine_types_dirty_) AddMachineTypes(batch.get());
  AddUrgentMachines(now, batch.get());
  AddJobEnds(batch.get());
  AddDirtyPages(now, &progress_pages_, batch.get());
  AddDirtyPages(now, &machine_pages_, batch.get());
  if (!batch->request.mutations.empty()) Send(std::move(batch));
}

// The count is written last, so that a reader of the count finds all types.
void RecordWriter::AddMachineTypes(Batch* batch) {
  std::vector<Mutation>& mutations = batch->request.mutations;
  for (const auto& [name, type] : machine_types_) {
    if (mutations.size() + 2 > MaxMutations()) break;
    const auto known = types().find(name);
    if (known != types().end() && known->second == type) continue;
    mutations.push_back({keys::kType + name, false, type, 0});
  }
  if (mutations.size() + 1 < MaxMutations()) {
    const TypeCountRecord count{static_cast<int>(machine_types_.size())};
    mutations.push_back({keys::kTypes, false, count, 0});
    machine_types_dirty_ = false;
  }
  batch->has_machine_types = true;
}

void RecordWriter::AddUrgentMachines(Micros now, Batch* batch) {
  // With few tokens left only one page is written per interval, so that new machines share it.
  while ((!write_budget_.IsScarce() || now >= next_machine_pages_at_) && HasRoom(*batch, 1)) {
    PagedRecords::Page* page = machine_pages_.NextToWrite(true, now, {});
    if (!page) return;
    AddPage(now, &machine_pages_, page, batch);
  }
}

void RecordWriter::AddJobEnds(Batch* batch) {
  StateRequest& request = batch->request;
  while (!job_ends_.empty() && HasRoom(*batch, 2)) {
    const std::string id = job_ends_.front();
    job_ends_.pop_front();
    const Job* job = FindJob(id);
    if (!job) continue;
    request.preconditions.push_back({keys::kJob + id, job->version});
    request.preconditions.push_back({keys::kJobEnd + id, 0});
    request.mutations.push_back(
        {keys::kJobEnd + id, false, JobEndRecord{false, job->spec.tasks}, 0});
    request.mutations.push_back({keys::kJob + id, true, {}, 0});
    batch->job_ends.push_back(id);
  }
}

void RecordWriter::AddDirtyPages(Micros now, PagedRecords* records, Batch* batch) {
  while (HasRoom(*batch, 1) && write_budget_.AdmitsDeferrable(batch->request.mutations.size())) {
    PagedRecords::Page* page = records->NextToWrite(false, now, kDirtyPageDelay);
    if (!page) return;
    AddPage(now, records, page, batch);
  }
}

void RecordWriter::AddPage(Micros now, PagedRecords* records, PagedRecords::Page* page,
                           Batch* batch) {
  const bool holds_machines = records == &machine_pages_;
  const bool deleted = page->items.empty();
  batch->pages.push_back({records, page, deleted, page->urgent, {}, {}});
  if (page->bytes > batch->largest_value_bytes) {
    batch->largest_value_bytes = page->bytes;
    batch->largest_key = page->key;
  }
  for (const std::string& item : page->items) {
    if (holds_machines) {
      batch->pages.back().machines.push_back(item);
    } else {
      CollectCompletedTasks(item, batch);
    }
  }
  // The page's version is a precondition, so that a delayed older write can't undo a newer one.
  StateRequest& request = batch->request;
  request.preconditions.push_back({page->key, page->version});
  if (deleted) {
    request.mutations.push_back({page->key, true, {}, 0});
  } else {
    Record value = holds_machines ? MachinePageValue(*page) : ProgressPageValue(*page);
    request.mutations.push_back({page->key, false, std::move(value), 0});
  }
  records->OnSent(page);
  if (holds_machines) next_machine_pages_at_ = now + kMachinePagesInterval;
}

void RecordWriter::CollectCompletedTasks(const std::string& item, Batch* batch) const {
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
  if (!completed.tasks.empty()) batch->pages.back().tasks.push_back(std::move(completed));
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
  batch->mutations = batch->request.mutations.size();
  write_budget_.Spend(batch->mutations);
  write_in_flight_ = true;
  StateRequest request = std::move(batch->request);
  batch->request = {};
  outbox()->SendState(std::move(request), Guarded([this, batch = std::move(batch)](
                                                      Micros now, StateResponse& response) {
                        OnWritten(now, *batch, response);
                      }));
}

void RecordWriter::OnWritten(Micros now, const Batch& batch, const StateResponse& response) {
  write_in_flight_ = false;
  if (response.ok()) {
    OnCommitted(now, batch, response.revision);
  } else if (response.outcome == StateResponse::Outcome::kConflict) {
    OnConflict(now, batch, response);
  } else {
    OnFailed(now, batch, response);
  }
}

void RecordWriter::OnCommitted(Micros now, const Batch& batch, uint64_t revision) {
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
  if (batch.has_machine_types) machine_types_dirty_ = true;
  RequeueJobEnds(batch, response);
  RequeuePages(now, batch, response);
  if (!response.failed_keys.empty()) WriteBatch(now);
}

// The write was refused, or its outcome is unknown. With an unknown outcome it may have been
// carried out, so the records are read again before the retry.
void RecordWriter::OnFailed(Micros now, const Batch& batch, const StateResponse& response) {
  next_write_at_ = now + kRetryInterval;
  const bool refused = response.outcome == StateResponse::Outcome::kRefused;
  if (response.outcome == StateResponse::Outcome::kTooLarge) LogRefusal(batch);
  if (refused && !response.rate_limited) write_budget_.Refund(batch.mutations);
  if (batch.has_machine_types) machine_types_dirty_ = true;
  RequeueJobEnds(batch, response);
  RequeuePages(now, batch, response);
}

void RecordWriter::LogRefusal(const Batch& batch) const {
  outbox()->Info("the state service refused a transaction as too large: " +
                 std::to_string(batch.mutations) + " mutations, largest value at most " +
                 std::to_string(batch.largest_value_bytes) + " bytes (" + batch.largest_key + ")");
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
  const bool conflict = response.outcome == StateResponse::Outcome::kConflict;
  for (const Batch::PageWrite& write : batch.pages) {
    const bool version_known = IsUnaffected(response, write.page->key);
    if (write.records == &machine_pages_) next_machine_pages_at_ = now;
    write.records->OnFailed(write.page, !version_known, write.urgent || !conflict, now);
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

}  // namespace badgershore
