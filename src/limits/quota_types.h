// Quota shares (the parts of the teams' limits and guarantees that each cell may use), the durable
// record of a cell, and the messages between cells.
//
// Shares are counted in units, which are fractions of a team's total, so that shares keep their
// proportion when the total changes. Totals are in thousandths of a CPU or accelerator.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace badgershore::limits {

// The quantities of a team that are divided among cells, each independently of the others. The
// values are in the order of the stored records.
enum ResourceKind { kLimitCpu, kLimitGpu, kGuaranteeCpu, kGuaranteeGpu, kResourceKinds };
using ResourceAmounts = std::array<int64_t, kResourceKinds>;
using TeamAmounts = std::map<std::string, ResourceAmounts>;

// The total of a team without a limit in the settings. A JSON number represents it exactly.
constexpr int64_t kUnlimited = int64_t{1} << 50;

// One cell's transfers to and from another. They are numbered in each direction; the next one is
// sent after the previous one was acknowledged.
struct TransferAccount {
  uint64_t sent = 0;       // number of the last transfer to the other cell
  TeamAmounts in_transit;  // content of that transfer until acknowledged, else empty
  uint64_t received = 0;   // number of the last transfer from the other cell that was added here
  TeamAmounts net_sent;    // all units ever sent minus all units received
  bool closed = false;     // the other cell was removed: nothing more is sent or received
  // The nonce of the latest known load of the other cell's record. Messages of earlier loads are
  // ignored: that record may have been replaced by an older copy since.
  uint64_t nonce = 0;
  bool operator==(const TransferAccount&) const = default;
};

// The durable record of one cell.
struct QuotaRecord {
  uint64_t number = 0;  // counts the versions of this record
  TeamAmounts held;     // units that this cell may use
  TeamAmounts totals;   // as last agreed: the minimum of all cells' settings
  std::map<std::string, TransferAccount> accounts;  // by cell
  std::map<std::string, bool> inherited;            // removed cells whose shares were added
  // Not empty: the teams are in these parts of the stored record, see QuotaStore.
  std::vector<std::string> parts;
  bool operator==(const QuotaRecord&) const = default;
};

// The units of one team's quota that a cell with waiting work requests.
struct QuotaRequest {
  ResourceAmounts units{};       // in addition to those it holds
  int64_t waiting_since_ms = 0;  // time of day when the first waiting job was submitted
  int priority = 3;              // of that job; 0 is the highest
  bool all_or_nothing = false;   // for a gang, which can use nothing less
  bool any() const {
    for (const int64_t amount : units)
      if (amount > 0) return true;
    return false;
  }
  bool operator==(const QuotaRequest&) const = default;
};

// The state of one cell, which its leader sends to the leader of another cell periodically.
struct CellMessage {
  std::string from, to;        // cells
  std::string leader_address;  // of the sender
  uint64_t term = 0;
  uint64_t nonce = 0;               // of the sender's load of its record; never reused
  uint64_t echoed_nonce = 0;        // last nonce received from `to`; shows which load this answers
  uint64_t sent = 0, received = 0;  // of the sender's account with `to`
  TeamAmounts in_transit;           // transfer number `sent`, until acknowledged
  TeamAmounts held;
  TeamAmounts totals;                            // from the sender's own settings
  std::map<std::string, QuotaRequest> requests;  // by team
  std::map<std::string, TeamAmounts> closed;     // by removed cell: the sender's net_sent
  bool operator==(const CellMessage&) const = default;
};

}  // namespace badgershore::limits
