// The state service of a cell: the production state machine, with an emulated disk and outages.
#include <algorithm>

#include "rehearsal/world.h"
#include "wire/store_messages.h"

namespace badgershore::rehearsal {

void World::HandleStateRequest(uint64_t id, const wire::Call& call) {
  if (!state_) return Respond(id, kNotSent, "");
  wire::ParsedStoreRequest parsed = wire::ParseStoreRequest(call.method, call.target, call.body);
  if (parsed.status != 0) return Respond(id, parsed.status, "{}");
  if (StateRefusedUntil(id) > now_) return Respond(id, 503, R"({"error":"not for you"})");
  if (state_down_) return Respond(id, 503, R"({"error":"outage"})");
  const bool commit = std::holds_alternative<store::CompareAndSwapRequest>(parsed.request);
  const Micros write_delay = commit ? message_faults_.WriteDelay(&clock_) : Micros{};
  if (write_delay.count > 0) {
    return Schedule(now_ + write_delay, [this, request = parsed.request] {
      if (state_) SubmitStateRequest(0, request);
    });
  }
  if (commit &&
      RandomFraction() < delayed_write_share_) {  // applied long after the request has timed out
    return Schedule(delayed_writes_until_ + RandomDuration(1, 60),
                    [this, request = parsed.request] {
                      if (state_) SubmitStateRequest(0, request);
                    });
  }
  if (commit && RandomFraction() < lost_response_share_) id = 0;  // applied without a response
  SubmitStateRequest(id, parsed.request);
}

Micros World::StateRefusedUntil(uint64_t id) const {
  auto it = pending_requests_.find(id);
  return it != pending_requests_.end() && IsNode(it->second.from)
             ? nodes_[NodeIndex(it->second.from)].state_refused_until
             : Micros{};
}

void World::SubmitStateRequest(uint64_t id, const store::Request& request) {
  const store::RequestId token = ++next_state_token_;
  state_calls_[token] = {id, request};
  state_->Submit(now_, token, request);
  ProcessStateEffects();
}

void World::ProcessStateEffects() {
  store::StateMachine::Effects out = state_->TakeEffects();
  for (auto& [token, answer] : out.responses) {
    auto it = state_calls_.find(token);
    if (it == state_calls_.end()) continue;
    wire::StoreHttpResponse a = wire::FormatStoreResponse(it->second.second, answer);
    // A watch that was open when the refusal began is answered when it ends.
    const Micros refused = StateRefusedUntil(it->second.first);
    if (a.status != 0 && refused > now_) {
      Schedule(refused, [this, id = it->second.first, a] { Respond(id, a.status, a.body); });
    } else if (a.status != 0) {
      Respond(it->second.first, a.status, std::move(a.body));
    }
    state_calls_.erase(it);
  }
  if (out.write) {
    pending_write_ = std::move(out.write);
    Schedule(now_ + RandomDuration(0.0005, 0.004), [this, incarnation = state_incarnation_] {
      if (incarnation != state_incarnation_ || !pending_write_) return;
      const uint64_t batch = std::exchange(pending_write_, std::nullopt)->id;
      state_->OnWriteCompleted(
          now_, batch, disk_full_ ? store::WriteOutcome::kAbsent : store::WriteOutcome::kDurable);
      ProcessStateEffects();
    });
  }
  const Micros next = std::max(state_->NextDeadline(), now_ + Millis(1));
  if (next >= state_next_tick_) return;
  state_next_tick_ = next;
  Schedule(next, [this, incarnation = state_incarnation_, next] {
    if (incarnation != state_incarnation_) return;
    if (state_next_tick_ == next) state_next_tick_ = kNever;
    // Leases don't expire in an outage and are renewed when it ends.
    if (!state_down_) state_->Tick(now_);
    ProcessStateEffects();
  });
}

store::Limits World::StoreLimits() const {
  store::Limits limits;
  limits.requests_per_s = state_limits_.requests_per_s;
  limits.changes_per_s = state_limits_.changes_per_s;
  limits.value_bytes = state_limits_.ValueBytes();
  limits.commit_changes = static_cast<size_t>(state_limits_.mutations);
  return limits;
}

void World::StartState() {
  state_ = std::make_unique<store::StateMachine>(StoreLimits(), std::move(disk_), now_);
  ProcessStateEffects();
}

void World::RestartState(Micros span) {
  if (backend_) return backend_->RestartState(span);
  if (!state_) return;
  disk_ = state_->state();
  // The write in progress may or may not have reached the disk.
  if (pending_write_ && RandomFraction() < 0.5) store::Apply(*pending_write_, &disk_);
  pending_write_.reset();
  state_.reset();
  ++state_incarnation_;
  state_next_tick_ = kNever;
  for (auto& [token, call] : state_calls_) {
    Schedule(now_ + Millis(1), [this, id = call.first] { CompleteRequest(id, kNoAnswer, ""); });
  }
  state_calls_.clear();
  Schedule(now_ + span, [this] { StartState(); });
}

// An operator restores an old backup; all controllers are killed and restarted.
void World::RestoreStateBackup() {
  RestartState(Millis(500));
  disk_ = disk_backup_;
  for (size_t i = 0; i < nodes_.size(); ++i) KillNode(i, RandomDuration(2, 4));
}

}  // namespace badgershore::rehearsal
