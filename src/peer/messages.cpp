#include "peer/messages.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <sstream>

namespace badgershore {

template <class Archive>
void serialize(Archive& ar, JobDigest& d) {
  ar(d.job, d.done, d.running);
}

template <class Archive>
void serialize(Archive& ar, PeerNote& n) {
  ar(n.from, n.term, n.leader, n.state_ok, n.jobs);
}

namespace peer {

std::string Encode(const PeerNote& note) {
  std::ostringstream out;
  {
    cereal::PortableBinaryOutputArchive ar(out);
    // What came with later versions stands at the end: an earlier one doesn't read it.
    ar(note, note.hears_workers);
  }
  const std::string body = out.str();
  std::string framed(4, '\0');
  for (size_t i = 0; i < 4; ++i) framed[i] = static_cast<char>(body.size() >> (8 * i) & 0xff);
  return framed + body;
}

std::optional<PeerNote> Decode(std::string_view body) {
  std::istringstream in{std::string(body)};
  PeerNote note;
  bool whole = false;
  try {
    cereal::PortableBinaryInputArchive ar(in);
    ar(note);
    whole = true;
    ar(note.hears_workers);
  } catch (const std::exception&) {
    if (!whole) return std::nullopt;
    note.hears_workers = false;  // of an earlier version
  }
  return note;
}

std::optional<size_t> BodySize(std::string_view four) {
  size_t n = 0;
  for (size_t i = 0; i < 4; ++i)
    n |= static_cast<size_t>(static_cast<unsigned char>(four[i])) << (8 * i);
  if (n == 0 || n > kMostBytes) return std::nullopt;
  return n;
}

}  // namespace peer
}  // namespace badgershore
