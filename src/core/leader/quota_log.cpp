#include "core/leader/quota_log.h"

#include <utility>

#include "core/leader/machine_table.h"
#include "core/leader/quota_checker.h"
#include "core/leader/reconciler.h"
#include "core/leader/usage_accounting.h"

namespace badgershore {
namespace {

constexpr Micros kLineInterval = Seconds(1);
constexpr int kMaxMachinesInLine = 5;
constexpr int kMaxTeamsInLine = 10;

std::string TaskName(const TaskRef& ref) { return ref.job + "/" + std::to_string(ref.task); }

// The first task on the machine whose team is unknown; empty if there is none.
std::string FirstUnknownTask(const Machine& machine) {
  for (const auto& [key, allocation] : machine.allocations) {
    if (allocation.team < 0 && !allocation.exited()) return TaskName(allocation.ref);
  }
  return "";
}

}  // namespace

bool QuotaLog::IsUseUncertain() const {
  return usage_accounting().IsUncertainUseUnbounded() ||
         usage_accounting().uncertain_use() != Resources{} ||
         usage_accounting().machines_with_unknown_tasks() > 0;
}

void QuotaLog::RecordPlacement(const Job& job, int task, const Machine& machine) {
  if (!quota_checker().IsLimited(job.team) || !IsUseUncertain()) return;
  ++uncertain_placements_;
  Placements& placements = placements_[job.team];
  if (placements.tasks++ > 0) return;
  placements.first = TaskName({job.spec.id, task}) + " on " + machine.id;
}

void QuotaLog::Tick(Micros now) {
  uncertain_since_last_line_ = uncertain_since_last_line_ || IsUseUncertain();
  if (!uncertain_since_last_line_ || now < next_line_at_) return;
  next_line_at_ = now + kLineInterval;
  uncertain_since_last_line_ = false;
  std::string line = DescribeUncertainUse() + DescribePlacements();
  placements_.clear();
  if (line == last_line_) return;
  outbox()->Info(line);
  last_line_ = std::move(line);
}

std::string QuotaLog::DescribeUncertainUse() const {
  std::string out = "uncertain use: " +
                    (usage_accounting().IsUncertainUseUnbounded()
                         ? "unbounded"
                         : FormatCores(usage_accounting().uncertain_use().cpu) + " cores") +
                    ", " + std::to_string(reconciler().unreconciled().size()) +
                    " machines unreconciled, " +
                    std::to_string(usage_accounting().machines_with_unknown_tasks()) +
                    " with tasks of unknown jobs";
  int listed = 0;
  for (const auto& [id, machine] : machine_table().machines()) {
    if (listed >= kMaxMachinesInLine) break;
    if (machine->unknown_tasks == 0) continue;
    out += (listed++ == 0 ? ": " : ", ") + id + " " + FirstUnknownTask(*machine);
  }
  return out;
}

std::string QuotaLog::DescribePlacements() const {
  std::string out;
  int listed = 0;
  for (const auto& [team, placements] : placements_) {
    if (listed++ >= kMaxTeamsInLine) break;
    out += "; " + std::to_string(placements.tasks) + " tasks placed, first " + placements.first +
           ", " + quota_checker().Describe(team);
  }
  return out;
}

}  // namespace badgershore
