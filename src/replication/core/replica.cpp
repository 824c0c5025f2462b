#include "replication/core/replica.h"

#include <algorithm>
#include <sstream>

namespace badgershore::replication {
namespace {

// The leader lease as a share of the followers' lease. Clocks of two machines drift apart by at
// most 0.05%; the rest of the margin is for timer inaccuracy.
constexpr double kLeaseShare = 0.98;
// A leader that can't commit steps down after this many leases.
constexpr double kPatienceLeases = 2;
constexpr Micros kResendAfter = Millis(500);
constexpr size_t kKeptEntries = 512;
constexpr size_t kKeptBytes = 8 << 20;
constexpr size_t kImagePartBytes = 1 << 20;

size_t BytesOf(const Entry& entry) {
  if (!entry.batch) return 0;
  size_t bytes = 0;
  for (const auto& [key, item] : entry.batch->items) {
    bytes += key.size() + (item ? item->value.size() : 0);
  }
  return bytes * 2;  // each change is in the change log as well
}

}  // namespace

Replica::Replica(Settings settings, Stored stored, uint64_t seed, Micros now)
    : settings_(std::move(settings)),
      stored_(std::move(stored)),
      random_(seed | 1),
      term_(std::max(stored_.vote.term, stored_.position.term)),
      started_(now) {
  Rest(now);
}

// Resets the election timer to a random one to two leases, so that two replicas rarely start an
// election at the same time.
void Replica::Rest(Micros now) {
  random_ = random_ * 6364136223846793005ULL + 1442695040888963407ULL;
  const double share = static_cast<double>(random_ >> 40) / (1 << 24);
  election_at_ = now + settings_.lease + settings_.lease.Scaled(share);
}

bool Replica::MayServe(Micros now) const {
  if (role_ != Role::kLeader || !ready_) return false;
  std::vector<Micros> heard;
  for (const auto& [name, peer] : peers_) {
    if (peer.member) heard.push_back(peer.heard_sent);
  }
  const size_t wanted = Majority() - 1;  // without this one
  if (heard.size() < wanted) return false;
  if (wanted == 0) return true;
  std::sort(heard.rbegin(), heard.rend());
  return now < heard[wanted - 1] + settings_.lease.Scaled(kLeaseShare);
}

size_t Replica::reachable(Micros now) const {
  if (role_ != Role::kLeader) return 0;
  size_t count = 1;
  for (const auto& [name, peer] : peers_) count += now < peer.heard_sent + settings_.lease;
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
      << std::min(now - heard_, settings_.lease.Scaled(2)).count << " us ago";
  for (const auto& [name, yes] : votes_) out << ", vote of " << name;
  for (const auto& [name, peer] : peers_) {
    out << ", " << name << " at " << peer.position.term << "." << peer.position.index << " known "
        << peer.known << peer.member << peer.blank << peer.wants_image << " heard "
        << std::min(now - peer.heard_sent, settings_.lease.Scaled(2)).count << " us ago, sent "
        << std::min(now - peer.entry_sent, settings_.lease.Scaled(2)).count << " us ago";
  }
  if (pending_) out << ", pending " << pending_->index << own_durable_;
  return out.str();
}

void Replica::Tick(Micros now) {
  if (role_ == Role::kLeader) {
    if (now >= heartbeat_at_) Heartbeat(now);
    return;
  }
  if (now < election_at_) return;
  Rest(now);
  leader_.clear();
  if (role_ != Role::kFollower) StepDown(now, term_);
  // A replica without its state, or one that has just started, waits for a leader's message.
  if (stored_.member && now >= started_ + settings_.lease) Probe(now);
}

void Replica::OnMessage(Micros now, const Message& message) {
  const bool known = std::find(settings_.replicas.begin(), settings_.replicas.end(),
                               message.from) != settings_.replicas.end();
  if (!known || message.from == settings_.self) return;
  // Replicas of different services must never mix; a new disk belongs to none yet.
  const bool other =
      !stored_.history.empty() && !message.history.empty() && stored_.history != message.history;
  if (other) return;
  if (const auto* m = std::get_if<VoteRequest>(&message.body)) {
    OnVoteRequest(now, message.from, *m);
  } else if (const auto* m = std::get_if<VoteAnswer>(&message.body)) {
    OnVoteAnswer(now, message.from, *m);
  } else if (const auto* m = std::get_if<Append>(&message.body)) {
    OnAppend(now, message, *m);
  } else if (const auto* m = std::get_if<ImagePart>(&message.body)) {
    OnImagePart(now, message, *m);
  } else if (const auto* m = std::get_if<AppendAnswer>(&message.body)) {
    OnAppendAnswer(now, message, *m);
  }
}

// Elections.

void Replica::Probe(Micros now) {
  role_ = Role::kProbing;
  votes_ = {{settings_.self, true}};
  for (const std::string& name : settings_.replicas) {
    if (name != settings_.self) Send(name, VoteRequest{term_ + 1, true, stored_.position});
  }
  if (votes_.size() >= Majority()) Stand(now);
}

void Replica::Stand(Micros) {
  if (writing_) return;  // retries at the next election timeout
  role_ = Role::kCandidate;
  ++term_;
  votes_.clear();
  voting_for_ = settings_.self;
  Ask(StoreVote{{term_, settings_.self}, true});
}

bool Replica::WouldVote(Micros now, const std::string& from, const VoteRequest& request) const {
  if (!stored_.member) return false;
  // The lease promised to a leader, either by this process or by the one before a restart.
  if (now < heard_ + settings_.lease || now < started_ + settings_.lease) return false;
  if (MayServe(now)) return false;
  if (request.position < stored_.position) return false;
  if (request.probe) return request.term > term_;
  const bool same = stored_.vote.term == request.term && stored_.vote.candidate == from;
  return same || (request.term > stored_.vote.term && request.term >= term_);
}

void Replica::OnVoteRequest(Micros now, const std::string& from, const VoteRequest& request) {
  const bool would = WouldVote(now, from, request);
  if (request.probe || !would) {
    return Send(from, VoteAnswer{request.probe ? request.term : term_, request.probe, would});
  }
  if (writing_) return;
  StepDown(now, request.term);
  Rest(now);
  voting_for_ = from;
  Ask(StoreVote{{request.term, from}, true});
}

void Replica::OnVoteAnswer(Micros now, const std::string& from, const VoteAnswer& answer) {
  if (!answer.probe && answer.term > term_) return StepDown(now, answer.term);
  const bool probing = role_ == Role::kProbing && answer.probe && answer.term == term_ + 1;
  const bool standing = role_ == Role::kCandidate && !answer.probe && answer.term == term_;
  if (!answer.granted || (!probing && !standing)) return;
  votes_[from] = true;
  if (votes_.size() < Majority()) return;
  if (probing) {
    Stand(now);
  } else if (votes_.contains(settings_.self)) {
    Win(now);
  }
}

void Replica::Win(Micros now) {
  role_ = Role::kLeader;
  leader_ = settings_.self;
  ready_ = false;
  peers_.clear();
  for (const std::string& name : settings_.replicas) {
    if (name != settings_.self) peers_[name];
  }
  if (recent_.empty() || recent_.back().position != stored_.position) Forget();
  sending_.clear();
  last_ = stored_.position;
  pending_.reset();
  heartbeat_at_ = majority_at_ = now;
  Heartbeat(now);
}

void Replica::StepDown(Micros now, uint64_t term) {
  if (role_ == Role::kLeader) Rest(now);
  if (term > term_ || role_ == Role::kLeader) leader_.clear();
  role_ = Role::kFollower;
  term_ = std::max(term_, term);
  ready_ = false;
  pending_.reset();
  peers_.clear();
  sending_.clear();
  loading_ = false;
}

void Replica::Follow(Micros now, uint64_t term, const std::string& leader) {
  if (role_ != Role::kFollower || term > term_) StepDown(now, term);
  leader_ = leader;
  heard_ = now;
  Rest(now);
}

// Followers.

// False if the leader's term is stale, in which case it is told the current term, or if the message
// names no service.
bool Replica::Accept(Micros now, const std::string& from, uint64_t term,
                     const std::string& history) {
  if (term < term_) {
    Send(from, AppendAnswer{term_, Micros{-1000000000}, stored_.position, false, 0});
    return false;
  }
  if (history.empty()) return false;
  Follow(now, term, from);
  return true;
}

void Replica::Answer(const std::string& to, Micros sent) {
  Send(to, AppendAnswer{term_, sent, stored_.position, stored_.member, image_.size()});
}

void Replica::OnAppend(Micros now, const Message& message, const Append& append) {
  if (!Accept(now, message.from, append.term, message.history)) return;
  const bool next = append.entry && append.entry->previous == stored_.position &&
                    (stored_.history == message.history);
  if (!next || writing_) {
    Answer(message.from, append.sent);
    return JoinIfDue(now);
  }
  answering_ = Answering{message.from, append.sent};
  Ask(StoreEntry{*append.entry, message.history});
}

void Replica::OnImagePart(Micros now, const Message& message, const ImagePart& part) {
  if (!Accept(now, message.from, part.term, message.history)) return;
  if (part.position != image_position_ || part.offset == 0) {
    image_.clear();
    image_position_ = part.position;
  }
  // Never installs an older state: the current one may have counted towards a commit.
  const bool newer = stored_.history.empty() || part.position > stored_.position;
  if (writing_ || !newer || part.offset != image_.size()) return Answer(message.from, part.sent);
  image_ += part.bytes;
  if (image_.size() < part.size) return Answer(message.from, part.sent);
  answering_ = Answering{message.from, part.sent};
  Ask(StoreImage{std::exchange(image_, {}), part.position, message.history});
}

// Makes this replica a member once it has the leader's state and votes or acknowledgements that it
// gave before it lost its disk no longer count in any election.
void Replica::JoinIfDue(Micros now) {
  const bool has_state = !stored_.history.empty() && stored_.position.index > 0;
  if (stored_.member || writing_ || !has_state) return;
  if (now < started_ + settings_.rejoin_after) return;
  Ask(StoreVote{{term_, ""}, true});
}

void Replica::OnStored(Micros now, bool ok) {
  if (!writing_) return;
  const Write write = *std::exchange(writing_, std::nullopt);
  const auto answering = std::exchange(answering_, std::nullopt);
  const auto voting_for = std::exchange(voting_for_, std::nullopt);
  if (!ok) {
    // With a failing disk it must neither lead nor acknowledge; the data on disk is unchanged.
    return StepDown(now, term_);
  }
  if (const auto* vote = std::get_if<StoreVote>(&write)) {
    stored_.vote = vote->vote;
    stored_.member = vote->member;
    if (!voting_for || stored_.vote.term != term_) return;
    if (*voting_for != settings_.self) return Send(*voting_for, VoteAnswer{term_, false, true});
    if (role_ != Role::kCandidate) return;
    votes_[settings_.self] = true;
    for (const std::string& name : settings_.replicas) {
      if (name != settings_.self) Send(name, VoteRequest{term_, false, stored_.position});
    }
    if (votes_.size() >= Majority()) Win(now);
    return;
  }
  if (const auto* entry = std::get_if<StoreEntry>(&write)) {
    stored_.position = entry->entry.position;
    stored_.history = entry->history;
    if (role_ != Role::kLeader) Keep(entry->entry);
    if (pending_ && *pending_ == stored_.position) {
      own_durable_ = true;
      return CommitIfDue();
    }
  } else if (const auto* image = std::get_if<StoreImage>(&write)) {
    stored_.position = image->position;
    stored_.history = image->history;
    Forget();
  }
  if (answering && role_ == Role::kFollower) Answer(answering->to, answering->sent);
}

// The leader.

void Replica::Begin(Micros now, Entry entry) {
  last_ = entry.position;
  pending_ = entry.position;
  own_durable_ = false;
  proposed_at_ = now;
  Keep(entry);
  Ask(StoreEntry{std::move(entry), stored_.history});
  for (auto& [name, peer] : peers_) Advance(now, name, &peer);
}

Position Replica::Propose(Micros now, store::Batch batch) {
  const Position position{term_, last_.index + 1};
  Begin(now, Entry{last_, position, std::move(batch)});
  return position;
}

void Replica::Forget() {
  recent_.clear();
  recent_bytes_ = 0;
}

void Replica::Keep(Entry entry) {
  if (!recent_.empty() && recent_.back().position != entry.previous) Forget();
  recent_bytes_ += BytesOf(entry);
  recent_.push_back(std::move(entry));
  while (recent_.size() > 1 && (recent_.size() > kKeptEntries || recent_bytes_ > kKeptBytes)) {
    recent_bytes_ -= BytesOf(recent_.front());
    recent_.pop_front();
  }
}

void Replica::Heartbeat(Micros now) {
  heartbeat_at_ = now + settings_.heartbeat;
  if (MayServe(now)) majority_at_ = now;
  // Without a majority it can't serve clients, and another replica may lead already.
  if (now > majority_at_ + settings_.lease.Scaled(kPatienceLeases)) return StepDown(now, term_);
  // Its disk does not complete the write: it can't commit, but its heartbeats prevent an election.
  const bool waits_for_disk = pending_ && !own_durable_;
  if (waits_for_disk && now > proposed_at_ + settings_.lease.Scaled(kPatienceLeases)) {
    return StepDown(now, term_);
  }
  // Entries of earlier terms are committed only by committing a later entry of this term.
  if (!ready_ && !pending_ && !writing_) {
    Begin(now, Entry{last_, {term_, last_.index + 1}, std::nullopt});
  }
  bool image_wanted = false;
  for (auto& [name, peer] : peers_) {
    Send(name, Append{term_, now, std::nullopt});
    image_wanted |= peer.wants_image;
  }
  if (!image_wanted) sending_.clear();
}

void Replica::OnAppendAnswer(Micros now, const Message& message, const AppendAnswer& answer) {
  if (answer.term > term_) return StepDown(now, answer.term);
  if (role_ != Role::kLeader || answer.term < term_) return;
  Peer& peer = peers_.at(message.from);
  peer.blank = message.history.empty();
  peer.heard_sent = std::max(peer.heard_sent, answer.sent);
  peer.member = answer.member;
  if (!peer.known || peer.position != answer.position) peer.entry_sent = Micros{-1000000000};
  peer.known = true;
  peer.position = answer.position;
  if (peer.wants_image && answer.image_bytes > peer.image_offset) {
    peer.image_offset = answer.image_bytes;
    peer.entry_sent = Micros{-1000000000};
  }
  CommitIfDue();
  if (role_ == Role::kLeader) Advance(now, message.from, &peer);
}

// Sends the follower the next entry or snapshot chunk that it lacks, one message at a time.
void Replica::Advance(Micros now, const std::string& name, Peer* peer) {
  if (!peer->known) return;
  if (peer->position == last_ && !peer->blank) {
    peer->wants_image = false;
    return;
  }
  if (now < peer->entry_sent + kResendAfter) return;
  const auto next = std::find_if(recent_.begin(), recent_.end(), [&](const Entry& entry) {
    return entry.previous == peer->position;
  });
  if (next != recent_.end() && !peer->blank) {
    peer->wants_image = false;
    peer->entry_sent = now;
    return Send(name, Append{term_, now, *next});
  }
  SendImagePart(now, name, peer);
}

void Replica::SendImagePart(Micros now, const std::string& name, Peer* peer) {
  if (!std::exchange(peer->wants_image, true)) peer->image_offset = 0;
  if (!peer->blank && sending_position_ <= peer->position) sending_.clear();
  if (sending_.empty()) {
    peer->image_offset = 0;
    // A snapshot of an earlier term's position may be older than the follower's state.
    if (stored_.position.term < term_) return;
    out_.load_image = out_.load_image || !std::exchange(loading_, true);
    return;
  }
  if (peer->image_offset >= sending_.size()) peer->image_offset = 0;
  ImagePart part{term_,
                 now,
                 sending_position_,
                 peer->image_offset,
                 sending_.size(),
                 sending_.substr(peer->image_offset, kImagePartBytes)};
  peer->entry_sent = now;
  Send(name, std::move(part));
}

void Replica::OnImage(Micros now, Position position, std::string bytes) {
  if (role_ != Role::kLeader || !std::exchange(loading_, false)) return;
  sending_ = std::move(bytes);
  sending_position_ = position;
  for (auto& [name, peer] : peers_) {
    if (!peer.wants_image) continue;
    peer.image_offset = 0;
    peer.entry_sent = Micros{-1000000000};
    Advance(now, name, &peer);
  }
}

void Replica::CommitIfDue() {
  if (!pending_ || !own_durable_) return;
  size_t holders = 1;
  for (const auto& [name, peer] : peers_) {
    holders += peer.member && peer.known && peer.position == *pending_;
  }
  if (holders < Majority()) return;
  out_.committed.push_back(*pending_);
  pending_.reset();
  ready_ = true;
}

}  // namespace badgershore::replication
