#include "core/leader/quota_reservations.h"

#include "core/leader/machine_table.h"
#include "core/leader/quota_checker.h"
#include "core/leader/runtime_forecast.h"

namespace badgershore {
namespace {

// A forecast looks at the tasks on all machines.
constexpr Micros kForecastInterval = Seconds(1);

}  // namespace

QuotaReservations::QuotaReservations(const LeaderContext* context)
    : LeaderComponent(context), teams_(settings().teams.size()) {}

void QuotaReservations::Reserve(const Job& gang, int members) {
  if (!quota_checker().IsLimited(gang.team)) return;
  TeamReservations& team = teams_[gang.team];
  const auto priority = static_cast<size_t>(gang.spec.priority);
  const Resources need = gang.spec.need.Times(members);
  if (team.total[priority] == Resources{}) team.first[priority] = need;
  team.total[priority] = team.total[priority] + need;
}

void QuotaReservations::ReserveForWaiting(Micros now, const Job& gang) {
  if (!quota_checker().IsLimited(gang.team)) return;
  if (teams_[gang.team].hold_period.Renew(now, MaxHold(now, gang, options().age_limit)))
    Reserve(gang, gang.remaining());
}

void QuotaReservations::ReserveForPlacement(const Job& gang, int members) {
  Reserve(gang, members);
}

bool QuotaReservations::AllowsSoon(Micros now, const Job& gang) {
  if (!quota_checker().IsLimited(gang.team)) return true;
  if (now >= next_forecast_at_) ForecastEnds(now);
  const Resources missing = quota_checker().Shortfall(gang, gang.remaining());
  const bool aged = MaxHold(now, gang, options().age_limit) == HoldPeriod::kMaxAgedDuration;
  const Resources& ending = aged ? teams_[gang.team].ending_later : teams_[gang.team].ending_soon;
  return missing.cpu <= ending.cpu && missing.gpu <= ending.gpu;
}

void QuotaReservations::ForecastEnds(Micros now) {
  next_forecast_at_ = now + kForecastInterval;
  for (TeamReservations& team : teams_) team.ending_soon = team.ending_later = {};
  for (const auto& [id, machine] : machine_table().machines()) {
    for (const auto& [key, allocation] : machine->allocations) {
      if (allocation.exited()) continue;
      const Micros remainder = ExpectedRemainder(now, allocation);
      TeamReservations& team = teams_[allocation.team];
      if (remainder <= HoldPeriod::kMaxDuration) {
        team.ending_soon = team.ending_soon + allocation.need;
      }
      if (remainder <= HoldPeriod::kMaxAgedDuration) {
        team.ending_later = team.ending_later + allocation.need;
      }
    }
  }
}

void QuotaReservations::Clear() {
  for (TeamReservations& team : teams_) team.total = team.first = {};
}

Resources QuotaReservations::Reserved(int team) const {
  Resources reserved;
  for (const Resources& total : teams_[team].total) reserved = reserved + total;
  return reserved;
}

Resources QuotaReservations::ReservedBefore(const Job& job) const {
  const TeamReservations& team = teams_[job.team];
  const auto own = static_cast<size_t>(job.spec.priority);
  Resources reserved;
  // A starved job may use quota that gangs of higher priority have reserved but can't use yet;
  // otherwise it would stay unused. Its tasks are preempted when the gang can start.
  for (size_t higher = 0; higher < own && !job.starved; ++higher) {
    reserved = reserved + team.total[higher];
  }
  // An array waits for only one gang of its own priority, so that a continuous stream of gangs
  // doesn't starve it.
  return reserved + (job.IsGang() ? team.total : team.first)[own];
}

}  // namespace badgershore
