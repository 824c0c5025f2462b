// The state service's disk: one RocksDB database. Every write is synced before it is answered.
//
// Opening cuts a torn end and says so; damage anywhere else is an error that names the file.
// After a write that failed the database is opened again, and what it then holds decides whether
// the batch was written (see Write). The engine alone recovers: the library's own recovery is off.
//
// Every member that touches the disk throws a DataDamagedError where it finds damage; a DiskError
// where a read or an opening failed in a way that may pass.
//
// One thread at a time may use an engine.
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
  // Changes are refused while the file system has less room than this, so that a full disk is
  // met before a write begins and not in the middle of one.
  uint64_t reserve_bytes = 64ULL << 20;
  std::function<uint64_t(const std::string& dir)> free_bytes;  // none: asks the file system
  rocksdb::Env* env = nullptr;                                 // none: the library's own
};

class Engine {
 public:
  enum class OpenMode {
    kReadWrite,  // the only one to write; a second owner is refused
    kReadOnly,   // reads beside an owner: a consistent image of some moment
  };
  Engine(std::string dir, OpenMode mode, EngineOptions options = {});
  ~Engine();
  Engine(const Engine&) = delete;
  Engine& operator=(const Engine&) = delete;

  // Whole, with every checksum verified.
  StateImage Load();
  // kUnknown: the disk fails so that not even that can be found out; ResolveUnknownWrite tries
  // again and has to succeed before the next write, which is refused (kAbsent) until then.
  WriteOutcome Write(const Batch& batch);
  // The same with a note of the owner's, in one durable write; without a batch the note alone.
  WriteOutcome WriteWithOwnerMetadata(const Batch* batch, const std::string& note);
  // All that was there gives way to this image and this note, in one durable write.
  WriteOutcome Replace(const StateImage& image, const std::string& note);
  std::string LoadOwnerMetadata();  // empty: none was ever written
  // After kUnknown: what became of that batch, or kUnknown still.
  WriteOutcome ResolveUnknownWrite();
  // Why the last write was not kDurable, or the last resolving not possible.
  const std::string& last_failure() const { return last_failure_; }
  // Fills an empty directory from an image; durable when it returns.
  void Initialize(const StateImage& image);

  // What opening had to say: a torn end that was cut.
  const std::vector<std::string>& recovery_warnings() const { return notes_; }
  static bool IsEmptyOrAbsent(const std::string& dir);

 private:
  void Open();
  void PrepareDirectory() const;
  uint64_t OldestNeededLog() const;
  rocksdb::Status OpenReadOnly(rocksdb::DB** db);
  rocksdb::Status OpenReadWrite(rocksdb::DB** db);
  void LoadMetadata();
  rocksdb::DB* Database() const;  // throws a DiskError while it is closed after a failure
  bool AcceptsWrites();
  WriteOutcome Commit(rocksdb::WriteBatch* out);

  std::string dir_;
  OpenMode mode_;
  EngineOptions options_;
  std::shared_ptr<rocksdb::Logger> info_log_;
  std::unique_ptr<rocksdb::DB> db_;
  std::vector<std::string> notes_;
  std::string last_failure_;
  uint64_t writes_ = 0;  // durable batches, ever
  // The revision and its like after the last durable write.
  uint64_t epoch_ = 0, last_lease_ = 0, compacted_ = 0;
  uint64_t expected_ = 0;
  uint64_t trimmed_ = 0;
};

}  // namespace badgershore::store
