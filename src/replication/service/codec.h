// Replicas' messages, states and disk notes as bytes. Each begins with the number of its form;
// another one is not read.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "replication/core/messages.h"

namespace badgershore::replication {

std::string Encode(const Message& message);
std::string Encode(const store::StateImage& image);
std::string Encode(const Stored& stored);

// Nothing where the bytes are of another form or cut short.
std::optional<Message> DecodeMessage(std::string_view bytes);
std::optional<store::StateImage> DecodeImage(std::string_view bytes);
std::optional<Stored> DecodeStored(std::string_view bytes);

}  // namespace badgershore::replication
