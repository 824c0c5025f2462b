// The connections between controllers: each dials the others and sends its notes.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/model/effects.h"
#include "core/model/settings.h"
#include "error/error.h"
#include "io/loop.h"

namespace badgershore::peer {

class Link {
 public:
  using OnNote = std::function<void(PeerStatus)>;
  using OnMember = std::function<void(membership::Message)>;
  using OnCell = std::function<void(limits::CellMessage)>;
  Link(io::Loop* loop, const PlatformSettings& settings, OnNote on_note, OnCell on_cell,
       OnMember on_member);
  // Listens for peers and serves from then on.
  [[nodiscard]] Result<void> Start();
  void Send(const PeerStatus& note);
  void Send(const membership::Message& message);
  // To controllers of another cell.
  void Send(const CellDelivery& send);

 private:
  // A note is news only until the next one; a peer that lags gets the latest.
  struct Outgoing {
    std::string name, addr;
    std::string frame;
    std::string probes;  // each of these counts
    bool busy = false;
    io::Socket socket;
  };
  io::Task<void> Accept();
  io::Task<void> Read(io::Socket socket);
  io::Task<void> Deliver(Outgoing* peer);

  io::Loop* loop_;
  std::string listen_;
  OnNote on_note_;
  OnCell on_cell_;
  OnMember on_member_;
  std::vector<std::unique_ptr<Outgoing>> peers_;
  std::map<std::string, std::unique_ptr<Outgoing>> cells_;  // by address
  io::Socket listener_;
  int readers_ = 0;
};

}  // namespace badgershore::peer
