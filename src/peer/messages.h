// Frames between controllers: a four-byte header (size and kind) followed by a message in cereal's
// portable binary format.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "core/model/effects.h"

namespace badgershore::peer {

constexpr size_t kHeaderBytes = 4;
constexpr size_t kMaxFrameBytes = 256 * 1024;

enum class FrameKind { kPeerStatus, kCellMessage, kMembershipMessage, kCancellationConfirmation };
struct FrameHeader {
  size_t body_size = 0;  // bytes that follow the header
  FrameKind kind = FrameKind::kPeerStatus;
};

// Returns a complete frame.
std::string EncodeFrame(const PeerStatus& status);
std::string EncodeFrame(const limits::CellMessage& message);
std::string EncodeFrame(const membership::Message& message);
// Earlier versions close the connection on this frame. It is only sent to a controller that has
// asked for it.
std::string EncodeFrame(const CancellationConfirmation& confirmation);

// `header` must have at least kHeaderBytes. Returns nullopt if the size is out of bounds.
std::optional<FrameHeader> DecodeHeader(std::string_view header);

// Decode the body of a frame. Return nullopt if it is malformed.
std::optional<PeerStatus> DecodePeerStatus(std::string_view body);
std::optional<limits::CellMessage> DecodeCellMessage(std::string_view body);
std::optional<membership::Message> DecodeMembershipMessage(std::string_view body);
std::optional<CancellationConfirmation> DecodeCancellationConfirmation(std::string_view body);

}  // namespace badgershore::peer
