// Connections between controllers, over TCP.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "core/model/effects.h"
#include "core/model/settings.h"
#include "error/error.h"
#include "io/loop.h"
#include "peer/messages.h"

namespace badgershore::peer {

// Connects to each receiver on demand and accepts connections from other controllers. Messages may
// be lost or replaced by later ones; they are not acknowledged.
class PeerTransport {
 public:
  struct Callbacks {
    std::function<void(PeerStatus)> on_peer_status;
    std::function<void(limits::CellMessage)> on_cell_message;
    std::function<void(membership::Message)> on_membership_message;
    std::function<void(CancellationConfirmation)> on_cancellation_confirmation;
  };
  PeerTransport(io::Loop* loop, const PlatformSettings& settings, Callbacks callbacks);

  // Listens for peers and starts to receive messages.
  [[nodiscard]] Result<void> Start();
  // Sends to all other controllers of the cell.
  void Send(const PeerStatus& status);
  // These send to the member in `to`.
  void Send(const membership::Message& message);
  void Send(const CancellationConfirmation& confirmation);
  // Sends to controllers of another cell.
  void Send(const CellDelivery& delivery);

 private:
  struct OutgoingConnection {
    std::string name;
    std::string address;
    std::string latest_frame;   // replaces an older frame that was not sent
    std::string queued_frames;  // all of these are sent
    bool sending = false;
    io::Socket socket;
  };
  void StartSending(OutgoingConnection* peer);
  void Enqueue(const std::string& member, const std::string& frame);
  io::Task<void> SendPending(OutgoingConnection* peer);
  io::Task<void> Accept();
  io::Task<void> Receive(io::Socket socket);
  // Handles and removes all complete frames. Returns false if the stream is malformed.
  bool HandleFrames(std::string* received);
  void HandleMessage(FrameKind kind, std::string_view body);

  io::Loop* loop_;
  std::string listen_address_;
  Callbacks callbacks_;
  std::vector<std::unique_ptr<OutgoingConnection>> peers_;
  std::map<std::string, std::unique_ptr<OutgoingConnection>> cell_controllers_;  // by address
  io::Socket listener_;
  int receivers_ = 0;
};

}  // namespace badgershore::peer
