#include "core/frontend/controller.h"

namespace badgershore {

Controller::Controller(PlatformSettings settings, Options options)
    : settings_(std::move(settings)), options_(std::move(options)) {
  int position = 0;
  for (const auto& m : settings_.members) position += m.name < settings_.member;
  Election::Callbacks callbacks;
  callbacks.won = [this](Micros now) {
    asker_.Info("leading in term " + std::to_string(election_->term()));
    LeaderContext context;
    context.asker = &asker_;
    context.settings = &settings_;
    context.options = &options_;
    context.election = election_.get();
    context.types = &types_;
    context.types_known = [this] { return TypesKnown(); };
    leader_ = std::make_unique<Leader>(std::move(context), now, time_of_day_ms_);
    leader_->Tick(now);
    note_at_ = now;  // the others hear of it at once
  };
  callbacks.lost = [this](Micros) {
    former_ = std::move(leader_);
    former_->RejectPending();
  };
  callbacks.control = [this](Micros now, const Entry& e) { OnControl(now, e); };
  election_ = std::make_unique<Election>(&asker_, settings_.member, position, options_.lease,
                                         std::move(callbacks));
  Frontend::Facts facts;
  facts.never_runs = [this](const JobSpec& s) { return NeverRuns(s); };
  facts.knows_types = [this] { return TypesKnown(); };
  facts.calls_off = [this](Micros now, const std::string& job) { CallOff(now, job, false); };
  facts.called_off = [this](Micros now, const std::string& job) { CallOff(now, job, true); };
  facts.digest = [this](const std::string& job) { return DigestOf(job); };
  frontend_ = std::make_unique<Frontend>(&asker_, std::move(facts));
}

bool Controller::TypesKnown() const {
  return type_count_ > 0 && static_cast<int>(types_.size()) >= type_count_;
}

void Controller::OnControl(Micros, const Entry& e) {
  if (e.deleted) return;
  if (const auto* type = std::get_if<MachineType>(&e.value)) {
    types_[type->name] = *type;
  } else if (const auto* count = std::get_if<TypeCountRecord>(&e.value)) {
    type_count_ = count->count;
  }
}

std::string Controller::NeverRuns(const JobSpec& spec) const {
  const Team* team = settings_.FindTeam(spec.team);
  if (!team) return "unknown team";
  const Resources all = spec.kind == JobKind::kArray ? spec.need : spec.need.Times(spec.tasks);
  // Where there are several cells, what others never give can't be gathered here.
  const double share =
      options_.cells.cells.empty() ? 1 : limits::Gatherable(LimitsSettings(options_.cells));
  const auto passes = [&](int64_t needs, int64_t limit) {
    return limit > 0 && static_cast<double>(needs) > static_cast<double>(limit) * share;
  };
  if (passes(all.cpu, team->limit.cpu) || passes(all.gpu, team->limit.gpu)) {
    return "more than the team's limit";
  }
  for (const auto& [name, type] : types_) {
    const auto& zones = type.zones.empty() ? settings_.zones : type.zones;
    for (const std::string& zone : zones) {
      if (Allows(spec, type, zone, false)) return "";
    }
  }
  return "a task fits no allowed machine type";
}

JobStatus Controller::DigestOf(const std::string& job) const {
  if (leader_) return leader_->Digest(job);
  auto it = digests_.find(job);
  return it == digests_.end() ? JobStatus{job, 0, 0} : it->second;
}

std::string Controller::LeaderName(Micros now) const {
  // The state service's word, or that of a peer that knows of a later term.
  uint64_t term = election_->seen_term();
  std::string leader = election_->leader();
  for (const auto& [name, peer] : peers_) {
    if (now - peer.heard_at > Seconds(3) || peer.note.leader.empty()) continue;
    if (peer.note.term > term || (peer.note.term == term && leader.empty())) {
      term = peer.note.term;
      leader = peer.note.leader;
    }
  }
  return leader == settings_.member ? "" : leader;
}

// Suspicion only prepares: whose turn it is to stand first, whom a leader names when it ends. What
// has run out of time is for the state service to say.
void Controller::WatchPeers(Micros now) {
  if (!members_) {
    membership::Settings s;
    s.self = settings_.member;
    uint64_t seed = 0;
    for (const char c : settings_.member) seed = seed * 131 + static_cast<unsigned char>(c);
    for (const auto& m : settings_.members) s.others.push_back(m.name);
    members_.emplace(std::move(s), static_cast<uint64_t>(time_of_day_ms_), seed);
  }
  members_->SetReach(now - state_ok_at_ < Seconds(2), now - checkin_at_ < Seconds(2));
  members_->Tick(now);
  for (auto& m : members_->Take()) asker_.out.membership_messages.push_back(std::move(m));
  for (const auto& m : settings_.members) {
    const bool firm = members_->Firm(now, m.name);
    if (firm && firm_.insert(m.name).second) {
      const auto& by = members_->Find(m.name)->by;
      asker_.Info("suspects " + m.name + ", as " + std::to_string(by.size()) + " do in all");
    } else if (!firm && members_->Find(m.name)->state == membership::State::kAlive &&
               firm_.erase(m.name) > 0) {
      asker_.Info(m.name + " is back");
    }
  }
  election_->SetPosition(Turn(now));
}

// How many go before this one when nobody leads: those who seem to be there and reach more.
int Controller::Turn(Micros now) const {
  const auto rank = [](bool doubtful, bool state_ok, bool hears, const std::string& name) {
    return std::make_tuple(doubtful, !state_ok, !hears, name);
  };
  const auto own = rank(members_->CutOff(now), now - state_ok_at_ < Seconds(2),
                        now - checkin_at_ < Seconds(2), settings_.member);
  int before = 0;
  for (const auto& m : settings_.members) {
    const membership::Members::View* v = members_->Find(m.name);
    const bool doubtful = v->state != membership::State::kAlive || v->heard_at.count < 0;
    before += rank(doubtful, v->state_ok, v->hears_workers, m.name) < own;
  }
  return before;
}

void Controller::OnMember(Micros now, const membership::Message& message) {
  if (!members_) return;
  members_->OnMessage(now, message);
  for (auto& m : members_->Take()) asker_.out.membership_messages.push_back(std::move(m));
}

// Of the peers heard of late: first those that reach the state service, then those that workers
// report to, then by name.
std::string Controller::Successor(Micros now) const {
  std::string best;
  auto least = std::make_tuple(true, true);
  for (const auto& [name, peer] : peers_) {
    if (now - peer.heard_at > Millis(1500)) continue;
    const membership::Members::View* view = members_ ? members_->Find(name) : nullptr;
    if (view && view->state != membership::State::kAlive) continue;
    const auto lacks =
        std::make_tuple(!peer.note.state_service_reachable, !peer.note.receives_heartbeats);
    if (best.empty() || lacks < least) {
      best = name;
      least = lacks;
    }
  }
  return best;
}

// What is being recorded is finished first, or the successor would find it undone; nothing starts
// meanwhile.
void Controller::Retire(Micros now) {
  if (!std::exchange(retiring_, true)) {
    retire_by_ = now + Millis(250);
    asker_.Info("ends: its place goes to " + Successor(now));
    if (members_) {
      members_->Leave(now);
      for (auto& m : members_->Take()) asker_.out.membership_messages.push_back(std::move(m));
    }
  }
  if (leader_ && leader_->recording() && now < retire_by_) return;
  election_->HandOver(now, Successor(now));
}

bool Controller::Healthy(Micros now) const {
  if (retiring_) return false;
  if (!election_->synced()) return false;
  if (now - state_ok_at_ < Seconds(3)) return true;
  // Where nobody reaches the state service the users are no better off elsewhere; where a peer
  // does, they are.
  for (const auto& [name, peer] : peers_) {
    if (now - peer.heard_at < Seconds(3) && peer.note.state_service_reachable) return false;
  }
  return true;
}

// A leader that the workers don't reach can start nothing, and would in the end give all its
// machines back, while they report to a peer that sends them here again. Where a peer that reaches
// the state service hears them, that one is to lead. Nobody's word for it: no step aside, since
// then the fault may be the workers'.
void Controller::GiveWay(Micros now) {
  for (const auto& [name, peer] : peers_) {
    if (now - peer.heard_at > Millis(1500) || !peer.note.state_service_reachable ||
        !peer.note.receives_heartbeats) {
      continue;
    }
    return election_->StepDown(
        now, "no machine is heard here any more, but " + name + " hears them", Seconds(15));
  }
}

PeerStatus Controller::NoteOf(Micros now) const {
  PeerStatus note;
  note.from = settings_.member;
  note.term = election_->seen_term();
  note.leader = election_->leader();
  note.state_service_reachable = now - state_ok_at_ < Seconds(2);
  note.receives_heartbeats = now - checkin_at_ < Seconds(2);
  return note;
}

void Controller::CallOff(Micros now, const std::string& job, bool recorded) {
  if (leader_) return recorded ? leader_->CalledOff(now, job) : leader_->CallOff(now, job);
  PeerStatus note = NoteOf(now);
  (recorded ? note.cancelled : note.cancelling).push_back(job);
  asker_.out.peer_statuses.push_back(std::move(note));
}

void Controller::Tick(Micros now, int64_t time_of_day_ms) {
  time_of_day_ms_ = time_of_day_ms;
  WatchPeers(now);
  election_->Tick(now);
  if (leader_) leader_->Tick(now);
  if (leader_ && leader_->ReceivesNoHeartbeats(now)) GiveWay(now);
  if (!looking_ && now >= look_at_ && now - state_ok_at_ > Millis(900)) {
    looking_ = true;
    look_at_ = now + Millis(900);
    StateRequest op;
    op.key = keys::kLeader;
    asker_.State(op, [this](Micros, StateResponse&) { looking_ = false; });
  }
  if (now >= note_at_) {
    note_at_ = now + Millis(500);
    PeerStatus note = NoteOf(now);
    if (leader_) note.job_statuses = leader_->Digests();
    asker_.out.peer_statuses.push_back(std::move(note));
  }
  if (retiring_) Retire(now);
  former_.reset();
}

void Controller::OnState(Micros now, RequestId id, StateResponse reply) {
  if (reply.outcome != StateResponse::Outcome::kRefused &&
      reply.outcome != StateResponse::Outcome::kUnknown) {
    state_ok_at_ = now;
  }
  asker_.Reply(now, id, reply);
  former_.reset();
}

void Controller::OnCloud(Micros now, RequestId id, CloudResponse reply) {
  asker_.Reply(now, id, reply);
  former_.reset();
}

void Controller::OnDirect(Micros now, RequestId id, CommandResponse reply) {
  if (reply.heartbeat) election_->NoteFencingToken(reply.heartbeat->fencing_token);
  asker_.Reply(now, id, reply);
  former_.reset();
}

void Controller::OnCheckin(Micros now, RequestId token, const Heartbeat& report) {
  election_->NoteFencingToken(report.fencing_token);
  HeartbeatResponse answer;
  answer.request_id = token;
  if (leader_ && report.fencing_token > election_->term()) {
    election_->StepDown(now, "a worker has seen a higher fencing token");
  }
  if (leader_) {
    const auto verdict = leader_->HandleHeartbeat(now, token, report, &answer.commands);
    if (verdict != Leader::HeartbeatOutcome::kSuperseded) checkin_at_ = now;
    if (verdict == Leader::HeartbeatOutcome::kAnswerLater) return;
    if (verdict == Leader::HeartbeatOutcome::kSuperseded)
      return asker_.out.heartbeat_responses.push_back(std::move(answer));
    if (verdict == Leader::HeartbeatOutcome::kAnswer) {
      answer.status = 200;
      answer.fencing_token = election_->term();
      answer.valid_until = leader_->ValidUntil(answer.commands);
      asker_.out.heartbeat_responses.push_back(std::move(answer));
      return;
    }
  }
  if (!leader_) checkin_at_ = now;
  answer.leader = LeaderName(now);
  answer.status = answer.leader.empty() ? 503 : 421;
  asker_.out.heartbeat_responses.push_back(std::move(answer));
  former_.reset();
}

void Controller::OnSubmit(Micros now, RequestId token, Submission submission) {
  frontend_->Submit(now, token, std::move(submission));
}

void Controller::OnQuery(Micros, RequestId token, const std::string& job) {
  frontend_->Query(token, job);
}

void Controller::OnWithdraw(Micros, RequestId token, const std::string& job) {
  frontend_->Withdraw(token, job);
}

// Only leaders deal in rights; the others' word comes again.
void Controller::OnCell(Micros now, const limits::CellMessage& note) {
  if (leader_ && leader_->ready()) leader_->OnCell(now, note);
  former_.reset();
}

void Controller::OnPeer(Micros now, const PeerStatus& note) {
  // Terms are read from the state service and only grow: this one is over, though this controller
  // may be the one that the state service refuses.
  if (leader_ && note.term > election_->term()) {
    election_->StepDown(now, note.from + " knows of term " + std::to_string(note.term));
    former_.reset();
  }
  if (leader_) {
    for (const std::string& job : note.cancelling) leader_->CallOff(now, job);
    for (const std::string& job : note.cancelled) leader_->CalledOff(now, job);
  }
  peers_[note.from] = Peer{now, note};
  if (note.leader == note.from && note.term >= digest_term_) {
    digest_term_ = note.term;
    digests_.clear();
    for (const JobStatus& d : note.job_statuses) digests_[d.job] = d;
  }
  peers_[note.from].note.job_statuses.clear();
}

}  // namespace badgershore
