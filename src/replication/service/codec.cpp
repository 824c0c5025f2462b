#include "replication/service/codec.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/deque.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <sstream>

namespace badgershore {

template <class A>
void serialize(A& a, Micros& m) {
  a(m.count);
}

namespace store {
template <class A>
void serialize(A& a, VersionedValue& i) {
  a(i.value, i.version, i.lease);
}
template <class A>
void serialize(A& a, ChangeLogEntry& r) {
  a(r.revision, r.key, r.value);
}
template <class A>
void serialize(A& a, Batch& b) {
  a(b.id, b.revision, b.last_lease_id, b.compacted_revision, b.items, b.leases, b.change_log);
}
template <class A>
void serialize(A& a, StateImage& i) {
  a(i.revision, i.last_lease_id, i.compacted_revision, i.items, i.leases, i.change_log);
}
}  // namespace store

namespace replication {
namespace {

constexpr uint8_t kFormat = 1;

template <typename T>
std::string Pack(const T& value) {
  std::ostringstream out;
  {
    cereal::PortableBinaryOutputArchive archive(out);
    archive(kFormat, value);
  }
  return std::move(out).str();
}

template <typename T>
std::optional<T> Unpack(std::string_view bytes) {
  try {
    std::istringstream in{std::string(bytes)};
    cereal::PortableBinaryInputArchive archive(in);
    uint8_t format = 0;
    archive(format);
    if (format != kFormat) return std::nullopt;
    T value;
    archive(value);
    return value;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace

template <class A>
void serialize(A& a, Position& p) {
  a(p.term, p.index);
}
template <class A>
void serialize(A& a, Entry& e) {
  a(e.previous, e.position, e.batch);
}
template <class A>
void serialize(A& a, Vote& v) {
  a(v.term, v.candidate);
}
template <class A>
void serialize(A& a, PersistentState& s) {
  a(s.vote, s.position, s.history, s.member);
}
template <class A>
void serialize(A& a, VoteRequest& m) {
  a(m.term, m.probe, m.position);
}
template <class A>
void serialize(A& a, VoteResponse& m) {
  a(m.term, m.probe, m.granted);
}
template <class A>
void serialize(A& a, AppendRequest& m) {
  a(m.term, m.sent, m.entry);
}
template <class A>
void serialize(A& a, SnapshotChunk& m) {
  a(m.term, m.sent, m.position, m.offset, m.size, m.bytes);
}
template <class A>
void serialize(A& a, AppendResponse& m) {
  a(m.term, m.sent, m.position, m.member, m.snapshot_bytes);
}
template <class A>
void serialize(A& a, Message& m) {
  a(m.from, m.history, m.body);
}

std::string Encode(const Message& message) { return Pack(message); }
std::string Encode(const store::StateImage& image) { return Pack(image); }
std::string Encode(const PersistentState& stored) { return Pack(stored); }

std::optional<Message> DecodeMessage(std::string_view bytes) { return Unpack<Message>(bytes); }
std::optional<store::StateImage> DecodeStateImage(std::string_view bytes) {
  return Unpack<store::StateImage>(bytes);
}
std::optional<PersistentState> DecodePersistentState(std::string_view bytes) {
  return Unpack<PersistentState>(bytes);
}

}  // namespace replication
}  // namespace badgershore
