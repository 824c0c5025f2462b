// One replica of the state service on the event loop: HTTP servers for clients and for the other
// replicas, the replication core, the store's state machine while this replica leads, and a thread
// for the disk.
//
// A replica that does not lead forwards client requests to the leader. The leader responds only
// while no other replica can lead; otherwise it closes the connection without a response.
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
  // `name`: this replica's name in the set. Nothing else may use `engine` from now on. Throws a
  // store::DiskError if the directory holds the state of an unreplicated service.
  ReplicatedService(io::Loop* loop, store::Engine* engine, store::Limits limits,
                    const ReplicaSet& set, const std::string& name, size_t max_connections);
  ~ReplicatedService();
  // Starts to listen for clients and replicas, and to take part in the protocol.
  [[nodiscard]] Result<void> Start();
  // To be called before Start.
  void SetOnDataCorrupted(store::OnDataCorrupted on_damaged) {
    on_damaged_ = std::move(on_damaged);
  }
  const std::string& address() const { return self_.client; }

 private:
  struct Peer {
    ReplicaAddress address;
    std::unique_ptr<http::Client> messages, forwards;
    int in_flight = 0;  // messages without a response yet
  };
  struct Proposal {
    Position position;
    uint64_t batch = 0;
  };

  io::Task<http::ServerResponse> HandleClient(http::Message request);
  io::Task<http::ServerResponse> HandleReplicaMessage(http::Message request);
  io::Task<http::ServerResponse> HandleLocally(http::Message request);
  io::Task<http::ServerResponse> Forward(Peer* leader, http::Message request);
  http::ServerResponse StatusResponse() const;
  io::Task<void> RunTicks();
  io::Task<void> Post(Peer* peer, std::string body);
  // Executes the effects of the replication core and the state machine.
  void Flush();
  void FlushStateMachine();
  // Runs `job` on the disk thread after all earlier jobs, then the function that it returns in the
  // event loop.
  void PostDiskJob(io::Worker::Job job);
  void WriteToDisk(const Write& write);
  store::WriteOutcome WriteToEngine(const Write& write, const std::string& owner_metadata);
  void LoadImage();
  void UpdateRole();
  void StartStateMachine(uint64_t term, store::StateImage image);
  void StopStateMachine();
  bool CanServe() const;

  io::Loop* loop_;
  store::Engine* engine_;
  store::Limits limits_;
  ReplicaAddress self_;
  io::Mailbox mailbox_;
  Replica replica_;
  std::map<std::string, Peer> peers_;
  // Set while this replica leads and has loaded its state.
  std::unique_ptr<store::StateMachine> state_machine_;
  uint64_t state_machine_term_ = 0, loading_term_ = 0;
  std::optional<store::Batch> queued_batch_;
  std::optional<Proposal> proposal_;
  std::unordered_map<store::RequestId, io::OneShotValue<std::optional<store::Response>>*>
      response_slots_;
  store::RequestId next_request_id_ = 0;
  bool flushing_ = false;
  Replica::Role logged_role_ = Replica::Role::kFollower;
  http::Server client_server_, replica_server_;
  store::OnDataCorrupted on_damaged_;
  store::DiskRecovery disk_recovery_;
  io::Worker disk_;  // last member: its thread ends before the others are destroyed
};

// The metadata that a replica's directory needs before its first start. `content` is a digest of
// the initial state, which is the same on all replicas.
PersistentState InitialPersistentState(const ReplicaSet& set, const std::string& content);

}  // namespace badgershore::replication
