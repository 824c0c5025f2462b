// What controllers tell each other, in cereal's portable binary form.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "core/model/effects.h"

namespace badgershore::peer {

constexpr size_t kMostBytes = 256 * 1024;

std::string Encode(const PeerStatus& note);  // with its length in front
std::optional<PeerStatus> Decode(std::string_view body);
// What a cell's leader tells another cell's; its frame is marked.
std::string Encode(const limits::CellMessage& note);
std::optional<limits::CellMessage> DecodeCell(std::string_view body);
// Probes among controllers of a cell; marked, too.
std::string Encode(const membership::Message& message);
std::optional<membership::Message> DecodeMember(std::string_view body);
// What follows the four bytes; nothing where its length is out of bounds.
struct Head {
  size_t size = 0;
  bool cell = false, member = false;
};
std::optional<Head> ReadHead(std::string_view four_bytes);

}  // namespace badgershore::peer
