// One cell's side of dividing the teams' limits and guarantees among cells (escrow, O'Neil 1986;
// bounded counters, Balegas et al. 2015). Shares are transferred between two cells at a time. Each
// transfer is numbered, durable at the sender before it is sent, durable at the receiver before it
// is used, repeated until it is acknowledged, and applied once. A cell needs no permission to use
// what it holds.
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

// What a cell's own work needs of a team's quota, in thousandths of a CPU or accelerator.
struct QuotaDemand {
  ResourceAmounts used{};        // now, or possibly
  ResourceAmounts additional{};  // could be used beside that at once
  int64_t waiting_since_ms = 0;  // time of day
  int priority = 3;              // 0 goes first
  bool all_or_nothing = false;   // `additional` is a gang's that waits for the limit
};

// For logs, tests and state space exploration: equal for equal values.
std::string DebugString(const QuotaRecord& record);
std::string DebugString(const CellMessage& message);

// A state machine without clock or socket. Its owner writes the record of RecordToWrite, sends
// Messages to the other cells, and asks Usable before anything starts.
class QuotaLedger {
 public:
  explicit QuotaLedger(Settings settings);

  // Each team's total by this cell's settings, which change with a restart only.
  void SetTotals(const TeamAmounts& totals);
  // The durable record as read after the election; none: there is none. `nonce` has to grow with
  // every load, whatever becomes of the record: a time of day does.
  void Load(const std::optional<QuotaRecord>& record, uint64_t nonce);
  bool loaded() const { return loaded_; }
  void SetDemand(const std::string& team, const QuotaDemand& demand);
  // A message of another cell's leader. False: its sender or receiver is not as the settings say.
  bool OnMessage(const CellMessage& message, int64_t now_ms);
  // Decides what to transfer.
  void Tick(int64_t now_ms);

  // The record to write next, conditional on the version that was read or written last; the same
  // until its outcome is known. None: nothing has changed.
  std::optional<QuotaRecord> RecordToWrite();
  void OnWritten(uint64_t number) { records_.OnWritten(number); }
  // Surely not written: the next one may differ.
  void OnNotWritten() { records_.OnNotWritten(); }
  // One to each active cell, of durable facts only.
  std::vector<CellMessage> Messages() const;

  // Thousandths that may be used at once; kUnlimited where there is no limit.
  int64_t Usable(const std::string& team, ResourceKind kind) const;
  // Why only the floor may be used; empty: it is not restricted.
  const std::string& restricted_to_floor_reason() const { return restricted_to_floor_reason_; }
  // Active cells that have not answered since the record was loaded.
  std::set<std::string> UnheardCells() const;
  const QuotaRecord& durable() const { return records_.durable(); }
  // The whole state.
  std::string DebugString() const;

 private:
  struct Peer {
    bool heard = false;  // in answer to this load of the record
    CellMessage message;
  };
  // A cell that has transferred units of a team asks for them back after a growing delay.
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
  bool AllHeard() const { return UnheardCells().empty(); }
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
