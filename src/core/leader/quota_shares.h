// This cell's shares of the teams' limits and guarantees, in deployments of several cells.
#pragma once

#include <cstdint>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/leader/leader_component.h"
#include "core/leader/quota_store.h"
#include "core/model/jobs.h"
#include "limits/quota_ledger.h"

namespace badgershore {

limits::Settings QuotaSettings(const CellsConfig& plan);

// Loads and writes the quota ledger's durable record, exchanges messages with the other cells'
// leaders, and sets the quotas of QuotaChecker to this cell's shares. Does nothing in a deployment
// of one cell, where the limits of the settings apply unchanged.
class QuotaShares : public LeaderComponent {
 public:
  explicit QuotaShares(const LeaderContext* context);

  // The deployment has no other cells.
  bool is_single_cell() const { return !ledger_; }
  // Loads an entry under the limits prefix. To be called before OnRecordsLoaded().
  void Load(const Entry& entry) { store_.Load(entry); }
  // To be called once all records have been loaded.
  void OnRecordsLoaded(Micros now);
  void Tick(Micros now);
  void OnMessage(Micros now, const limits::CellMessage& message);
  // Whether the record has outgrown the state service's limits.
  bool IsRecordRefused() const { return refused_bytes_ < std::numeric_limits<size_t>::max(); }
  // For the log: how many cells have not responded, or that the quota is restricted. Empty in a
  // single-cell deployment.
  std::string Summary() const;
  // Null in a single-cell deployment.
  const limits::QuotaLedger* ledger() const { return ledger_.get(); }

 private:
  // The properties of a team's jobs that determine its quota demand.
  struct TeamWork {
    limits::QuotaDemand demand;
    Resources waiting;                // of tasks without a machine
    Resources remaining;              // of tasks that are not done
    Resources largest;                // of the largest task or gang that waits to start
    const Job* first_gang = nullptr;  // the most urgent gang that waits for quota
    bool startable = false;           // some job waits although the limit would let it start
  };
  int64_t TimeOfDay(Micros now) const {
    return term_began_ms() + (now - term_began_at()).ToMillis();
  }
  void UpdateDemand(Micros now);
  std::vector<TeamWork> SummarizeJobs() const;
  void AddJob(const Job& job, TeamWork* work) const;
  limits::QuotaDemand ComputeDemand(Micros now, size_t team, const TeamWork& work);
  void ApplyUsableQuota();
  void LogRestriction();
  void SendStatus(Micros now);
  std::vector<std::string> LeaderAddresses(Micros now, const std::string& cell);
  void WriteRecord(Micros now);
  void OnRecordRefused(Micros now, size_t bytes);
  void OnRecordWritten(Micros now, uint64_t number);

  std::unique_ptr<limits::QuotaLedger> ledger_;
  QuotaStore store_;
  // Upper bound of the size of the smallest record that could not be written in this term; records
  // of this size or more are not tried.
  size_t refused_bytes_ = std::numeric_limits<size_t>::max();
  Micros write_at_;
  Micros send_at_;
  Micros update_at_;
  std::map<std::string, std::string> leader_addresses_;  // by cell, from its last message
  std::map<std::string, Micros> last_message_at_;        // by cell
  // By team index: since when tasks have been waiting although the limit would let them start.
  std::vector<Micros> startable_since_;
  std::string logged_reason_;
};

}  // namespace badgershore
