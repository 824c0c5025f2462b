// The state service on the event loop: an HTTP server, the state machine, and a thread that writes
// batches to disk.
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

// Writes batches on a thread of its own. The outcome of each is reported in the event loop: once,
// or twice if the first outcome was kUnknown. If the data on disk is corrupt, that is reported
// instead and the thread ends.
class DiskThread {
 public:
  using OnWritten = std::function<void(uint64_t batch, WriteOutcome written)>;
  DiskThread(Engine* engine, io::Mailbox* mailbox, OnWritten on_written,
             OnDataCorrupted on_damaged);
  ~DiskThread();
  void Write(Batch batch);

 private:
  void Run();
  void WriteUntilResolved(const Batch& batch);
  Engine* engine_;
  io::Mailbox* mailbox_;
  OnWritten on_written_;
  OnDataCorrupted on_damaged_;
  DiskRecovery recovery_;
  std::mutex mutex_;
  std::condition_variable wakeup_;
  std::optional<Batch> next_batch_;
  bool stopping_ = false;
  std::thread thread_;
};

// Formats a response for HTTP; none: the connection is closed without a response.
http::ServerResponse ToHttpResponse(const Request& request,
                                    const std::optional<Response>& response);

class Service {
 public:
  Service(io::Loop* loop, Engine* engine, Limits limits, size_t max_connections = 4096);
  // Starts to listen on `addr` (IPV4:PORT) and to serve clients.
  [[nodiscard]] Result<void> Start(const std::string& addr);
  // To be called before Start.
  void SetOnDataCorrupted(OnDataCorrupted on_damaged) { on_damaged_ = std::move(on_damaged); }
  std::string address() const { return server_.address(); }
  const StateMachine& machine() const { return state_machine_; }

 private:
  io::Task<http::ServerResponse> HandleRequest(http::Message request);
  io::Task<void> RunTimers();
  void Flush();

  io::Loop* loop_;
  io::Mailbox mailbox_;
  StateMachine state_machine_;
  std::unordered_map<RequestId, io::OneShotValue<Response>*> response_slots_;
  RequestId next_request_id_ = 0;
  bool logged_writes_blocked_ = false;
  Micros timer_deadline_ = kNever;
  io::OneShotValue<bool>* timer_slot_ = nullptr;
  OnDataCorrupted on_damaged_;
  http::Server server_;
  DiskThread disk_;  // last member: its thread ends before the others are destroyed
};

}  // namespace badgershore::store
