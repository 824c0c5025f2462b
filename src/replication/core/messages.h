// What replicas of the state service tell each other, and what a replica keeps on its disk.
//
// The replicated log is a chain of batches (store/model.h). A position names a batch and, with it,
// the whole state after it: only the leader of `term` makes batches of that term, each on top of
// exactly one earlier position.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "core/model/time.h"
#include "store/model.h"

namespace badgershore::replication {

struct Position {
  uint64_t term = 0, index = 0;
  auto operator<=>(const Position&) const = default;
};

// A batch and where it stands in the chain. Without one it is what a leader begins its term with:
// it changes nothing, and what stands before it is committed with it.
struct Entry {
  Position previous, position;
  std::optional<store::Batch> batch;
};

// For whom this replica has voted in `term`; no candidate: for nobody, and it will not in that
// term.
struct Vote {
  uint64_t term = 0;
  std::string candidate;
  bool operator==(const Vote&) const = default;
};

// What the disk of a replica holds beside the state itself.
struct Stored {
  Vote vote;
  Position position;    // of the last batch that the state contains
  std::string history;  // the same on all replicas of one service; empty: the disk was empty
  // Votes, and counts for majorities. A replica that has lost its disk does neither until it has
  // the leader's state: what it had acknowledged before would be missing from the majority.
  bool member = false;
};

// A candidate asks for a vote. A probe asks whether a vote would be given, and binds nobody.
struct VoteRequest {
  uint64_t term = 0;
  bool probe = false;
  Position position;
};
struct VoteAnswer {
  uint64_t term = 0;
  bool probe = false, granted = false;
};

// From the leader of `term`: the next batch, or none, which is a heartbeat. `sent` is the leader's
// own clock; it comes back with the answer.
struct Append {
  uint64_t term = 0;
  Micros sent;
  std::optional<Entry> entry;
};
// A part of the leader's whole state, for a replica whose position is not in the leader's chain.
struct ImagePart {
  uint64_t term = 0;
  Micros sent;
  Position position;
  uint64_t offset = 0, size = 0;
  std::string bytes;
};
// To an Append or an ImagePart: that leader is followed, and so much is durable here.
struct AppendAnswer {
  uint64_t term = 0;
  Micros sent;
  Position position;
  bool member = false;
  uint64_t image_bytes = 0;  // of the image under way, from its beginning
};

struct Message {
  std::string from, history;
  std::variant<VoteRequest, VoteAnswer, Append, ImagePart, AppendAnswer> body;
};

}  // namespace badgershore::replication
