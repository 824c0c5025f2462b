// One replica of the state service as a state machine: who leads, which batches are committed, and
// whether this replica may answer clients. It knows no clock, socket or disk.
//
// The protocol is Raft (Ongaro and Ousterhout, "In Search of an Understandable Consensus
// Algorithm", 2014) with one batch under way at a time, so that a follower holds the state after
// some position and needs no log: where its position is not in the leader's chain it takes the
// leader's whole state. Votes are probed first (Ongaro's thesis, 9.6), and a replica that has heard
// a leader votes for nobody for a lease (6.4.1), so that a leader may answer reads by itself while
// a majority has heard it within that time.
//
// One disk write is under way at a time; what comes meanwhile and would need another is dropped,
// and its sender tries again.
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
  std::vector<std::string> replicas;  // all of them, this one too; an odd number
  Micros heartbeat = Millis(150);
  // So long a follower promises its vote to nobody else. Elections begin one to two leases after
  // the leader was last heard.
  Micros lease = Millis(1000);
  // A replica that came without its disk counts again no sooner: votes of its last life are over.
  Micros rejoin_after = Seconds(10);
};

// What the disk is to do; all of it durable, in one write, before OnStored.
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
  // The leader's state is wanted, for OnImage: the disk's, behind all writes so far.
  bool load_image = false;
  std::vector<Position> committed;
};

class Replica {
 public:
  enum class Role { kFollower, kProbing, kCandidate, kLeader };

  Replica(Settings settings, Stored stored, uint64_t seed, Micros now);

  // Inputs. `now` never goes back.
  void Tick(Micros now);
  void OnMessage(Micros now, const Message& message);
  // The write that was asked for last is durable; `ok` false: it surely is not, and never will be.
  void OnStored(Micros now, bool ok);
  // The leader's encoded state at a position.
  void OnImage(Micros now, Position position, std::string bytes);
  // The next batch of the leader: only while CanPropose. Its position comes back as committed, or
  // this replica stops leading.
  Position Propose(Micros now, store::Batch batch);

  bool CanPropose() const { return ready() && !pending_ && !writing_; }
  // Leads, and everything that was ever committed is in its state.
  bool ready() const { return role_ == Role::kLeader && ready_; }
  // Nobody else can lead now: an answer that leaves is not older than any other replica's.
  bool MayServe(Micros now) const;
  Micros NextDeadline() const;
  Effects Take() { return std::exchange(out_, Effects{}); }

  Role role() const { return role_; }
  uint64_t term() const { return term_; }
  const Stored& stored() const { return stored_; }
  const std::string& leader() const { return leader_; }  // as far as known; empty: nobody
  // All that it believes, in one line, for logs and for explorations.
  std::string Describe(Micros now) const;
  // Replicas that have answered within a lease, this one too; for operators.
  size_t reachable(Micros now) const;

 private:
  struct Peer {
    Position position;   // durable there, as far as it said
    bool known = false;  // it has said so in this term
    bool member = false;
    bool blank = false;  // its disk was empty: whatever its position, it needs the state
    Micros heard_sent{-1000000000};  // the sending of the newest message that it has answered
    Micros entry_sent{-1000000000};  // when it was last sent more than a heartbeat
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
  Micros started_, heard_{-1000000000};  // heard: a leader of this term
  Micros election_at_;                   // a follower stands then
  std::map<std::string, bool> votes_;    // of this probe or candidacy
  std::optional<Write> writing_;
  struct Answering {
    std::string to;
    Micros sent;
  };
  std::optional<Answering> answering_;     // once the write under way is durable
  std::optional<std::string> voting_for_;  // the same, for a vote
  std::string image_;                      // being received, of this position
  Position image_position_;
  // While it leads.
  std::map<std::string, Peer> peers_;
  std::optional<Position> pending_;  // proposed and not committed
  bool ready_ = false, own_durable_ = false;
  Position last_;             // of its chain
  std::deque<Entry> recent_;  // the end of the chain, for followers that lag a little
  size_t recent_bytes_ = 0;
  Micros heartbeat_at_;
  Micros majority_at_;  // a majority had heard it then
  Micros proposed_at_;  // when `pending_` went to its disk and to the others
  bool loading_ = false;
  std::string sending_;  // the encoded state, while a peer wants it
  Position sending_position_;
  Effects out_;
};

}  // namespace badgershore::replication
