// Checks and repairs the logs of a data directory before the storage library opens them.
#pragma once

#include <string>
#include <vector>

namespace badgershore::store {

// Throws a DiskError that names the file and the byte where a log or the manifest is damaged. An
// incomplete last record of the newest log is no damage: a writer may be appending it.
void CheckLogs(const std::string& dir);

// The same, and cuts an incomplete last record of the newest log, which was never acknowledged.
// Returns a warning for each cut. The caller holds the directory's lock.
std::vector<std::string> RecoverLogs(const std::string& dir);

}  // namespace badgershore::store
