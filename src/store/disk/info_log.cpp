#include "store/disk/info_log.h"

#include <unistd.h>

#include <cstdarg>
#include <cstdio>
#include <ctime>
#include <filesystem>
#include <mutex>
#include <utility>

namespace badgershore::store {
namespace {

constexpr size_t kMaxFileBytes = 1 << 20;
constexpr size_t kMaxLineBytes = 4096;

class FileInfoLog : public rocksdb::Logger {
 public:
  explicit FileInfoLog(std::string path)
      : Logger(rocksdb::InfoLogLevel::WARN_LEVEL), path_(std::move(path)) {
    Rotate();
  }
  ~FileInfoLog() override { CloseFile(); }

  using Logger::Logv;
  void Logv(const char* format, va_list arguments) override {
    char line[kMaxLineBytes];
    std::vsnprintf(line, sizeof(line), format, arguments);
    const std::lock_guard<std::mutex> lock(mutex_);
    if (written_ > kMaxFileBytes) Rotate();
    if (!file_) return;
    const int size = std::fprintf(file_, "%s %d %s\n", UtcTimestamp().c_str(), gettid(), line);
    if (size > 0) written_ += static_cast<size_t>(size);
    if (std::fflush(file_) != 0) std::clearerr(file_);
  }

 private:
  static std::string UtcTimestamp() {
    timespec now{};
    clock_gettime(CLOCK_REALTIME, &now);
    tm utc{};
    gmtime_r(&now.tv_sec, &utc);
    char text[32];
    std::strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%SZ", &utc);
    return text;
  }
  void Rotate() {
    CloseFile();
    std::error_code ignored;
    std::filesystem::rename(path_, path_ + ".old", ignored);
    file_ = std::fopen(path_.c_str(), "we");
    written_ = 0;
  }
  void CloseFile() {
    if (file_) std::fclose(file_);
    file_ = nullptr;
  }

  std::string path_;
  std::mutex mutex_;
  FILE* file_ = nullptr;
  size_t written_ = 0;
};

class DiscardingLogger : public rocksdb::Logger {
 public:
  using Logger::Logv;
  void Logv(const char* /*format*/, va_list /*arguments*/) override {}
};

}  // namespace

std::shared_ptr<rocksdb::Logger> OpenInfoLog(const std::string& dir) {
  return std::make_shared<FileInfoLog>(dir + "/LOG");
}

std::shared_ptr<rocksdb::Logger> DiscardingInfoLog() {
  return std::make_shared<DiscardingLogger>();
}

}  // namespace badgershore::store
