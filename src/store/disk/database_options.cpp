#include "store/disk/database_options.h"

#include <rocksdb/cache.h>
#include <rocksdb/listener.h>
#include <rocksdb/memtablerep.h>
#include <rocksdb/table.h>

#include <memory>
#include <utility>

namespace badgershore::store {
namespace {

constexpr size_t kWriteBufferBytes = 16 << 20;
constexpr size_t kBlockCacheBytes = 8 << 20;
constexpr int kMaxOpenFiles = 256;
constexpr int kAllFilesOpen = -1;
constexpr int kBackgroundJobs = 2;
constexpr size_t kMaxInfoLogFiles = 3;
constexpr uint32_t kTableFormatVersion = 5;
constexpr int kMaxResumeAttempts = 0;

// Disables RocksDB's automatic recovery from a failed write. It runs on a background thread and
// would create a new log next to the torn one while the engine closes and reopens the database.
class NoAutomaticRecovery : public rocksdb::EventListener {
 public:
  void OnErrorRecoveryBegin(rocksdb::BackgroundErrorReason /*reason*/, rocksdb::Status /*error*/,
                            bool* auto_recovery) override {
    *auto_recovery = false;
  }
};

}  // namespace

rocksdb::Options DatabaseOptions(DatabaseAccess access, rocksdb::Env* env,
                                 std::shared_ptr<rocksdb::Logger> info_log) {
  const bool writable = access == DatabaseAccess::kReadWrite;
  rocksdb::Options options;
  if (env) options.env = env;
  options.info_log = std::move(info_log);
  options.create_if_missing = writable;
  options.paranoid_checks = true;
  options.wal_recovery_mode = writable ? rocksdb::WALRecoveryMode::kAbsoluteConsistency
                                       : rocksdb::WALRecoveryMode::kTolerateCorruptedTailRecords;
  options.track_and_verify_wals_in_manifest = writable;
  // After a failed write only the engine recovers, by reopening the database.
  options.listeners.push_back(std::make_shared<NoAutomaticRecovery>());
  options.max_bgerror_resume_count = kMaxResumeAttempts;
  options.max_background_jobs = kBackgroundJobs;
  options.write_buffer_size = kWriteBufferBytes;
  // The database is not read while the service runs, so the memtable appends rows unsorted and
  // sorts them when it is flushed to a table.
  options.memtable_factory = std::make_shared<rocksdb::VectorRepFactory>();
  options.allow_concurrent_memtable_write = false;
  options.max_open_files = writable ? kMaxOpenFiles : kAllFilesOpen;
  options.keep_log_file_num = kMaxInfoLogFiles;
  options.info_log_level = rocksdb::InfoLogLevel::WARN_LEVEL;
  options.compression = rocksdb::kNoCompression;
  rocksdb::BlockBasedTableOptions table;
  table.block_cache = rocksdb::NewLRUCache(kBlockCacheBytes);
  table.format_version = kTableFormatVersion;
  options.table_factory.reset(rocksdb::NewBlockBasedTableFactory(table));
  return options;
}

}  // namespace badgershore::store
