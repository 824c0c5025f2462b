// Rights to use a team's limit and guarantee, divided among cells. The durable record that a cell
// keeps of its own, and what cells tell each other. Units: parts of the whole, so that shares go
// along when the whole changes; the whole in thousandths of a CPU or accelerator.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>

namespace badgershore::limits {

// What of a team is divided, each by itself.
enum Kind { kLimitCpu, kLimitGpu, kGuaranteeCpu, kGuaranteeGpu, kKinds };
using Four = std::array<int64_t, kKinds>;
using Amounts = std::map<std::string, Four>;  // by team

// As a whole: the settings name no limit. Passes through JSON unharmed.
constexpr int64_t kUnlimited = int64_t{1} << 50;

// One cell's dealings with another. Transfers between two cells are numbered for each direction,
// and the next one is sent when the one before is acknowledged.
struct Account {
  uint64_t sent = 0;    // number of the last transfer to it
  Amounts under_way;    // of that one, until it is acknowledged; empty: none
  uint64_t taken = 0;   // number of the last transfer from it that was added here
  Amounts net;          // all that was ever sent to it, less all that was taken from it
  bool closed = false;  // it is gone for good: nothing more is sent or taken
  // The newest reading of its record that was heard of. Nothing is taken any more that was said
  // before: it may come from a record that an older copy has replaced since.
  uint64_t nonce = 0;
  bool operator==(const Account&) const = default;
};

struct EscrowRecord {
  uint64_t number = 0;  // counts the record's versions
  Amounts held;         // units that this cell may use
  Amounts whole;        // as last agreed: the least that any cell's settings said
  std::map<std::string, Account> accounts;  // by cell
  std::map<std::string, bool> inherited;    // cells whose rights have come here
  bool operator==(const EscrowRecord&) const = default;
};

// What a cell that waits asks for.
struct Want {
  Four units{};          // more than it holds
  int64_t since_ms = 0;  // time of day when the first that waits was submitted
  int rank = 3;          // of that, 0 before all others
  bool whole = false;    // a gang: less is of no use
  bool any() const {
    for (const int64_t u : units)
      if (u > 0) return true;
    return false;
  }
  bool operator==(const Want&) const = default;
};

struct CellMessage {
  std::string from, to;  // cells
  std::string node;      // the leader that says this
  uint64_t term = 0;
  uint64_t nonce = 0;            // of this leader's reading of its record, never used before
  uint64_t echo = 0;             // the nonce last heard from `to`: proves that this note answers it
  uint64_t sent = 0, taken = 0;  // of its account with `to`
  Amounts under_way;             // transfer number `sent`, until acknowledged
  Amounts held, whole;           // whole: by its own settings
  std::map<std::string, Want> wants;      // by team
  std::map<std::string, Amounts> closed;  // cells that are gone: its net with each
  bool operator==(const CellMessage&) const = default;
};

}  // namespace badgershore::limits
