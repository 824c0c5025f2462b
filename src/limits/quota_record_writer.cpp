#include "limits/quota_record_writer.h"

#include <algorithm>

namespace badgershore::limits {

int64_t AmountOf(const TeamAmounts& amounts, const std::string& team, size_t kind) {
  auto it = amounts.find(team);
  return it == amounts.end() ? 0 : it->second[kind];
}

void QuotaRecordWriter::Load(const std::optional<QuotaRecord>& record) {
  durable_ = record.value_or(QuotaRecord{});
  next_ = durable_;
  in_flight_.reset();
}

int64_t QuotaRecordWriter::LeastHeld(const std::string& team, ResourceKind kind) const {
  int64_t units = std::min(AmountOf(durable_.held, team, kind), AmountOf(next_.held, team, kind));
  if (in_flight_) units = std::min(units, AmountOf(in_flight_->held, team, kind));
  return units;
}

void QuotaRecordWriter::AddAccount(const std::string& cell) {
  next_.accounts.try_emplace(cell);
  durable_.accounts.try_emplace(cell);
}

std::optional<QuotaRecord> QuotaRecordWriter::RecordToWrite() {
  if (in_flight_) return in_flight_;
  if (next_ == durable_) return std::nullopt;
  next_.number = durable_.number + 1;
  in_flight_ = next_;
  return in_flight_;
}

void QuotaRecordWriter::OnWritten(uint64_t number) {
  if (!in_flight_ || in_flight_->number != number) return;
  durable_ = *in_flight_;
  in_flight_.reset();
  next_.number = durable_.number;
}

void QuotaRecordWriter::DiscardChanges() {
  in_flight_.reset();
  next_ = durable_;
}

}  // namespace badgershore::limits
