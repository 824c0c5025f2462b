#include "agent/core/agent.h"

#include <algorithm>

namespace badgershore::agent {
namespace {

constexpr Micros kLeastGap = Millis(500);
constexpr Micros kRetry = Seconds(1);

}  // namespace

Agent::Agent(Settings settings, uint64_t jitter, Micros now)
    : settings_(std::move(settings)),
      jitter_(jitter | 1),
      lease_end_(now + settings_.lease),
      sent_at_(now - kLeastGap),
      report_at_(now) {
  at_ = jitter_ / 2 % settings_.controllers.size();
}

Resources Agent::Used() const {
  Resources used;
  for (const auto& [key, held] : tasks_) {
    if (held.state != TaskPhase::kExited && held.spec) used = used + held.spec->need;
  }
  return used;
}

bool Agent::ImageWanted(const std::string& image) const {
  return std::any_of(tasks_.begin(), tasks_.end(), [&](const auto& t) {
    return t.second.state == TaskPhase::kFetchingImage && t.second.spec &&
           t.second.spec->image == image;
  });
}

void Agent::Exit(const TaskKey& key, Held* held, ExitReason cause, bool saved) {
  const bool fetched = held->state == TaskPhase::kFetchingImage && held->spec;
  held->state = TaskPhase::kExited;
  held->cause = cause;
  held->saved = saved;
  held->waits_until = kNever;
  if (std::exchange(held->launched, false)) Say(Action::Kind::kKill).task = key;
  if (fetched) {
    auto image = images_.find(held->spec->image);
    if (image != images_.end() && !image->second && !ImageWanted(image->first)) {
      Say(Action::Kind::kGiveUp).text = image->first;
      images_.erase(image);
    }
  }
  Changed();
}

void Agent::Start(Micros, const Command& order) {
  const TaskKey key{order.ref, order.attempt};
  if (tasks_.contains(key)) return;  // in any state, including refused and exited tasks
  Held& held = tasks_[key];
  Changed();
  for (auto it = tasks_.lower_bound({order.ref, 0});
       it != tasks_.end() && it->first.ref == order.ref; ++it) {
    if (it->first == key || it->second.state == TaskPhase::kExited) continue;
    return Exit(key, &held, ExitReason::kDuplicateTask, false);
  }
  Say(Action::Kind::kDescribe).text = order.ref.job;
}

void Agent::OnDescription(Micros now, const std::string& job, std::optional<JobSpec> spec) {
  for (auto& [key, held] : tasks_) {
    if (key.ref.job != job || held.spec || held.state != TaskPhase::kFetchingImage) continue;
    if (!spec || key.ref.task >= spec->tasks) {
      Exit(key, &held, ExitReason::kUnknownTask, false);
      continue;
    }
    const Resources room = settings_.size - Used();
    held.spec = spec;
    if (!spec->need.Fits(room)) {
      // A refused task uses no resources and has started no image fetch, which Exit() could cancel.
      held.state = TaskPhase::kExited;
      held.cause = ExitReason::kInsufficientResources;
      Changed();
      continue;
    }
    Admit(now, key, &held);
  }
}

void Agent::Admit(Micros now, const TaskKey& key, Held* held) {
  auto image = images_.find(held->spec->image);
  if (image != images_.end() && image->second) return Launch(now, key, held);
  if (image != images_.end()) return;  // being fetched for another task
  images_[held->spec->image] = false;
  Action& fetch = Say(Action::Kind::kFetch);
  fetch.text = held->spec->image;
  fetch.gb = held->spec->image_gb;
}

void Agent::Launch(Micros now, const TaskKey& key, Held* held) {
  const bool gang = held->spec->kind == JobKind::kGang;
  held->state = gang ? TaskPhase::kWaitingForGang : TaskPhase::kRunning;
  if (gang) held->waits_until = now + settings_.gang_wait;
  held->launched = true;
  Say(Action::Kind::kLaunch).task = key;
  Changed();
}

void Agent::OnImage(Micros now, const std::string& image) {
  auto it = images_.find(image);
  if (it == images_.end()) return;
  it->second = true;
  for (auto& [key, held] : tasks_) {
    if (held.state == TaskPhase::kFetchingImage && held.spec && held.spec->image == image) {
      Launch(now, key, &held);
    }
  }
}

void Agent::OnGangComplete(Micros, const TaskKey& task) {
  auto it = tasks_.find(task);
  if (it == tasks_.end() || it->second.state != TaskPhase::kWaitingForGang) return;
  it->second.state = TaskPhase::kRunning;
  it->second.waits_until = kNever;
  Changed();
}

void Agent::OnExit(Micros, const TaskKey& task, ExitReason cause, bool saved) {
  auto it = tasks_.find(task);
  if (it == tasks_.end() || it->second.state == TaskPhase::kExited) return;
  it->second.launched = false;  // it has exited already
  Exit(task, &it->second, cause, saved);
}

void Agent::Halt(Micros, const Command& order) {
  const TaskKey key{order.ref, order.attempt};
  auto it = tasks_.find(key);
  if (it == tasks_.end() || it->second.state == TaskPhase::kExited) return;
  Held& held = it->second;
  const bool can_save = held.spec && held.spec->checkpoint_interval > Micros{};
  if (held.state == TaskPhase::kCheckpointing && order.grace_period > Micros{})
    return;  // in progress
  if (held.state == TaskPhase::kRunning && can_save &&
      order.grace_period >= held.spec->checkpoint_duration) {
    held.state = TaskPhase::kCheckpointing;
    Say(Action::Kind::kSave).task = key;
    return Changed();
  }
  Exit(key, &held, ExitReason::kStopped, false);
}

void Agent::Obey(Micros now, const std::vector<Command>& orders) {
  for (const Command& order : orders) {
    switch (order.verb) {
      case Command::Verb::kStart:
        Start(now, order);
        break;
      case Command::Verb::kStop:
        Halt(now, order);
        break;
      case Command::Verb::kForget: {
        auto it = tasks_.find({order.ref, order.attempt});
        if (it == tasks_.end() || it->second.state != TaskPhase::kExited) break;
        tasks_.erase(it);
        Changed();
      }
    }
  }
}

void Agent::SeeToken(Micros now, uint64_t fencing_token) {
  if (fencing_token <= fencing_token_) return;
  fencing_token_ = fencing_token;
  if (now < token_change_from_) return;
  token_change_from_ = now + settings_.lease.Scaled(0.5);
  Changed();
}

int Agent::OnDirect(Micros now, uint64_t fencing_token, uint64_t session,
                    const std::vector<Command>& orders) {
  EndWhatIsDue(now);
  if (fencing_token < fencing_token_ || session != session_) return 409;
  SeeToken(now, fencing_token);
  Obey(now, orders);
  return 200;
}

Heartbeat Agent::Status() {
  Heartbeat r;
  r.machine = settings_.machine.id;
  r.endpoint = settings_.machine.endpoint;
  r.type = settings_.machine.type;
  r.zone = settings_.machine.zone;
  r.spot = settings_.machine.spot;
  r.agent_epoch = session_;
  r.sequence = ++sequence_;
  r.fencing_token = fencing_token_;
  for (const auto& [key, held] : tasks_) {
    r.tasks.push_back({key.ref, key.attempt, held.state, held.cause, held.saved});
  }
  return r;
}

void Agent::SetNotice(Micros now, std::optional<Micros> left) {
  notice_at_ = left ? std::optional<Micros>(now + *left) : std::nullopt;
  Changed();
}

void Agent::SendReport(Micros now) {
  reporting_ = true;
  changed_ = false;
  sent_at_ = now;
  reported_session_ = session_;
  Action& c = Say(Action::Kind::kReport);
  c.report_id = ++report_id_;
  c.controller = at_;
  c.report = Status();
  if (notice_at_) c.report.preemption_notice = std::max(Micros{}, *notice_at_ - now);
}

// Sets the time of the next heartbeat to the interval with a jitter of up to 25%.
void Agent::Next(Micros) {
  jitter_ = jitter_ * 6364136223846793005ULL + 1442695040888963407ULL;
  const double share = 0.75 + 0.5 * static_cast<double>(jitter_ >> 40) / (1 << 24);
  report_at_ = sent_at_ + std::max(kLeastGap, settings_.report_every.Scaled(share));
}

void Agent::OnAnswer(Micros now, uint64_t report_id, const HeartbeatResponse& answer) {
  if (!reporting_ || report_id != report_id_) return;
  // Expired tasks end first, but no heartbeat is sent before the response's commands are executed:
  // controllers take a heartbeat without a started task as proof that the start never arrived.
  EndWhatIsDue(now);
  reporting_ = false;
  Next(now);
  Heed(now, answer);
  Tick(now);
}

void Agent::Heed(Micros now, const HeartbeatResponse& answer) {
  if (answer.status == 200) {
    // A response with a lower token is ignored and does not renew the lease, but the agent stays
    // with this controller.
    if (reported_session_ != session_ || answer.fencing_token < fencing_token_ ||
        answer.fencing_token == 0)
      return;
    lease_end_ = std::max(lease_end_, sent_at_ + settings_.lease);
    SeeToken(now, answer.fencing_token);
    return Obey(now, answer.commands);
  }
  const auto& names = settings_.controllers;
  const auto named = std::find(names.begin(), names.end(), answer.leader);
  if (answer.status == 421 && named != names.end() &&
      static_cast<size_t>(named - names.begin()) != at_) {
    at_ = static_cast<size_t>(named - names.begin());
    report_at_ = std::max(now, sent_at_ + kLeastGap);
    return;
  }
  at_ = (at_ + 1) % names.size();
  hold_until_ = report_at_ = now + kRetry;
}

void Agent::NextSession(Micros now) {
  for (auto& [key, held] : tasks_) {
    if (held.state != TaskPhase::kExited) Exit(key, &held, ExitReason::kStopped, false);
  }
  tasks_.clear();
  ++session_;
  lease_end_ = now + settings_.lease;
  Changed();
}

void Agent::EndWhatIsDue(Micros now) {
  if (now > lease_end_) NextSession(now);
  for (auto& [key, held] : tasks_) {
    if (held.waits_until <= now) Exit(key, &held, ExitReason::kGangIncomplete, false);
  }
}

// A change is reported immediately, but not before the minimum gap after the previous heartbeat and
// not before the retry delay after a controller that did not respond.
Micros Agent::ReportDue() const {
  return changed_ ? std::min(report_at_, std::max(sent_at_ + kLeastGap, hold_until_)) : report_at_;
}

void Agent::Tick(Micros now) {
  EndWhatIsDue(now);
  if (!reporting_ && now >= ReportDue()) SendReport(now);
}

Micros Agent::NextDeadline() const {
  Micros next = lease_end_ + Micros{1};
  if (!reporting_) next = std::min(next, ReportDue());
  for (const auto& [key, held] : tasks_) next = std::min(next, held.waits_until);
  return next;
}

}  // namespace badgershore::agent
