#include "peer/peer_transport.h"

#include <utility>

namespace badgershore::peer {
namespace {

constexpr size_t kMaxQueuedBytes = 64 * 1024;  // for one peer
constexpr int kMaxReceivers = 96;              // controllers of this cell and leaders of others
constexpr Micros kConnectTimeout = Seconds(1);
constexpr Micros kWriteTimeout = Seconds(2);
constexpr Micros kReadTimeout = Seconds(20);  // peers send their status twice a second

}  // namespace

PeerTransport::PeerTransport(io::Loop* loop, const PlatformSettings& settings, Callbacks callbacks)
    : loop_(loop), listen_address_(settings.peer_listen), callbacks_(std::move(callbacks)) {
  for (const auto& member : settings.members) {
    if (member.name == settings.member) continue;
    auto peer = std::make_unique<OutgoingConnection>();
    peer->name = member.name;
    peer->address = member.addr;
    peers_.push_back(std::move(peer));
  }
}

Result<void> PeerTransport::Start() {
  Result<io::Socket> listener = io::Socket::Listen(loop_, listen_address_);
  if (!listener) return tl::make_unexpected(std::move(listener.error()));
  listener_ = std::move(*listener);
  io::Spawn(Accept());
  return {};
}

void PeerTransport::StartSending(OutgoingConnection* peer) {
  if (!peer->sending) io::Spawn(SendPending(peer));
}

void PeerTransport::Send(const PeerStatus& status) {
  const std::string frame = EncodeFrame(status);
  if (frame.size() > kMaxFrameBytes) return;
  for (auto& peer : peers_) {
    peer->latest_frame = frame;
    StartSending(peer.get());
  }
}

void PeerTransport::Enqueue(const std::string& member, const std::string& frame) {
  for (auto& peer : peers_) {
    if (peer->name != member) continue;
    // The peer is unreachable and the queued messages are out of date.
    if (peer->queued_frames.size() > kMaxQueuedBytes) peer->queued_frames.clear();
    peer->queued_frames += frame;
    StartSending(peer.get());
  }
}

void PeerTransport::Send(const membership::Message& message) {
  Enqueue(message.to, EncodeFrame(message));
}

void PeerTransport::Send(const CancellationConfirmation& confirmation) {
  Enqueue(confirmation.to, EncodeFrame(confirmation));
}

void PeerTransport::Send(const CellDelivery& delivery) {
  const std::string frame = EncodeFrame(delivery.message);
  if (frame.size() > kMaxFrameBytes) return;
  for (const std::string& address : delivery.addresses) {
    auto [it, added] = cell_controllers_.try_emplace(address);
    if (added) {
      it->second = std::make_unique<OutgoingConnection>();
      it->second->address = address;
    }
    it->second->latest_frame = frame;
    StartSending(it->second.get());
  }
}

io::Task<void> PeerTransport::SendPending(OutgoingConnection* peer) {
  peer->sending = true;
  while (!peer->latest_frame.empty() || !peer->queued_frames.empty()) {
    const std::string frames =
        std::exchange(peer->queued_frames, {}) + std::exchange(peer->latest_frame, {});
    if (!peer->socket.open()) {
      peer->socket =
          co_await io::Socket::Connect(loop_, peer->address, io::Loop::Now() + kConnectTimeout);
    }
    if (!peer->socket.open()) break;
    const bool sent = co_await peer->socket.WriteAll(frames, io::Loop::Now() + kWriteTimeout);
    if (!sent) peer->socket.Close();
  }
  peer->sending = false;
}

io::Task<void> PeerTransport::Accept() {
  for (;;) {
    io::Socket socket = co_await listener_.Accept();
    if (receivers_ >= kMaxReceivers) continue;
    io::Spawn(Receive(std::move(socket)));
  }
}

io::Task<void> PeerTransport::Receive(io::Socket socket) {
  ++receivers_;
  std::string received;
  for (;;) {
    char buffer[4096];
    const ssize_t n = co_await socket.Read(buffer, sizeof(buffer), io::Loop::Now() + kReadTimeout);
    if (n <= 0) break;
    received.append(buffer, static_cast<size_t>(n));
    if (!HandleFrames(&received)) break;
  }
  --receivers_;
}

bool PeerTransport::HandleFrames(std::string* received) {
  while (received->size() >= kHeaderBytes) {
    const std::optional<FrameHeader> header = DecodeHeader(*received);
    if (!header) return false;
    const size_t frame_size = kHeaderBytes + header->body_size;
    if (received->size() < frame_size) return true;
    HandleMessage(header->kind,
                  std::string_view(*received).substr(kHeaderBytes, header->body_size));
    received->erase(0, frame_size);
  }
  return true;
}

void PeerTransport::HandleMessage(FrameKind kind, std::string_view body) {
  switch (kind) {
    case FrameKind::kMembershipMessage:
      if (auto message = DecodeMembershipMessage(body)) {
        callbacks_.on_membership_message(std::move(*message));
      }
      return;
    case FrameKind::kCellMessage:
      if (auto message = DecodeCellMessage(body)) callbacks_.on_cell_message(std::move(*message));
      return;
    case FrameKind::kCancellationConfirmation:
      if (auto confirmation = DecodeCancellationConfirmation(body)) {
        callbacks_.on_cancellation_confirmation(std::move(*confirmation));
      }
      return;
    case FrameKind::kPeerStatus:
      if (auto status = DecodePeerStatus(body)) callbacks_.on_peer_status(std::move(*status));
      return;
  }
}

}  // namespace badgershore::peer
