// One replica of the state service as a deterministic state machine: leader election, replication
// of batches, and whether this replica may respond to clients. It uses no clock, socket or disk
// itself.
//
// The protocol is Raft (Ongaro and Ousterhout, "In Search of an Understandable Consensus
// Algorithm", 2014) with at most one uncommitted batch at a time. A follower therefore stores the
// state at some position and no log; if its position is not among the leader's recent entries, it
// installs a snapshot of the leader's state. An election starts with a pre-vote (Ongaro's thesis,
// 9.6). A replica grants no vote within a lease of the last message from a leader (6.4.1), so a
// leader may serve reads alone while a majority has received a message from it within that time.
//
// At most one disk write is in progress. A message that would need another one is dropped, and its
// sender retries.
#pragma once

#include <deque>
#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "replication/core/messages.h"

namespace badgershore::replication {

struct Settings {
  std::string self;
  std::vector<std::string> replicas;  // all replicas including this one; an odd number
  Micros heartbeat = Millis(150);
  // For this long after a leader's message a follower grants no vote. The election timeout is one
  // to two leases.
  Micros lease = Millis(1000);
  // A replica that started with an empty disk becomes a member no sooner than this after its start,
  // when elections in which it may have voted before it lost its disk are over.
  Micros rejoin_after = Seconds(10);
};

// Disk writes. Each is one atomic write, durable before OnStored is called.
struct StoreVote {
  Vote vote;
  bool member = false;
};
struct StoreEntry {
  Entry entry;
  std::string history;
};
struct StoreImage {
  std::string bytes;
  Position position;
  std::string history;
};
using Write = std::variant<StoreVote, StoreEntry, StoreImage>;

struct Effects {
  std::vector<std::pair<std::string, Message>> send;
  std::optional<Write> write;
  // Requests OnImage with the state on disk, read after all writes so far.
  bool load_image = false;
  std::vector<Position> committed;
};

class Replica {
 public:
  enum class Role { kFollower, kProbing, kCandidate, kLeader };

  Replica(Settings settings, Stored stored, uint64_t seed, Micros now);

  // Inputs. `now` never decreases.
  void Tick(Micros now);
  void OnMessage(Micros now, const Message& message);
  // Completes the write in progress. `ok` false: it is not durable and never will be.
  void OnStored(Micros now, bool ok);
  // The encoded state that Effects::load_image requested, and its position.
  void OnImage(Micros now, Position position, std::string bytes);
  // Appends the leader's next batch; only while CanPropose. Either its position is reported in
  // Effects::committed or this replica stops leading.
  Position Propose(Micros now, store::Batch batch);

  bool CanPropose() const { return ready() && !pending_ && !writing_; }
  // Leads, and has committed an entry of its term: its state contains all committed batches.
  bool ready() const { return role_ == Role::kLeader && ready_; }
  // Holds the leader lease: no other replica can lead now, so responses sent now are not stale.
  bool MayServe(Micros now) const;
  Micros NextDeadline() const;
  Effects Take() { return std::exchange(out_, Effects{}); }

  Role role() const { return role_; }
  uint64_t term() const { return term_; }
  const Stored& stored() const { return stored_; }
  const std::string& leader() const { return leader_; }  // empty: unknown
  // The complete internal state in one line, for logs and state exploration.
  std::string Describe(Micros now) const;
  // The number of replicas that have responded within a lease, including this one; for operators.
  size_t reachable(Micros now) const;

 private:
  struct Peer {
    Position position;   // durable there, as last reported
    bool known = false;  // `position` was reported in this term
    bool member = false;
    bool blank = false;              // its disk is new: it needs a snapshot whatever its position
    Micros heard_sent{-1000000000};  // when the newest message that it has responded to was sent
    Micros entry_sent{-1000000000};  // when an entry or a snapshot chunk was last sent
    bool wants_image = false;
    uint64_t image_offset = 0;
  };

  size_t Majority() const { return settings_.replicas.size() / 2 + 1; }
  void Send(const std::string& to, auto body) {
    out_.send.emplace_back(to, Message{settings_.self, stored_.history, std::move(body)});
  }
  void Ask(Write write) {
    writing_ = write;
    if (auto* image = std::get_if<StoreImage>(&*writing_)) image->bytes.clear();
    out_.write = std::move(write);
  }
  // Elections.
  void Probe(Micros now);
  void Stand(Micros now);
  void Win(Micros now);
  void Follow(Micros now, uint64_t term, const std::string& leader);
  void StepDown(Micros now, uint64_t term);
  void Rest(Micros now);
  bool WouldVote(Micros now, const std::string& from, const VoteRequest& request) const;
  void OnVoteRequest(Micros now, const std::string& from, const VoteRequest& request);
  void OnVoteAnswer(Micros now, const std::string& from, const VoteAnswer& answer);
  // Followers.
  bool Accept(Micros now, const std::string& from, uint64_t term, const std::string& history);
  void OnAppend(Micros now, const Message& message, const Append& append);
  void OnImagePart(Micros now, const Message& message, const ImagePart& part);
  void Answer(const std::string& to, Micros sent);
  void JoinIfDue(Micros now);
  // The leader.
  void Begin(Micros now, Entry entry);
  void Heartbeat(Micros now);
  void OnAppendAnswer(Micros now, const Message& message, const AppendAnswer& answer);
  void Advance(Micros now, const std::string& name, Peer* peer);
  void SendImagePart(Micros now, const std::string& name, Peer* peer);
  void CommitIfDue();
  void Keep(Entry entry);
  void Forget();

  Settings settings_;
  Stored stored_;
  uint64_t random_;
  Role role_ = Role::kFollower;
  uint64_t term_ = 0;
  std::string leader_;
  Micros started_, heard_{-1000000000};  // heard_: the last message of this term's leader
  Micros election_at_;                   // when a follower starts an election
  std::map<std::string, bool> votes_;    // of this pre-vote or election
  std::optional<Write> writing_;
  struct Answering {
    std::string to;
    Micros sent;
  };
  std::optional<Answering> answering_;     // sent when the write in progress is durable
  std::optional<std::string> voting_for_;  // candidate of the vote being written
  std::string image_;                      // the snapshot being received
  Position image_position_;
  // Used only while leading.
  std::map<std::string, Peer> peers_;
  std::optional<Position> pending_;  // proposed and not yet committed
  bool ready_ = false, own_durable_ = false;
  Position last_;             // of the last entry appended
  std::deque<Entry> recent_;  // the newest entries, for followers that lag slightly
  size_t recent_bytes_ = 0;
  Micros heartbeat_at_;
  Micros majority_at_;  // when it last held the leader lease
  Micros proposed_at_;  // when `pending_` was appended
  bool loading_ = false;
  std::string sending_;  // the snapshot, while a peer needs it
  Position sending_position_;
  Effects out_;
};

}  // namespace badgershore::replication
