// A RocksDB file system that injects faults into operations that change the disk.
#pragma once

#include <rocksdb/file_system.h>

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace badgershore::store {

enum class DiskOperation {
  kCreate,
  kAppend,
  kSync,
  kClose,
  kRename,
  kDelete,
  kSyncDirectory,
};

enum class DiskFault {
  kNoSpace,
  kIoError,           // not retryable in RocksDB's view
  kRetryableIoError,  // RocksDB's automatic recovery would retry it
};

// Decides which operations fail. Thread-safe, as RocksDB calls it from several threads.
class FaultPlan {
 public:
  using Condition = std::function<bool(DiskOperation, const std::string& path)>;

  // Of the following operations that match `condition`, fails `count`, beginning with number
  // `first` (counted from 1). Replaces the previous plan.
  void Fail(DiskFault fault, int first, int count, Condition condition = nullptr) {
    const std::lock_guard<std::mutex> lock(mutex_);
    fault_ = fault;
    operations_to_pass_ = first - 1;
    operations_to_fail_ = count;
    if (count > 0) failures_ = 0;
    condition_ = std::move(condition);
  }
  void Heal() { Fail(DiskFault::kIoError, 1, 0); }

  // The number of operations that failed under the last plan.
  int failures() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return failures_;
  }

  rocksdb::IOStatus NextStatus(DiskOperation operation, const std::string& path) {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (operations_to_fail_ == 0 || (condition_ && !condition_(operation, path))) {
      return rocksdb::IOStatus::OK();
    }
    if (operations_to_pass_ > 0) {
      --operations_to_pass_;
      return rocksdb::IOStatus::OK();
    }
    --operations_to_fail_;
    ++failures_;
    if (fault_ == DiskFault::kNoSpace) return rocksdb::IOStatus::NoSpace("no space left on device");
    rocksdb::IOStatus status = rocksdb::IOStatus::IOError("input/output error");
    status.SetRetryable(fault_ == DiskFault::kRetryableIoError);
    return status;
  }

 private:
  mutable std::mutex mutex_;
  DiskFault fault_ = DiskFault::kIoError;
  int operations_to_pass_ = 0, operations_to_fail_ = 0, failures_ = 0;
  Condition condition_;
};

class FaultyFile : public rocksdb::FSWritableFileOwnerWrapper {
 public:
  FaultyFile(std::unique_ptr<rocksdb::FSWritableFile>&& file, std::string path, FaultPlan* plan)
      : FSWritableFileOwnerWrapper(std::move(file)), path_(std::move(path)), plan_(plan) {}

  using FSWritableFileOwnerWrapper::Append;
  rocksdb::IOStatus Append(const rocksdb::Slice& data, const rocksdb::IOOptions& options,
                           rocksdb::IODebugContext* debug) override {
    rocksdb::IOStatus status = plan_->NextStatus(DiskOperation::kAppend, path_);
    if (status.ok()) return FSWritableFileOwnerWrapper::Append(data, options, debug);
    // Writes a part of the data, as a real disk may.
    const rocksdb::Slice part(data.data(), data.size() / 2);
    FSWritableFileOwnerWrapper::Append(part, options, debug).PermitUncheckedError();
    return status;
  }
  rocksdb::IOStatus Sync(const rocksdb::IOOptions& options,
                         rocksdb::IODebugContext* debug) override {
    rocksdb::IOStatus status = plan_->NextStatus(DiskOperation::kSync, path_);
    return status.ok() ? FSWritableFileOwnerWrapper::Sync(options, debug) : status;
  }
  rocksdb::IOStatus Fsync(const rocksdb::IOOptions& options,
                          rocksdb::IODebugContext* debug) override {
    return Sync(options, debug);
  }
  rocksdb::IOStatus Close(const rocksdb::IOOptions& options,
                          rocksdb::IODebugContext* debug) override {
    rocksdb::IOStatus status = plan_->NextStatus(DiskOperation::kClose, path_);
    rocksdb::IOStatus closed = FSWritableFileOwnerWrapper::Close(options, debug);
    return status.ok() ? closed : status;
  }

 private:
  std::string path_;
  FaultPlan* plan_;
};

class FaultyDirectory : public rocksdb::FSDirectoryWrapper {
 public:
  FaultyDirectory(std::unique_ptr<rocksdb::FSDirectory>&& directory, std::string path,
                  FaultPlan* plan)
      : FSDirectoryWrapper(std::move(directory)), path_(std::move(path)), plan_(plan) {}

  rocksdb::IOStatus Fsync(const rocksdb::IOOptions& options,
                          rocksdb::IODebugContext* debug) override {
    rocksdb::IOStatus status = plan_->NextStatus(DiskOperation::kSyncDirectory, path_);
    return status.ok() ? FSDirectoryWrapper::Fsync(options, debug) : status;
  }
  rocksdb::IOStatus FsyncWithDirOptions(const rocksdb::IOOptions& options,
                                        rocksdb::IODebugContext* debug,
                                        const rocksdb::DirFsyncOptions& dir_options) override {
    rocksdb::IOStatus status = plan_->NextStatus(DiskOperation::kSyncDirectory, path_);
    return status.ok() ? FSDirectoryWrapper::FsyncWithDirOptions(options, debug, dir_options)
                       : status;
  }

 private:
  std::string path_;
  FaultPlan* plan_;
};

class FaultyFileSystem : public rocksdb::FileSystemWrapper {
 public:
  explicit FaultyFileSystem(FaultPlan* plan)
      : FileSystemWrapper(rocksdb::FileSystem::Default()), plan_(plan) {}
  const char* Name() const override { return "FaultyFileSystem"; }

  rocksdb::IOStatus NewWritableFile(const std::string& path, const rocksdb::FileOptions& options,
                                    std::unique_ptr<rocksdb::FSWritableFile>* out,
                                    rocksdb::IODebugContext* debug) override {
    rocksdb::IOStatus status = plan_->NextStatus(DiskOperation::kCreate, path);
    if (!status.ok()) return status;
    std::unique_ptr<rocksdb::FSWritableFile> file;
    status = target()->NewWritableFile(path, options, &file, debug);
    if (status.ok()) *out = std::make_unique<FaultyFile>(std::move(file), path, plan_);
    return status;
  }
  rocksdb::IOStatus NewDirectory(const std::string& path, const rocksdb::IOOptions& options,
                                 std::unique_ptr<rocksdb::FSDirectory>* out,
                                 rocksdb::IODebugContext* debug) override {
    std::unique_ptr<rocksdb::FSDirectory> directory;
    rocksdb::IOStatus status = target()->NewDirectory(path, options, &directory, debug);
    if (status.ok()) *out = std::make_unique<FaultyDirectory>(std::move(directory), path, plan_);
    return status;
  }
  rocksdb::IOStatus RenameFile(const std::string& from, const std::string& to,
                               const rocksdb::IOOptions& options,
                               rocksdb::IODebugContext* debug) override {
    rocksdb::IOStatus status = plan_->NextStatus(DiskOperation::kRename, to);
    return status.ok() ? target()->RenameFile(from, to, options, debug) : status;
  }
  rocksdb::IOStatus DeleteFile(const std::string& path, const rocksdb::IOOptions& options,
                               rocksdb::IODebugContext* debug) override {
    rocksdb::IOStatus status = plan_->NextStatus(DiskOperation::kDelete, path);
    return status.ok() ? target()->DeleteFile(path, options, debug) : status;
  }

 private:
  FaultPlan* plan_;
};

}  // namespace badgershore::store
