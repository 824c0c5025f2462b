#include "peer/messages.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/array.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <sstream>

namespace badgershore {

template <class Archive>
void serialize(Archive& ar, JobStatus& d) {
  ar(d.job, d.done, d.running);
}

template <class Archive>
void serialize(Archive& ar, PeerStatus& n) {
  ar(n.from, n.term, n.leader, n.state_service_reachable, n.job_statuses);
}

namespace limits {

template <class Archive>
void serialize(Archive& ar, QuotaRequest& w) {
  ar(w.units, w.waiting_since_ms, w.priority, w.all_or_nothing);
}

template <class Archive>
void serialize(Archive& ar, CellMessage& n) {
  ar(n.from, n.to, n.leader_address, n.term, n.nonce, n.echoed_nonce, n.sent, n.received,
     n.in_transit, n.held, n.totals, n.requests, n.closed);
}

}  // namespace limits

namespace membership {

template <class Archive>
void serialize(Archive& ar, Update& u) {
  ar(u.member, u.state, u.incarnation, u.suspected_by);
}

template <class Archive>
void serialize(Archive& ar, Message& m) {
  ar(m.kind, m.from, m.to, m.incarnation, m.number, m.target, m.state_service_reachable,
     m.receives_heartbeats, m.gossip);
}

}  // namespace membership

namespace peer {
namespace {

constexpr uint32_t kCellMark = uint32_t{1} << 30, kMemberMark = uint32_t{1} << 29;

std::string Framed(const std::string& body, uint32_t mark) {
  const uint32_t head = static_cast<uint32_t>(body.size()) | mark;
  std::string framed(4, '\0');
  for (size_t i = 0; i < 4; ++i) framed[i] = static_cast<char>(head >> (8 * i) & 0xff);
  return framed + body;
}

template <typename T>
std::string Packed(const T& what, uint32_t mark) {
  std::ostringstream out;
  {
    cereal::PortableBinaryOutputArchive ar(out);
    ar(what);
  }
  return Framed(out.str(), mark);
}

template <typename T>
std::optional<T> Unpacked(std::string_view body) {
  std::istringstream in{std::string(body)};
  T what;
  try {
    cereal::PortableBinaryInputArchive ar(in);
    ar(what);
  } catch (const std::exception&) {
    return std::nullopt;
  }
  return what;
}

}  // namespace

std::string Encode(const limits::CellMessage& note) { return Packed(note, kCellMark); }
std::optional<limits::CellMessage> DecodeCell(std::string_view body) {
  return Unpacked<limits::CellMessage>(body);
}
std::string Encode(const membership::Message& message) { return Packed(message, kMemberMark); }
std::optional<membership::Message> DecodeMember(std::string_view body) {
  return Unpacked<membership::Message>(body);
}

std::string Encode(const PeerStatus& note) {
  std::ostringstream out;
  {
    cereal::PortableBinaryOutputArchive ar(out);
    // What came with later versions stands at the end: an earlier one doesn't read it.
    ar(note, note.receives_heartbeats, note.cancelling, note.cancelled);
  }
  return Framed(out.str(), 0);
}

std::optional<PeerStatus> Decode(std::string_view body) {
  std::istringstream in{std::string(body)};
  PeerStatus note;
  int parts = 0;  // one for each version that added something
  try {
    cereal::PortableBinaryInputArchive ar(in);
    ar(note);
    ++parts;
    ar(note.receives_heartbeats);
    ++parts;
    ar(note.cancelling, note.cancelled);
  } catch (const std::exception&) {
    if (parts == 0) return std::nullopt;
    if (parts == 1) note.receives_heartbeats = false;
    note.cancelling.clear();
    note.cancelled.clear();
  }
  return note;
}

std::optional<Head> ReadHead(std::string_view four) {
  uint32_t n = 0;
  for (size_t i = 0; i < 4; ++i)
    n |= static_cast<uint32_t>(static_cast<unsigned char>(four[i])) << (8 * i);
  const Head head{n & ~(kCellMark | kMemberMark), (n & kCellMark) != 0, (n & kMemberMark) != 0};
  if (head.size == 0 || head.size > kMostBytes) return std::nullopt;
  return head;
}

}  // namespace peer
}  // namespace badgershore
