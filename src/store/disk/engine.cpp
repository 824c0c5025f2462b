#include "store/disk/engine.h"

#include <rocksdb/db.h>
#include <rocksdb/env.h>
#include <rocksdb/write_batch.h>
#include <sys/statvfs.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>

#include "store/disk/database_options.h"
#include "store/disk/info_log.h"
#include "store/disk/log_recovery.h"
#include "store/disk/rows.h"

namespace badgershore::store {
namespace {

namespace fs = std::filesystem;

std::string OneLine(std::string text) {
  std::replace(text.begin(), text.end(), '\n', ' ');
  return text;
}

constexpr int kReadOnlyOpenAttempts = 20;
constexpr useconds_t kReadOnlyRetryDelayUs = 50'000;

[[noreturn]] void ThrowFailure(const std::string& dir, const rocksdb::Status& status) {
  const std::string line = dir + ": " + OneLine(status.ToString());
  if (status.IsCorruption()) throw DataCorruptionError(line + "; restore a snapshot");
  throw DiskError(line);
}

// Whether RocksDB creates this file before the database is complete.
bool IsDatabaseFile(const fs::path& path) {
  const std::string name = path.filename().string();
  return name == "LOCK" || name == "IDENTITY" || name.starts_with("LOG") ||
         name.starts_with("MANIFEST-") || name.ends_with(".log") || name.ends_with(".dbtmp");
}

// Holds RocksDB's lock on a data directory for the scope.
class DirectoryLock {
 public:
  DirectoryLock(rocksdb::Env* env, const std::string& dir) : env_(env) {
    const rocksdb::Status status = env_->LockFile(dir + "/LOCK", &lock_);
    if (status.ok()) return;
    const std::string reason = status.ToString();
    if (reason.find("lock hold by") != std::string::npos ||
        reason.find("unavailable") != std::string::npos) {
      throw DiskError(dir + ": in use by another process");
    }
    throw DiskError(dir + ": can't be locked: " + OneLine(reason));
  }
  ~DirectoryLock() { env_->UnlockFile(lock_); }
  DirectoryLock(const DirectoryLock&) = delete;
  DirectoryLock& operator=(const DirectoryLock&) = delete;

 private:
  rocksdb::Env* env_;
  rocksdb::FileLock* lock_ = nullptr;
};

void Put(rocksdb::WriteBatch* out, const MetadataRow& meta) {
  out->Put(kMetadataKey, EncodeRow(meta));
}
void PutItem(rocksdb::WriteBatch* out, const std::string& key, const VersionedValue& item) {
  out->Put("k" + key, EncodeRow(ItemRow{item.version, item.lease, item.value}));
}
std::string ChangesKey(uint64_t last_revision) { return "c" + ToBigEndian(last_revision); }
template <typename Rows>
void PutChanges(rocksdb::WriteBatch* out, const Rows& rows) {
  if (rows.empty()) return;
  ChangesRow all;
  all.changes.reserve(rows.size());
  for (const ChangeLogEntry& row : rows) {
    all.changes.push_back({row.revision, row.key, row.value.value_or(""), !row.value.has_value()});
  }
  out->Put(ChangesKey(rows.back().revision), EncodeRow(all));
}

uint64_t QueryFreeBytes(const std::string& dir) {
  struct statvfs v {};
  if (::statvfs(dir.c_str(), &v) != 0) return 0;
  return static_cast<uint64_t>(v.f_bavail) * v.f_frsize;
}

}  // namespace

bool Engine::IsEmptyOrAbsent(const std::string& dir) {
  std::error_code error;
  return !fs::exists(dir, error) || (fs::is_directory(dir, error) && fs::is_empty(dir, error));
}

Engine::Engine(std::string dir, OpenMode mode, EngineOptions options)
    : dir_(std::move(dir)), mode_(mode), options_(std::move(options)) {
  if (!options_.free_bytes) options_.free_bytes = QueryFreeBytes;
  Open();
}

Engine::~Engine() = default;

void Engine::Open() {
  db_.reset();
  PrepareDirectory();
  rocksdb::DB* db = nullptr;
  const rocksdb::Status status =
      mode_ == OpenMode::kReadOnly ? OpenReadOnly(&db) : OpenReadWrite(&db);
  if (!status.ok()) {
    if (status.ToString().find("/LOCK") != std::string::npos) {
      throw DiskError(dir_ + ": in use by another process");
    }
    ThrowFailure(dir_, status);
  }
  db_.reset(db);
  LoadMetadata();
}

void Engine::PrepareDirectory() const {
  const bool empty = IsEmptyOrAbsent(dir_);
  if (mode_ == OpenMode::kReadOnly && empty) throw DiskError(dir_ + ": contains no state database");
  std::error_code error;
  fs::create_directories(dir_, error);
  if (empty || mode_ == OpenMode::kReadOnly || fs::exists(fs::path(dir_) / "CURRENT")) return;
  // An interrupted first start leaves some RocksDB files; a directory with other files is refused.
  for (const auto& file : fs::directory_iterator(dir_)) {
    if (!IsDatabaseFile(file.path())) {
      throw DiskError(dir_ + ": contains other files and no state database");
    }
  }
}

rocksdb::Status Engine::OpenReadOnly(rocksdb::DB** db) {
  const rocksdb::Options options =
      DatabaseOptions(DatabaseAccess::kReadOnly, options_.env, DiscardingInfoLog());
  rocksdb::Status status;
  // The writer may delete a file after RocksDB lists it and before it opens it.
  for (int attempt = 0; attempt < kReadOnlyOpenAttempts; ++attempt) {
    status = rocksdb::DB::OpenForReadOnly(options, dir_, db);
    if (status.ok() || !(status.IsIOError() || status.IsPathNotFound())) break;
    ::usleep(kReadOnlyRetryDelayUs);
  }
  std::unique_ptr<rocksdb::DB> opened(*db);
  // RocksDB treats a record that extends past the end of a log as one still being written;
  // CheckLogs detects corruption there. If RocksDB failed to open, this names the corrupt file.
  CheckLogs(dir_, [this] { return OldestNeededLog(); });
  *db = opened.release();
  return status;
}

rocksdb::Status Engine::OpenReadWrite(rocksdb::DB** db) {
  rocksdb::Options options = DatabaseOptions(DatabaseAccess::kReadWrite, options_.env);
  {
    // Without the lock another process may be writing these logs.
    const DirectoryLock lock(options.env, dir_);
    if (!info_log_) info_log_ = OpenInfoLog(dir_);
    std::vector<std::string> warnings = RecoverLogs(dir_, [this] { return OldestNeededLog(); });
    for (std::string& warning : warnings) recovery_warnings_.push_back(std::move(warning));
  }
  options.info_log = info_log_;
  return rocksdb::DB::Open(options, dir_, db);
}

// Read from the manifest; 0 if that can't be read, so that all logs count as needed.
uint64_t Engine::OldestNeededLog() const {
  rocksdb::Options options =
      DatabaseOptions(DatabaseAccess::kReadOnly, options_.env, DiscardingInfoLog());
  options.wal_recovery_mode = rocksdb::WALRecoveryMode::kSkipAnyCorruptedRecords;
  rocksdb::DB* db = nullptr;
  if (!rocksdb::DB::OpenForReadOnly(options, dir_, &db).ok()) return 0;
  const std::unique_ptr<rocksdb::DB> database(db);
  uint64_t number = 0;
  const bool known =
      database->GetIntProperty(rocksdb::DB::Properties::kMinLogNumberToKeep, &number);
  return known ? number : 0;
}

void Engine::LoadMetadata() {
  std::string metadata;
  rocksdb::ReadOptions read;
  read.verify_checksums = true;
  const rocksdb::Status status = Database()->Get(read, kMetadataKey, &metadata);
  if (!status.ok() && !status.IsNotFound()) ThrowFailure(dir_, status);
  const MetadataRow row =
      status.ok() ? DecodeRow<MetadataRow>(kMetadataKey, metadata) : MetadataRow{};
  if (row.write_count < write_count_) {
    throw DataCorruptionError(dir_ + ": " + std::to_string(write_count_ - row.write_count) +
                              " acknowledged writes are missing; restore a snapshot");
  }
  write_count_ = row.write_count;
  revision_ = row.revision;
  last_lease_id_ = row.last_lease_id;
  compacted_revision_ = row.compacted_revision;
}

StateImage Engine::Load() {
  StateImage image;
  rocksdb::ReadOptions read;
  read.verify_checksums = true;
  read.fill_cache = false;
  std::unique_ptr<rocksdb::Iterator> it(Database()->NewIterator(read));
  bool meta = false;
  for (it->SeekToFirst(); it->Valid(); it->Next()) {
    const rocksdb::Slice key = it->key(), value = it->value();
    const std::string_view rest(key.data() + 1, key.size() - 1);
    switch (key[0]) {
      case 'c':
        for (ChangeRow& row : DecodeRow<ChangesRow>(key, value).changes) {
          ChangeLogEntry change{row.revision, std::move(row.key), std::nullopt};
          if (!row.deleted) change.value = std::move(row.value);
          image.change_log.push_back(std::move(change));
        }
        break;
      case 'k': {
        auto row = DecodeRow<ItemRow>(key, value);
        image.items.emplace_hint(image.items.end(), std::string(rest),
                                 VersionedValue{std::move(row.value), row.version, row.lease});
        break;
      }
      case 'l':
        image.leases[FromBigEndian(rest)] = Micros{DecodeRow<LeaseRow>(key, value).time_to_live_us};
        break;
      case 'm': {
        const auto row = DecodeRow<MetadataRow>(key, value);
        image.revision = row.revision;
        image.last_lease_id = row.last_lease_id;
        image.compacted_revision = row.compacted_revision;
        meta = true;
        break;
      }
      case 'r':  // the owner's metadata
        break;
      default:
        throw DataCorruptionError(dir_ + ": record " + key.ToString(true) +
                                  " has an unknown type; restore a snapshot");
    }
  }
  if (!it->status().ok()) ThrowFailure(dir_, it->status());
  if (!meta && (!image.items.empty() || !image.change_log.empty())) {
    throw DataCorruptionError(dir_ + ": the metadata record is missing; restore a snapshot");
  }
  // Rows are read in key order: the metadata follow the changes, so compacted changes are removed
  // here.
  while (!image.change_log.empty() && image.change_log.front().revision <= image.compacted_revision)
    image.change_log.pop_front();
  trimmed_revision_ = image.compacted_revision;
  return image;
}

namespace {

void PutBatch(rocksdb::WriteBatch* out, const Batch& batch) {
  for (const auto& [key, item] : batch.items) {
    if (item) {
      PutItem(out, key, *item);
    } else {
      out->Delete("k" + key);
    }
  }
  for (const auto& [id, time_to_live] : batch.leases) {
    if (time_to_live) {
      out->Put("l" + ToBigEndian(id), EncodeRow(LeaseRow{time_to_live->count}));
    } else {
      out->Delete("l" + ToBigEndian(id));
    }
  }
  PutChanges(out, batch.change_log);
}

}  // namespace

WriteOutcome Engine::Commit(rocksdb::WriteBatch* out) {
  rocksdb::WriteOptions sync;
  sync.sync = true;
  const rocksdb::Status status = db_->Write(sync, out);
  if (status.ok()) {
    write_count_ = expected_write_count_;
    return WriteOutcome::kDurable;
  }
  if (status.IsCorruption()) ThrowFailure(dir_, status);  // found by RocksDB's background threads
  last_failure_ = dir_ + ": " + OneLine(status.ToString());
  return ResolveUnknownWrite();
}

rocksdb::DB* Engine::Database() const {
  if (!db_) throw DiskError(dir_ + ": the database is closed after a failed write");
  return db_.get();
}

bool Engine::AcceptsWrites() {
  if (!db_) return false;
  if (options_.free_bytes(dir_) >= options_.reserve_bytes) return true;
  last_failure_ = dir_ + ": less than " + std::to_string(options_.reserve_bytes) + " bytes free";
  return false;
}

WriteOutcome Engine::Write(const Batch& batch) { return WriteWithOwnerMetadata(&batch, ""); }

WriteOutcome Engine::WriteWithOwnerMetadata(const Batch* batch, const std::string& owner_metadata) {
  if (!AcceptsWrites()) return WriteOutcome::kAbsent;
  rocksdb::WriteBatch out;
  expected_write_count_ = write_count_ + 1;
  const MetadataRow meta =
      batch ? MetadataRow{batch->revision, batch->last_lease_id, batch->compacted_revision,
                          expected_write_count_}
            : MetadataRow{revision_, last_lease_id_, compacted_revision_, expected_write_count_};
  Put(&out, meta);
  if (batch) PutBatch(&out, *batch);
  if (!owner_metadata.empty()) out.Put(kOwnerMetadataKey, owner_metadata);
  // Range deletions slow down later reads, so compacted changes are deleted only in large steps.
  const bool trim = meta.compacted_revision > trimmed_revision_ + kMinChangeLogEntries / 4;
  if (trim) out.DeleteRange("c", ChangesKey(meta.compacted_revision + 1));
  const WriteOutcome written = Commit(&out);
  if (written != WriteOutcome::kDurable) return written;
  revision_ = meta.revision;
  last_lease_id_ = meta.last_lease_id;
  compacted_revision_ = meta.compacted_revision;
  if (trim) trimmed_revision_ = meta.compacted_revision;
  return written;
}

WriteOutcome Engine::Replace(const StateImage& image, const std::string& owner_metadata) {
  if (!AcceptsWrites()) return WriteOutcome::kAbsent;
  rocksdb::WriteBatch out;
  expected_write_count_ = write_count_ + 1;
  out.DeleteRange("c", "m");  // changes, items and leases
  for (const auto& [key, item] : image.items) PutItem(&out, key, item);
  for (const auto& [id, time_to_live] : image.leases) {
    out.Put("l" + ToBigEndian(id), EncodeRow(LeaseRow{time_to_live.count}));
  }
  PutChanges(&out, image.change_log);
  Put(&out, MetadataRow{image.revision, image.last_lease_id, image.compacted_revision,
                        expected_write_count_});
  out.Put(kOwnerMetadataKey, owner_metadata);
  const WriteOutcome written = Commit(&out);
  if (written != WriteOutcome::kDurable) return written;
  revision_ = image.revision;
  last_lease_id_ = image.last_lease_id;
  compacted_revision_ = trimmed_revision_ = image.compacted_revision;
  return written;
}

std::string Engine::LoadOwnerMetadata() {
  std::string owner_metadata;
  rocksdb::ReadOptions read;
  read.verify_checksums = true;
  const rocksdb::Status status = Database()->Get(read, kOwnerMetadataKey, &owner_metadata);
  if (!status.ok() && !status.IsNotFound()) ThrowFailure(dir_, status);
  return status.ok() ? owner_metadata : std::string();
}

// A failed write may still be on disk. Reopening the database flushes its logs to new, synced
// files, so everything read afterwards is durable.
WriteOutcome Engine::ResolveUnknownWrite() {
  try {
    recovery_warnings_.clear();
    Open();
  } catch (const DataCorruptionError&) {
    db_.reset();
    throw;
  } catch (const DiskError& error) {
    last_failure_ = error.what();
    db_.reset();
    return WriteOutcome::kUnknown;
  }
  return write_count_ == expected_write_count_ ? WriteOutcome::kDurable : WriteOutcome::kAbsent;
}

void Engine::Initialize(const StateImage& image) {
  rocksdb::WriteBatch out;
  const auto flush = [&](bool last) {
    if (!last && out.GetDataSize() < 4 << 20) return;
    rocksdb::WriteOptions sync;
    sync.sync = last;
    const rocksdb::Status status = Database()->Write(sync, &out);
    if (!status.ok()) ThrowFailure(dir_, status);
    out.Clear();
  };
  for (const auto& [key, item] : image.items) {
    PutItem(&out, key, item);
    flush(false);
  }
  for (const auto& [id, time_to_live] : image.leases) {
    out.Put("l" + ToBigEndian(id), EncodeRow(LeaseRow{time_to_live.count}));
  }
  // Split at revision boundaries, as batches are.
  std::vector<ChangeLogEntry> chunk;
  for (size_t i = 0; i < image.change_log.size(); ++i) {
    chunk.push_back(image.change_log[i]);
    const bool ends_revision = i + 1 == image.change_log.size() ||
                               image.change_log[i + 1].revision != image.change_log[i].revision;
    if (!ends_revision || (chunk.size() < 256 && i + 1 < image.change_log.size())) continue;
    PutChanges(&out, chunk);
    chunk.clear();
    flush(false);
  }
  Put(&out,
      MetadataRow{image.revision, image.last_lease_id, image.compacted_revision, ++write_count_});
  flush(true);
  revision_ = image.revision;
  last_lease_id_ = image.last_lease_id;
  compacted_revision_ = image.compacted_revision;
}

}  // namespace badgershore::store
