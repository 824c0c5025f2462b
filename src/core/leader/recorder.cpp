// Durable writes, one transaction at a time.
#include "core/leader/recorder.h"

#include <set>

#include "core/leader/heartbeat_handler.h"
#include "core/leader/job_table.h"
#include "core/leader/machine_table.h"

namespace badgershore {
namespace {

constexpr Micros kFleetPause = Millis(250);
constexpr Micros kPagePatience = Millis(1500);
constexpr double kKeepForUrgent = 4;  // changes left for what blocks a start or an answer

// What a page's items may take, of the most that the state service keeps in a value.
size_t PageRoom(const PlatformSettings& settings) {
  return static_cast<size_t>(settings.state_value_kb * 1024 * 0.85);
}

MachineRecord RecordOf(const Machine& m) { return {m.id, m.endpoint, m.type_name, m.zone, m.spot}; }

// What an item takes of its page's value, at most.
size_t MachineBytes(const MachineRecord& r) {
  return 64 + r.id.size() + r.endpoint.size() + r.type.size() + r.zone.size();
}
size_t PieceBytes(const Job& job, int chunk) {
  const int tasks = std::min(kChunkTasks, job.spec.tasks - chunk * kChunkTasks);
  return 48 + job.spec.id.size() + static_cast<size_t>(tasks + 3) / 4;
}

}  // namespace

struct Recorder::Batch {
  std::vector<std::string> finish;
  struct Piece {
    Pages* pages;
    Pages::Page* page;
    bool erased = false, urgent = false;
    std::vector<std::string> machines;
    std::vector<std::pair<std::string, int>> tasks;  // done, and durable with this page
  };
  std::vector<Piece> pieces;
  bool types = false;
  size_t changes = 0;  // what it costs of the state service's rate
};

Recorder::Recorder(const LeaderContext* context, Micros now)
    : Part(context),
      fleet_pages_(keys::kFleet, PageRoom(settings())),
      progress_pages_(keys::kProgress, PageRoom(settings())),
      write_tokens_(settings().state_write_rps * 0.5),
      tokens_at_(now) {}

void Recorder::Load(Micros now, const Entry& e) {
  if (const auto* progress = std::get_if<ProgressPage>(&e.value)) {
    Pages::Page* page = progress_pages_.Adopt(e.key, e.version);
    for (const ProgressChunk& p : progress->chunks) LoadPiece(now, page, p);
  } else if (const auto* fleet = std::get_if<FleetPage>(&e.value)) {
    Pages::Page* page = fleet_pages_.Adopt(e.key, e.version);
    for (const MachineRecord& r : fleet->machines) {
      fleet_pages_.Hold(page, r.id, MachineBytes(r));
      machine_table().Load(now, r);
    }
  }
}

void Recorder::LoadPiece(Micros now, Pages::Page* page, const ProgressChunk& piece) {
  auto it = job_table().jobs().find(piece.job);
  Job* job = it == job_table().jobs().end() ? nullptr : it->second.get();
  if (!job || piece.chunk < 0 || static_cast<size_t>(piece.chunk) >= job->progress_pages.size()) {
    return progress_pages_.Touch(page, false, now);  // its job is over
  }
  progress_pages_.Hold(page, ProgressItem(piece.job, piece.chunk), PieceBytes(*job, piece.chunk));
  job->progress_pages[static_cast<size_t>(piece.chunk)] = page;
  DecodeProgress(piece.bits, piece.chunk, kChunkTasks, job->spec.tasks, [&](int task) {
    TaskState& t = job->tasks[static_cast<size_t>(task)];
    if (t.stage != TaskStage::kDone) ++job->done;
    t.stage = TaskStage::kDone;
    t.durable = true;
  });
}

void Recorder::Keep(Micros now, Machine* m) {
  if (std::exchange(m->durable_write_pending, true)) return;
  fleet_pages_.Put(m->id, MachineBytes(RecordOf(*m)), true, now);
}

void Recorder::Left(Micros now, const std::string& machine) { fleet_pages_.Drop(machine, now); }

void Recorder::Progressed(Micros now, Job* job, int task) {
  const int chunk = task / kChunkTasks;
  Pages::Page*& page = job->progress_pages[static_cast<size_t>(chunk)];
  if (page) {
    progress_pages_.Touch(page, false, now);
  } else {
    page =
        progress_pages_.Put(ProgressItem(job->spec.id, chunk), PieceBytes(*job, chunk), false, now);
  }
}

void Recorder::Over(Micros now, const Job& job) {
  for (size_t c = 0; c < job.progress_pages.size(); ++c) {
    if (job.progress_pages[c])
      progress_pages_.Drop(ProgressItem(job.spec.id, static_cast<int>(c)), now);
  }
}

void Recorder::KeepTypes(std::map<std::string, MachineType> types, bool changed) {
  new_types_ = std::move(types);
  types_dirty_ = changed;
}

Record Recorder::PageValue(const Pages* pages, const Pages::Page& page) const {
  if (pages == &fleet_pages_) {
    FleetPage value;
    for (const std::string& id : page.items) {
      auto it = machine_table().machines().find(id);
      if (it != machine_table().machines().end()) value.machines.push_back(RecordOf(*it->second));
    }
    return value;
  }
  ProgressPage value;
  for (const std::string& item : page.items) {
    ProgressChunk p;
    if (!ParseProgressItem(item, &p.job, &p.chunk)) continue;
    auto it = job_table().jobs().find(p.job);
    if (it == job_table().jobs().end()) continue;
    p.bits = EncodeProgress(*it->second, p.chunk, kChunkTasks);
    value.chunks.push_back(std::move(p));
  }
  return value;
}

void Recorder::AddPage(Micros now, Pages* pages, Pages::Page* page, StateRequest* op,
                       Batch* batch) {
  Batch::Piece piece{pages, page, page->items.empty(), page->urgent, {}, {}};
  for (const std::string& item : page->items) {
    if (pages == &fleet_pages_) {
      piece.machines.push_back(item);
      continue;
    }
    std::string id;
    int chunk = 0;
    if (!ParseProgressItem(item, &id, &chunk)) continue;
    auto it = job_table().jobs().find(id);
    if (it == job_table().jobs().end()) continue;
    const Job& job = *it->second;
    const int to = std::min(job.spec.tasks, (chunk + 1) * kChunkTasks);
    for (int i = chunk * kChunkTasks; i < to; ++i) {
      const TaskState& t = job.tasks[static_cast<size_t>(i)];
      if (t.stage == TaskStage::kDone && !t.durable) piece.tasks.emplace_back(id, i);
    }
  }
  // The page's own version is guarded, so that a late older write can't undo a newer one.
  op->preconditions.push_back({page->key, page->stamp});
  if (page->items.empty()) {
    op->mutations.push_back({page->key, true, {}, 0});
  } else {
    op->mutations.push_back({page->key, false, PageValue(pages, *page), 0});
  }
  pages->Sent(page);
  batch->pieces.push_back(std::move(piece));
  if (pages == &fleet_pages_) fleet_at_ = now + kFleetPause;
}

void Recorder::Write(Micros now) {
  const double rate = settings().state_write_rps * 0.5;
  write_tokens_ = std::min(settings().state_write_rps * 0.8,
                           write_tokens_ + rate * (now - tokens_at_).ToSeconds());
  tokens_at_ = now;
  if (writing_ || now < write_at_ || !election()->leads()) return;
  const size_t most = static_cast<size_t>(std::max(3, settings().state_txn_ops));
  StateRequest op;
  op.kind = StateRequest::Kind::kCompareAndSwap;
  op.preconditions.push_back({keys::kTerm, election()->term_stamp()});
  auto batch = std::make_shared<Batch>();
  const auto room = [&](size_t n) {
    return op.mutations.size() + n <= most &&
           write_tokens_ >= static_cast<double>(op.mutations.size() + n);
  };
  if (types_dirty_ && op.mutations.empty()) {
    // Types first, their number last: who reads a number finds all of them.
    for (const auto& [name, type] : new_types_) {
      if (op.mutations.size() + 2 > most) break;
      auto it = types().find(name);
      if (it != types().end() && it->second == type) continue;
      op.mutations.push_back({keys::kType + name, false, type, 0});
    }
    if (op.mutations.size() + 1 < most) {
      op.mutations.push_back(
          {keys::kTypes, false, TypeCountRecord{static_cast<int>(new_types_.size())}, 0});
      types_dirty_ = false;
    }
    batch->types = true;
  }
  // What blocks a start or an answer goes first, and the rest leaves it something.
  const bool plenty = write_tokens_ >= rate * 0.5;
  while ((plenty || now >= fleet_at_) && room(1)) {
    Pages::Page* page = fleet_pages_.Next(true, now, {});
    if (!page) break;
    AddPage(now, &fleet_pages_, page, &op, batch.get());
  }
  while (!finish_queue_.empty() && room(2)) {
    const std::string id = finish_queue_.front();
    finish_queue_.pop_front();
    auto it = job_table().jobs().find(id);
    if (it == job_table().jobs().end()) continue;
    op.preconditions.push_back({keys::kJob + id, it->second->version});
    op.preconditions.push_back({keys::kJobEnd + id, 0});
    op.mutations.push_back(
        {keys::kJobEnd + id, false, JobEndRecord{false, it->second->spec.tasks}, 0});
    op.mutations.push_back({keys::kJob + id, true, {}, 0});
    batch->finish.push_back(id);
  }
  for (Pages* pages : {&progress_pages_, &fleet_pages_}) {
    while (room(1) && write_tokens_ >= static_cast<double>(op.mutations.size()) + kKeepForUrgent) {
      Pages::Page* page = pages->Next(false, now, kPagePatience);
      if (!page) break;
      AddPage(now, pages, page, &op, batch.get());
    }
  }
  if (op.mutations.empty()) return;
  batch->changes = op.mutations.size();
  write_tokens_ -= static_cast<double>(batch->changes);
  writing_ = true;
  asker()->State(op, Guarded([this, batch](Micros t, StateResponse& r) { Written(t, batch, r); }));
}

void Recorder::Written(Micros now, const std::shared_ptr<Batch>& batch, StateResponse& r) {
  writing_ = false;
  if (r.ok()) {
    for (const Batch::Piece& piece : batch->pieces) {
      piece.pages->Written(piece.page, piece.erased ? 0 : r.revision);
      for (const std::string& id : piece.machines) {
        Machine* m = machine_table().Find(id);
        if (!m) continue;
        m->durable = true;
        heartbeat_handler().AnswerPending(now, m);
      }
      for (const auto& [id, task] : piece.tasks) {
        auto it = job_table().jobs().find(id);
        if (it != job_table().jobs().end())
          it->second->tasks[static_cast<size_t>(task)].durable = true;
      }
    }
    for (const std::string& id : batch->finish) job_table().EndJob(now, id);
    return Write(now);
  }
  const bool conflict = r.outcome == StateResponse::Outcome::kConflict;
  if (conflict &&
      std::find(r.failed_keys.begin(), r.failed_keys.end(), keys::kTerm) != r.failed_keys.end()) {
    return election()->StepDown(now, "the term has moved on");
  }
  write_at_ = now + (conflict ? Millis(0) : Millis(300));
  // Nothing of it was carried out in a conflict, and what it met is named: a job that was cancelled
  // as it ended, mostly. The rest is sent again at once, or one cancellation would hold up all ends
  // and all machines' first starts. Without an answer each piece is looked at anew.
  const bool look = r.outcome != StateResponse::Outcome::kRefused;
  if (!look && !r.rate_limited) write_tokens_ += static_cast<double>(batch->changes);
  const std::set<std::string> failed(r.failed_keys.begin(), r.failed_keys.end());
  const auto sound = [&](const std::string& key) {
    return !look || (conflict && !failed.empty() && !failed.contains(key));
  };
  if (batch->types) types_dirty_ = true;
  // In the order in which they were.
  for (auto id = batch->finish.rbegin(); id != batch->finish.rend(); ++id) {
    if (sound(keys::kJob + *id) && sound(keys::kJobEnd + *id)) finish_queue_.push_front(*id);
  }
  for (const std::string& id : batch->finish) {
    if (sound(keys::kJob + id) && sound(keys::kJobEnd + id)) continue;
    StateRequest get;
    get.key = keys::kJob + id;
    asker()->State(get, Guarded([this, id](Micros t, StateResponse& g) {
                     if (g.outcome == StateResponse::Outcome::kNotFound)
                       return job_table().EndJob(t, id);
                     finish_queue_.push_back(id);
                   }));
  }
  for (const Batch::Piece& piece : batch->pieces) {
    const bool again = sound(piece.page->key);
    if (piece.pages == &fleet_pages_) fleet_at_ = now;  // it has still to be written
    piece.pages->Failed(piece.page, !again, piece.urgent || !conflict, now);
    if (!again) LookAtPage(piece.pages, piece.page);
  }
  if (conflict && !failed.empty()) Write(now);
}

void Recorder::LookAtPage(Pages* pages, Pages::Page* page) {
  StateRequest get;
  get.key = page->key;
  asker()->State(get, Guarded([pages, page](Micros t, StateResponse& g) {
                   if (g.ok() && !g.entries.empty()) {
                     page->stamp = g.entries[0].version;
                   } else if (g.outcome == StateResponse::Outcome::kNotFound) {
                     page->stamp = 0;
                   }
                   // Not known still: the guard fails if it has changed, and it is looked at again.
                   page->unsure = false;
                   pages->Touch(page, true, t);
                 }));
}

}  // namespace badgershore
