#include "core/leader/quota_checker.h"

#include "core/leader/quota_reservations.h"
#include "core/leader/usage_accounting.h"

namespace badgershore {

QuotaChecker::QuotaChecker(const LeaderContext* context)
    : LeaderComponent(context), quotas_(settings().teams.size()) {
  for (int i = 0; i < quotas_.known_teams(); ++i) {
    const Team& team = settings().teams[static_cast<size_t>(i)];
    const Resources& limit = team.limit;
    quotas_[i].limit = {limit.cpu > 0 ? limit.cpu : limits::kUnlimited,
                        limit.gpu > 0 ? limit.gpu : limits::kUnlimited, 0};
    quotas_[i].guarantee = team.guarantee;
  }
}

int QuotaChecker::TeamIndex(const std::string& name) const {
  for (size_t i = 0; i < settings().teams.size(); ++i) {
    if (settings().teams[i].name == name) return static_cast<int>(i);
  }
  return -1;
}

void QuotaChecker::SetQuota(int team, const Resources& limit, const Resources& guarantee) {
  quotas_[team] = {limit, guarantee};
}

Resources QuotaChecker::UseWith(const Job& job, int tasks) const {
  return usage_accounting().Used(job.team) + usage_accounting().uncertain_use() +
         job.spec.need.Times(tasks) + quota_reservations().ReservedBefore(job);
}

bool QuotaChecker::Allows(const Job& job, int tasks) const {
  if (!IsLimited(job.team)) return true;
  if (usage_accounting().IsUncertainUseUnbounded()) return false;
  const Resources& limit = Limit(job.team);
  const Resources use = UseWith(job, tasks);
  return use.cpu <= limit.cpu && use.gpu <= limit.gpu;
}

Resources QuotaChecker::Shortfall(const Job& job, int tasks) const {
  if (!IsLimited(job.team)) return {};
  const Resources& limit = Limit(job.team);
  const Resources use = UseWith(job, tasks);
  return {std::max<int64_t>(0, use.cpu - limit.cpu), std::max<int64_t>(0, use.gpu - limit.gpu), 0};
}

bool QuotaChecker::AllowsAfterPreemption(const Job& job, int tasks) const {
  if (!IsLimited(job.team)) return true;
  Resources preemptible;
  for (size_t lower = static_cast<size_t>(job.spec.priority) + 1; lower < kPriorityCount; ++lower) {
    preemptible = preemptible + usage_accounting().PreemptibleUse(job.team, lower);
  }
  const Resources missing = Shortfall(job, tasks);
  return !usage_accounting().IsUncertainUseUnbounded() && missing.cpu <= preemptible.cpu &&
         missing.gpu <= preemptible.gpu;
}

int64_t QuotaChecker::RoomForGangs(int team, Priority priority) const {
  if (!IsLimited(team) || Limit(team).cpu >= limits::kUnlimited) return INT64_MAX;
  int64_t not_preemptible = usage_accounting().Used(team).cpu;
  for (size_t lower = static_cast<size_t>(priority) + 1; lower < kPriorityCount; ++lower) {
    not_preemptible -= usage_accounting().PreemptibleUse(team, lower).cpu;
  }
  return std::max<int64_t>(0, Limit(team).cpu - not_preemptible);
}

std::string QuotaChecker::Describe(int team) const {
  return "team " + settings().teams[static_cast<size_t>(team)].name + " uses " +
         FormatCores(usage_accounting().Used(team).cpu) + " of " + FormatCores(Limit(team).cpu) +
         " cores, reserved for gangs " + FormatCores(quota_reservations().Reserved(team).cpu) +
         ", uncertain " + FormatCores(usage_accounting().uncertain_use().cpu);
}

std::string QuotaChecker::Summary() const {
  std::string out;
  for (size_t i = 0; i < settings().teams.size(); ++i) {
    const int team = static_cast<int>(i);
    if (IsLimited(team)) out += "; " + Describe(team);
  }
  return out;
}

}  // namespace badgershore
