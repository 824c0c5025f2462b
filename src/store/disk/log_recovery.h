// Checks and repairs the logs of a data directory before the storage library opens them.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace badgershore::store {

// The number of the oldest log that the manifest still needs. Asked only where a log that is not
// the newest has a torn end.
using OldestNeededLog = std::function<uint64_t()>;

// Throws a DataDamagedError that names the file and the byte where a log or the manifest is
// damaged. An incomplete last record is no damage where nothing acknowledged can be in it: in the
// newest log, which a writer may be appending to; in one followed by empty logs only, which a
// failed append left before they were begun; and in a log that the manifest does not need.
void CheckLogs(const std::string& dir, const OldestNeededLog& oldest_needed_log);

// The same, and cuts the incomplete last record of the log that the library will read last. Returns
// a warning for each cut. The caller holds the directory's lock.
std::vector<std::string> RecoverLogs(const std::string& dir,
                                     const OldestNeededLog& oldest_needed_log);

}  // namespace badgershore::store
