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
    : LeaderComponent(context), store_(context), startable_since_(settings().teams.size(), kNever) {
  if (options().cells.cells.empty()) return;
  ledger_ = std::make_unique<limits::QuotaLedger>(QuotaSettings(options().cells));
  limits::TeamAmounts totals;
  for (const Team& team : settings().teams) totals[team.name] = TeamTotals(team);
  ledger_->SetTotals(totals);
}

void QuotaShares::OnRecordsLoaded(Micros now) {
  if (is_single_cell()) return;
  ledger_->Load(store_.TakeLoaded(), static_cast<uint64_t>(TimeOfDay(now)));
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
  store_.Tick(now);
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

void QuotaShares::WriteRecord(Micros now) {
  if (store_.IsWriting() || now < write_at_ || !election()->leads()) return;
  const std::optional<limits::QuotaRecord> record = ledger_->RecordToWrite();
  if (!record) return;
  // A smaller record may be accepted, such as after a transfer has been acknowledged.
  const size_t bytes = MaxRecordBytes(*record);
  if (bytes >= refused_bytes_) return ledger_->DiscardChanges();
  store_.Write(now, *record,
               [this, bytes, number = record->number](Micros now, QuotaStore::Result result) {
                 if (result == QuotaStore::Result::kTooLarge) return OnRecordRefused(now, bytes);
                 OnRecordWritten(now, number);
               });
}

// The shares that are recorded stay usable, and no others.
void QuotaShares::OnRecordRefused(Micros now, size_t bytes) {
  write_at_ = now + kWriteInterval;
  refused_bytes_ = bytes;
  ledger_->DiscardChanges();
  outbox()->Log(LogLine::Level::kError,
                "the quota record of " + std::to_string(settings().teams.size()) +
                    " teams, of at most " + std::to_string(bytes) +
                    " bytes, can't be written within the state service's limits: this cell keeps "
                    "the shares on record");
}

void QuotaShares::OnRecordWritten(Micros now, uint64_t number) {
  write_at_ = now + kWriteInterval;
  ledger_->OnWritten(number);
  ApplyUsableQuota();
  send_at_ = now;  // the other cells wait for the changes that are durable now
}

std::string QuotaShares::Summary() const {
  if (is_single_cell()) return "";
  return ledger_->restricted_to_floor_reason().empty()
             ? "; cells without a response " +
                   std::to_string(ledger_->CellsWithoutResponse().size())
             : "; quota restricted to the floor share";
}

}  // namespace badgershore
