#include "core/leader/quota_shares.h"

#include <algorithm>
#include <tuple>

#include "core/leader/job_table.h"
#include "core/leader/quota_checker.h"
#include "core/leader/usage_accounting.h"
#include "core/model/record_size.h"

namespace badgershore {
namespace {

constexpr Micros kSendInterval = Millis(500);
constexpr Micros kUpdateInterval = Millis(300);
// If a cell has sent no message for this long, messages go to all of its controllers instead of its
// last known leader.
constexpr Micros kLeaderAddressLifetime = Seconds(3);
// Transfers that are received or acknowledged within this interval share a write.
constexpr Micros kWriteInterval = Millis(400);
constexpr Micros kWriteRetryDelay = Millis(300);
// If the limit has let a team's tasks start for this long and they still wait, the team is short of
// machines rather than quota.
constexpr Micros kMachineShortageAfter = Seconds(20);

limits::ResourceAmounts TeamTotals(const Team& team) {
  const auto limit = [](int64_t amount) { return amount > 0 ? amount : limits::kUnlimited; };
  return {limit(team.limit.cpu), limit(team.limit.gpu), team.guarantee.cpu, team.guarantee.gpu};
}

bool MoreUrgent(const Job& a, const Job& b) {
  return std::tie(a.spec.priority, a.spec.submitted_ms) <
         std::tie(b.spec.priority, b.spec.submitted_ms);
}

}  // namespace

limits::Settings QuotaSettings(const CellsConfig& plan) {
  limits::Settings settings;
  settings.self = plan.self;
  for (const CellConfig& cell : plan.cells) {
    settings.cells.push_back({cell.name, cell.initial_member, cell.draining, cell.successor});
  }
  return settings;
}

QuotaShares::QuotaShares(const LeaderContext* context)
    : LeaderComponent(context), startable_since_(settings().teams.size(), kNever) {
  if (options().cells.cells.empty()) return;
  ledger_ = std::make_unique<limits::QuotaLedger>(QuotaSettings(options().cells));
  limits::TeamAmounts totals;
  for (const Team& team : settings().teams) totals[team.name] = TeamTotals(team);
  ledger_->SetTotals(totals);
}

void QuotaShares::Load(const Entry& entry) {
  const auto* record = std::get_if<limits::QuotaRecord>(&entry.value);
  if (!record || entry.key != keys::kQuotaRecord) return;
  loaded_record_ = *record;
  record_version_ = entry.version;
}

void QuotaShares::OnRecordsLoaded(Micros now) {
  if (is_single_cell()) return;
  ledger_->Load(loaded_record_, static_cast<uint64_t>(TimeOfDay(now)));
  loaded_record_.reset();
  UpdateDemand(now);
  ApplyUsableQuota();
}

void QuotaShares::Tick(Micros now) {
  if (is_single_cell() || !ledger_->loaded()) return;
  if (now >= update_at_) {
    update_at_ = now + kUpdateInterval;
    UpdateDemand(now);
    ledger_->Tick(TimeOfDay(now));
  }
  ApplyUsableQuota();
  WriteRecord(now);
  if (now >= send_at_) SendStatus(now);
  LogRestriction();
}

void QuotaShares::LogRestriction() {
  const std::string& reason = ledger_->restricted_to_floor_reason();
  if (reason.empty() || reason == logged_reason_) return;
  logged_reason_ = reason;
  outbox()->Log(LogLine::Level::kError, "quota restricted to the floor share: " + reason);
}

void QuotaShares::AddJob(const Job& job, TeamWork* work) const {
  work->remaining = work->remaining + job.spec.need.Times(job.remaining());
  const int open = job.remaining() - job.placed;
  if (open <= 0) return;
  limits::QuotaDemand& demand = work->demand;
  const int at_once = job.IsGang() || job.IsService() ? open : 1;
  const Resources need_at_once = job.spec.need.Times(at_once);
  if (work->waiting == Resources{}) demand.waiting_since_ms = job.spec.submitted_ms;
  work->waiting = work->waiting + job.spec.need.Times(open);
  work->largest = {std::max(work->largest.cpu, need_at_once.cpu),
                   std::max(work->largest.gpu, need_at_once.gpu), 0};
  demand.waiting_since_ms = std::min(demand.waiting_since_ms, job.spec.submitted_ms);
  demand.priority = std::min(demand.priority, static_cast<int>(job.spec.priority));
  if (job.IsGang() && job.placed == 0 && job.quota_blocked_since < kNever &&
      (!work->first_gang || MoreUrgent(job, *work->first_gang))) {
    work->first_gang = &job;
  }
  if (quota_checker().Allows(job, at_once)) work->startable = true;
}

std::vector<QuotaShares::TeamWork> QuotaShares::SummarizeJobs() const {
  std::vector<TeamWork> teams(settings().teams.size());
  for (const auto& [id, job] : job_table().jobs()) {
    if (job->team < 0 || job->finishing) continue;
    AddJob(*job, &teams[static_cast<size_t>(job->team)]);
  }
  return teams;
}

limits::QuotaDemand QuotaShares::ComputeDemand(Micros now, size_t team, const TeamWork& work) {
  limits::QuotaDemand demand = work.demand;
  const Resources used =
      usage_accounting().Used(static_cast<int>(team)) + usage_accounting().uncertain_use();
  const Resources& guarantee = settings().teams[team].guarantee;
  demand.used = {used.cpu, used.gpu, 0, 0};
  // If tasks wait although the limit would let them start, more quota would stay unused.
  Micros& startable_since = startable_since_[team];
  startable_since = work.startable ? std::min(startable_since, now) : kNever;
  const bool lacks_machines = work.startable && now - startable_since > kMachineShortageAfter;
  const auto useful = [&](int64_t waiting, int64_t has, int64_t at_once) {
    return lacks_machines ? std::min(waiting, std::max(has / 10, at_once)) : waiting;
  };
  demand.additional = {useful(work.waiting.cpu, used.cpu, work.largest.cpu),
                       useful(work.waiting.gpu, used.gpu, work.largest.gpu),
                       std::min(work.remaining.cpu, guarantee.cpu),
                       std::min(work.remaining.gpu, guarantee.gpu)};
  if (const Job* gang = work.first_gang) {
    const Resources needed = gang->spec.need.Times(gang->remaining());
    demand.all_or_nothing = true;
    demand.priority = static_cast<int>(gang->spec.priority);
    demand.waiting_since_ms = gang->spec.submitted_ms;
    demand.additional[limits::kLimitCpu] = needed.cpu;
    demand.additional[limits::kLimitGpu] = needed.gpu;
  }
  return demand;
}

void QuotaShares::UpdateDemand(Micros now) {
  const std::vector<TeamWork> teams = SummarizeJobs();
  for (size_t team = 0; team < teams.size(); ++team) {
    ledger_->SetDemand(settings().teams[team].name, ComputeDemand(now, team, teams[team]));
  }
}

void QuotaShares::ApplyUsableQuota() {
  for (size_t team = 0; team < settings().teams.size(); ++team) {
    const std::string& name = settings().teams[team].name;
    const auto usable = [&](limits::ResourceKind kind) { return ledger_->Usable(name, kind); };
    quota_checker().SetQuota(static_cast<int>(team),
                             {usable(limits::kLimitCpu), usable(limits::kLimitGpu), 0},
                             {usable(limits::kGuaranteeCpu), usable(limits::kGuaranteeGpu), 0});
  }
}

void QuotaShares::OnMessage(Micros now, const limits::CellMessage& message) {
  if (is_single_cell() || !ledger_->OnMessage(message, TimeOfDay(now))) return;
  leader_addresses_[message.from] = message.leader_address;
  last_message_at_[message.from] = now;
  ApplyUsableQuota();
  WriteRecord(now);
}

std::vector<std::string> QuotaShares::LeaderAddresses(Micros now, const std::string& cell) {
  auto last_message = last_message_at_.find(cell);
  if (last_message != last_message_at_.end() &&
      now - last_message->second < kLeaderAddressLifetime) {
    return {leader_addresses_[cell]};
  }
  std::vector<std::string> addresses;
  for (const CellConfig& site : options().cells.cells) {
    if (site.name == cell) addresses = site.addresses;
  }
  return addresses;
}

void QuotaShares::SendStatus(Micros now) {
  send_at_ = now + kSendInterval;
  for (limits::CellMessage& message : ledger_->Messages()) {
    message.leader_address = settings().peer_listen;
    message.term = election()->term();
    CellDelivery delivery;
    delivery.addresses = LeaderAddresses(now, message.to);
    delivery.message = std::move(message);
    outbox()->effects.cell_deliveries.push_back(std::move(delivery));
  }
}

// The write is conditional on the term and on the record's known version, so that it can't
// overwrite another leader's record. A retry after an unknown outcome writes the same record.
void QuotaShares::WriteRecord(Micros now) {
  if (writing_ || now < write_at_ || !election()->leads()) return;
  const std::optional<limits::QuotaRecord> record = ledger_->RecordToWrite();
  if (!record) return;
  // A smaller record may be accepted, such as after a transfer has been acknowledged.
  const size_t bytes = MaxRecordBytes(*record);
  if (bytes >= refused_bytes_) return ledger_->DiscardChanges();
  writing_ = true;
  StateRequest commit;
  commit.kind = StateRequest::Kind::kCompareAndSwap;
  commit.preconditions = {{keys::kTerm, election()->term_version()},
                          {keys::kQuotaRecord, record_version_}};
  commit.mutations.push_back({keys::kQuotaRecord, false, *record, 0});
  outbox()->SendState(
      commit, Guarded([this, bytes, number = record->number](Micros now, StateResponse& response) {
        if (response.outcome == StateResponse::Outcome::kTooLarge) {
          return OnRecordRefused(now, bytes);
        }
        OnWriteResponse(now, response, number);
      }));
}

// The shares that are recorded stay usable, and no others.
void QuotaShares::OnRecordRefused(Micros now, size_t bytes) {
  writing_ = false;
  write_at_ = now + kWriteRetryDelay;
  refused_bytes_ = bytes;
  ledger_->DiscardChanges();
  outbox()->Log(LogLine::Level::kError, "the state service refused the quota record of " +
                                            std::to_string(settings().teams.size()) +
                                            " teams, of at most " + std::to_string(bytes) +
                                            " bytes: this cell keeps the shares on record");
}

void QuotaShares::OnRecordWritten(Micros now, uint64_t version, uint64_t number) {
  record_version_ = version;
  ledger_->OnWritten(number);
  ApplyUsableQuota();
  send_at_ = now;  // the other cells wait for the changes that are durable now
}

void QuotaShares::OnWriteResponse(Micros now, const StateResponse& response, uint64_t number) {
  writing_ = false;
  if (response.ok()) {
    write_at_ = now + kWriteInterval;
    return OnRecordWritten(now, response.revision, number);
  }
  const auto& failed = response.failed_keys;
  if (response.outcome == StateResponse::Outcome::kConflict &&
      std::find(failed.begin(), failed.end(), keys::kTerm) != failed.end()) {
    return election()->StepDown(now, "a later term has begun");
  }
  write_at_ = now + kWriteRetryDelay;
  if (response.outcome == StateResponse::Outcome::kRefused) return;  // the same write is retried
  ReloadRecord(number);
}

void QuotaShares::ReloadRecord(uint64_t number) {
  writing_ = true;
  StateRequest get;
  get.key = keys::kQuotaRecord;
  outbox()->SendState(get, Guarded([this, number](Micros now, StateResponse& response) {
                        OnReloadResponse(now, response, number);
                      }));
}

void QuotaShares::OnReloadResponse(Micros now, const StateResponse& response, uint64_t number) {
  writing_ = false;
  write_at_ = now + kWriteRetryDelay;
  if (!response.ok() || response.entries.empty()) return;  // the same write is retried
  const Entry& entry = response.entries[0];
  const auto* record = std::get_if<limits::QuotaRecord>(&entry.value);
  if (record && record->number == number) {
    OnRecordWritten(now, entry.version, number);
  } else if (entry.version != record_version_) {
    election()->StepDown(now, "the quota record was written by another leader");
  }
}

std::string QuotaShares::Summary() const {
  if (is_single_cell()) return "";
  return ledger_->restricted_to_floor_reason().empty()
             ? "; cells without a response " +
                   std::to_string(ledger_->CellsWithoutResponse().size())
             : "; quota restricted to the floor share";
}

}  // namespace badgershore
