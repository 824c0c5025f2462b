// The state service's storage engine: one RocksDB database. Every write is synced before it is
// acknowledged.
//
// Opening truncates a torn write at the end of the log and reports it as a warning; corruption
// anywhere else is an error that names the file. After a failed write the database is reopened and
// its contents decide whether the batch was written (see Write). Only the engine recovers from
// errors; RocksDB's automatic recovery is disabled.
//
// Every member that accesses the disk throws a DataCorruptionError if it finds corruption, and a
// DiskError if a read or opening the database fails for a possibly temporary cause.
//
// Not thread-safe: one thread at a time may use an engine.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "store/disk/disk_error.h"
#include "store/state_machine.h"

namespace rocksdb {
class DB;
class Env;
class Logger;
class Status;
class WriteBatch;
}  // namespace rocksdb

namespace badgershore::store {

struct EngineOptions {
  // Writes are refused while the file system has less free space than this, so that a full disk is
  // detected before a write starts rather than in the middle of one.
  uint64_t reserve_bytes = 64ULL << 20;
  std::function<uint64_t(const std::string& dir)> free_bytes;  // none: queries the file system
  rocksdb::Env* env = nullptr;                                 // none: RocksDB's default
};

class Engine {
 public:
  enum class OpenMode {
    kReadWrite,  // exclusive; fails if another process has the directory open for writing
    kReadOnly,   // a consistent image at some time, possibly alongside a writer
  };
  Engine(std::string dir, OpenMode mode, EngineOptions options = {});
  ~Engine();
  Engine(const Engine&) = delete;
  Engine& operator=(const Engine&) = delete;

  // Reads the complete image and verifies every checksum.
  StateImage Load();
  // kUnknown: the disk fails and the outcome can't be determined. ResolveUnknownWrite has to
  // succeed before the next write; until then writes are refused (kAbsent).
  WriteOutcome Write(const Batch& batch);
  // The same, with the owner's metadata in the same durable write; without a batch, only that
  // metadata.
  WriteOutcome WriteWithOwnerMetadata(const Batch* batch, const std::string& owner_metadata);
  // Replaces all data by this image and metadata, in one durable write.
  WriteOutcome Replace(const StateImage& image, const std::string& owner_metadata);
  std::string LoadOwnerMetadata();  // empty: never written
  // After kUnknown: the outcome of that batch, or kUnknown again.
  WriteOutcome ResolveUnknownWrite();
  // Why the last write was not kDurable, or the last ResolveUnknownWrite returned kUnknown.
  const std::string& last_failure() const { return last_failure_; }
  // Writes an image to an empty database; durable when it returns.
  void Initialize(const StateImage& image);

  // Warnings of the last opening: torn writes that were truncated.
  const std::vector<std::string>& recovery_warnings() const { return recovery_warnings_; }
  static bool IsEmptyOrAbsent(const std::string& dir);

 private:
  void Open();
  void PrepareDirectory() const;
  uint64_t OldestNeededLog() const;
  rocksdb::Status OpenReadOnly(rocksdb::DB** db);
  rocksdb::Status OpenReadWrite(rocksdb::DB** db);
  void LoadMetadata();
  rocksdb::DB* Database() const;  // throws a DiskError while closed after a failure
  bool AcceptsWrites();
  WriteOutcome Commit(rocksdb::WriteBatch* out);

  std::string dir_;
  OpenMode mode_;
  EngineOptions options_;
  std::shared_ptr<rocksdb::Logger> info_log_;
  std::unique_ptr<rocksdb::DB> db_;
  std::vector<std::string> recovery_warnings_;
  std::string last_failure_;
  uint64_t write_count_ = 0;  // durable writes since the database was created
  // The metadata after the last durable write.
  uint64_t revision_ = 0, last_lease_id_ = 0, compacted_revision_ = 0;
  uint64_t expected_write_count_ = 0;
  uint64_t trimmed_revision_ = 0;
};

}  // namespace badgershore::store
