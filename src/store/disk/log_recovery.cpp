#include "store/disk/log_recovery.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <tuple>
#include <utility>

#include "store/disk/disk_error.h"
#include "store/disk/log_check.h"

namespace badgershore::store {
namespace {

namespace fs = std::filesystem;

struct LogFile {
  uint64_t number = 0;  // the manifest: 0
  fs::path path;
  bool IsManifest() const { return path.extension() != ".log"; }
};

std::string ReadFile(const fs::path& path) {
  std::ifstream in(path, std::ios::binary);
  std::ostringstream bytes;
  bytes << in.rdbuf();
  return std::move(bytes).str();
}

// The manifest that CURRENT names, then the write-ahead logs, oldest first.
std::vector<LogFile> ListLogs(const std::string& dir) {
  std::vector<LogFile> logs;
  std::error_code error;
  for (const auto& file : fs::directory_iterator(dir, error)) {
    if (file.path().extension() != ".log") continue;
    const std::string name = file.path().filename().string();
    logs.push_back({std::strtoull(name.c_str(), nullptr, 10), file.path()});
  }
  std::sort(logs.begin(), logs.end(), [](const LogFile& a, const LogFile& b) {
    return std::tie(a.number, a.path) < std::tie(b.number, b.path);
  });
  std::ifstream current(fs::path(dir) / "CURRENT");
  std::string manifest;
  if (current && std::getline(current, manifest) &&
      fs::is_regular_file(fs::path(dir) / manifest, error)) {
    logs.insert(logs.begin(), {0, fs::path(dir) / manifest});
  }
  return logs;
}

void Truncate(const fs::path& path, uint64_t size, const std::string& where) {
  const int fd = ::open(path.c_str(), O_WRONLY | O_CLOEXEC);
  const bool truncated =
      fd >= 0 && ::ftruncate(fd, static_cast<off_t>(size)) == 0 && ::fsync(fd) == 0;
  if (fd >= 0) ::close(fd);
  if (!truncated) throw DiskError(where + ": a torn write can't be truncated");
}

enum class TornWriteAction { kKeep, kTruncate };

bool IsEmpty(const LogFile& log) {
  std::error_code error;
  return fs::file_size(log.path, error) == 0 && !error;
}

// Whether the torn write at the end of `logs[index]` can't be an acknowledged one: a log is synced
// completely before a record is written to a newer one.
bool MayHaveTornWrite(const std::vector<LogFile>& logs, size_t index, const LogCheck& check) {
  if (index + 1 == logs.size()) return true;
  const auto newer = logs.begin() + static_cast<std::ptrdiff_t>(index) + 1;
  return check.ends_in_record && std::all_of(newer, logs.end(), IsEmpty);
}

// A torn write at the end of the manifest is ignored: it can't refer to acknowledged writes.
std::vector<std::string> ScanLogs(const std::string& dir, TornWriteAction action,
                                  const OldestNeededLog& oldest_needed_log) {
  std::vector<std::string> warnings;
  const std::vector<LogFile> logs = ListLogs(dir);
  for (size_t i = 0; i < logs.size(); ++i) {
    const LogFile& log = logs[i];
    const LogCheck check = CheckLog(ReadFile(log.path));
    if (check.state == LogCheck::State::kValid) continue;
    const bool torn = check.state == LogCheck::State::kTorn;
    if (torn && log.IsManifest()) continue;
    const std::string where = log.path.string() + ": byte " + std::to_string(check.invalid_offset);
    if (!torn) throw DataCorruptionError(where + ": corrupt; restore a snapshot");
    if (!MayHaveTornWrite(logs, i, check)) {
      if (log.number < oldest_needed_log()) continue;
      throw DataCorruptionError(where + ": corrupt; restore a snapshot");
    }
    if (action == TornWriteAction::kKeep) continue;
    const uint64_t torn_bytes = fs::file_size(log.path) - check.valid_bytes;
    warnings.push_back(where + ": truncated a torn write of " + std::to_string(torn_bytes) +
                       " bytes");
    Truncate(log.path, check.valid_bytes, where);
  }
  return warnings;
}

}  // namespace

void CheckLogs(const std::string& dir, const OldestNeededLog& oldest_needed_log) {
  ScanLogs(dir, TornWriteAction::kKeep, oldest_needed_log);
}

std::vector<std::string> RecoverLogs(const std::string& dir,
                                     const OldestNeededLog& oldest_needed_log) {
  return ScanLogs(dir, TornWriteAction::kTruncate, oldest_needed_log);
}

}  // namespace badgershore::store
