#include "store/disk/engine.h"

#include <fcntl.h>
#include <rocksdb/db.h>
#include <rocksdb/env.h>
#include <rocksdb/filter_policy.h>
#include <rocksdb/memtablerep.h>
#include <rocksdb/table.h>
#include <rocksdb/write_batch.h>
#include <sys/statvfs.h>
#include <unistd.h>

#include <algorithm>
#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <streambuf>

#include "store/disk/log_check.h"

namespace badgershore::store {
namespace {

namespace fs = std::filesystem;

// Every record begins with this; a later form raises it and still reads the earlier ones.
constexpr uint8_t kFormat = 1;

struct MetaRow {
  uint64_t epoch = 0, last_lease = 0, compacted = 0, writes = 0;
  template <class A>
  void serialize(A& a) {
    a(epoch, last_lease, compacted, writes);
  }
};
struct ItemRow {
  uint64_t stamp = 0, lease = 0;
  std::string value;
  template <class A>
  void serialize(A& a) {
    a(stamp, lease, value);
  }
};
struct LeaseRow {
  int64_t life = 0;
  template <class A>
  void serialize(A& a) {
    a(life);
  }
};
struct ChangeRow {
  uint64_t stamp = 0;
  std::string key, value;
  bool deleted = false;
  template <class A>
  void serialize(A& a) {
    a(stamp, key, value, deleted);
  }
};
// The changes of one batch, in one record under its last revision.
struct ChangesRow {
  std::vector<ChangeRow> changes;
  template <class A>
  void serialize(A& a) {
    a(changes);
  }
};

const std::string kMeta = "m", kNote = "r";

std::string BigEndian(uint64_t v) {
  std::string out(8, '\0');
  for (int i = 7; i >= 0; --i, v >>= 8) out[static_cast<size_t>(i)] = static_cast<char>(v);
  return out;
}
uint64_t FromBigEndian(std::string_view s) {
  uint64_t v = 0;
  for (char c : s) v = v << 8 | static_cast<unsigned char>(c);
  return v;
}

// A string as a stream: a new string stream for each record costs more than the record.
class StringSink : public std::streambuf {
 public:
  std::string text;

 private:
  std::streamsize xsputn(const char* data, std::streamsize n) override {
    text.append(data, static_cast<size_t>(n));
    return n;
  }
  int overflow(int c) override {
    text.push_back(static_cast<char>(c));
    return c;
  }
};

template <typename Row>
std::string Pack(const Row& row) {
  thread_local StringSink sink;
  thread_local std::ostream out(&sink);
  sink.text.clear();
  {
    cereal::PortableBinaryOutputArchive archive(out);
    archive(kFormat, row);
  }
  return sink.text;
}

template <typename Row>
Row Unpack(const rocksdb::Slice& key, const rocksdb::Slice& value) {
  Row row;
  uint8_t format = 0;
  try {
    std::istringstream in(value.ToString());
    cereal::PortableBinaryInputArchive archive(in);
    archive(format);
    if (format == kFormat) {
      archive(row);
      return row;
    }
  } catch (const std::exception&) {
    format = 0;
  }
  const std::string name = "record " + key.ToString(true);
  throw DiskError(format == 0 ? name + " can't be read"
                              : name + " has format " + std::to_string(format) +
                                    ", this program reads " + std::to_string(kFormat));
}

std::string OneLine(std::string text) {
  std::replace(text.begin(), text.end(), '\n', ' ');
  return text;
}

void Put(rocksdb::WriteBatch* out, const MetaRow& meta) { out->Put(kMeta, Pack(meta)); }
void PutItem(rocksdb::WriteBatch* out, const std::string& key, const VersionedValue& item) {
  out->Put("k" + key, Pack(ItemRow{item.version, item.lease, item.value}));
}
std::string ChangesKey(uint64_t last_stamp) { return "c" + BigEndian(last_stamp); }
template <typename Rows>
void PutLog(rocksdb::WriteBatch* out, const Rows& rows) {
  if (rows.empty()) return;
  ChangesRow all;
  all.changes.reserve(rows.size());
  for (const ChangeLogEntry& row : rows) {
    all.changes.push_back({row.revision, row.key, row.value.value_or(""), !row.value.has_value()});
  }
  out->Put(ChangesKey(rows.back().revision), Pack(all));
}

uint64_t AskFreeBytes(const std::string& dir) {
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
  if (!options_.free_bytes) options_.free_bytes = AskFreeBytes;
  Open();
}

Engine::~Engine() = default;

// Walks the logs that the library will read. Only the newest write-ahead log may have a torn end;
// the rest were synced whole before a newer one was begun.
void Engine::CheckLogs() {
  std::vector<std::pair<uint64_t, fs::path>> logs;
  std::error_code error;
  for (const auto& file : fs::directory_iterator(dir_, error)) {
    const std::string name = file.path().filename().string();
    if (file.path().extension() == ".log") {
      logs.emplace_back(std::strtoull(name.c_str(), nullptr, 10), file.path());
    }
  }
  std::sort(logs.begin(), logs.end());
  const auto read = [](const fs::path& path) {
    std::ifstream in(path, std::ios::binary);
    std::ostringstream bytes;
    bytes << in.rdbuf();
    return std::move(bytes).str();
  };
  std::ifstream current(fs::path(dir_) / "CURRENT");
  std::string manifest;
  if (current && std::getline(current, manifest) &&
      fs::is_regular_file(fs::path(dir_) / manifest, error)) {
    logs.emplace(logs.begin(), 0, fs::path(dir_) / manifest);
  }
  for (size_t i = 0; i < logs.size(); ++i) {
    const fs::path& path = logs[i].second;
    const LogCheck check = CheckLog(read(path));
    if (check.state == LogCheck::State::kWhole) continue;
    const std::string where = path.string() + ": byte " + std::to_string(check.bad_at);
    const bool manifest_file = path.extension() != ".log";
    if (check.state == LogCheck::State::kDamaged || (i + 1 < logs.size() && !manifest_file)) {
      throw DiskError(where + ": damaged; restore a snapshot");
    }
    // A manifest's torn end names nothing that was answered, and an owner may be just writing.
    if (mode_ == OpenMode::kReadOnly || manifest_file) continue;
    notes_.push_back(where + ": a torn end of " +
                     std::to_string(fs::file_size(path) - check.good_bytes) + " bytes was cut");
    const int fd = ::open(path.c_str(), O_WRONLY | O_CLOEXEC);
    const bool cut =
        fd >= 0 && ::ftruncate(fd, static_cast<off_t>(check.good_bytes)) == 0 && ::fsync(fd) == 0;
    if (fd >= 0) ::close(fd);
    if (!cut) throw DiskError(where + ": a torn end can't be cut");
  }
}

void Engine::Open() {
  db_.reset();
  const bool fresh = IsEmptyOrAbsent(dir_);
  if (mode_ == OpenMode::kReadOnly && fresh) throw DiskError(dir_ + ": no state here");
  std::error_code error;
  fs::create_directories(dir_, error);
  if (!fresh && !fs::exists(fs::path(dir_) / "CURRENT") && mode_ == OpenMode::kReadWrite) {
    // Another's files are left alone; but a first start that was cut short leaves some of ours.
    const auto ours = [](const fs::path& p) {
      const std::string name = p.filename().string();
      return name == "LOCK" || name == "IDENTITY" || name.starts_with("LOG") ||
             name.starts_with("MANIFEST-") || name.ends_with(".log") || name.ends_with(".dbtmp");
    };
    for (const auto& file : fs::directory_iterator(dir_)) {
      if (!ours(file.path())) throw DiskError(dir_ + ": holds other files and no state");
    }
  }
  rocksdb::Options o;
  if (options_.env) o.env = options_.env;
  o.create_if_missing = mode_ == OpenMode::kReadWrite;
  o.paranoid_checks = true;
  o.wal_recovery_mode = mode_ == OpenMode::kReadWrite
                            ? rocksdb::WALRecoveryMode::kAbsoluteConsistency
                            : rocksdb::WALRecoveryMode::kTolerateCorruptedTailRecords;
  o.track_and_verify_wals_in_manifest = mode_ == OpenMode::kReadWrite;
  o.max_background_jobs = 2;
  o.write_buffer_size = 16 << 20;
  // Nothing is read while it serves: new rows are only kept in the order of their coming, and
  // sorted when they go to a table.
  o.memtable_factory = std::make_shared<rocksdb::VectorRepFactory>();
  o.allow_concurrent_memtable_write = false;
  o.max_open_files = mode_ == OpenMode::kReadOnly ? -1 : 256;
  o.keep_log_file_num = 3;
  o.info_log_level = rocksdb::InfoLogLevel::WARN_LEVEL;
  o.compression = rocksdb::kNoCompression;
  rocksdb::BlockBasedTableOptions table;
  table.block_cache = rocksdb::NewLRUCache(8 << 20);
  table.format_version = 5;
  o.table_factory.reset(rocksdb::NewBlockBasedTableFactory(table));
  rocksdb::DB* db = nullptr;
  rocksdb::Status s;
  if (mode_ == OpenMode::kReadOnly) {
    // The owner may drop a file between our listing and our opening it: look again.
    for (int round = 0; round < 20; ++round) {
      s = rocksdb::DB::OpenForReadOnly(o, dir_, &db);
      if (s.ok() || !(s.IsIOError() || s.IsPathNotFound())) break;
      ::usleep(50000);
    }
    if (!s.ok()) CheckLogs();  // a better word for what is wrong, if there is one
  } else {
    // Whoever holds the lock is writing, and its logs must not be touched.
    rocksdb::FileLock* lock = nullptr;
    rocksdb::Env* env = o.env;
    if (rocksdb::Status locked = env->LockFile(dir_ + "/LOCK", &lock); !locked.ok()) {
      const std::string why = locked.ToString();
      if (why.find("lock hold by") != std::string::npos ||
          why.find("unavailable") != std::string::npos) {
        throw DiskError(dir_ + ": in use by another process");
      }
      throw DiskError(dir_ + ": can't be used: " + OneLine(why));
    }
    try {
      CheckLogs();
    } catch (...) {
      env->UnlockFile(lock);
      throw;
    }
    env->UnlockFile(lock);
    s = rocksdb::DB::Open(o, dir_, &db);
  }
  if (!s.ok()) {
    const std::string why = s.ToString();
    if (why.find("/LOCK") != std::string::npos)
      throw DiskError(dir_ + ": in use by another process");
    throw DiskError(dir_ + ": " + OneLine(why));
  }
  db_.reset(db);
  std::string meta;
  rocksdb::ReadOptions read;
  read.verify_checksums = true;
  s = db_->Get(read, kMeta, &meta);
  if (s.ok()) {
    const MetaRow row = Unpack<MetaRow>(kMeta, meta);
    writes_ = row.writes;
    epoch_ = row.epoch;
    last_lease_ = row.last_lease;
    compacted_ = row.compacted;
  } else if (!s.IsNotFound()) {
    throw DiskError(dir_ + ": " + OneLine(s.ToString()));
  }
}

StateImage Engine::Load() {
  StateImage image;
  rocksdb::ReadOptions read;
  read.verify_checksums = true;
  read.fill_cache = false;
  std::unique_ptr<rocksdb::Iterator> it(db_->NewIterator(read));
  bool meta = false;
  for (it->SeekToFirst(); it->Valid(); it->Next()) {
    const rocksdb::Slice key = it->key(), value = it->value();
    const std::string_view rest(key.data() + 1, key.size() - 1);
    switch (key[0]) {
      case 'c':
        for (ChangeRow& row : Unpack<ChangesRow>(key, value).changes) {
          ChangeLogEntry change{row.stamp, std::move(row.key), std::nullopt};
          if (!row.deleted) change.value = std::move(row.value);
          image.change_log.push_back(std::move(change));
        }
        break;
      case 'k': {
        ItemRow row = Unpack<ItemRow>(key, value);
        image.items.emplace_hint(image.items.end(), std::string(rest),
                                 VersionedValue{std::move(row.value), row.stamp, row.lease});
        break;
      }
      case 'l':
        image.leases[FromBigEndian(rest)] = Micros{Unpack<LeaseRow>(key, value).life};
        break;
      case 'm': {
        const MetaRow row = Unpack<MetaRow>(key, value);
        image.revision = row.epoch;
        image.last_lease_id = row.last_lease;
        image.compacted_revision = row.compacted;
        meta = true;
        break;
      }
      case 'r':  // the owner's note
        break;
      default:
        throw DiskError(dir_ + ": record " + key.ToString(true) + " is of no known kind");
    }
  }
  if (!it->status().ok()) throw DiskError(dir_ + ": " + OneLine(it->status().ToString()));
  if (!meta && (!image.items.empty() || !image.change_log.empty())) {
    throw DiskError(dir_ + ": the revision's record is missing");
  }
  // The revision's record comes after the changes; what it has forgotten goes now.
  while (!image.change_log.empty() && image.change_log.front().revision <= image.compacted_revision)
    image.change_log.pop_front();
  trimmed_ = image.compacted_revision;
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
  for (const auto& [id, life] : batch.leases) {
    if (life) {
      out->Put("l" + BigEndian(id), Pack(LeaseRow{life->count}));
    } else {
      out->Delete("l" + BigEndian(id));
    }
  }
  PutLog(out, batch.change_log);
}

}  // namespace

WriteOutcome Engine::Commit(rocksdb::WriteBatch* out) {
  rocksdb::WriteOptions sync;
  sync.sync = true;
  if (!db_->Write(sync, out).ok()) return ResolveUnknownWrite();
  writes_ = expected_;
  return WriteOutcome::kDurable;
}

WriteOutcome Engine::Write(const Batch& batch) { return WriteWithOwnerMetadata(&batch, ""); }

WriteOutcome Engine::WriteWithOwnerMetadata(const Batch* batch, const std::string& note) {
  if (!db_) {
    return ResolveUnknownWrite() == WriteOutcome::kUnknown ? WriteOutcome::kUnknown
                                                           : WriteWithOwnerMetadata(batch, note);
  }
  if (options_.free_bytes(dir_) < options_.reserve_bytes) return WriteOutcome::kAbsent;
  rocksdb::WriteBatch out;
  expected_ = writes_ + 1;
  const MetaRow meta =
      batch ? MetaRow{batch->revision, batch->last_lease_id, batch->compacted_revision, expected_}
            : MetaRow{epoch_, last_lease_, compacted_, expected_};
  Put(&out, meta);
  if (batch) PutBatch(&out, *batch);
  if (!note.empty()) out.Put(kNote, note);
  // Dropping old rows by range costs later reads something, so it is done seldom.
  const bool trim = meta.compacted > trimmed_ + kMinChangeLogEntries / 4;
  if (trim) out.DeleteRange("c", ChangesKey(meta.compacted + 1));
  const WriteOutcome written = Commit(&out);
  if (written != WriteOutcome::kDurable) return written;
  epoch_ = meta.epoch;
  last_lease_ = meta.last_lease;
  compacted_ = meta.compacted;
  if (trim) trimmed_ = meta.compacted;
  return written;
}

WriteOutcome Engine::Replace(const StateImage& image, const std::string& note) {
  if (!db_ && ResolveUnknownWrite() == WriteOutcome::kUnknown) return WriteOutcome::kUnknown;
  if (options_.free_bytes(dir_) < options_.reserve_bytes) return WriteOutcome::kAbsent;
  rocksdb::WriteBatch out;
  expected_ = writes_ + 1;
  out.DeleteRange("c", "m");  // changes, items and leases
  for (const auto& [key, item] : image.items) PutItem(&out, key, item);
  for (const auto& [id, life] : image.leases) {
    out.Put("l" + BigEndian(id), Pack(LeaseRow{life.count}));
  }
  PutLog(&out, image.change_log);
  Put(&out, MetaRow{image.revision, image.last_lease_id, image.compacted_revision, expected_});
  out.Put(kNote, note);
  const WriteOutcome written = Commit(&out);
  if (written != WriteOutcome::kDurable) return written;
  epoch_ = image.revision;
  last_lease_ = image.last_lease_id;
  compacted_ = trimmed_ = image.compacted_revision;
  return written;
}

std::string Engine::LoadOwnerMetadata() {
  std::string note;
  if (!db_) return note;
  rocksdb::ReadOptions read;
  read.verify_checksums = true;
  const rocksdb::Status s = db_->Get(read, kNote, &note);
  if (!s.ok() && !s.IsNotFound()) throw DiskError(dir_ + ": " + OneLine(s.ToString()));
  return s.ok() ? note : std::string();
}

// A failed write may be on the disk all the same. Opening the database again writes what its logs
// hold to new, synced files, so after that what is seen is what is durable.
WriteOutcome Engine::ResolveUnknownWrite() {
  try {
    notes_.clear();
    Open();
  } catch (const DiskError&) {
    db_.reset();
    return WriteOutcome::kUnknown;
  }
  return writes_ == expected_ ? WriteOutcome::kDurable : WriteOutcome::kAbsent;
}

void Engine::Initialize(const StateImage& image) {
  rocksdb::WriteBatch out;
  const auto flush = [&](bool last) {
    if (!last && out.GetDataSize() < 4 << 20) return;
    rocksdb::WriteOptions sync;
    sync.sync = last;
    const rocksdb::Status s = db_->Write(sync, &out);
    if (!s.ok()) throw DiskError(dir_ + ": " + OneLine(s.ToString()));
    out.Clear();
  };
  for (const auto& [key, item] : image.items) {
    PutItem(&out, key, item);
    flush(false);
  }
  for (const auto& [id, life] : image.leases) {
    out.Put("l" + BigEndian(id), Pack(LeaseRow{life.count}));
  }
  // In pieces that end with a revision, as batches do.
  std::vector<ChangeLogEntry> piece;
  for (size_t i = 0; i < image.change_log.size(); ++i) {
    piece.push_back(image.change_log[i]);
    const bool whole = i + 1 == image.change_log.size() ||
                       image.change_log[i + 1].revision != image.change_log[i].revision;
    if (!whole || (piece.size() < 256 && i + 1 < image.change_log.size())) continue;
    PutLog(&out, piece);
    piece.clear();
    flush(false);
  }
  Put(&out, MetaRow{image.revision, image.last_lease_id, image.compacted_revision, ++writes_});
  flush(true);
  epoch_ = image.revision;
  last_lease_ = image.last_lease_id;
  compacted_ = image.compacted_revision;
}

}  // namespace badgershore::store
