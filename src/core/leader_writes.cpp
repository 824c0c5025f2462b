// Durable writes, one transaction at a time.
#include "core/leader.h"

namespace badgershore {
namespace {

constexpr Micros kFleetPause = Millis(250);
constexpr Micros kPagePatience = Millis(1500);
constexpr double kKeepForUrgent = 4;  // changes left for what blocks a start or an answer

}  // namespace

struct Leader::Batch {
  std::vector<std::string> finish;
  struct Piece {
    Pages* pages;
    Pages::Page* page;
    bool erased = false;
    std::vector<std::string> machines;
    std::vector<std::pair<std::string, int>> tasks;  // done, and durable with this page
  };
  std::vector<Piece> pieces;
  bool types = false;
};

Record Leader::PageValue(const Pages* pages, const Pages::Page& page) const {
  if (pages == &fleet_pages_) {
    FleetPage value;
    for (const std::string& id : page.items) {
      auto it = machines_.find(id);
      if (it != machines_.end()) value.machines.push_back(RecordOf(*it->second));
    }
    return value;
  }
  ProgressPage value;
  for (const std::string& item : page.items) {
    ProgressPiece p;
    if (!ParseProgressItem(item, &p.job, &p.chunk)) continue;
    auto it = jobs_.find(p.job);
    if (it == jobs_.end()) continue;
    p.bits = EncodeProgress(*it->second, p.chunk, kChunkTasks);
    value.pieces.push_back(std::move(p));
  }
  return value;
}

void Leader::AddPage(Micros now, Pages* pages, Pages::Page* page, StateOp* op, Batch* batch) {
  Batch::Piece piece{pages, page, page->items.empty(), {}, {}};
  for (const std::string& item : page->items) {
    if (pages == &fleet_pages_) {
      piece.machines.push_back(item);
      continue;
    }
    std::string id;
    int chunk = 0;
    if (!ParseProgressItem(item, &id, &chunk)) continue;
    auto it = jobs_.find(id);
    if (it == jobs_.end()) continue;
    const Job& job = *it->second;
    const int to = std::min(job.spec.tasks, (chunk + 1) * kChunkTasks);
    for (int i = chunk * kChunkTasks; i < to; ++i) {
      const TaskState& t = job.tasks[static_cast<size_t>(i)];
      if (t.stage == TaskStage::kDone && !t.saved) piece.tasks.emplace_back(id, i);
    }
  }
  // The page's own version is guarded, so that a late older write can't undo a newer one.
  op->guards.push_back({page->key, page->stamp});
  if (page->items.empty()) {
    op->changes.push_back({page->key, true, {}, 0});
  } else {
    op->changes.push_back({page->key, false, PageValue(pages, *page), 0});
  }
  pages->Sent(page);
  batch->pieces.push_back(std::move(piece));
  if (pages == &fleet_pages_) fleet_at_ = now + kFleetPause;
}

void Leader::Write(Micros now) {
  const double rate = settings().state_write_rps * 0.5;
  write_tokens_ = std::min(settings().state_write_rps * 0.8,
                           write_tokens_ + rate * (now - tokens_at_).ToSeconds());
  tokens_at_ = now;
  if (writing_ || now < write_at_ || !election()->leads()) return;
  const size_t most = static_cast<size_t>(std::max(3, settings().state_txn_ops));
  StateOp op;
  op.kind = StateOp::Kind::kCommit;
  op.guards.push_back({keys::kTerm, election()->term_stamp()});
  auto batch = std::make_shared<Batch>();
  const auto room = [&](size_t n) {
    return op.changes.size() + n <= most &&
           write_tokens_ >= static_cast<double>(op.changes.size() + n);
  };
  if (types_dirty_ && op.changes.empty()) {
    // Types first, their number last: who reads a number finds all of them.
    for (const auto& [name, type] : new_types_) {
      if (op.changes.size() + 2 > most) break;
      auto it = context_.types->find(name);
      if (it != context_.types->end() && it->second == type) continue;
      op.changes.push_back({keys::kType + name, false, type, 0});
    }
    if (op.changes.size() + 1 < most) {
      op.changes.push_back(
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
    auto it = jobs_.find(id);
    if (it == jobs_.end()) continue;
    op.guards.push_back({keys::kJob + id, it->second->stamp});
    op.guards.push_back({keys::kEnd + id, 0});
    op.changes.push_back({keys::kEnd + id, false, EndRecord{false, it->second->spec.tasks}, 0});
    op.changes.push_back({keys::kJob + id, true, {}, 0});
    batch->finish.push_back(id);
  }
  for (Pages* pages : {&progress_pages_, &fleet_pages_}) {
    while (room(1) && write_tokens_ >= static_cast<double>(op.changes.size()) + kKeepForUrgent) {
      Pages::Page* page = pages->Next(false, now, kPagePatience);
      if (!page) break;
      AddPage(now, pages, page, &op, batch.get());
    }
  }
  if (op.changes.empty()) return;
  write_tokens_ -= static_cast<double>(op.changes.size());
  writing_ = true;
  asker()->State(op, Guarded([this, batch](Micros t, StateReply& r) { Written(t, batch, r); }));
}

void Leader::Written(Micros now, const std::shared_ptr<Batch>& batch, StateReply& r) {
  writing_ = false;
  if (r.ok()) {
    for (const Batch::Piece& piece : batch->pieces) {
      piece.pages->Written(piece.page, piece.erased ? 0 : r.epoch);
      for (const std::string& id : piece.machines) {
        Machine* m = FindMachine(id);
        if (!m) continue;
        m->recorded = true;
        AnswerHeld(now, m);
      }
      for (const auto& [id, task] : piece.tasks) {
        auto it = jobs_.find(id);
        if (it != jobs_.end()) it->second->tasks[static_cast<size_t>(task)].saved = true;
      }
    }
    for (const std::string& id : batch->finish) EndJob(now, id);
    return Write(now);
  }
  const bool conflict = r.outcome == StateReply::Outcome::kConflict;
  if (conflict && std::find(r.failed.begin(), r.failed.end(), keys::kTerm) != r.failed.end()) {
    return election()->StepDown(now, "the term has moved on");
  }
  write_at_ = now + (conflict ? Millis(0) : Millis(300));
  // All of it again, each piece after a fresh look at what it guards.
  if (batch->types) types_dirty_ = true;
  const bool look = r.outcome != StateReply::Outcome::kRefused;
  for (const std::string& id : batch->finish) {
    if (!look) {
      finish_queue_.push_back(id);
      continue;
    }
    StateOp get;
    get.key = keys::kJob + id;
    asker()->State(get, Guarded([this, id](Micros t, StateReply& g) {
                     if (g.outcome == StateReply::Outcome::kMissing) return EndJob(t, id);
                     finish_queue_.push_back(id);
                   }));
  }
  for (const Batch::Piece& piece : batch->pieces) {
    piece.pages->Failed(piece.page, look, now);
    if (look) LookAtPage(piece.pages, piece.page);
  }
}

void Leader::LookAtPage(Pages* pages, Pages::Page* page) {
  StateOp get;
  get.key = page->key;
  asker()->State(get, Guarded([this, pages, page](Micros t, StateReply& g) {
                   if (g.ok() && !g.entries.empty()) {
                     page->stamp = g.entries[0].stamp;
                   } else if (g.outcome == StateReply::Outcome::kMissing) {
                     page->stamp = 0;
                   }
                   // Not known still: the guard fails if it has changed, and it is looked at again.
                   page->unsure = false;
                   pages->Touch(page, true, t);
                 }));
}

}  // namespace badgershore
