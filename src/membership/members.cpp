#include "membership/members.h"

#include <algorithm>
#include <cmath>

namespace badgershore::membership {
namespace {

constexpr int kMaxMissedProbes = 7;
constexpr int kIsolatedIntervals = 4;
constexpr int kPausedIntervals = 2;  // more than this between two ticks: the process was paused
// Probe intervals until a suspicion is confirmed: the maximum if only one member suspects, the
// minimum if all members do that could confirm it.
constexpr double kMaxConfirmIntervals = 6;
constexpr double kMinConfirmIntervals = 2;
constexpr int kGossipFactor = 3;  // an update is sent this many times log2 of the member count

}  // namespace

Members::Members(Settings settings, uint64_t incarnation, uint64_t seed)
    : settings_(std::move(settings)), incarnation_(incarnation), random_(seed) {
  for (const std::string& member : settings_.others) views_[member];
  probe_order_ = settings_.others;
  std::shuffle(probe_order_.begin(), probe_order_.end(), random_);
}

const Members::View* Members::Find(const std::string& member) const {
  auto it = views_.find(member);
  return it == views_.end() ? nullptr : &it->second;
}

void Members::SetReachability(bool state_service_reachable, bool receives_heartbeats) {
  state_service_reachable_ = state_service_reachable;
  receives_heartbeats_ = receives_heartbeats;
}

bool Members::IsIsolated(Micros now) const {
  return last_tick_at_.count >= 0 && !probe_order_.empty() &&
         now - last_response_at_ >
             settings_.probe_interval.Scaled(kIsolatedIntervals * health_multiplier());
}

bool Members::IsSuspicionConfirmed(Micros now, const std::string& member) const {
  const View* view = Find(member);
  if (!view || view->state != State::kSuspect) return false;
  const double possible_suspecters =
      static_cast<double>(std::max<size_t>(1, settings_.others.size() - 1));
  const auto suspecters = static_cast<double>(view->suspected_by.size());
  const double share = std::min(1.0, std::log(suspecters) / std::log(possible_suspecters + 1));
  const double intervals =
      kMaxConfirmIntervals - (kMaxConfirmIntervals - kMinConfirmIntervals) * std::max(0.0, share);
  return now - view->state_since >= ScaledByHealth(settings_.probe_interval).Scaled(intervals);
}

// Replaces queued updates that the new one makes obsolete.
void Members::QueueGossip(const Update& update) {
  gossip_.erase(std::remove_if(gossip_.begin(), gossip_.end(),
                               [&](const QueuedUpdate& queued) {
                                 const Update& old = queued.update;
                                 return old.member == update.member &&
                                        (old.incarnation < update.incarnation ||
                                         old.state != update.state ||
                                         old.suspected_by == update.suspected_by);
                               }),
                gossip_.end());
  gossip_.push_back({update, 0});
}

void Members::AddGossip(Message* message) {
  // A suspected member gets the suspicion of it first, so that it can refute it.
  auto view = views_.find(message->to);
  if (view != views_.end() && view->second.state == State::kSuspect) {
    for (const std::string& by : view->second.suspected_by) {
      message->gossip.push_back({message->to, State::kSuspect, view->second.incarnation, by});
    }
  }
  std::stable_sort(
      gossip_.begin(), gossip_.end(),
      [](const QueuedUpdate& a, const QueuedUpdate& b) { return a.times_sent < b.times_sent; });
  for (QueuedUpdate& queued : gossip_) {
    if (static_cast<int>(message->gossip.size()) >= settings_.max_updates_per_message) break;
    message->gossip.push_back(queued.update);
    ++queued.times_sent;
  }
  const int max_times =
      kGossipFactor * static_cast<int>(std::ceil(std::log2(settings_.others.size() + 2)));
  gossip_.erase(std::remove_if(gossip_.begin(), gossip_.end(),
                               [max_times](const QueuedUpdate& queued) {
                                 return queued.times_sent >= max_times;
                               }),
                gossip_.end());
}

void Members::Send(Message::Kind kind, const std::string& to, uint64_t number,
                   const std::string& target) {
  Message message;
  message.kind = kind;
  message.from = settings_.self;
  message.to = to;
  message.incarnation = incarnation_;
  message.number = number;
  message.target = target;
  message.state_service_reachable = state_service_reachable_;
  message.receives_heartbeats = receives_heartbeats_;
  AddGossip(&message);
  outgoing_.push_back(std::move(message));
}

// Handles an update about this process or an earlier incarnation of it.
void Members::Refute(const Update& update) {
  if (update.state == State::kAlive || update.incarnation < incarnation_ || left_) return;
  incarnation_ = update.incarnation + 1;
  QueueGossip({settings_.self, State::kAlive, incarnation_, ""});
}

void Members::Apply(Micros now, const Update& update) {
  if (update.member == settings_.self) return Refute(update);
  auto it = views_.find(update.member);
  if (it == views_.end() || update.incarnation < it->second.incarnation) return;
  View& view = it->second;
  if (update.incarnation > view.incarnation) {
    view.incarnation = update.incarnation;
    if (view.state != State::kAlive) view.state_since = now;
    view.state = State::kAlive;
    view.suspected_by.clear();
  } else if (view.state == State::kLeft || update.state == State::kAlive) {
    return;  // nothing new about this incarnation
  }
  if (update.state == State::kLeft) {
    view.state = State::kLeft;
    view.state_since = now;
    view.suspected_by.clear();
  } else if (update.state == State::kSuspect) {
    if (!view.suspected_by.insert(update.suspected_by).second) return;
    if (view.state != State::kSuspect) {
      view.state = State::kSuspect;
      view.state_since = now;
    }
  }
  QueueGossip(update);
}

void Members::Leave(Micros) {
  left_ = true;
  QueueGossip({settings_.self, State::kLeft, incarnation_, ""});
  for (const std::string& member : settings_.others) {
    Send(Message::Kind::kPing, member, ++last_number_, "");
  }
}

void Members::OnMessage(Micros now, const Message& message) {
  auto it = views_.find(message.from);
  if (it == views_.end() || message.to != settings_.self) return;
  View& view = it->second;
  // Sent by an ended process, or before a refutation.
  if (message.incarnation < view.incarnation) return;
  if (message.incarnation > view.incarnation) {
    Apply(now, {message.from, State::kAlive, message.incarnation, ""});
  }
  view.heard_at = now;
  view.state_service_reachable = message.state_service_reachable;
  view.receives_heartbeats = message.receives_heartbeats;
  for (const Update& update : message.gossip) Apply(now, update);
  switch (message.kind) {
    case Message::Kind::kPing:
      return Send(Message::Kind::kAck, message.from, message.number, "");
    case Message::Kind::kPingRequest:
      indirect_probes_[++last_number_] = {message.from, message.target, message.number,
                                          now + ScaledByHealth(settings_.probe_timeout)};
      return Send(Message::Kind::kPing, message.target, last_number_, "");
    case Message::Kind::kAck:
      last_response_at_ = now;
      return OnAck(message);
    case Message::Kind::kNack:
      last_response_at_ = now;
      if (!probe_.done && message.number == probe_.number) ++probe_.nacks;
      return;
  }
}

void Members::OnAck(const Message& message) {
  auto indirect = indirect_probes_.find(message.number);
  if (indirect != indirect_probes_.end()) {
    Send(Message::Kind::kAck, indirect->second.requester, indirect->second.number, message.from);
    indirect_probes_.erase(indirect);
  } else if (!probe_.done && message.number == probe_.number) {
    probe_.done = true;
    missed_probes_ = std::max(0, missed_probes_ - 1);
  }
}

void Members::StartProbe(Micros now) {
  for (size_t n = 0; n < probe_order_.size(); ++n) {
    if (probe_index_ >= probe_order_.size()) {
      probe_index_ = 0;
      std::shuffle(probe_order_.begin(), probe_order_.end(), random_);
    }
    const std::string& target = probe_order_[probe_index_++];
    if (views_.at(target).state == State::kLeft) continue;
    probe_ = {++last_number_, target, now, false, 0, false};
    Send(Message::Kind::kPing, target, probe_.number, "");
    return;
  }
}

// The interval is over. A target that did not respond is suspected if other members could not reach
// it either. If those did not respond either, the fault may be this member's own.
void Members::FinishProbe(Micros now) {
  if (probe_.done) return;
  probe_.done = true;
  missed_probes_ = std::min(kMaxMissedProbes, missed_probes_ + 1);
  if (settings_.others.size() > 1 && probe_.nacks == 0) return;
  const View& view = views_.at(probe_.target);
  if (view.state == State::kLeft) return;
  Apply(now, {probe_.target, State::kSuspect, view.incarnation, settings_.self});
}

void Members::SendIndirectProbes(Micros now) {
  if (probe_.done || probe_.indirect_sent ||
      now - probe_.sent_at < ScaledByHealth(settings_.probe_timeout)) {
    return;
  }
  probe_.indirect_sent = true;
  std::vector<std::string> helpers;
  for (const std::string& member : settings_.others) {
    if (member != probe_.target && views_.at(member).state == State::kAlive) {
      helpers.push_back(member);
    }
  }
  std::shuffle(helpers.begin(), helpers.end(), random_);
  helpers.resize(std::min(helpers.size(), static_cast<size_t>(settings_.indirect_probes)));
  for (const std::string& member : helpers) {
    Send(Message::Kind::kPingRequest, member, probe_.number, probe_.target);
  }
}

void Members::ExpireIndirectProbes(Micros now) {
  for (auto it = indirect_probes_.begin(); it != indirect_probes_.end();) {
    const IndirectProbe& probe = it->second;
    if (now < probe.deadline) {
      ++it;
      continue;
    }
    Send(Message::Kind::kNack, probe.requester, probe.number, probe.target);
    it = indirect_probes_.erase(it);
  }
}

// Responses missing after a process pause prove nothing about the other members.
void Members::RecoverFromPause(Micros now) {
  probe_.done = true;
  indirect_probes_.clear();
  missed_probes_ = std::min(kMaxMissedProbes, missed_probes_ + 2);
  last_response_at_ = now;
  next_probe_at_ = now;
}

void Members::Tick(Micros now) {
  const bool first = last_tick_at_.count < 0;
  if (first) last_response_at_ = now;
  if (!first && now - last_tick_at_ > settings_.probe_interval.Scaled(kPausedIntervals)) {
    RecoverFromPause(now);
  }
  last_tick_at_ = now;
  if (left_) return;
  ExpireIndirectProbes(now);
  SendIndirectProbes(now);
  if (now < next_probe_at_) return;
  FinishProbe(now);
  // With poor local health, probes are sent less often because their outcome is less reliable.
  next_probe_at_ = now + ScaledByHealth(settings_.probe_interval);
  StartProbe(now);
}

}  // namespace badgershore::membership
