// Quota shares: the parts of the teams' limits and guarantees that each cell may use. The durable
// record of a cell, and the messages between cells.
//
// A share is counted in units, parts of a team's total, so that shares keep their proportion when
// the total changes. Totals are in thousandths of a CPU or accelerator.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace badgershore::limits {

// What of a team is divided among cells, each kind by itself. The order is that of the records.
enum ResourceKind { kLimitCpu, kLimitGpu, kGuaranteeCpu, kGuaranteeGpu, kResourceKinds };
using ResourceAmounts = std::array<int64_t, kResourceKinds>;
using TeamAmounts = std::map<std::string, ResourceAmounts>;

// A total for which the settings name no limit. Survives JSON numbers exactly.
constexpr int64_t kUnlimited = int64_t{1} << 50;

// One cell's transfers to and from another. They are numbered for each direction; the next is sent
// when the one before is acknowledged.
struct TransferAccount {
  uint64_t sent = 0;       // number of the last transfer to the other cell
  TeamAmounts in_transit;  // of that one, until it is acknowledged; empty: none
  uint64_t received = 0;   // number of the last transfer from the other cell that was added here
  TeamAmounts net_sent;    // everything ever sent less everything received
  bool closed = false;     // the other cell was removed: nothing more is sent or received
  // The newest load of the other cell's record that was heard of. Messages from before it are
  // ignored: their record may have been replaced by an older copy since.
  uint64_t nonce = 0;
  bool operator==(const TransferAccount&) const = default;
};

// The durable record of one cell.
struct QuotaRecord {
  uint64_t number = 0;  // counts the record's versions
  TeamAmounts held;     // units that this cell may use
  TeamAmounts totals;   // as last agreed: the least that any cell's settings said
  std::map<std::string, TransferAccount> accounts;  // by cell
  std::map<std::string, bool> inherited;            // removed cells whose shares were added here
  bool operator==(const QuotaRecord&) const = default;
};

// What a cell with waiting work asks for, of one team's quota.
struct QuotaRequest {
  ResourceAmounts units{};       // beyond what it holds
  int64_t waiting_since_ms = 0;  // time of day when the first waiting job was submitted
  int priority = 3;              // of that job; 0 goes first
  bool all_or_nothing = false;   // for a gang: less is of no use
  bool any() const {
    for (const int64_t amount : units)
      if (amount > 0) return true;
    return false;
  }
  bool operator==(const QuotaRequest&) const = default;
};

// The state of one cell as its leader sends it to another, repeatedly.
struct CellMessage {
  std::string from, to;        // cells
  std::string leader_address;  // of the sender
  uint64_t term = 0;
  uint64_t nonce = 0;               // of the sender's load of its record; never reused
  uint64_t echoed_nonce = 0;        // the nonce last heard from `to`: shows what this answers
  uint64_t sent = 0, received = 0;  // of the sender's account with `to`
  TeamAmounts in_transit;           // transfer number `sent`, until acknowledged
  TeamAmounts held;
  TeamAmounts totals;                            // by the sender's own settings
  std::map<std::string, QuotaRequest> requests;  // by team
  std::map<std::string, TeamAmounts> closed;     // removed cells: the sender's net_sent with each
  bool operator==(const CellMessage&) const = default;
};

}  // namespace badgershore::limits
