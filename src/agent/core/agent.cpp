#include "agent/core/agent.h"

#include <algorithm>

#include "core/model/message_size.h"

namespace badgershore::agent {
namespace {

constexpr Micros kMinHeartbeatGap = Millis(500);
constexpr Micros kRetryDelay = Seconds(1);

}  // namespace

Agent::Agent(Settings settings, uint64_t jitter, Micros now)
    : settings_(std::move(settings)),
      jitter_(jitter | 1),
      heartbeat_id_(jitter),
      lease_end_(now + settings_.lease),
      sent_at_(now - kMinHeartbeatGap),
      next_heartbeat_at_(now) {
  controller_index_ = jitter_ / 2 % settings_.controllers.size();
}

Resources Agent::UsedResources() const {
  Resources used;
  for (const auto& [key, entry] : tasks_) {
    if (entry.phase != TaskPhase::kExited && entry.spec) used = used + entry.spec->need;
  }
  return used;
}

Resources Agent::Free() const {
  Resources free = settings_.size - UsedResources();
  free.report = kReportedTasksBytes;
  for (const auto& [key, entry] : tasks_) free.report -= MaxReportedTaskBytes(key.ref.job);
  return free;
}

bool Agent::IsImageNeeded(const std::string& image) const {
  return std::any_of(tasks_.begin(), tasks_.end(), [&](const auto& t) {
    return t.second.phase == TaskPhase::kFetchingImage && t.second.spec &&
           t.second.spec->image == image;
  });
}

void Agent::MarkExited(const TaskKey& key, TaskEntry* entry, ExitReason exit_reason,
                       bool checkpointed) {
  const bool was_fetching = entry->phase == TaskPhase::kFetchingImage && entry->spec;
  entry->phase = TaskPhase::kExited;
  entry->exit_reason = exit_reason;
  entry->checkpointed = checkpointed;
  entry->gang_deadline = kNever;
  if (std::exchange(entry->launched, false)) AddAction(Action::Kind::kKill).task = key;
  if (was_fetching) {
    auto image = images_.find(entry->spec->image);
    if (image != images_.end() && !image->second && !IsImageNeeded(image->first)) {
      AddAction(Action::Kind::kCancelImageFetch).text = image->first;
      images_.erase(image);
    }
  }
  MarkChanged();
}

void Agent::StartTask(Micros, const Command& command) {
  const TaskKey key{command.ref, command.attempt};
  if (tasks_.contains(key)) return;  // in any state, including refused and exited tasks
  TaskEntry& entry = tasks_[key];
  MarkChanged();
  for (auto it = tasks_.lower_bound({command.ref, 0});
       it != tasks_.end() && it->first.ref == command.ref; ++it) {
    if (it->first == key || it->second.phase == TaskPhase::kExited) continue;
    return MarkExited(key, &entry, ExitReason::kDuplicateTask, false);
  }
  AddAction(Action::Kind::kFetchJobSpec).text = command.ref.job;
}

void Agent::OnJobSpec(Micros now, const std::string& job, std::optional<JobSpec> spec) {
  for (auto& [key, entry] : tasks_) {
    if (key.ref.job != job || entry.spec || entry.phase != TaskPhase::kFetchingImage) continue;
    if (!spec || key.ref.task >= spec->tasks) {
      MarkExited(key, &entry, ExitReason::kUnknownTask, false);
      continue;
    }
    const Resources free = settings_.size - UsedResources();
    entry.spec = spec;
    if (!spec->need.Fits(free)) {
      // A refused task uses no resources and has started no image fetch, which MarkExited() could
      // cancel.
      entry.phase = TaskPhase::kExited;
      entry.exit_reason = ExitReason::kInsufficientResources;
      MarkChanged();
      continue;
    }
    FetchImageOrLaunch(now, key, &entry);
  }
}

void Agent::FetchImageOrLaunch(Micros now, const TaskKey& key, TaskEntry* entry) {
  auto image = images_.find(entry->spec->image);
  if (image != images_.end() && image->second) return Launch(now, key, entry);
  if (image != images_.end()) return;  // being fetched for another task
  images_[entry->spec->image] = false;
  Action& fetch = AddAction(Action::Kind::kFetchImage);
  fetch.text = entry->spec->image;
  fetch.gb = entry->spec->image_gb;
}

void Agent::Launch(Micros now, const TaskKey& key, TaskEntry* entry) {
  const bool gang = entry->spec->kind == JobKind::kGang;
  entry->phase = gang ? TaskPhase::kWaitingForGang : TaskPhase::kRunning;
  if (gang) entry->gang_deadline = now + settings_.gang_wait;
  entry->launched = true;
  AddAction(Action::Kind::kLaunch).task = key;
  MarkChanged();
}

void Agent::OnImage(Micros now, const std::string& image) {
  auto it = images_.find(image);
  if (it == images_.end()) return;
  it->second = true;
  for (auto& [key, entry] : tasks_) {
    if (entry.phase == TaskPhase::kFetchingImage && entry.spec && entry.spec->image == image) {
      Launch(now, key, &entry);
    }
  }
}

void Agent::OnGangComplete(Micros, const TaskKey& task) {
  auto it = tasks_.find(task);
  if (it == tasks_.end() || it->second.phase != TaskPhase::kWaitingForGang) return;
  it->second.phase = TaskPhase::kRunning;
  it->second.gang_deadline = kNever;
  MarkChanged();
}

void Agent::OnExit(Micros, const TaskKey& task, ExitReason exit_reason, bool checkpointed) {
  auto it = tasks_.find(task);
  if (it == tasks_.end() || it->second.phase == TaskPhase::kExited) return;
  it->second.launched = false;  // it has exited already
  MarkExited(task, &it->second, exit_reason, checkpointed);
}

void Agent::StopTask(Micros, const Command& command) {
  const TaskKey key{command.ref, command.attempt};
  auto it = tasks_.find(key);
  if (it == tasks_.end() || it->second.phase == TaskPhase::kExited) return;
  TaskEntry& entry = it->second;
  const bool can_checkpoint = entry.spec && entry.spec->checkpoint_interval > Micros{};
  if (entry.phase == TaskPhase::kCheckpointing && command.grace_period > Micros{})
    return;  // in progress
  if (entry.phase == TaskPhase::kRunning && can_checkpoint &&
      command.grace_period >= entry.spec->checkpoint_duration) {
    entry.phase = TaskPhase::kCheckpointing;
    AddAction(Action::Kind::kSaveCheckpoint).task = key;
    return MarkChanged();
  }
  MarkExited(key, &entry, ExitReason::kStopped, false);
}

void Agent::ExecuteCommands(Micros now, const std::vector<Command>& commands) {
  for (const Command& command : commands) {
    switch (command.verb) {
      case Command::Verb::kStart:
        StartTask(now, command);
        break;
      case Command::Verb::kStop:
        StopTask(now, command);
        break;
      case Command::Verb::kForget: {
        auto it = tasks_.find({command.ref, command.attempt});
        if (it == tasks_.end() || it->second.phase != TaskPhase::kExited) break;
        tasks_.erase(it);
        MarkChanged();
      }
    }
  }
}

void Agent::ObserveFencingToken(Micros now, uint64_t fencing_token) {
  if (fencing_token <= fencing_token_) return;
  fencing_token_ = fencing_token;
  if (now < token_change_from_) return;
  token_change_from_ = now + settings_.lease.Scaled(0.5);
  MarkChanged();
}

int Agent::OnCommands(Micros now, uint64_t fencing_token, uint64_t epoch,
                      const std::vector<Command>& commands) {
  EndExpired(now);
  if (fencing_token < fencing_token_ || epoch != epoch_) return 409;
  ObserveFencingToken(now, fencing_token);
  ExecuteCommands(now, commands);
  return 200;
}

Heartbeat Agent::Status() {
  Heartbeat heartbeat;
  heartbeat.machine = settings_.machine.id;
  heartbeat.endpoint = settings_.machine.endpoint;
  heartbeat.type = settings_.machine.type;
  heartbeat.zone = settings_.machine.zone;
  heartbeat.spot = settings_.machine.spot;
  heartbeat.agent_epoch = epoch_;
  heartbeat.sequence = ++sequence_;
  heartbeat.fencing_token = fencing_token_;
  for (const auto& [key, entry] : tasks_) {
    heartbeat.tasks.push_back(
        {key.ref, key.attempt, entry.phase, entry.exit_reason, entry.checkpointed});
  }
  return heartbeat;
}

void Agent::SetPreemptionNotice(Micros now, std::optional<Micros> remaining) {
  preemption_at_ = remaining ? std::optional<Micros>(now + *remaining) : std::nullopt;
  MarkChanged();
}

void Agent::SendHeartbeat(Micros now) {
  heartbeat_in_flight_ = true;
  changed_ = false;
  sent_at_ = now;
  sent_epoch_ = epoch_;
  Action& action = AddAction(Action::Kind::kSendHeartbeat);
  action.report_id = ++heartbeat_id_;
  action.controller = controller_index_;
  action.report = Status();
  if (preemption_at_) action.report.preemption_notice = std::max(Micros{}, *preemption_at_ - now);
}

// Sets the time of the next heartbeat to the interval with a jitter of up to 25%.
void Agent::ScheduleNextHeartbeat(Micros) {
  jitter_ = jitter_ * 6364136223846793005ULL + 1442695040888963407ULL;
  const double share = 0.75 + 0.5 * static_cast<double>(jitter_ >> 40) / (1 << 24);
  next_heartbeat_at_ = sent_at_ + std::max(kMinHeartbeatGap, settings_.report_every.Scaled(share));
}

void Agent::OnAnswer(Micros now, uint64_t heartbeat_id, const HeartbeatResponse& response) {
  if (!heartbeat_in_flight_ || heartbeat_id != heartbeat_id_) return;
  // Expired tasks end first, but no heartbeat is sent before the response's commands are executed:
  // controllers take a heartbeat without a started task as proof that the start never arrived.
  EndExpired(now);
  heartbeat_in_flight_ = false;
  ScheduleNextHeartbeat(now);
  HandleResponse(now, response);
  Tick(now);
}

void Agent::HandleResponse(Micros now, const HeartbeatResponse& response) {
  if (response.status == 200) {
    // A response with a lower token is ignored and does not renew the lease, but the agent stays
    // with this controller.
    if (sent_epoch_ != epoch_ || response.fencing_token < fencing_token_ ||
        response.fencing_token == 0)
      return;
    lease_end_ = std::max(lease_end_, sent_at_ + settings_.lease);
    ObserveFencingToken(now, response.fencing_token);
    return ExecuteCommands(now, response.commands);
  }
  const auto& names = settings_.controllers;
  const auto leader = std::find(names.begin(), names.end(), response.leader);
  if (response.status == 421 && leader != names.end() &&
      static_cast<size_t>(leader - names.begin()) != controller_index_) {
    controller_index_ = static_cast<size_t>(leader - names.begin());
    next_heartbeat_at_ = std::max(now, sent_at_ + kMinHeartbeatGap);
    return;
  }
  controller_index_ = (controller_index_ + 1) % names.size();
  retry_at_ = next_heartbeat_at_ = now + kRetryDelay;
}

void Agent::StartNextEpoch(Micros now) {
  for (auto& [key, entry] : tasks_) {
    if (entry.phase != TaskPhase::kExited) MarkExited(key, &entry, ExitReason::kStopped, false);
  }
  tasks_.clear();
  ++epoch_;
  lease_end_ = now + settings_.lease;
  MarkChanged();
}

void Agent::EndExpired(Micros now) {
  if (now > lease_end_) StartNextEpoch(now);
  for (auto& [key, entry] : tasks_) {
    if (entry.gang_deadline <= now) MarkExited(key, &entry, ExitReason::kGangIncomplete, false);
  }
}

// A change is reported immediately, but not before the minimum gap after the previous heartbeat and
// not before the retry delay after a controller that did not respond.
Micros Agent::HeartbeatDue() const {
  return changed_ ? std::min(next_heartbeat_at_, std::max(sent_at_ + kMinHeartbeatGap, retry_at_))
                  : next_heartbeat_at_;
}

void Agent::Tick(Micros now) {
  EndExpired(now);
  if (!heartbeat_in_flight_ && now >= HeartbeatDue()) SendHeartbeat(now);
}

Micros Agent::NextDeadline() const {
  Micros next = lease_end_ + Micros{1};
  if (!heartbeat_in_flight_) next = std::min(next, HeartbeatDue());
  for (const auto& [key, entry] : tasks_) next = std::min(next, entry.gang_deadline);
  return next;
}

}  // namespace badgershore::agent
