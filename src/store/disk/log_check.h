// Looks through a log file of the storage library before the library opens it.
//
// The library takes a record that seems to reach past the end of a log for a torn one and drops
// it, with all that follows in its block: a flipped bit in a length would lose answered commits
// silently. So each log is walked first, by the published format of RocksDB's write-ahead log
// (blocks of 32 KiB; records of checksum, length, type and payload; wiki page "Write Ahead Log
// File Format"), and a bad place counts as a torn end only where nothing whole comes after it and
// no change of one byte of its length makes it whole.
#pragma once

#include <cstdint>
#include <string>

namespace badgershore::store {

struct LogCheck {
  enum class State { kWhole, kTorn, kDamaged } state = State::kWhole;
  uint64_t good_bytes = 0;  // up to here the records are whole
  uint64_t bad_at = 0;      // kTorn, kDamaged: where the first bad one begins
  // kTorn: the log ends within a record, as a failed append leaves it; else its end reads as zeros.
  bool ends_in_record = false;
};

LogCheck CheckLog(const std::string& bytes);

}  // namespace badgershore::store
