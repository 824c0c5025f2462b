// Checks and repairs the logs of a data directory before RocksDB opens them.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace badgershore::store {

// Returns the number of the oldest log that the manifest still needs. Called only if a log other
// than the newest ends in a torn write.
using OldestNeededLog = std::function<uint64_t()>;

// Throws a DataCorruptionError that names the file and the offset if a log or the manifest is
// corrupt. An incomplete last record is accepted where it can't contain an acknowledged write: in
// the newest log, which a writer may be appending to; in a log followed only by empty ones, whose
// append failed before they were created; and in a log that the manifest does not need.
void CheckLogs(const std::string& dir, const OldestNeededLog& oldest_needed_log);

// The same, and truncates an incomplete last record, except in the manifest and in logs that it
// does not need. Returns a warning for each truncation. The caller holds the directory's lock.
std::vector<std::string> RecoverLogs(const std::string& dir,
                                     const OldestNeededLog& oldest_needed_log);

}  // namespace badgershore::store
