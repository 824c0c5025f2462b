// This cell's shares of the teams' limits and guarantees, in deployments of several cells.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/leader/leader_component.h"
#include "core/model/jobs.h"
#include "limits/quota_ledger.h"

namespace badgershore {

limits::Settings QuotaSettings(const CellsPlan& plan);

// Reads and writes the ledger's durable record, exchanges messages with the other cells' leaders,
// and tells Occupancy what may be used. Does nothing in a deployment of one cell, where the limits
// of the settings hold as they are.
class QuotaShares : public LeaderComponent {
 public:
  explicit QuotaShares(const LeaderContext* context);

  // There are no other cells.
  bool alone() const { return !ledger_; }
  // An entry under the limits prefix, read before Begin.
  void Load(const Entry& entry);
  // All records of the term have been read.
  void Begin(Micros now);
  void Tick(Micros now);
  void OnMessage(Micros now, const limits::CellMessage& message);
  // For the log: whether all that is held may be used. Empty when alone.
  std::string Summary() const;
  // Null when alone.
  const limits::QuotaLedger* ledger() const { return ledger_.get(); }

 private:
  // A team's jobs, as far as they matter for its demand.
  struct TeamWork {
    limits::QuotaDemand demand;
    Resources waiting;                // of tasks without a machine
    Resources all;                    // of tasks that are not done
    Resources largest;                // placed at once: the largest task or gang that waits
    const Job* first_gang = nullptr;  // waits for the limit; the most urgent one
    bool allowed = false;             // some job waits although the limit would let it start
  };
  int64_t TimeOfDay(Micros now) const { return began_ms() + (now - began()).ToMillis(); }
  void UpdateDemand(Micros now);
  std::vector<TeamWork> SumUpJobs() const;
  void AddJob(const Job& job, TeamWork* work) const;
  limits::QuotaDemand DemandOf(Micros now, size_t team, const TeamWork& work);
  void UpdateOccupancy();
  void LogRestriction();
  void SendStatus(Micros now);
  std::vector<std::string> AddressesOf(Micros now, const std::string& cell);
  void WriteRecord(Micros now);
  void OnWriteResponse(Micros now, const StateResponse& response, uint64_t number);
  // After a write without a known outcome.
  void ReloadRecord(uint64_t number);
  void OnReloadResponse(Micros now, const StateResponse& response, uint64_t number);
  void OnRecordWritten(Micros now, uint64_t version, uint64_t number);

  std::unique_ptr<limits::QuotaLedger> ledger_;
  std::optional<limits::QuotaRecord> loaded_record_;
  uint64_t record_version_ = 0;  // in the state service; 0: there is none
  bool writing_ = false;
  Micros write_at_;
  Micros send_at_;
  Micros update_at_;
  std::map<std::string, std::string> leader_addresses_;  // by cell, as last heard
  std::map<std::string, Micros> heard_at_;               // by cell
  // By team's number: since when work has waited although the limit would let it start.
  std::vector<Micros> allowed_since_;
  std::string logged_reason_;
};

}  // namespace badgershore
