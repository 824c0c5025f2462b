// Reads and writes this cell's durable quota record.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/leader/leader_component.h"
#include "limits/quota_types.h"

namespace badgershore {

// The record is one value as long as it fits in one. A larger one is divided by teams: the parts
// are written first, each under a key of its own that is never used again, and then the root, which
// names them and so replaces the earlier record as a whole. Parts that no root names are deleted.
//
// Earlier versions know the single value only. They find none while the record is divided, and then
// use no more than the floor, since the other cells know of transfers that they don't.
class QuotaStore : public LeaderComponent {
 public:
  using LeaderComponent::LeaderComponent;

  // Loads an entry under the limits prefix.
  void Load(const Entry& entry);
  // The record, once all entries have been loaded; nullopt if there is none.
  std::optional<limits::QuotaRecord> TakeLoaded();

  enum class Result {
    kWritten,
    kTooLarge,  // not written: no division fits the limits
  };
  using OnResult = std::function<void(Micros, Result)>;
  // Writes the record; no other write may be in progress. Transactions whose outcome is unknown are
  // repeated until it is known, or until the term ends.
  void Write(Micros now, const limits::QuotaRecord& record, OnResult on_result);
  bool IsWriting() const { return static_cast<bool>(on_result_); }
  // Sends what is due.
  void Tick(Micros now);

 private:
  struct Part {
    std::string key;
    limits::QuotaRecord teams;
    bool operator==(const Part&) const = default;
  };

  // Plans the transactions for `record_` under the present limits.
  void Plan(Micros now);
  void AbandonParts();
  void PlanParts(size_t value_bytes);
  Part ReuseOrAddPart(limits::QuotaRecord teams);
  static size_t TeamsPerPart(const limits::QuotaRecord& record, size_t value_bytes);

  void SendNext(Micros now);
  void SendParts(Micros now);
  void SendRecord(Micros now);
  void SendDeletions(Micros now);
  void Send(Micros now, StateRequest commit, TransactionSize size,
            std::function<void(Micros, const StateResponse&)> on_response);
  StateRequest NewTransaction() const;
  // The delay after a transaction that leaves most of the rate to other records.
  Micros Pause(size_t mutations) const;

  void OnPartsResponse(Micros now, const StateResponse& response, size_t count);
  void OnRecordResponse(Micros now, const StateResponse& response);
  void OnTooLarge(Micros now);
  void Reload();
  void OnReloaded(Micros now, const StateResponse& response);
  void OnRecordWritten(Micros now, uint64_t version);
  void Finish(Micros now, Result result);
  std::string RecordKey() const;

  // As known to be stored.
  uint64_t whole_version_ = 0, root_version_ = 0;  // 0: there is no such record
  std::vector<Part> stored_parts_;
  std::set<std::string> unused_keys_;  // of parts that no root names

  // While the entries are loaded.
  std::optional<limits::QuotaRecord> loaded_whole_, loaded_root_;
  std::map<std::string, limits::QuotaRecord> loaded_parts_;  // by key

  // The write in progress.
  limits::QuotaRecord record_;
  OnResult on_result_;
  std::optional<limits::QuotaRecord> root_;  // nullopt: the record is one value
  std::vector<Part> parts_;
  std::vector<Part> parts_to_send_;
  TransactionSize sent_size_;
  uint64_t last_part_ = 0;  // counts the keys of this term
  bool in_flight_ = false;
  Micros next_at_;
};

}  // namespace badgershore
