#include "core/outbox/state_limits.h"

#include <algorithm>

namespace badgershore {
namespace {

// After a value was refused, values may be at most this share of it.
constexpr double kValueStep = 0.75;
// Smaller values are never refused for their size: a job's description takes as much.
constexpr size_t kMinValueBytes = 512;
// Transactions of a number of mutations after which that number is known to be accepted.
constexpr int kAcceptedBeforeSettled = 16;
// Of the mutations of a transaction, after refusals because of the rate.
constexpr int kMaxHalvings = 16;

}  // namespace

StateLimits::StateLimits(const StateServiceLimits& configured,
                         const std::optional<StateServiceLimits>& announced)
    : configured_(configured),
      announced_(announced),
      value_bytes_(configured.ValueBytes()),
      mutations_(static_cast<size_t>(configured.mutations)),
      settled_mutations_(mutations_),
      changes_(configured.changes_per_s,
               announced ? std::optional(announced->changes_per_s) : std::nullopt) {}

size_t StateLimits::announced_value_bytes() const {
  return announced_ ? std::min(value_bytes_, announced_->ValueBytes()) : value_bytes_;
}

// The service may count a transaction against one second's changes, so more would never be
// accepted. Smaller transactions also find a place sooner while others write.
size_t StateLimits::mutations() const {
  const auto per_second = static_cast<size_t>(changes_.per_second());
  const size_t allowed =
      std::min(mutations_, per_second) >> std::min(changes_.refused_in_a_row(), kMaxHalvings);
  return std::max<size_t>(1, allowed);
}

bool StateLimits::ExceedsAnnounced(const TransactionSize& size) const {
  return announced_ && (size.mutations > static_cast<size_t>(announced_->mutations) ||
                        size.largest_value_bytes > announced_->ValueBytes());
}

void StateLimits::LowerToAnnounced() {
  value_bytes_ = std::min(value_bytes_, announced_->ValueBytes());
  settled_mutations_ = std::min(settled_mutations_, static_cast<size_t>(announced_->mutations));
  mutations_ = std::min(mutations_, settled_mutations_);
  changes_.LowerToAnnounced();
}

StateLimits::Conclusion StateLimits::OnTooLarge(const TransactionSize& size) {
  accepted_in_a_row_ = 0;
  if (ExceedsAnnounced(size) && (value_bytes_ > announced_->ValueBytes() ||
                                 mutations_ > static_cast<size_t>(announced_->mutations))) {
    LowerToAnnounced();
    return Conclusion::kLimitLowered;
  }
  if (size.records > 1) {
    mutations_ = (size.mutations + 1) / 2;
    return Conclusion::kLimitLowered;
  }
  if (size.largest_value_bytes <= kMinValueBytes) return Conclusion::kRecordRefused;
  // The value was at fault, not the number of mutations.
  mutations_ = settled_mutations_;
  const auto step = static_cast<size_t>(static_cast<double>(size.largest_value_bytes) * kValueStep);
  value_bytes_ = std::min(value_bytes_, std::max(kMinValueBytes, step));
  return Conclusion::kLimitLowered;
}

void StateLimits::OnAccepted() {
  if (++accepted_in_a_row_ == kAcceptedBeforeSettled) settled_mutations_ = mutations_;
  changes_.OnAccepted();
}

std::optional<LimitsRecord> StateLimits::Learned() const {
  const LimitsRecord record{configured_.ValueBytes(), static_cast<size_t>(configured_.mutations),
                            value_bytes_, settled_mutations_};
  const bool lowered = record.value_bytes < record.configured_value_bytes ||
                       record.mutations < record.configured_mutations;
  return lowered && accepted_in_a_row_ > 0 ? std::optional(record) : std::nullopt;
}

void StateLimits::Load(const LimitsRecord& record) {
  if (record.configured_value_bytes != configured_.ValueBytes() ||
      record.configured_mutations != static_cast<size_t>(configured_.mutations)) {
    return;
  }
  value_bytes_ = std::clamp(record.value_bytes, std::min(kMinValueBytes, configured_.ValueBytes()),
                            configured_.ValueBytes());
  settled_mutations_ = mutations_ =
      std::clamp<size_t>(record.mutations, 1, static_cast<size_t>(configured_.mutations));
}

std::string StateLimits::Description() const {
  return std::to_string(value_bytes_) + " bytes a value, " + std::to_string(mutations()) +
         " mutations a transaction, " + std::to_string(changes_per_s()) + " a second";
}

}  // namespace badgershore
