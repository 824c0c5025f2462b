#include "peer/messages.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/array.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <sstream>

namespace badgershore {

template <class Archive>
void serialize(Archive& ar, JobStatus& status) {
  ar(status.job, status.done, status.running);
}

template <class Archive>
void serialize(Archive& ar, PeerStatus& status) {
  ar(status.from, status.term, status.leader, status.state_service_reachable, status.job_statuses);
}

template <class Archive>
void serialize(Archive& ar, CancellationConfirmation& confirmation) {
  ar(confirmation.from, confirmation.to, confirmation.jobs);
}

namespace limits {

template <class Archive>
void serialize(Archive& ar, QuotaRequest& request) {
  ar(request.units, request.waiting_since_ms, request.priority, request.all_or_nothing);
}

template <class Archive>
void serialize(Archive& ar, CellMessage& message) {
  ar(message.from, message.to, message.leader_address, message.term, message.nonce,
     message.echoed_nonce, message.sent, message.received, message.in_transit, message.held,
     message.totals, message.requests, message.closed);
}

}  // namespace limits

namespace membership {

template <class Archive>
void serialize(Archive& ar, Update& update) {
  ar(update.member, update.state, update.incarnation, update.suspected_by);
}

template <class Archive>
void serialize(Archive& ar, Message& message) {
  ar(message.kind, message.from, message.to, message.incarnation, message.number, message.target,
     message.state_service_reachable, message.receives_heartbeats, message.gossip);
}

}  // namespace membership

namespace peer {
namespace {

// Flags in the header, in the bits above the size.
constexpr uint32_t kCellFlag = uint32_t{1} << 30;
constexpr uint32_t kMembershipFlag = uint32_t{1} << 29;
constexpr uint32_t kConfirmationFlag = uint32_t{1} << 28;

std::string AddHeader(const std::string& body, uint32_t flags) {
  const uint32_t header = static_cast<uint32_t>(body.size()) | flags;
  std::string frame(kHeaderBytes, '\0');
  for (size_t i = 0; i < kHeaderBytes; ++i) {
    frame[i] = static_cast<char>(header >> (8 * i) & 0xff);
  }
  return frame + body;
}

template <typename T>
std::string Encode(const T& message, uint32_t flags) {
  std::ostringstream out;
  {
    cereal::PortableBinaryOutputArchive archive(out);
    archive(message);
  }
  return AddHeader(out.str(), flags);
}

template <typename T>
std::optional<T> Decode(std::string_view body) {
  std::istringstream in{std::string(body)};
  T message;
  try {
    cereal::PortableBinaryInputArchive archive(in);
    archive(message);
  } catch (const std::exception&) {
    return std::nullopt;
  }
  return message;
}

}  // namespace

std::string EncodeFrame(const limits::CellMessage& message) { return Encode(message, kCellFlag); }

std::string EncodeFrame(const membership::Message& message) {
  return Encode(message, kMembershipFlag);
}

std::string EncodeFrame(const CancellationConfirmation& confirmation) {
  return Encode(confirmation, kConfirmationFlag);
}

std::string EncodeFrame(const PeerStatus& status) {
  std::ostringstream out;
  {
    cereal::PortableBinaryOutputArchive archive(out);
    // Fields added by later versions come last; earlier versions do not read them.
    archive(status, status.receives_heartbeats, status.cancelling, status.cancelled);
    if (!status.unconfirmed.empty()) archive(status.unconfirmed);
  }
  return AddHeader(out.str(), 0);
}

std::optional<limits::CellMessage> DecodeCellMessage(std::string_view body) {
  return Decode<limits::CellMessage>(body);
}

std::optional<membership::Message> DecodeMembershipMessage(std::string_view body) {
  return Decode<membership::Message>(body);
}

std::optional<CancellationConfirmation> DecodeCancellationConfirmation(std::string_view body) {
  return Decode<CancellationConfirmation>(body);
}

std::optional<PeerStatus> DecodePeerStatus(std::string_view body) {
  std::istringstream in{std::string(body)};
  PeerStatus status;
  int versions_read = 0;  // how many versions' sets of fields were read
  try {
    cereal::PortableBinaryInputArchive archive(in);
    archive(status);
    ++versions_read;
    archive(status.receives_heartbeats);
    ++versions_read;
    archive(status.cancelling, status.cancelled);
    ++versions_read;
    archive(status.unconfirmed);
  } catch (const std::exception&) {
    if (versions_read == 0) return std::nullopt;
    if (versions_read == 1) status.receives_heartbeats = false;
    if (versions_read <= 2) {
      status.cancelling.clear();
      status.cancelled.clear();
    }
    status.unconfirmed.clear();
  }
  return status;
}

std::optional<FrameHeader> DecodeHeader(std::string_view header) {
  uint32_t value = 0;
  for (size_t i = 0; i < kHeaderBytes; ++i) {
    value |= static_cast<uint32_t>(static_cast<unsigned char>(header[i])) << (8 * i);
  }
  FrameHeader decoded;
  decoded.body_size = value & ~(kCellFlag | kMembershipFlag | kConfirmationFlag);
  if (value & kMembershipFlag) {
    decoded.kind = FrameKind::kMembershipMessage;
  } else if (value & kCellFlag) {
    decoded.kind = FrameKind::kCellMessage;
  } else if (value & kConfirmationFlag) {
    decoded.kind = FrameKind::kCancellationConfirmation;
  }
  if (decoded.body_size == 0 || decoded.body_size > kMaxFrameBytes) return std::nullopt;
  return decoded;
}

}  // namespace peer
}  // namespace badgershore
