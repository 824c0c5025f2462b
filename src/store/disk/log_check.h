// Verifies a RocksDB write-ahead log or manifest before RocksDB opens it.
//
// RocksDB treats a record that extends past the end of a log as a torn write and drops it with the
// rest of its block, so a bit flip in a length would silently lose acknowledged commits. Therefore
// each log is checked first, following the published format (blocks of 32 KiB; records of checksum,
// length, type and payload; RocksDB wiki, "Write Ahead Log File Format"). An invalid record counts
// as a torn write only if no valid record follows it and no change of one byte of its length makes
// it valid.
#pragma once

#include <cstdint>
#include <string>

namespace badgershore::store {

struct LogCheck {
  enum class State { kValid, kTorn, kCorrupt } state = State::kValid;
  uint64_t valid_bytes = 0;     // size of the valid records at the beginning
  uint64_t invalid_offset = 0;  // kTorn, kCorrupt: offset of the first invalid record
  // kTorn: the log ends within a record, as after a failed append; otherwise it ends in zeros.
  bool ends_in_record = false;
};

LogCheck CheckLog(const std::string& bytes);

}  // namespace badgershore::store
