#include "check/limits_model.h"

#include <algorithm>

namespace badgershore::check {

using limits::CellMessage;
using limits::kLimitCpu;

LimitsModel::LimitsModel(const LimitsPlan& plan)
    : plan_(plan), crashes_(plan.crashes), restores_(plan.restores), duplicates_(plan.duplicates) {
  limits::Settings settings;
  settings.units = plan.limit;
  settings.floor_share = 0.5;
  settings.min_transfer_share = 0;
  settings.min_reclaim_delay_ms = settings.max_reclaim_delay_ms = 0;
  for (int i = 0; i < plan.cells; ++i) settings.cells.push_back({Name(i), true, false, ""});
  limits::TeamAmounts limit;
  for (int t = 0; t < plan.teams; ++t) {
    limit[Team(t)] = {plan.limit, limits::kUnlimited, limits::kUnlimited, limits::kUnlimited};
  }
  for (int i = 0; i < plan.cells; ++i) {
    settings.self = Name(i);
    CellState cell{limits::QuotaLedger(settings), {}, {}, false, false, false, {}};
    cell.running.assign(static_cast<size_t>(plan.teams), 0);
    cell.ledger.SetTotals(limit);
    cell.ledger.Load(std::nullopt, ++nonce_);
    cells_.push_back(std::move(cell));
  }
  WriteFirstRecords();
}

// Every cell has written its first record and received the others' messages; none is under way.
void LimitsModel::WriteFirstRecords() {
  for (int round = 0; round < 3; ++round) {
    for (CellState& c : cells_) {
      const auto record = c.ledger.RecordToWrite();
      if (!record) continue;
      c.ledger.OnWritten(record->number);
      c.stored = c.backup = *record;
      c.has_record = c.backup_exists = true;
    }
    for (const CellState& c : cells_) {
      for (const CellMessage& message : c.ledger.Messages()) {
        cells_[static_cast<size_t>(message.to[0] - 'a')].ledger.OnMessage(message, 0);
      }
    }
  }
  for (int i = 0; i < plan_.cells; ++i) UpdateDemand(i);
}

// Sets a cell's demand. The first cell has a gang that needs nearly all of the first team's limit
// (the second cell one of the second team's, and so on); the others want one more task each.
void LimitsModel::UpdateDemand(int cell) {
  CellState& c = cells_[static_cast<size_t>(cell)];
  for (int t = 0; t < plan_.teams; ++t) {
    limits::QuotaDemand demand;
    demand.used[kLimitCpu] = c.running[static_cast<size_t>(t)];
    const bool gang = cell == t;
    demand.additional[kLimitCpu] = gang ? plan_.limit - plan_.cells + 1 : 1;
    demand.priority = gang ? 1 : 3;
    demand.all_or_nothing = gang;
    demand.waiting_since_ms = 10 + cell;
    // The last cell's demand varies: it wants no more than it runs.
    if (!gang && cell == plan_.cells - 1) demand.additional[kLimitCpu] = 0;
    c.ledger.SetDemand(Team(t), demand);
  }
}

std::vector<std::string> LimitsModel::Events() const {
  std::vector<std::string> out;
  for (int i = 0; i < plan_.cells; ++i) {
    const CellState& c = cells_[static_cast<size_t>(i)];
    const std::string self = Name(i);
    out.push_back("speaks " + self);
    limits::QuotaLedger probe = c.ledger;
    if (probe.RecordToWrite()) {
      out.push_back("writes " + self);
      if (crashes_ > 0) out.push_back("ends-writing " + self);
    }
    if (crashes_ > 0) out.push_back("ends " + self);
    if (restores_ > 0 && !(c.backup == c.stored)) out.push_back("restored " + self);
    for (int t = 0; t < plan_.teams; ++t) {
      const int64_t running = c.running[static_cast<size_t>(t)];
      if (c.ledger.Usable(Team(t), kLimitCpu) > running) {
        out.push_back("starts " + self + Team(t));
      }
      if (running > 0) out.push_back("ends-task " + self + Team(t));
    }
  }
  for (const auto& [pair, message] : in_flight_) {
    const std::string name = Name(pair.first) + Name(pair.second);
    out.push_back("arrives " + name);
    if (duplicates_ > 0 && !delayed_.contains(pair)) out.push_back("held-back " + name);
  }
  for (const auto& [pair, message] : delayed_) {
    out.push_back("late " + Name(pair.first) + Name(pair.second));
  }
  return out;
}

void LimitsModel::Restart(int cell) {
  CellState& c = cells_[static_cast<size_t>(cell)];
  limits::QuotaRecord record = c.stored;
  if (plan_.fault == QuotaFault::kApplyTwice) {
    for (auto& [peer, account] : record.accounts) account.received -= account.received > 0;
  }
  c.ledger.Load(c.has_record ? std::optional(record) : std::nullopt, ++nonce_);
  UpdateDemand(cell);
}

void LimitsModel::SendMessages(int cell) {
  CellState& c = cells_[static_cast<size_t>(cell)];
  UpdateDemand(cell);
  uint64_t transfers = 0;
  for (const CellState& other : cells_) {
    for (const auto& [to, account] : other.ledger.durable().accounts) transfers += account.sent;
  }
  if (transfers < static_cast<uint64_t>(plan_.transfers)) c.ledger.Tick(0);
  if (plan_.fault == QuotaFault::kUseBeforeRecord || plan_.fault == QuotaFault::kSendBeforeRecord) {
    if (auto record = c.ledger.RecordToWrite()) {
      // Acknowledges a write that is not done: received quota is used, or sent quota is announced,
      // before the record is stored.
      const bool sends = record->held < c.stored.held;
      if ((plan_.fault == QuotaFault::kSendBeforeRecord) == sends && c.has_record) {
        c.ledger.OnWritten(record->number);
      }
    }
  }
  for (const CellMessage& message : c.ledger.Messages()) {
    in_flight_[{cell, message.to[0] - 'a'}] = message;  // the previous message is lost
  }
}

void LimitsModel::Apply(const std::string& event) {
  const size_t space = event.find(' ');
  const std::string what = event.substr(0, space), who = event.substr(space + 1);
  const int cell = who[0] - 'a';
  CellState& c = cells_[static_cast<size_t>(cell)];
  if (what == "speaks") {
    SendMessages(cell);
  } else if (what == "writes" || what == "ends-writing") {
    const limits::QuotaRecord record = *c.ledger.RecordToWrite();
    if (!c.has_record) c.backup = record;
    c.backup_exists = true;
    c.stored = record;
    c.has_record = true;
    if (what == "writes") {
      c.ledger.OnWritten(record.number);
    } else {
      --crashes_;
      Restart(cell);
    }
  } else if (what == "ends") {
    --crashes_;
    Restart(cell);
  } else if (what == "restored") {
    --restores_;
    c.stored = c.backup;
    c.has_record = c.backup_exists;
    c.restored = true;
    Restart(cell);
    if (plan_.fault == QuotaFault::kTrustOldBackup) {
      // Fakes messages of the others that match the restored record.
      for (int k = 0; k < plan_.cells; ++k) {
        if (k == cell) continue;
        CellMessage message;
        message.from = Name(k);
        message.to = Name(cell);
        message.nonce = nonce_;
        message.echoed_nonce = nonce_;
        const auto& accounts = c.stored.accounts;
        if (auto it = accounts.find(message.from); it != accounts.end()) {
          message.sent = it->second.received;
          message.received = it->second.sent;
        }
        c.ledger.OnMessage(message, 0);
      }
    }
  } else if (what == "starts") {
    ++c.running[static_cast<size_t>(who[1] - 't')];
    UpdateDemand(cell);
  } else if (what == "ends-task") {
    --c.running[static_cast<size_t>(who[1] - 't')];
    UpdateDemand(cell);
  } else {
    const std::pair<int, int> pair{who[0] - 'a', who[1] - 'a'};
    auto& messages = what == "late" ? delayed_ : in_flight_;
    const CellMessage message = messages.at(pair);
    if (what == "held-back") {
      --duplicates_;
      delayed_[pair] = message;  // a duplicate arrives at any later time
      return;
    }
    messages.erase(pair);
    cells_[static_cast<size_t>(pair.second)].ledger.OnMessage(message, 0);
  }
}

std::string LimitsModel::Key() const {
  std::string key;
  for (const CellState& c : cells_) {
    key += c.ledger.DebugString() + "/" + limits::DebugString(c.stored) + "/" +
           limits::DebugString(c.backup);
    for (const int64_t n : c.running) key += ' ' + std::to_string(n);
    key += c.restored ? "r;" : ";";
  }
  for (const auto& [pair, message] : in_flight_) key += limits::DebugString(message) + ';';
  key += "late ";
  for (const auto& [pair, message] : delayed_) key += limits::DebugString(message) + ';';
  return key + std::to_string(crashes_) + ' ' + std::to_string(restores_) + ' ' +
         std::to_string(duplicates_);
}

std::string LimitsModel::Violation() const {
  for (int t = 0; t < plan_.teams; ++t) {
    int64_t running = 0, shares = 0;
    bool restored = false, all_have_records = true;
    for (const CellState& c : cells_) {
      running += c.running[static_cast<size_t>(t)];
      restored = restored || c.restored;
      all_have_records = all_have_records && c.has_record;
      auto held = c.stored.held.find(Team(t));
      if (held != c.stored.held.end()) shares += held->second[kLimitCpu];
    }
    if (running > plan_.limit) {
      return "team " + Team(t) + " runs " + std::to_string(running) + " tasks with a limit of " +
             std::to_string(plan_.limit);
    }
    if (restored || !all_have_records) continue;
    for (int i = 0; i < plan_.cells; ++i) {
      for (const auto& [to, account] : cells_[static_cast<size_t>(i)].stored.accounts) {
        auto in_transit = account.in_transit.find(Team(t));
        const auto& other = cells_[static_cast<size_t>(to[0] - 'a')].stored.accounts;
        auto reverse = other.find(Name(i));
        const uint64_t received = reverse == other.end() ? 0 : reverse->second.received;
        if (in_transit != account.in_transit.end() && received < account.sent) {
          shares += in_transit->second[kLimitCpu];
        }
      }
    }
    if (shares != plan_.limit) {  // more: quota used twice; less: quota lost for ever
      return "quota shares of " + std::to_string(shares) + " instead of " +
             std::to_string(plan_.limit) + " for team " + Team(t);
    }
  }
  return "";
}

}  // namespace badgershore::check
