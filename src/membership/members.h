// Failure detection among a cell's controllers by direct and indirect probes, with gossip in the
// probe messages (SWIM, Das et al. 2002) and local health (Lifeguard, Dadgar et al. 2018).
//
// A suspicion does not end a member's leadership: only the expiry of the leader's lease does.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/model/time.h"

namespace badgershore::membership {

enum class State : uint8_t { kAlive, kSuspect, kLeft };

// One member's state as gossiped. The incarnation grows when a member restarts or refutes a
// suspicion; updates of earlier incarnations are ignored.
struct Update {
  std::string member;
  State state = State::kAlive;
  uint64_t incarnation = 0;
  std::string suspected_by;
};

struct Message {
  // kPingRequest asks the receiver to probe `target`; kNack reports that the target did not
  // respond.
  enum class Kind : uint8_t { kPing, kAck, kPingRequest, kNack };
  Kind kind = Kind::kPing;
  std::string from, to;
  uint64_t incarnation = 0;              // of `from`
  uint64_t number = 0;                   // of the probe
  std::string target;                    // of a ping request and the responses to it
  bool state_service_reachable = false;  // by `from`
  bool receives_heartbeats = false;      // `from` has received agent heartbeats recently
  std::vector<Update> gossip;
};

struct Settings {
  std::string self;
  std::vector<std::string> others;
  Micros probe_interval = Millis(500);  // one member is probed per interval
  Micros probe_timeout = Millis(200);   // of a direct probe; indirect probes follow
  int indirect_probes = 2;
  int max_updates_per_message = 6;
};

// One member's view of the others: a state machine without clock or sockets, deterministic for a
// given seed. After each call its owner sends the messages that Take returns.
class Members {
 public:
  // `incarnation` must be larger than that of any earlier process of this member; the time of day
  // is.
  Members(Settings settings, uint64_t incarnation, uint64_t seed);

  void Tick(Micros now);
  void OnMessage(Micros now, const Message& message);
  std::vector<Message> Take() { return std::exchange(outgoing_, {}); }
  // Sets what this member can reach; sent with every message.
  void SetReachability(bool state_service_reachable, bool receives_heartbeats);
  // Announces to the other members that this one shuts down.
  void Leave(Micros now);

  struct View {
    State state = State::kAlive;
    uint64_t incarnation = 0;
    std::set<std::string> suspected_by;
    Micros state_since;
    Micros heard_at{-1};  // last message from the member itself; negative if there was none
    bool state_service_reachable = false;
    bool receives_heartbeats = false;
  };
  // Returns null for an unknown member.
  const View* Find(const std::string& member) const;
  // True if the member was suspected for long enough, and by enough members, to prepare for its
  // failure.
  bool IsSuspicionConfirmed(Micros now, const std::string& member) const;
  // Local health: 1 while this member's probes are answered in time, up to 8 while they are not,
  // which may be its own fault. Multiplies all timeouts of this member.
  int health_multiplier() const { return 1 + missed_probes_; }
  // No member has responded for several intervals, so this member is probably the isolated one.
  bool IsIsolated(Micros now) const;
  uint64_t incarnation() const { return incarnation_; }

 private:
  struct Probe {
    uint64_t number = 0;
    std::string target;
    Micros sent_at;
    bool indirect_sent = false;
    int nacks = 0;  // received for the indirect probes
    bool done = true;
  };
  struct IndirectProbe {  // made for another member
    std::string requester, target;
    uint64_t number = 0;  // of the requester's probe
    Micros deadline;
  };
  struct QueuedUpdate {
    Update update;
    int times_sent = 0;
  };
  void StartProbe(Micros now);
  void SendIndirectProbes(Micros now);
  void ExpireIndirectProbes(Micros now);
  void FinishProbe(Micros now);
  void OnAck(const Message& message);
  void RecoverFromPause(Micros now);
  void Apply(Micros now, const Update& update);
  void Refute(const Update& update);
  void QueueGossip(const Update& update);
  void AddGossip(Message* message);
  void Send(Message::Kind kind, const std::string& to, uint64_t number, const std::string& target);
  Micros ScaledByHealth(Micros span) const { return span.Scaled(health_multiplier()); }

  Settings settings_;
  uint64_t incarnation_;
  std::mt19937_64 random_;
  bool state_service_reachable_ = false;
  bool receives_heartbeats_ = false;
  bool left_ = false;
  std::map<std::string, View> views_;
  std::vector<std::string> probe_order_;  // shuffled again for each round
  size_t probe_index_ = 0;
  uint64_t last_number_ = 0;
  Probe probe_;
  std::map<uint64_t, IndirectProbe> indirect_probes_;  // by the number of this member's probe
  std::deque<QueuedUpdate> gossip_;
  int missed_probes_ = 0;
  Micros next_probe_at_{-1};
  Micros last_tick_at_{-1};
  Micros last_response_at_{-1};
  std::vector<Message> outgoing_;
};

}  // namespace badgershore::membership
