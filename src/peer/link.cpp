#include "peer/link.h"

#include "core/model/settings.h"
#include "peer/messages.h"

namespace badgershore::peer {
namespace {
constexpr size_t kMostProbes = 16 * 1024;
constexpr int kMostReaders = 96;  // controllers of this cell and leaders of others
}  // namespace

Link::Link(io::Loop* loop, const PlatformSettings& settings, OnNote on_note, OnCell on_cell,
           OnMember on_member)
    : loop_(loop),
      listen_(settings.peer_listen),
      on_note_(std::move(on_note)),
      on_cell_(std::move(on_cell)),
      on_member_(std::move(on_member)) {
  for (const auto& m : settings.members) {
    if (m.name == settings.member) continue;
    peers_.push_back(std::make_unique<Outgoing>());
    peers_.back()->name = m.name;
    peers_.back()->addr = m.addr;
  }
}

Result<void> Link::Start() {
  Result<io::Socket> listener = io::Socket::Listen(loop_, listen_);
  if (!listener) return tl::make_unexpected(std::move(listener.error()));
  listener_ = std::move(*listener);
  io::Spawn(Accept());
  return {};
}

void Link::Send(const PeerStatus& note) {
  const std::string frame = Encode(note);
  if (frame.size() > kMostBytes) return;
  for (auto& peer : peers_) {
    peer->frame = frame;
    if (!peer->busy) io::Spawn(Deliver(peer.get()));
  }
}

void Link::Send(const membership::Message& message) {
  for (auto& peer : peers_) {
    if (peer->name != message.to) continue;
    // Where none gets through they are old news.
    if (peer->probes.size() > kMostProbes) peer->probes.clear();
    peer->probes += Encode(message);
    if (!peer->busy) io::Spawn(Deliver(peer.get()));
  }
}

void Link::Send(const CellDelivery& send) {
  const std::string frame = Encode(send.message);
  if (frame.size() > kMostBytes) return;
  for (const std::string& addr : send.addresses) {
    auto [it, fresh] = cells_.try_emplace(addr);
    if (fresh) {
      it->second = std::make_unique<Outgoing>();
      it->second->addr = addr;
    }
    it->second->frame = frame;
    if (!it->second->busy) io::Spawn(Deliver(it->second.get()));
  }
}

io::Task<void> Link::Deliver(Outgoing* peer) {
  peer->busy = true;
  while (!peer->frame.empty() || !peer->probes.empty()) {
    const std::string frame = std::exchange(peer->probes, {}) + std::exchange(peer->frame, {});
    if (!peer->socket.open()) {
      peer->socket = co_await io::Socket::Connect(loop_, peer->addr, io::Loop::Now() + Seconds(1));
    }
    if (!peer->socket.open()) break;
    const bool sent = co_await peer->socket.WriteAll(frame, io::Loop::Now() + Seconds(2));
    if (!sent) peer->socket.Close();
  }
  peer->busy = false;
}

io::Task<void> Link::Accept() {
  for (;;) {
    io::Socket socket = co_await listener_.Accept();
    if (readers_ >= kMostReaders) continue;
    io::Spawn(Read(std::move(socket)));
  }
}

io::Task<void> Link::Read(io::Socket socket) {
  ++readers_;
  std::string pending;
  for (;;) {
    char buffer[4096];
    // Notes come twice a second; a link without any is dead.
    const ssize_t n = co_await socket.Read(buffer, sizeof(buffer), io::Loop::Now() + Seconds(20));
    if (n <= 0) break;
    pending.append(buffer, static_cast<size_t>(n));
    bool bad = false;
    while (pending.size() >= 4) {
      const auto head = ReadHead(pending);
      if (!head) {
        bad = true;
        break;
      }
      if (pending.size() < 4 + head->size) break;
      const std::string_view body = std::string_view(pending).substr(4, head->size);
      if (head->member) {
        if (auto message = DecodeMember(body)) on_member_(std::move(*message));
      } else if (head->cell) {
        if (auto note = DecodeCell(body)) on_cell_(std::move(*note));
      } else if (auto note = Decode(body)) {
        on_note_(std::move(*note));
      }
      pending.erase(0, 4 + head->size);
    }
    if (bad) break;
  }
  --readers_;
}

}  // namespace badgershore::peer
