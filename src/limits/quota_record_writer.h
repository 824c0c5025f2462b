// The durable quota record and its next version on the way to the state service.
#pragma once

#include <optional>
#include <string>

#include "limits/quota_types.h"

namespace badgershore::limits {

class QuotaRecordWriter {
 public:
  void Load(const std::optional<QuotaRecord>& record);

  // Surely recorded.
  const QuotaRecord& durable() const { return durable_; }
  // With all that has been decided since.
  QuotaRecord& next() { return next_; }
  const QuotaRecord& next() const { return next_; }
  // Given out to be written, the outcome not known.
  const std::optional<QuotaRecord>& in_flight() const { return in_flight_; }
  // The least held by any version that may be the recorded one.
  int64_t LeastHeld(const std::string& team, ResourceKind kind) const;
  // Adds an empty account with the cell to the durable and the next version alike, since an empty
  // account alone is not worth a write.
  void AddAccount(const std::string& cell);

  // The version to write next, the same until its outcome is known; none: nothing has changed.
  std::optional<QuotaRecord> RecordToWrite();
  void OnWritten(uint64_t number);
  void OnNotWritten() { in_flight_.reset(); }

 private:
  QuotaRecord durable_;
  QuotaRecord next_;
  std::optional<QuotaRecord> in_flight_;
};

// Units of a team's kind; 0 where the team is not named.
int64_t AmountOf(const TeamAmounts& amounts, const std::string& team, size_t kind);

}  // namespace badgershore::limits
