// The durable quota record and the next version that is written to the state service.
#pragma once

#include <optional>
#include <string>

#include "limits/quota_types.h"

namespace badgershore::limits {

class QuotaRecordWriter {
 public:
  void Load(const std::optional<QuotaRecord>& record);

  // The version that is known to be written.
  const QuotaRecord& durable() const { return durable_; }
  // The durable version with all changes made since.
  QuotaRecord& next() { return next_; }
  const QuotaRecord& next() const { return next_; }
  // The version that is being written; its outcome is not known.
  const std::optional<QuotaRecord>& in_flight() const { return in_flight_; }
  // The minimum of the units held in all versions that may be the stored one.
  int64_t LeastHeld(const std::string& team, ResourceKind kind) const;
  // Adds an empty account for the cell to both the durable and the next version, so that an empty
  // account alone does not cause a write.
  void AddAccount(const std::string& cell);

  // Returns the version to write next, the same until its outcome is known; nullopt if nothing
  // changed.
  std::optional<QuotaRecord> RecordToWrite();
  void OnWritten(uint64_t number);
  void OnNotWritten() { in_flight_.reset(); }
  // Drops all changes since the durable version.
  void DiscardChanges();

 private:
  QuotaRecord durable_;
  QuotaRecord next_;
  std::optional<QuotaRecord> in_flight_;
};

// Units of one resource kind of a team; 0 if `amounts` does not contain the team.
int64_t AmountOf(const TeamAmounts& amounts, const std::string& team, size_t kind);

}  // namespace badgershore::limits
