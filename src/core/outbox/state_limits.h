// What the state service accepts, as far as this controller knows.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "core/model/settings.h"
#include "core/model/types.h"
#include "core/outbox/adaptive_rate.h"

namespace badgershore {

// A transaction as far as the limits concern it.
struct TransactionSize {
  size_t mutations = 0;
  size_t records = 0;  // groups of mutations that could be sent in separate transactions
  size_t largest_value_bytes = 0;  // an upper bound
  std::string largest_key;
};

// The state service may lower its limits at any time, and does not say by how much. The settings
// may announce the later limits. The limits known here start at the configured ones and fall when a
// transaction is refused, first to the announced ones. Each refusal lowers a limit or shows that a
// record can't be written at all, so finitely many refusals follow each fall of the real limits.
// Outlives the terms of the controller. The leader stores what it has learned (LimitsRecord).
class StateLimits {
 public:
  StateLimits(const StateServiceLimits& configured,
              const std::optional<StateServiceLimits>& announced);

  // Largest value, in bytes.
  size_t value_bytes() const { return value_bytes_; }
  // The same, or what the settings announce for later if that is less.
  size_t announced_value_bytes() const;
  // Most mutations of one transaction. At least 1: what must be written in one transaction is sent
  // even if it has more.
  size_t mutations() const;
  // Rate at which the state service accepts mutations.
  double changes_per_s() const { return changes_.per_second(); }

  enum class Conclusion {
    kLimitLowered,   // send the same records divided by the new limits
    kRecordRefused,  // the transaction's only record can't be written, whatever the limits
  };
  // A transaction was refused for its size or its number of mutations.
  Conclusion OnTooLarge(const TransactionSize& size);
  // A transaction was refused because of the rate.
  void OnRateLimited() { changes_.OnRefused(); }
  void OnAccepted();

  // What has been learned, once a transaction within it has been accepted; nullopt if nothing.
  std::optional<LimitsRecord> Learned() const;
  // Takes over what the present leader has learned, unless the settings have changed since.
  void Load(const LimitsRecord& record);

  // For the log.
  std::string Description() const;

 private:
  bool ExceedsAnnounced(const TransactionSize& size) const;
  void LowerToAnnounced();

  StateServiceLimits configured_;
  std::optional<StateServiceLimits> announced_;
  size_t value_bytes_;
  size_t mutations_;
  // The largest number of mutations that is known to be accepted. While it is larger than
  // `mutations_`, transactions are smaller in order to find the record that is too large.
  size_t settled_mutations_;
  AdaptiveRate changes_;
  int accepted_in_a_row_ = 0;  // transactions since the last one that was too large
};

}  // namespace badgershore
