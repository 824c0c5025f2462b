// A running controller: the core on the loop, with its edges.
#pragma once

#include <memory>
#include <string>
#include <unordered_map>

#include "adapters/cloud_client.h"
#include "adapters/metrics.h"
#include "adapters/state_client.h"
#include "core/controller/controller.h"
#include "error/error.h"
#include "http/server.h"
#include "peer/link.h"

namespace badgershore::adapters {

class Node {
 public:
  Node(io::Loop* loop, const PlatformSettings& settings, Options options);
  // Listens for users, workers and peers, and runs the core from then on.
  [[nodiscard]] Result<void> Start();
  // Hands over, goes on answering for a moment, and then calls `done`.
  void End(std::function<void()> done);

 private:
  io::Task<void> WindDown(std::function<void()> done);
  io::Task<http::ServerAnswer> Handle(http::Message request);
  http::ServerAnswer HandleMetrics();
  io::Task<http::ServerAnswer> HandleWork(http::Message request, std::string path);
  io::Task<http::ServerAnswer> HandleCheckin(http::Message request);
  io::Task<void> Ticks();
  io::Task<void> TaskPhase(StateRequest op);
  io::Task<void> RunCloud(CloudRequest op);
  io::Task<void> RunDirect(CommandRequest op);
  // Carries out what the core has asked for since the last time.
  void Flush();

  io::Loop* loop_;
  PlatformSettings settings_;
  Controller core_;
  StateClient state_;
  CloudClient cloud_;
  peer::Link link_;
  http::Server server_;
  Metrics metrics_;
  void LogWaits();
  Micros waits_logged_;

  bool flushing_ = false;
  RequestId next_token_ = 0;
  std::unordered_map<RequestId, io::Slot<ApiResponse>*> users_;
  std::unordered_map<RequestId, io::Slot<HeartbeatResponse>*> checkins_;
};

}  // namespace badgershore::adapters
