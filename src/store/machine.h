// The state service as a state machine: requests and the outcome of durable writes go in,
// answers and batches to be written come out. It knows no clock, socket or disk.
//
// Reads see only what is durable. Changes that arrive while a batch is being written are judged
// together when that has ended, and go out as the next batch: many commits share one fsync. A
// batch's changes are judged against what they will find (the durable image under the batch's
// own changes so far) and applied when the batch is durable.
//
// When a write fails, changes are refused (503) until an empty batch gets through; then every
// lease has its full time again, as after any outage. A batch whose fate is unknown keeps its
// place until the storage can say which it was; its clients get no answer, which is the one
// honest thing to tell them.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "store/limits.h"
#include "store/model.h"
#include "store/requests.h"

namespace badgershore::store {

using Token = uint64_t;

// What became of a batch.
enum class Written {
  kDurable,
  kAbsent,   // surely not written, now or later
  kUnknown,  // will be told later: kDurable or kAbsent for the same batch
};

class Machine {
 public:
  struct Effects {
    std::vector<std::pair<Token, Answer>> answers;
    std::optional<Batch> write;  // at most one is under way at a time
  };

  // As after a start: every lease has its full time from `now` on.
  Machine(Limits limits, Image image, Micros now);

  // `now` never goes back. Every request is answered once, by its token, now or later.
  void Ask(Micros now, Token token, Request request);
  void OnWritten(Micros now, uint64_t batch, Written written);
  // Ends leases and waits that are due. Call it at NextDeadline() at the latest.
  void Tick(Micros now);
  // An outage that was not the disk's has ended.
  void RenewLeases(Micros now);

  Micros NextDeadline() const;
  Effects Take() { return std::exchange(out_, Effects{}); }
  const Image& image() const { return image_; }
  bool stalled() const { return stalled_; }
  size_t watches() const { return watches_.size(); }

 private:
  struct Waiting {
    Token token = 0;
    Request request;
  };
  struct Watch {
    std::string prefix;
    uint64_t since = 0;
    Micros until;
  };

  void Say(Token token, Answer answer) { out_.answers.emplace_back(token, std::move(answer)); }
  Answer Plain(Outcome outcome, std::string error = "") const;
  std::optional<Answer> Admit(Micros now, const Request& request);

  // Reads.
  Answer Get(const GetRequest& r) const;
  Answer Range(const RangeRequest& r) const;
  void OpenWatch(Micros now, Token token, const WatchRequest& r);
  // The rows for a watch; false where some have been forgotten.
  bool Collect(const std::string& prefix, uint64_t since, std::vector<LogRow>* rows) const;
  void ServeWatches(Micros now);

  // Changes.
  void StartBatch(Micros now);
  Answer Judge(Micros now, const Request& request);
  Answer Commit(const CommitRequest& r);
  const Item* Tip(const std::string& key) const;  // with the batch's changes so far
  bool LeaseAtTip(uint64_t lease) const;
  void Put(const std::string& key, std::optional<Item> item);
  void EndLease(uint64_t lease);
  void EndDueLeases(Micros now);
  void Landed(Micros now);

  Limits limits_;
  Image image_;
  RateLimit requests_, changes_;
  std::unordered_map<uint64_t, std::set<std::string>> lease_keys_;
  std::unordered_map<uint64_t, Micros> lease_ends_;
  std::set<std::pair<Micros, uint64_t>> lease_order_;
  void SetEnd(uint64_t lease, Micros end);

  Batch batch_;  // being judged or under way
  bool writing_ = false;
  bool stalled_ = false;
  Micros probe_at_;
  std::vector<std::pair<Token, Answer>> held_;  // answers that wait for the batch
  std::deque<Waiting> waiting_;
  std::map<Token, Watch> watches_;
  std::set<std::pair<Micros, Token>> watch_order_;
  uint64_t next_batch_ = 0;
  Effects out_;
};

}  // namespace badgershore::store
