// The state service on the loop: HTTP in front, the machine in the middle, the disk on a thread
// of its own behind.
#pragma once

#include <condition_variable>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <unordered_map>

#include "error/error.h"
#include "http/server.h"
#include "io/mailbox.h"
#include "store/disk/engine.h"
#include "store/service/disk_recovery.h"
#include "store/state_machine.h"

namespace badgershore::store {

// Writes batches off the loop's thread. Each is answered in the loop, once, or twice where the
// first answer was kUnknown; not at all where the disk turns out to be damaged, which is told
// instead and ends the writing.
class DiskThread {
 public:
  using OnWritten = std::function<void(uint64_t batch, WriteOutcome written)>;
  DiskThread(Engine* engine, io::Mailbox* mailbox, OnWritten on_written, OnDataDamaged on_damaged);
  ~DiskThread();
  void Write(Batch batch);

 private:
  void Run();
  void WriteToTheEnd(const Batch& batch);
  Engine* engine_;
  io::Mailbox* mailbox_;
  OnWritten on_written_;
  OnDataDamaged on_damaged_;
  DiskRecovery recovery_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::optional<Batch> next_;
  bool ending_ = false;
  std::thread thread_;
};

// A client's answer in its HTTP form; none: the connection is closed without one.
http::ServerAnswer ToHttp(const Request& request, const std::optional<Response>& answer);

class Service {
 public:
  Service(io::Loop* loop, Engine* engine, Limits limits, size_t max_connections = 4096);
  // Listens for clients on `addr` (IPV4:PORT) and serves from then on.
  [[nodiscard]] Result<void> Start(const std::string& addr);
  // Call it before Start.
  void SetOnDataDamaged(OnDataDamaged on_damaged) { on_damaged_ = std::move(on_damaged); }
  std::string address() const { return server_.address(); }
  const StateMachine& machine() const { return machine_; }

 private:
  io::Task<http::ServerAnswer> Handle(http::Message request);
  io::Task<void> Timers();
  void Flush();

  io::Loop* loop_;
  io::Mailbox mailbox_;
  StateMachine machine_;
  std::unordered_map<RequestId, io::Slot<Response>*> slots_;
  RequestId next_token_ = 0;
  bool stalled_ = false;
  Micros timer_at_ = kNever;
  io::Slot<bool>* timer_ = nullptr;
  OnDataDamaged on_damaged_;
  http::Server server_;
  DiskThread disk_;  // last: it ends first
};

}  // namespace badgershore::store
