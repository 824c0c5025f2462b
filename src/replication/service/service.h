// One replica of the state service on the loop: clients in front, the other replicas beside, the
// replication core and, while this replica leads, the store's machine in the middle, the disk on a
// thread behind.
//
// A replica that does not lead hands clients' requests on to the one that does. An answer leaves
// only while no other replica can lead; else the connection is closed without one.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "error/error.h"
#include "http/client.h"
#include "http/server.h"
#include "io/mailbox.h"
#include "io/worker.h"
#include "replication/core/replica.h"
#include "replication/service/replica_set.h"
#include "store/disk/engine.h"
#include "store/service/disk_recovery.h"
#include "store/state_machine.h"

namespace badgershore::replication {

class ReplicatedService {
 public:
  // `name`: which of the set this is. `engine` belongs to it from now on. A store::DiskError where
  // the directory holds a state that is not a replica's.
  ReplicatedService(io::Loop* loop, store::Engine* engine, store::Limits limits,
                    const ReplicaSet& set, const std::string& name, size_t max_connections);
  ~ReplicatedService();
  // Listens for clients and for the other replicas, and takes part from then on.
  [[nodiscard]] Result<void> Start();
  // Call it before Start.
  void SetOnDataDamaged(store::OnDataDamaged on_damaged) { on_damaged_ = std::move(on_damaged); }
  const std::string& address() const { return self_.client; }

 private:
  struct Peer {
    ReplicaAddress address;
    std::unique_ptr<http::Client> messages, forwards;
    int under_way = 0;  // messages
  };
  struct Proposed {
    Position position;
    uint64_t batch = 0;
  };

  io::Task<http::ServerAnswer> HandleClient(http::Message request);
  io::Task<http::ServerAnswer> HandlePeer(http::Message request);
  io::Task<http::ServerAnswer> HandleHere(http::Message request);
  io::Task<http::ServerAnswer> Forward(Peer* leader, http::Message request);
  http::ServerAnswer StatusAnswer() const;
  io::Task<void> Ticks();
  io::Task<void> Post(Peer* peer, std::string body);
  // Carries out what the core and the machine have asked for.
  void Flush();
  void FlushMachine();
  // Runs `job` on the disk's thread, behind all jobs so far, and what it returns in the loop.
  void PostDiskJob(io::Worker::Job job);
  void StoreOnDisk(const Write& write);
  store::WriteOutcome WriteToEngine(const Write& write, const std::string& note);
  void LoadImage();
  void FollowRole();
  void StartMachine(uint64_t term, store::StateImage image);
  void DropMachine();
  bool Serves() const;

  io::Loop* loop_;
  store::Engine* engine_;
  store::Limits limits_;
  ReplicaAddress self_;
  io::Mailbox mailbox_;
  Replica replica_;
  std::map<std::string, Peer> peers_;
  // While it leads and has read its state.
  std::unique_ptr<store::StateMachine> machine_;
  uint64_t machine_term_ = 0, loading_term_ = 0;
  std::optional<store::Batch> waiting_batch_;
  std::optional<Proposed> proposed_;
  std::unordered_map<store::RequestId, io::Slot<std::optional<store::Response>>*> slots_;
  store::RequestId next_token_ = 0;
  bool flushing_ = false;
  Replica::Role logged_role_ = Replica::Role::kFollower;
  http::Server clients_, messages_;
  store::OnDataDamaged on_damaged_;
  store::DiskRecovery disk_recovery_;
  io::Worker disk_;  // last: it ends first
};

// What a replica's directory is to hold before its first start: `content` is the state's digest,
// the same on all replicas.
Stored FirstStored(const ReplicaSet& set, const std::string& content);

}  // namespace badgershore::replication
