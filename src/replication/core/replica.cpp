#include "replication/core/replica.h"

#include <algorithm>
#include <sstream>

namespace badgershore::replication {
namespace {

// The leader lease as a share of the followers' lease. Clocks of two machines drift apart by at
// most 0.05%; the rest of the margin is for timer inaccuracy.
constexpr double kLeaderLeaseShare = 0.98;
// A leader that can't commit steps down after this many leases.
constexpr double kStepDownLeases = 2;
constexpr Micros kResendDelay = Millis(500);
constexpr size_t kMaxRecentEntries = 512;
constexpr size_t kMaxRecentBytes = 8 << 20;
constexpr size_t kSnapshotChunkBytes = 1 << 20;

size_t BytesOf(const Entry& entry) {
  if (!entry.batch) return 0;
  size_t bytes = 0;
  for (const auto& [key, item] : entry.batch->items) {
    bytes += key.size() + (item ? item->value.size() : 0);
  }
  return bytes * 2;  // each change is in the change log as well
}

}  // namespace

Replica::Replica(Settings settings, PersistentState stored, uint64_t seed, Micros now)
    : settings_(std::move(settings)),
      stored_(std::move(stored)),
      random_state_(seed | 1),
      term_(std::max(stored_.vote.term, stored_.position.term)),
      started_at_(now) {
  ResetElectionTimer(now);
}

// Resets the election timer to a random one to two leases, so that two replicas rarely start an
// election at the same time.
void Replica::ResetElectionTimer(Micros now) {
  random_state_ = random_state_ * 6364136223846793005ULL + 1442695040888963407ULL;
  const double share = static_cast<double>(random_state_ >> 40) / (1 << 24);
  election_at_ = now + settings_.lease + settings_.lease.Scaled(share);
}

bool Replica::HoldsLeaderLease(Micros now) const {
  if (role_ != Role::kLeader || !ready_) return false;
  std::vector<Micros> acknowledged_sent;
  for (const auto& [name, peer] : peers_) {
    if (peer.member) acknowledged_sent.push_back(peer.last_acknowledged_sent);
  }
  const size_t needed = Majority() - 1;  // without this one
  if (acknowledged_sent.size() < needed) return false;
  if (needed == 0) return true;
  std::sort(acknowledged_sent.rbegin(), acknowledged_sent.rend());
  return now < acknowledged_sent[needed - 1] + settings_.lease.Scaled(kLeaderLeaseShare);
}

size_t Replica::reachable(Micros now) const {
  if (role_ != Role::kLeader) return 0;
  size_t count = 1;
  for (const auto& [name, peer] : peers_)
    count += now < peer.last_acknowledged_sent + settings_.lease;
  return count;
}

Micros Replica::NextDeadline() const {
  return role_ == Role::kLeader ? heartbeat_at_ : election_at_;
}

std::string Replica::Describe(Micros now) const {
  std::ostringstream out;
  static const char* const kRoles[] = {"follower", "probing", "candidate", "leader"};
  out << kRoles[static_cast<int>(role_)] << " of term " << term_ << " at " << stored_.position.term
      << "." << stored_.position.index << (stored_.member ? "" : ", not a member yet");
  if (!leader_.empty()) out << ", follows " << leader_;
  out << ", due in " << (NextDeadline() - now).count << " us, heard "
      << std::min(now - leader_heard_at_, settings_.lease.Scaled(2)).count << " us ago";
  for (const auto& [name, granted] : votes_) out << ", vote of " << name;
  for (const auto& [name, peer] : peers_) {
    out << ", " << name << " at " << peer.position.term << "." << peer.position.index << " known "
        << peer.position_known << peer.member << peer.empty_disk << peer.needs_snapshot << " heard "
        << std::min(now - peer.last_acknowledged_sent, settings_.lease.Scaled(2)).count
        << " us ago, sent " << std::min(now - peer.last_entry_sent, settings_.lease.Scaled(2)).count
        << " us ago";
  }
  if (pending_) out << ", pending " << pending_->index << pending_durable_;
  return out.str();
}

void Replica::Tick(Micros now) {
  if (role_ == Role::kLeader) {
    if (now >= heartbeat_at_) SendHeartbeats(now);
    return;
  }
  if (now < election_at_) return;
  ResetElectionTimer(now);
  leader_.clear();
  if (role_ != Role::kFollower) StepDown(now, term_);
  // A replica without its state, or one that has just started, waits for a leader's message.
  if (stored_.member && now >= started_at_ + settings_.lease) StartPreVote(now);
}

void Replica::OnMessage(Micros now, const Message& message) {
  const bool is_replica = std::find(settings_.replicas.begin(), settings_.replicas.end(),
                                    message.from) != settings_.replicas.end();
  if (!is_replica || message.from == settings_.self) return;
  // Replicas of different services must never mix; a new disk belongs to none yet.
  const bool other_service =
      !stored_.history.empty() && !message.history.empty() && stored_.history != message.history;
  if (other_service) return;
  if (const auto* m = std::get_if<VoteRequest>(&message.body)) {
    OnVoteRequest(now, message.from, *m);
  } else if (const auto* m = std::get_if<VoteResponse>(&message.body)) {
    OnVoteResponse(now, message.from, *m);
  } else if (const auto* m = std::get_if<AppendRequest>(&message.body)) {
    OnAppend(now, message, *m);
  } else if (const auto* m = std::get_if<SnapshotChunk>(&message.body)) {
    OnSnapshotChunk(now, message, *m);
  } else if (const auto* m = std::get_if<AppendResponse>(&message.body)) {
    OnAppendResponse(now, message, *m);
  }
}

// Elections.

void Replica::StartPreVote(Micros now) {
  role_ = Role::kPreCandidate;
  votes_ = {{settings_.self, true}};
  for (const std::string& name : settings_.replicas) {
    if (name != settings_.self) Send(name, VoteRequest{term_ + 1, true, stored_.position});
  }
  if (votes_.size() >= Majority()) StartElection(now);
}

void Replica::StartElection(Micros) {
  if (write_in_progress_) return;  // retries at the next election timeout
  role_ = Role::kCandidate;
  ++term_;
  votes_.clear();
  pending_vote_candidate_ = settings_.self;
  StartWrite(PersistVote{{term_, settings_.self}, true});
}

bool Replica::WouldGrantVote(Micros now, const std::string& from,
                             const VoteRequest& request) const {
  if (!stored_.member) return false;
  // The lease promised to a leader, either by this process or by the one before a restart.
  if (now < leader_heard_at_ + settings_.lease || now < started_at_ + settings_.lease) return false;
  if (HoldsLeaderLease(now)) return false;
  if (request.position < stored_.position) return false;
  if (request.probe) return request.term > term_;
  const bool same_vote = stored_.vote.term == request.term && stored_.vote.candidate == from;
  return same_vote || (request.term > stored_.vote.term && request.term >= term_);
}

void Replica::OnVoteRequest(Micros now, const std::string& from, const VoteRequest& request) {
  const bool granted = WouldGrantVote(now, from, request);
  if (request.probe || !granted) {
    return Send(from, VoteResponse{request.probe ? request.term : term_, request.probe, granted});
  }
  if (write_in_progress_) return;
  StepDown(now, request.term);
  ResetElectionTimer(now);
  pending_vote_candidate_ = from;
  StartWrite(PersistVote{{request.term, from}, true});
}

void Replica::OnVoteResponse(Micros now, const std::string& from, const VoteResponse& response) {
  if (!response.probe && response.term > term_) return StepDown(now, response.term);
  const bool in_pre_vote =
      role_ == Role::kPreCandidate && response.probe && response.term == term_ + 1;
  const bool in_election = role_ == Role::kCandidate && !response.probe && response.term == term_;
  if (!response.granted || (!in_pre_vote && !in_election)) return;
  votes_[from] = true;
  if (votes_.size() < Majority()) return;
  if (in_pre_vote) {
    StartElection(now);
  } else if (votes_.contains(settings_.self)) {
    BecomeLeader(now);
  }
}

void Replica::BecomeLeader(Micros now) {
  role_ = Role::kLeader;
  leader_ = settings_.self;
  ready_ = false;
  peers_.clear();
  for (const std::string& name : settings_.replicas) {
    if (name != settings_.self) peers_[name];
  }
  if (recent_entries_.empty() || recent_entries_.back().position != stored_.position)
    ClearEntryCache();
  snapshot_.clear();
  last_position_ = stored_.position;
  pending_.reset();
  heartbeat_at_ = majority_heard_at_ = now;
  SendHeartbeats(now);
}

void Replica::StepDown(Micros now, uint64_t term) {
  if (role_ == Role::kLeader) ResetElectionTimer(now);
  if (term > term_ || role_ == Role::kLeader) leader_.clear();
  role_ = Role::kFollower;
  term_ = std::max(term_, term);
  ready_ = false;
  pending_.reset();
  peers_.clear();
  snapshot_.clear();
  snapshot_loading_ = false;
}

void Replica::FollowLeader(Micros now, uint64_t term, const std::string& leader) {
  if (role_ != Role::kFollower || term > term_) StepDown(now, term);
  leader_ = leader;
  leader_heard_at_ = now;
  ResetElectionTimer(now);
}

// Followers.

// False if the leader's term is stale, in which case it is told the current term, or if the message
// names no service.
bool Replica::AcceptLeader(Micros now, const std::string& from, uint64_t term,
                           const std::string& history) {
  if (term < term_) {
    Send(from, AppendResponse{term_, Micros{-1000000000}, stored_.position, false, 0});
    return false;
  }
  if (history.empty()) return false;
  FollowLeader(now, term, from);
  return true;
}

void Replica::SendAppendResponse(const std::string& to, Micros sent) {
  Send(to,
       AppendResponse{term_, sent, stored_.position, stored_.member, received_snapshot_.size()});
}

void Replica::OnAppend(Micros now, const Message& message, const AppendRequest& append) {
  if (!AcceptLeader(now, message.from, append.term, message.history)) return;
  const bool is_next = append.entry && append.entry->previous == stored_.position &&
                       (stored_.history == message.history);
  if (!is_next || write_in_progress_) {
    SendAppendResponse(message.from, append.sent);
    return BecomeMemberIfReady(now);
  }
  pending_append_response_ = PendingResponse{message.from, append.sent};
  StartWrite(PersistEntry{*append.entry, message.history});
}

void Replica::OnSnapshotChunk(Micros now, const Message& message, const SnapshotChunk& chunk) {
  if (!AcceptLeader(now, message.from, chunk.term, message.history)) return;
  if (chunk.position != received_snapshot_position_ || chunk.offset == 0) {
    received_snapshot_.clear();
    received_snapshot_position_ = chunk.position;
  }
  // Never installs an older state: the current one may have counted towards a commit.
  const bool newer = stored_.history.empty() || chunk.position > stored_.position;
  if (write_in_progress_ || !newer || chunk.offset != received_snapshot_.size())
    return SendAppendResponse(message.from, chunk.sent);
  received_snapshot_ += chunk.bytes;
  if (received_snapshot_.size() < chunk.size) return SendAppendResponse(message.from, chunk.sent);
  pending_append_response_ = PendingResponse{message.from, chunk.sent};
  StartWrite(
      PersistSnapshot{std::exchange(received_snapshot_, {}), chunk.position, message.history});
}

// Makes this replica a member once it has the leader's state and votes or acknowledgements that it
// gave before it lost its disk no longer count in any election.
void Replica::BecomeMemberIfReady(Micros now) {
  const bool has_state = !stored_.history.empty() && stored_.position.index > 0;
  if (stored_.member || write_in_progress_ || !has_state) return;
  if (now < started_at_ + settings_.rejoin_after) return;
  StartWrite(PersistVote{{term_, ""}, true});
}

void Replica::OnStored(Micros now, bool ok) {
  if (!write_in_progress_) return;
  const Write write = *std::exchange(write_in_progress_, std::nullopt);
  const auto append_response = std::exchange(pending_append_response_, std::nullopt);
  const auto vote_candidate = std::exchange(pending_vote_candidate_, std::nullopt);
  if (!ok) {
    // With a failing disk it must neither lead nor acknowledge; the data on disk is unchanged.
    return StepDown(now, term_);
  }
  if (const auto* vote = std::get_if<PersistVote>(&write)) {
    stored_.vote = vote->vote;
    stored_.member = vote->member;
    if (!vote_candidate || stored_.vote.term != term_) return;
    if (*vote_candidate != settings_.self)
      return Send(*vote_candidate, VoteResponse{term_, false, true});
    if (role_ != Role::kCandidate) return;
    votes_[settings_.self] = true;
    for (const std::string& name : settings_.replicas) {
      if (name != settings_.self) Send(name, VoteRequest{term_, false, stored_.position});
    }
    if (votes_.size() >= Majority()) BecomeLeader(now);
    return;
  }
  if (const auto* entry = std::get_if<PersistEntry>(&write)) {
    stored_.position = entry->entry.position;
    stored_.history = entry->history;
    if (role_ != Role::kLeader) CacheEntry(entry->entry);
    if (pending_ && *pending_ == stored_.position) {
      pending_durable_ = true;
      return CommitIfMajority();
    }
  } else if (const auto* image = std::get_if<PersistSnapshot>(&write)) {
    stored_.position = image->position;
    stored_.history = image->history;
    ClearEntryCache();
  }
  if (append_response && role_ == Role::kFollower)
    SendAppendResponse(append_response->to, append_response->sent);
}

// The leader.

void Replica::AppendEntry(Micros now, Entry entry) {
  last_position_ = entry.position;
  pending_ = entry.position;
  pending_durable_ = false;
  proposed_at_ = now;
  CacheEntry(entry);
  StartWrite(PersistEntry{std::move(entry), stored_.history});
  for (auto& [name, peer] : peers_) Replicate(now, name, &peer);
}

Position Replica::Propose(Micros now, store::Batch batch) {
  const Position position{term_, last_position_.index + 1};
  AppendEntry(now, Entry{last_position_, position, std::move(batch)});
  return position;
}

void Replica::ClearEntryCache() {
  recent_entries_.clear();
  recent_entries_bytes_ = 0;
}

void Replica::CacheEntry(Entry entry) {
  if (!recent_entries_.empty() && recent_entries_.back().position != entry.previous)
    ClearEntryCache();
  recent_entries_bytes_ += BytesOf(entry);
  recent_entries_.push_back(std::move(entry));
  while (recent_entries_.size() > 1 &&
         (recent_entries_.size() > kMaxRecentEntries || recent_entries_bytes_ > kMaxRecentBytes)) {
    recent_entries_bytes_ -= BytesOf(recent_entries_.front());
    recent_entries_.pop_front();
  }
}

void Replica::SendHeartbeats(Micros now) {
  heartbeat_at_ = now + settings_.heartbeat;
  if (HoldsLeaderLease(now)) majority_heard_at_ = now;
  // Without a majority it can't serve clients, and another replica may lead already.
  if (now > majority_heard_at_ + settings_.lease.Scaled(kStepDownLeases))
    return StepDown(now, term_);
  // Its disk does not complete the write: it can't commit, but its heartbeats prevent an election.
  const bool waits_for_disk = pending_ && !pending_durable_;
  if (waits_for_disk && now > proposed_at_ + settings_.lease.Scaled(kStepDownLeases)) {
    return StepDown(now, term_);
  }
  // Entries of earlier terms are committed only by committing a later entry of this term.
  if (!ready_ && !pending_ && !write_in_progress_) {
    AppendEntry(now, Entry{last_position_, {term_, last_position_.index + 1}, std::nullopt});
  }
  bool any_needs_snapshot = false;
  for (auto& [name, peer] : peers_) {
    Send(name, AppendRequest{term_, now, std::nullopt});
    any_needs_snapshot |= peer.needs_snapshot;
  }
  if (!any_needs_snapshot) snapshot_.clear();
}

void Replica::OnAppendResponse(Micros now, const Message& message, const AppendResponse& response) {
  if (response.term > term_) return StepDown(now, response.term);
  if (role_ != Role::kLeader || response.term < term_) return;
  Peer& peer = peers_.at(message.from);
  peer.empty_disk = message.history.empty();
  peer.last_acknowledged_sent = std::max(peer.last_acknowledged_sent, response.sent);
  peer.member = response.member;
  if (!peer.position_known || peer.position != response.position)
    peer.last_entry_sent = Micros{-1000000000};
  peer.position_known = true;
  peer.position = response.position;
  if (peer.needs_snapshot && response.snapshot_bytes > peer.snapshot_offset) {
    peer.snapshot_offset = response.snapshot_bytes;
    peer.last_entry_sent = Micros{-1000000000};
  }
  CommitIfMajority();
  if (role_ == Role::kLeader) Replicate(now, message.from, &peer);
}

// Sends the follower the next entry or snapshot chunk that it lacks, one message at a time.
void Replica::Replicate(Micros now, const std::string& name, Peer* peer) {
  if (!peer->position_known) return;
  if (peer->position == last_position_ && !peer->empty_disk) {
    peer->needs_snapshot = false;
    return;
  }
  if (now < peer->last_entry_sent + kResendDelay) return;
  const auto entry_to_send =
      std::find_if(recent_entries_.begin(), recent_entries_.end(),
                   [&](const Entry& entry) { return entry.previous == peer->position; });
  if (entry_to_send != recent_entries_.end() && !peer->empty_disk) {
    peer->needs_snapshot = false;
    peer->last_entry_sent = now;
    return Send(name, AppendRequest{term_, now, *entry_to_send});
  }
  SendSnapshotChunk(now, name, peer);
}

void Replica::SendSnapshotChunk(Micros now, const std::string& name, Peer* peer) {
  if (!std::exchange(peer->needs_snapshot, true)) peer->snapshot_offset = 0;
  if (!peer->empty_disk && snapshot_position_ <= peer->position) snapshot_.clear();
  if (snapshot_.empty()) {
    peer->snapshot_offset = 0;
    // A snapshot of an earlier term's position may be older than the follower's state.
    if (stored_.position.term < term_) return;
    effects_.load_snapshot = effects_.load_snapshot || !std::exchange(snapshot_loading_, true);
    return;
  }
  if (peer->snapshot_offset >= snapshot_.size()) peer->snapshot_offset = 0;
  SnapshotChunk chunk{term_,
                      now,
                      snapshot_position_,
                      peer->snapshot_offset,
                      snapshot_.size(),
                      snapshot_.substr(peer->snapshot_offset, kSnapshotChunkBytes)};
  peer->last_entry_sent = now;
  Send(name, std::move(chunk));
}

void Replica::OnImage(Micros now, Position position, std::string bytes) {
  if (role_ != Role::kLeader || !std::exchange(snapshot_loading_, false)) return;
  snapshot_ = std::move(bytes);
  snapshot_position_ = position;
  for (auto& [name, peer] : peers_) {
    if (!peer.needs_snapshot) continue;
    peer.snapshot_offset = 0;
    peer.last_entry_sent = Micros{-1000000000};
    Replicate(now, name, &peer);
  }
}

void Replica::CommitIfMajority() {
  if (!pending_ || !pending_durable_) return;
  size_t replicas_with_entry = 1;
  for (const auto& [name, peer] : peers_) {
    replicas_with_entry += peer.member && peer.position_known && peer.position == *pending_;
  }
  if (replicas_with_entry < Majority()) return;
  effects_.committed.push_back(*pending_);
  pending_.reset();
  ready_ = true;
}

}  // namespace badgershore::replication
