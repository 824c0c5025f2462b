// Binary encoding of messages, snapshots and persistent metadata of replicas. Each begins with a
// format number; an unknown one is rejected.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "replication/core/messages.h"

namespace badgershore::replication {

std::string Encode(const Message& message);
std::string Encode(const store::StateImage& image);
std::string Encode(const PersistentState& stored);

// Nothing if the bytes have another format or are truncated.
std::optional<Message> DecodeMessage(std::string_view bytes);
std::optional<store::StateImage> DecodeStateImage(std::string_view bytes);
std::optional<PersistentState> DecodePersistentState(std::string_view bytes);

}  // namespace badgershore::replication
