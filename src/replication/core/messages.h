// Messages between replicas of the state service, and a replica's persistent state.
//
// The replicated log is a chain of batches (store/model.h). A position identifies a batch and thus
// the state after it: only the leader of `term` creates batches of that term, and each batch
// follows exactly one earlier position.
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

// A log entry: a batch and its place in the chain. An entry without a batch is the first one of a
// leader's term: it changes nothing, and committing it commits all entries before it.
struct Entry {
  Position previous, position;
  std::optional<store::Batch> batch;
};

// This replica's vote in `term`. An empty candidate: it has not voted and will not vote in that
// term.
struct Vote {
  uint64_t term = 0;
  std::string candidate;
  bool operator==(const Vote&) const = default;
};

// A replica's persistent metadata, stored with the state.
struct PersistentState {
  Vote vote;
  Position position;    // of the last batch applied to the state
  std::string history;  // identifies the service, the same on all its replicas; empty: new disk
  // Whether it votes and counts towards a quorum. A replica that has lost its disk does neither
  // until it has the leader's state: entries that it had acknowledged could be missing from the
  // quorum.
  bool member = false;
};

// A candidate's request for a vote. With `probe` it is a pre-vote: it asks whether the vote would
// be granted, without any commitment.
struct VoteRequest {
  uint64_t term = 0;
  bool probe = false;
  Position position;
};
struct VoteResponse {
  uint64_t term = 0;
  bool probe = false, granted = false;
};

// From the leader of `term`: the next entry, or none for a heartbeat. `sent` is the time on the
// leader's clock; the response returns it.
struct AppendRequest {
  uint64_t term = 0;
  Micros sent;
  std::optional<Entry> entry;
};
// A chunk of a snapshot of the leader's state, for a replica that the leader's recent entries can't
// bring up to date.
struct SnapshotChunk {
  uint64_t term = 0;
  Micros sent;
  Position position;
  uint64_t offset = 0, size = 0;
  std::string bytes;
};
// The response to an AppendRequest or a SnapshotChunk: the sender follows that leader, and its
// state is durable up to `position`.
struct AppendResponse {
  uint64_t term = 0;
  Micros sent;
  Position position;
  bool member = false;
  uint64_t snapshot_bytes = 0;  // received so far of the snapshot in transfer
};

struct Message {
  std::string from, history;
  std::variant<VoteRequest, VoteResponse, AppendRequest, SnapshotChunk, AppendResponse> body;
};

}  // namespace badgershore::replication
