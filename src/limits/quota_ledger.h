// One cell's part in dividing the teams' limits and guarantees among cells (escrow, O'Neil 1986;
// bounded counters, Balegas et al. 2015). Shares are transferred between two cells at a time. Each
// transfer is numbered, durable at the sender before it is sent, durable at the receiver before it
// is used, resent until it is acknowledged, and applied once. A cell uses the units that it holds
// without asking any other cell.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "limits/cell_shares.h"
#include "limits/quota_record_writer.h"
#include "limits/quota_types.h"

namespace badgershore::limits {

// The quota of one team that a cell's own work needs, in thousandths of a CPU or accelerator.
struct QuotaDemand {
  ResourceAmounts used{};        // in use, including uncertain use
  ResourceAmounts additional{};  // could be used immediately on top of that
  int64_t waiting_since_ms = 0;  // time of day
  int priority = 3;              // 0 is the highest
  bool all_or_nothing = false;   // `additional` is for a gang that waits for the limit
};

// For logs, tests and state space exploration. Equal values give equal strings.
std::string DebugString(const QuotaRecord& record);
std::string DebugString(const CellMessage& message);

// A state machine without clock or sockets. Its owner writes the record that RecordToWrite returns,
// sends Messages to the other cells, and checks Usable before it starts a task.
class QuotaLedger {
 public:
  explicit QuotaLedger(Settings settings);

  // Sets each team's total from this cell's settings, which change only at a restart.
  void SetTotals(const TeamAmounts& totals);
  // Loads the durable record as read after the election, or nullopt if there is none. `nonce` must
  // be larger than at any earlier load, even if the record is lost or replaced; the time of day is.
  void Load(const std::optional<QuotaRecord>& record, uint64_t nonce);
  bool loaded() const { return loaded_; }
  void SetDemand(const std::string& team, const QuotaDemand& demand);
  // Handles a message of another cell's leader. False if its sender or receiver does not match the
  // settings.
  bool OnMessage(const CellMessage& message, int64_t now_ms);
  // Decides which units to transfer.
  void Tick(int64_t now_ms);

  // Returns the record to write next, with the version that was read or written last as the
  // precondition. Returns the same record until its outcome is known, nullopt if nothing changed.
  std::optional<QuotaRecord> RecordToWrite();
  void OnWritten(uint64_t number) { records_.OnWritten(number); }
  // The record was certainly not written; the next one may differ.
  void OnNotWritten() { records_.OnNotWritten(); }
  // The record can't be written: drops all changes since the last one that was, as if it had just
  // been loaded. Nothing has been sent of them, and what another cell has sent is sent again.
  void DiscardChanges() { records_.DiscardChanges(); }
  // One message to each active cell, built from durable data only.
  std::vector<CellMessage> Messages() const;

  // Thousandths that may be used now; kUnlimited if there is no limit.
  int64_t Usable(const std::string& team, ResourceKind kind) const;
  // Why only the floor may be used; empty if the cell is not restricted.
  const std::string& restricted_to_floor_reason() const { return restricted_to_floor_reason_; }
  // Active cells that have not responded since the record was loaded.
  std::set<std::string> CellsWithoutResponse() const;
  const QuotaRecord& durable() const { return records_.durable(); }
  // The complete state of the ledger.
  std::string DebugString() const;

 private:
  struct Peer {
    bool responded = false;  // has responded since this load of the record
    CellMessage message;
  };
  // A cell that has transferred units of a team requests them back only after a delay, which grows.
  struct ReclaimDelay {
    int64_t transferred_at_ms = 0;
    int64_t delay_ms = 0;
  };

  // Amounts.
  int64_t Total(const std::string& team, ResourceKind kind) const;
  int64_t ToUnits(const std::string& team, ResourceKind kind, int64_t amount) const;
  int64_t UsedUnits(const std::string& team, ResourceKind kind) const;
  ResourceAmounts& NextHeld(const std::string& team);
  void AgreeOnTotals();
  bool AllCellsResponded() const { return CellsWithoutResponse().empty(); }
  void RestrictToFloor(const std::string& reason);

  // Requests.
  QuotaRequest OwnRequest(const std::string& team) const;
  bool DelaysReclaim(const std::string& team, const QuotaRequest& request) const;
  std::map<std::string, QuotaRequest> RequestsToSend() const;
  int64_t RequestedByPeers(const std::string& team, size_t kind) const;
  const QuotaRequest* FindRequest(const std::string& team, const std::string& cell) const;
  std::vector<std::string> CellsByPriority() const;
  bool HasWaitingWork(const std::string& team, size_t kind) const;

  // Transfers.
  int64_t OwedTo(const std::string& cell, const std::string& team, ResourceKind kind) const;
  int64_t AmountToTransfer(const std::string& cell, const std::string& team, ResourceKind kind,
                           int64_t available) const;
  ResourceAmounts AmountsToTransfer(const std::string& cell, const std::string& team) const;
  void StartTransfer(const std::string& cell, int64_t now_ms);
  void BeginReclaimDelay(const std::string& team, int64_t now_ms);
  void ExtendReclaimDelays();
  void CheckTransferNumbers(const CellMessage& message);
  void AcknowledgeTransfer(const CellMessage& message);
  void ReceiveTransfer(const CellMessage& message);
  CellMessage MessageTo(const std::string& cell,
                        const std::map<std::string, QuotaRequest>& requests) const;

  // Removed cells.
  void CloseRemovedAccounts();
  void AbsorbRemovedCells();
  std::optional<std::vector<const TeamAmounts*>> NetSentTo(const std::string& removed) const;

  CellShares shares_;
  TeamAmounts own_totals_;
  bool loaded_ = false;
  uint64_t nonce_ = 0;
  QuotaRecordWriter records_;
  std::map<std::string, QuotaDemand> demands_;          // by team
  std::map<std::string, Peer> peers_;                   // by cell
  std::map<std::string, ReclaimDelay> reclaim_delays_;  // by team
  int64_t now_ms_ = 0;
  std::string restricted_to_floor_reason_;
};

}  // namespace badgershore::limits
