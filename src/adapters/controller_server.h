// A running controller: the controller core on an event loop, with its network connections.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "adapters/cloud_client.h"
#include "adapters/metrics.h"
#include "adapters/state_client.h"
#include "core/controller/controller.h"
#include "error/error.h"
#include "http/server.h"
#include "peer/peer_transport.h"

namespace badgershore::adapters {

// Passes HTTP requests, peer messages, responses and ticks to the core and applies the effects that
// it returns. Everything runs on the loop's thread.
class ControllerServer {
 public:
  ControllerServer(io::Loop* loop, const PlatformSettings& settings, Options options);
  // Listens for users, agents and peers and starts the core's ticks.
  [[nodiscard]] Result<void> Start();
  // Hands over leadership, keeps responding for another second, then calls `done`.
  void Shutdown(std::function<void()> done);

 private:
  io::Task<void> RunShutdown(std::function<void()> done);
  io::Task<void> TickLoop();
  void LogUserLatency();

  io::Task<http::ServerResponse> Handle(http::Message request);
  http::ServerResponse HandleMetrics();
  io::Task<http::ServerResponse> HandleJobRequest(http::Message request, std::string path);
  io::Task<http::ServerResponse> HandleHeartbeat(http::Message request);

  // Applies the core's effects until there are none left.
  void ApplyEffects();
  void DeliverResponses(Effects* effects);
  void SendToPeers(const Effects& effects);
  void StartRequests(Effects* effects);
  io::Task<void> SendStateRequest(StateRequest request);
  io::Task<void> SendCloudRequest(CloudRequest request);
  io::Task<void> SendCommandRequest(CommandRequest request);

  io::Loop* loop_;
  PlatformSettings settings_;
  Controller core_;
  StateClient state_;
  CloudClient cloud_;
  peer::PeerTransport peers_;
  http::Server server_;
  Metrics metrics_;
  Micros latency_logged_at_;
  bool applying_effects_ = false;
  RequestId last_request_id_ = 0;
  std::unordered_map<RequestId, io::OneShotValue<ApiResponse>*> pending_job_requests_;
  std::unordered_map<RequestId, io::OneShotValue<HeartbeatResponse>*> pending_heartbeats_;
};

}  // namespace badgershore::adapters
