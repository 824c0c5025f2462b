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
struct PersistVote {
  Vote vote;
  bool member = false;
};
struct PersistEntry {
  Entry entry;
  std::string history;
};
struct PersistSnapshot {
  std::string bytes;
  Position position;
  std::string history;
};
using Write = std::variant<PersistVote, PersistEntry, PersistSnapshot>;

struct Effects {
  std::vector<std::pair<std::string, Message>> send;
  std::optional<Write> write;
  // Requests OnImage with the state on disk, read after all writes so far.
  bool load_snapshot = false;
  std::vector<Position> committed;
};

class Replica {
 public:
  enum class Role { kFollower, kPreCandidate, kCandidate, kLeader };

  Replica(Settings settings, PersistentState stored, uint64_t seed, Micros now);

  // Inputs. `now` never decreases.
  void Tick(Micros now);
  void OnMessage(Micros now, const Message& message);
  // Completes the write in progress. `ok` false: it is not durable and never will be.
  void OnStored(Micros now, bool ok);
  // The encoded state that Effects::load_snapshot requested, and its position.
  void OnImage(Micros now, Position position, std::string bytes);
  // Appends the leader's next batch; only while CanPropose. Either its position is reported in
  // Effects::committed or this replica stops leading.
  Position Propose(Micros now, store::Batch batch);

  bool CanPropose() const { return ready() && !pending_ && !write_in_progress_; }
  // Leads, and has committed an entry of its term: its state contains all committed batches.
  bool ready() const { return role_ == Role::kLeader && ready_; }
  // Holds the leader lease: no other replica can lead now, so responses sent now are not stale.
  bool HoldsLeaderLease(Micros now) const;
  Micros NextDeadline() const;
  Effects Take() { return std::exchange(effects_, Effects{}); }

  Role role() const { return role_; }
  uint64_t term() const { return term_; }
  const PersistentState& stored() const { return stored_; }
  const std::string& leader() const { return leader_; }  // empty: unknown
  // The complete internal state in one line, for logs and state exploration.
  std::string Describe(Micros now) const;
  // The number of replicas that have responded within a lease, including this one; for operators.
  size_t reachable(Micros now) const;

 private:
  struct Peer {
    Position position;            // durable there, as last reported
    bool position_known = false;  // `position` was reported in this term
    bool member = false;
    bool empty_disk = false;  // its disk is new: it needs a snapshot whatever its position
    // When the newest message that it has responded to was sent.
    Micros last_acknowledged_sent{-1000000000};
    Micros last_entry_sent{-1000000000};  // when an entry or a snapshot chunk was last sent
    bool needs_snapshot = false;
    uint64_t snapshot_offset = 0;
  };

  size_t Majority() const { return settings_.replicas.size() / 2 + 1; }
  void Send(const std::string& to, auto body) {
    effects_.send.emplace_back(to, Message{settings_.self, stored_.history, std::move(body)});
  }
  void StartWrite(Write write) {
    write_in_progress_ = write;
    if (auto* image = std::get_if<PersistSnapshot>(&*write_in_progress_)) image->bytes.clear();
    effects_.write = std::move(write);
  }
  // Elections.
  void StartPreVote(Micros now);
  void StartElection(Micros now);
  void BecomeLeader(Micros now);
  void FollowLeader(Micros now, uint64_t term, const std::string& leader);
  void StepDown(Micros now, uint64_t term);
  void ResetElectionTimer(Micros now);
  bool WouldGrantVote(Micros now, const std::string& from, const VoteRequest& request) const;
  void OnVoteRequest(Micros now, const std::string& from, const VoteRequest& request);
  void OnVoteResponse(Micros now, const std::string& from, const VoteResponse& response);
  // Followers.
  bool AcceptLeader(Micros now, const std::string& from, uint64_t term, const std::string& history);
  void OnAppend(Micros now, const Message& message, const AppendRequest& append);
  void OnSnapshotChunk(Micros now, const Message& message, const SnapshotChunk& chunk);
  void SendAppendResponse(const std::string& to, Micros sent);
  void BecomeMemberIfReady(Micros now);
  // The leader.
  void AppendEntry(Micros now, Entry entry);
  void SendHeartbeats(Micros now);
  void OnAppendResponse(Micros now, const Message& message, const AppendResponse& response);
  void Replicate(Micros now, const std::string& name, Peer* peer);
  void SendSnapshotChunk(Micros now, const std::string& name, Peer* peer);
  void CommitIfMajority();
  void CacheEntry(Entry entry);
  void ClearEntryCache();

  Settings settings_;
  PersistentState stored_;
  uint64_t random_state_;
  Role role_ = Role::kFollower;
  uint64_t term_ = 0;
  std::string leader_;
  Micros started_at_;
  Micros leader_heard_at_{-1000000000};  // the last message of this term's leader
  Micros election_at_;                   // when a follower starts an election
  std::map<std::string, bool> votes_;    // of this pre-vote or election
  std::optional<Write> write_in_progress_;
  struct PendingResponse {
    std::string to;
    Micros sent;
  };
  // Sent when the write in progress is durable.
  std::optional<PendingResponse> pending_append_response_;
  std::optional<std::string> pending_vote_candidate_;  // candidate of the vote being written
  std::string received_snapshot_;                      // the snapshot being received
  Position received_snapshot_position_;
  // Used only while leading.
  std::map<std::string, Peer> peers_;
  std::optional<Position> pending_;  // proposed and not yet committed
  bool ready_ = false, pending_durable_ = false;
  Position last_position_;            // of the last entry appended
  std::deque<Entry> recent_entries_;  // the newest entries, for followers that lag slightly
  size_t recent_entries_bytes_ = 0;
  Micros heartbeat_at_;
  Micros majority_heard_at_;  // when it last held the leader lease
  Micros proposed_at_;        // when `pending_` was appended
  bool snapshot_loading_ = false;
  std::string snapshot_;  // the snapshot, while a peer needs it
  Position snapshot_position_;
  Effects effects_;
};

}  // namespace badgershore::replication
