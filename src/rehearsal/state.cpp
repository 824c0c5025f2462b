// The state service of a cell: the production state machine, with an emulated disk and outages.
#include <algorithm>

#include "rehearsal/world.h"
#include "wire/store_messages.h"

namespace badgershore::rehearsal {

void World::ServeState(uint64_t id, const wire::Call& call) {
  if (!state_) return Respond(id, kNotSent, "");
  wire::StoreCall parsed = wire::ParseStoreCall(call.method, call.target, call.body);
  if (parsed.status != 0) return Respond(id, parsed.status, "{}");
  if (RefusedUntil(id) > now_) return Respond(id, 503, R"({"error":"not for you"})");
  if (state_down_) return Respond(id, 503, R"({"error":"outage"})");
  const bool commit = std::holds_alternative<store::CompareAndSwapRequest>(parsed.request);
  const Micros late = commit ? distortions_.WriteDelay(&clock_) : Micros{};
  if (late.count > 0) {
    return Later(now_ + late, [this, request = parsed.request] {
      if (state_) AskState(0, request);
    });
  }
  if (commit && Chance() < late_share_) {  // applied long after the request has timed out
    return Later(late_until_ + Between(1, 60), [this, request = parsed.request] {
      if (state_) AskState(0, request);
    });
  }
  if (commit && Chance() < mute_share_) id = 0;  // applied without a response
  AskState(id, parsed.request);
}

Micros World::RefusedUntil(uint64_t id) const {
  auto it = pending_.find(id);
  return it != pending_.end() && IsNode(it->second.from)
             ? nodes_[NodeIndex(it->second.from)].refused_until
             : Micros{};
}

void World::AskState(uint64_t id, const store::Request& request) {
  const store::RequestId token = ++next_state_token_;
  state_calls_[token] = {id, request};
  state_->Submit(now_, token, request);
  PumpState();
}

void World::PumpState() {
  store::StateMachine::Effects out = state_->TakeEffects();
  for (auto& [token, answer] : out.responses) {
    auto it = state_calls_.find(token);
    if (it == state_calls_.end()) continue;
    wire::StoreAnswer a = wire::FormatStoreAnswer(it->second.second, answer);
    // A watch that was open when the refusal began is answered when it ends.
    const Micros refused = RefusedUntil(it->second.first);
    if (a.status != 0 && refused > now_) {
      Later(refused, [this, id = it->second.first, a] { Respond(id, a.status, a.body); });
    } else if (a.status != 0) {
      Respond(it->second.first, a.status, std::move(a.body));
    }
    state_calls_.erase(it);
  }
  if (out.write) {
    writing_ = std::move(out.write);
    Later(now_ + Between(0.0005, 0.004), [this, life = state_life_] {
      if (life != state_life_ || !writing_) return;
      const uint64_t batch = std::exchange(writing_, std::nullopt)->id;
      state_->OnWriteCompleted(
          now_, batch, disk_full_ ? store::WriteOutcome::kAbsent : store::WriteOutcome::kDurable);
      PumpState();
    });
  }
  const Micros next = std::max(state_->NextDeadline(), now_ + Millis(1));
  if (next >= state_armed_) return;
  state_armed_ = next;
  Later(next, [this, life = state_life_, next] {
    if (life != state_life_) return;
    if (state_armed_ == next) state_armed_ = kNever;
    // Leases don't expire in an outage and are renewed when it ends.
    if (!state_down_) state_->Tick(now_);
    PumpState();
  });
}

void World::StartState() {
  store::Limits limits;
  limits.requests_per_s = scenario_.site.state_rps;
  limits.changes_per_s = scenario_.site.state_write_rps;
  limits.value_bytes = static_cast<size_t>(scenario_.site.state_value_kb * 1024);
  limits.commit_changes = static_cast<size_t>(scenario_.site.state_txn_ops);
  state_ = std::make_unique<store::StateMachine>(limits, std::move(disk_), now_);
  PumpState();
}

void World::RestartState(Micros span) {
  if (outside_) return outside_->RestartState(span);
  if (!state_) return;
  disk_ = state_->state();
  // The write in progress may or may not have reached the disk.
  if (writing_ && Chance() < 0.5) store::Apply(*writing_, &disk_);
  writing_.reset();
  state_.reset();
  ++state_life_;
  state_armed_ = kNever;
  for (auto& [token, call] : state_calls_) {
    Later(now_ + Millis(1), [this, id = call.first] { Finish(id, kNoAnswer, ""); });
  }
  state_calls_.clear();
  Later(now_ + span, [this] { StartState(); });
}

// An operator restores an old backup; all controllers are killed and restarted.
void World::RestoreState() {
  RestartState(Millis(500));
  disk_ = old_disk_;
  for (size_t i = 0; i < nodes_.size(); ++i) KillNode(i, Between(2, 4));
}

}  // namespace badgershore::rehearsal
