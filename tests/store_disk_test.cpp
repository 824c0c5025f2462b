// The storage engine: crashes at every disk operation, torn writes, corruption, a full disk and
// snapshots.
#include <gtest/gtest.h>
#include <rocksdb/db.h>
#include <rocksdb/env.h>
#include <rocksdb/file_system.h>
#include <sys/mman.h>
#include <sys/wait.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <random>

#include "store/disk/archive.h"
#include "store/disk/engine.h"

namespace badgershore::store {
namespace {

namespace fs = std::filesystem;

// Memory shared between a child process that crashes and the parent that checks the data directory.
struct SharedFaultState {
  int operations = 0;  // file system operations so far
  int exit_at = 0;     // 0: never
  int fail_from = 0, fail_until = 0;
  uint64_t acknowledged = 0;
  struct {
    char name[64];
    uint64_t synced;
  } files[64];
  int file_count = 0;

  uint64_t* Synced(const std::string& path) {
    const std::string name = fs::path(path).filename().string();
    for (int i = 0; i < file_count; ++i) {
      if (name == files[i].name) return &files[i].synced;
    }
    std::snprintf(files[file_count].name, sizeof(files[0].name), "%s", name.c_str());
    files[file_count].synced = 0;
    return &files[file_count++].synced;
  }
};

// Counts the operations that change the disk, and exits the process or fails at a given one.
class FaultFile : public rocksdb::FSWritableFileOwnerWrapper {
 public:
  FaultFile(std::unique_ptr<rocksdb::FSWritableFile>&& file, std::string path,
            SharedFaultState* fault_state)
      : FSWritableFileOwnerWrapper(std::move(file)),
        path_(std::move(path)),
        fault_state_(fault_state) {}

  rocksdb::IOStatus CountOperation() {
    ++fault_state_->operations;
    if (fault_state_->operations == fault_state_->exit_at) _exit(9);
    if (fault_state_->operations >= fault_state_->fail_from &&
        fault_state_->operations < fault_state_->fail_until) {
      return rocksdb::IOStatus::NoSpace("no space left on device");
    }
    return rocksdb::IOStatus::OK();
  }
  using FSWritableFileOwnerWrapper::Append;
  rocksdb::IOStatus Append(const rocksdb::Slice& data, const rocksdb::IOOptions& o,
                           rocksdb::IODebugContext* d) override {
    if (auto s = CountOperation(); !s.ok()) {  // partially written, as on a real disk
      FSWritableFileOwnerWrapper::Append(rocksdb::Slice(data.data(), data.size() / 2), o, d);
      return s;
    }
    return FSWritableFileOwnerWrapper::Append(data, o, d);
  }
  rocksdb::IOStatus Sync(const rocksdb::IOOptions& o, rocksdb::IODebugContext* d) override {
    if (auto s = CountOperation(); !s.ok()) return s;
    auto s = FSWritableFileOwnerWrapper::Sync(o, d);
    if (s.ok()) *fault_state_->Synced(path_) = fs::file_size(path_);
    return s;
  }
  rocksdb::IOStatus Fsync(const rocksdb::IOOptions& o, rocksdb::IODebugContext* d) override {
    return Sync(o, d);
  }

 private:
  std::string path_;
  SharedFaultState* fault_state_;
};

class FaultFileSystem : public rocksdb::FileSystemWrapper {
 public:
  explicit FaultFileSystem(SharedFaultState* fault_state)
      : FileSystemWrapper(rocksdb::FileSystem::Default()), fault_state_(fault_state) {}
  const char* Name() const override { return "FaultFileSystem"; }
  rocksdb::IOStatus NewWritableFile(const std::string& path, const rocksdb::FileOptions& o,
                                    std::unique_ptr<rocksdb::FSWritableFile>* out,
                                    rocksdb::IODebugContext* d) override {
    std::unique_ptr<rocksdb::FSWritableFile> file;
    auto s = target()->NewWritableFile(path, o, &file, d);
    if (s.ok()) out->reset(new FaultFile(std::move(file), path, fault_state_));
    return s;
  }

 private:
  SharedFaultState* fault_state_;
};

Batch NumberedBatch(uint64_t n) {
  Batch b;
  b.id = b.revision = n;
  b.last_lease_id = n;
  const std::string key = "k" + std::to_string(n % 7);
  b.items[key] =
      VersionedValue{"\"" + std::string(n * 37 % 900, 'v') + std::to_string(n) + "\"", n, 0};
  if (n % 5 == 0) b.items["k" + std::to_string((n + 1) % 7)] = std::nullopt;
  b.leases[n] = Seconds(5);
  if (n > 3) b.leases[n - 3] = std::nullopt;
  for (const auto& [k, item] : b.items) {
    b.change_log.push_back({n, k, item ? std::optional<std::string>(item->value) : std::nullopt});
  }
  return b;
}
StateImage ImageAfter(uint64_t n) {
  StateImage image;
  for (uint64_t i = 1; i <= n; ++i) Apply(NumberedBatch(i), &image);
  return image;
}

class EngineTest : public testing::Test {
 protected:
  EngineTest() {
    char name[] = "/tmp/badgershore-disk-XXXXXX";
    root_ = mkdtemp(name);
    dir_ = root_ + "/state";
    void* memory = mmap(nullptr, sizeof(SharedFaultState), PROT_READ | PROT_WRITE,
                        MAP_SHARED | MAP_ANONYMOUS, -1, 0);
    fault_state_ = new (memory) SharedFaultState;
    options_.reserve_bytes = 0;
  }
  ~EngineTest() override {
    fs::remove_all(root_);
    munmap(fault_state_, sizeof(SharedFaultState));
  }
  // Writes batches in a child process until all are written or it is made to exit.
  void WriteInChild(uint64_t first, uint64_t last) {
    const pid_t pid = fork();
    if (pid == 0) {
      auto env = rocksdb::NewCompositeEnv(std::make_shared<FaultFileSystem>(fault_state_));
      EngineOptions o = options_;
      o.env = env.get();
      Engine engine(dir_, Engine::OpenMode::kReadWrite, o);
      for (uint64_t n = first; n <= last; ++n) {
        if (engine.Write(NumberedBatch(n)) != WriteOutcome::kDurable) _exit(1);
        fault_state_->acknowledged = n;
      }
      _exit(0);
    }
    waitpid(pid, nullptr, 0);
  }
  // Simulates a power loss: of each file the synced part remains, and a random part of the rest.
  void SimulatePowerLoss(unsigned seed) {
    std::mt19937 random(seed);
    for (const auto& file : fs::directory_iterator(dir_)) {
      const std::string name = file.path().filename().string();
      if (!name.ends_with(".log") && !name.ends_with(".sst") && !name.starts_with("MANIFEST-")) {
        continue;
      }
      const uint64_t synced = *fault_state_->Synced(file.path().string());
      const uint64_t size = fs::file_size(file.path());
      if (size <= synced) continue;
      fs::resize_file(file.path(), synced + random() % (size - synced + 1));
    }
  }
  std::string NewestLog() {
    std::string newest;
    for (const auto& file : fs::directory_iterator(dir_)) {
      if (file.path().extension() == ".log") newest = std::max(newest, file.path().string());
    }
    return newest;
  }
  std::string root_, dir_;
  SharedFaultState* fault_state_;
  EngineOptions options_;
};

// Guards against a write acknowledged before it is durable, and against a partially applied batch.
TEST_F(EngineTest, CrashAtAnyOperationLosesNoAcknowledgedBatch) {
  fault_state_->exit_at = 0;
  WriteInChild(1, 12);
  const int steps = fault_state_->operations;
  ASSERT_GT(steps, 20);
  for (int power = 0; power < 2; ++power) {
    for (int step = 1; step <= steps; ++step) {
      fs::remove_all(dir_);
      new (fault_state_) SharedFaultState;
      fault_state_->exit_at = step;
      WriteInChild(1, 12);
      if (power) SimulatePowerLoss(static_cast<unsigned>(step));
      Engine engine(dir_, Engine::OpenMode::kReadWrite, options_);
      const StateImage image = engine.Load();
      ASSERT_GE(image.revision, fault_state_->acknowledged) << "crashed at operation " << step;
      ASSERT_LE(image.revision, fault_state_->acknowledged + 1) << "crashed at operation " << step;
      ASSERT_EQ(image, ImageAfter(image.revision)) << "crashed at operation " << step;
      ASSERT_EQ(engine.Write(NumberedBatch(image.revision + 1)), WriteOutcome::kDurable);
    }
  }
}

// Guards against a torn write reported as corruption, and against one truncated without a warning.
TEST_F(EngineTest, TornWriteIsTruncatedWithAWarning) {
  WriteInChild(1, 12);
  const std::string log = NewestLog();
  const std::string whole = [&] {
    std::ifstream in(log, std::ios::binary);
    return std::string(std::istreambuf_iterator<char>(in), {});
  }();
  const fs::path copy = root_ + "/copy";
  fs::copy(dir_, copy, fs::copy_options::recursive);
  for (size_t cut = 1; cut < 60; ++cut) {
    for (const bool zeros : {false, true}) {
      fs::remove_all(dir_);
      fs::copy(copy, dir_, fs::copy_options::recursive);
      fs::resize_file(log, whole.size() - cut);
      if (zeros) fs::resize_file(log, whole.size());
      // If the cut bytes were zeros, the file is unchanged.
      if (zeros && whole.find_first_not_of('\0', whole.size() - cut) == std::string::npos) continue;
      Engine engine(dir_, Engine::OpenMode::kReadWrite, options_);
      EXPECT_EQ(engine.Load(), ImageAfter(11)) << cut;
      ASSERT_EQ(engine.recovery_warnings().size(), 1u) << cut;
      EXPECT_NE(engine.recovery_warnings()[0].find("truncated a torn write"), std::string::npos);
    }
  }
}

// Guards against undetected corruption. RocksDB takes a bit flip in a record's length for a torn
// write and drops the rest of its block.
TEST_F(EngineTest, BitFlipIsDetected) {
  WriteInChild(1, 40);
  {  // reopens the database, so that there are table files too
    Engine engine(dir_, Engine::OpenMode::kReadWrite, options_);
    for (uint64_t n = 41; n <= 60; ++n)
      ASSERT_EQ(engine.Write(NumberedBatch(n)), WriteOutcome::kDurable);
  }
  const fs::path copy = root_ + "/copy";
  fs::copy(dir_, copy, fs::copy_options::recursive);
  int refused = 0, cut = 0;
  std::mt19937 random(7);
  for (const auto& file : fs::directory_iterator(copy)) {
    const std::string name = file.path().filename().string();
    if (!name.ends_with(".log") && !name.ends_with(".sst") && !name.starts_with("MANIFEST")) {
      continue;
    }
    const uint64_t size = fs::file_size(file.path());
    for (int i = 0; i < 120 && size > 0; ++i) {
      const uint64_t at = i < 60 ? random() % size : (static_cast<uint64_t>(i) - 60) % size;
      const char bit = static_cast<char>(1 << (random() % 8));
      fs::remove_all(dir_);
      fs::copy(copy, dir_, fs::copy_options::recursive);
      {
        std::fstream out(dir_ + "/" + name, std::ios::in | std::ios::out | std::ios::binary);
        out.seekg(static_cast<std::streamoff>(at));
        const char byte = static_cast<char>(out.get() ^ bit);
        out.seekp(static_cast<std::streamoff>(at));
        out.put(byte);
      }
      try {
        Engine engine(dir_, Engine::OpenMode::kReadWrite, options_);
        const StateImage image = engine.Load();
        if (image == ImageAfter(60)) continue;  // an unused byte
        // Only the last record may be lost, as a torn write with a warning.
        EXPECT_EQ(image, ImageAfter(59)) << name << " byte " << at;
        EXPECT_EQ(engine.recovery_warnings().size(), 1u) << name << " byte " << at;
        ++cut;
      } catch (const DiskError& e) {
        const std::string line = e.what();
        EXPECT_EQ(line.find('\n'), std::string::npos);
        EXPECT_NE(line.find(dir_), std::string::npos) << line;
        ++refused;
      }
    }
  }
  EXPECT_GT(refused, 150);
  EXPECT_LE(cut, 3);
}

// Guards against the loss of an acknowledged batch, and against a batch that is reported as refused
// but was written.
TEST_F(EngineTest, DiskFailuresLoseNoAcknowledgedBatch) {
  auto env = rocksdb::NewCompositeEnv(std::make_shared<FaultFileSystem>(fault_state_));
  options_.env = env.get();
  for (int start = 1; start < 14; ++start) {
    for (const int length : {1, 2, 5, 40}) {
      fs::remove_all(dir_);
      new (fault_state_) SharedFaultState;
      uint64_t n = 0;
      {
        Engine engine(dir_, Engine::OpenMode::kReadWrite, options_);
        for (; n < 3; ++n) ASSERT_EQ(engine.Write(NumberedBatch(n + 1)), WriteOutcome::kDurable);
        fault_state_->fail_from = fault_state_->operations + start;
        fault_state_->fail_until = fault_state_->fail_from + length;
        for (int round = 0; round < 200 && n < 20; ++round) {
          WriteOutcome written = engine.Write(NumberedBatch(n + 1));
          while (written == WriteOutcome::kUnknown) written = engine.ResolveUnknownWrite();
          if (written == WriteOutcome::kDurable) ++n;
        }
        ASSERT_EQ(n, 20u);
      }
      Engine again(dir_, Engine::OpenMode::kReadWrite, options_);
      ASSERT_EQ(again.Load(), ImageAfter(20)) << start << " " << length;
    }
  }
}

TEST_F(EngineTest, RefusesWritesOnLowSpaceAndASecondWriter) {
  uint64_t free = 100;
  options_.reserve_bytes = 50;
  options_.free_bytes = [&](const std::string&) { return free; };
  Engine engine(dir_, Engine::OpenMode::kReadWrite, options_);
  EXPECT_EQ(engine.Write(NumberedBatch(1)), WriteOutcome::kDurable);
  free = 10;
  EXPECT_EQ(engine.Write(NumberedBatch(2)), WriteOutcome::kAbsent);
  free = 100;
  EXPECT_EQ(engine.Write(NumberedBatch(2)), WriteOutcome::kDurable);
  try {
    Engine second(dir_, Engine::OpenMode::kReadWrite, options_);
    FAIL() << "a second process opened the directory for writing";
  } catch (const DiskError& e) {
    EXPECT_EQ(std::string(e.what()), dir_ + ": in use by another process");
  }
  Engine reader(dir_, Engine::OpenMode::kReadOnly, options_);
  EXPECT_EQ(reader.Load(), ImageAfter(2));
}

TEST_F(EngineTest, SnapshotIsRestoredCompletelyOrNotAtAll) {
  Engine engine(dir_, Engine::OpenMode::kReadWrite, options_);
  for (uint64_t n = 1; n <= 30; ++n)
    ASSERT_EQ(engine.Write(NumberedBatch(n)), WriteOutcome::kDurable);
  const std::string file = root_ + "/s.tar.zst", back = root_ + "/back";
  WriteSnapshot(Engine(dir_, Engine::OpenMode::kReadOnly, options_).Load(), file);
  EXPECT_THROW(Restore(file, dir_), DiskError);
  Restore(file, back);
  EXPECT_EQ(Engine(back, Engine::OpenMode::kReadOnly, options_).Load(), ImageAfter(30));
  const uint64_t size = fs::file_size(file);
  for (uint64_t at = 0; at < size; at += 13) {
    const std::string bad = root_ + "/bad.tar.zst", other = root_ + "/other";
    fs::copy_file(file, bad, fs::copy_options::overwrite_existing);
    std::fstream out(bad, std::ios::in | std::ios::out | std::ios::binary);
    out.seekg(static_cast<std::streamoff>(at));
    const char byte = static_cast<char>(out.get() ^ 4);
    out.seekp(static_cast<std::streamoff>(at));
    out.put(byte);
    out.close();
    try {
      Restore(bad, other);
      EXPECT_EQ(Engine(other, Engine::OpenMode::kReadOnly, options_).Load(), ImageAfter(30)) << at;
      fs::remove_all(other);
    } catch (const DiskError&) {
      EXPECT_FALSE(fs::exists(other)) << at;
    }
  }
  fs::resize_file(file, size / 2);
  EXPECT_THROW(ReadSnapshot(file), DiskError);
}

}  // namespace
}  // namespace badgershore::store
