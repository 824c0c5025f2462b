// The storage engine on a failing disk: recovery, the data left afterwards, and retries.
#include <gtest/gtest.h>
#include <rocksdb/db.h>
#include <rocksdb/env.h>
#include <rocksdb/listener.h>
#include <unistd.h>

#include <atomic>
#include <filesystem>
#include <fstream>
#include <future>

#include "fault_file_system.h"
#include "store/disk/database_options.h"
#include "store/disk/engine.h"
#include "store/disk/log_check.h"
#include "store/disk/rows.h"
#include "store/disk_retry.h"

namespace badgershore::store {
namespace {

namespace fs = std::filesystem;

constexpr auto kRecoveryDeadline = std::chrono::seconds(30);
constexpr int kMetadataWrites = 3;
constexpr int kMaxRetries = 200;

// Observes RocksDB's automatic recovery from a failed write, which runs on a background thread.
class RecoveryObserver : public rocksdb::EventListener {
 public:
  void OnErrorRecoveryBegin(rocksdb::BackgroundErrorReason /*reason*/, rocksdb::Status /*error*/,
                            bool* auto_recovery) override {
    if (*auto_recovery) begun_ = true;
  }
  void OnErrorRecoveryEnd(const rocksdb::BackgroundErrorRecoveryInfo& /*info*/) override {
    ended_.set_value();
  }
  void OnLogCreated() {
    if (!created_.exchange(true)) log_created_.set_value();
  }
  bool begun() const { return begun_; }
  bool WaitForNewerLog() { return Wait(&log_created_); }
  bool WaitForEnd() { return Wait(&ended_); }

 private:
  static bool Wait(std::promise<void>* event) {
    return event->get_future().wait_for(kRecoveryDeadline) == std::future_status::ready;
  }

  std::atomic<bool> begun_ = false, created_ = false;
  std::promise<void> log_created_, ended_;
};

Batch NumberedBatch(uint64_t number, size_t value_bytes = 300) {
  Batch batch;
  batch.id = batch.revision = number;
  const std::string key = "k" + std::to_string(number % 7);
  const std::string value = "\"" + std::string(value_bytes, 'v') + std::to_string(number) + "\"";
  batch.items[key] = VersionedValue{value, number, 0};
  batch.change_log.push_back({number, key, value});
  return batch;
}

StateImage ImageAfter(uint64_t last, size_t value_bytes = 300) {
  StateImage image;
  for (uint64_t number = 1; number <= last; ++number) {
    Apply(NumberedBatch(number, value_bytes), &image);
  }
  return image;
}

std::string ReadBytes(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  return std::string(std::istreambuf_iterator<char>(in), {});
}

void WriteBytes(const std::string& path, const std::string& bytes) {
  std::ofstream(path, std::ios::binary | std::ios::trunc) << bytes;
}

bool IsLog(const std::string& path) { return path.ends_with(".log"); }

class FailingDiskTest : public testing::Test {
 protected:
  FailingDiskTest() {
    char name[] = "/tmp/badgershore-failing-disk-XXXXXX";
    root_ = mkdtemp(name);
    dir_ = root_ + "/state";
    env_ = rocksdb::NewCompositeEnv(std::make_shared<FaultyFileSystem>(&plan_));
    options_.reserve_bytes = 0;
    options_.env = env_.get();
  }
  ~FailingDiskTest() override { fs::remove_all(root_); }

  void WriteBatches(uint64_t first, uint64_t last) {
    Engine engine(dir_, Engine::OpenMode::kReadWrite, options_);
    for (uint64_t number = first; number <= last; ++number) {
      ASSERT_EQ(engine.Write(NumberedBatch(number)), WriteOutcome::kDurable);
    }
  }
  std::vector<std::string> Logs() const {
    std::vector<std::string> logs;
    for (const auto& file : fs::directory_iterator(dir_)) {
      if (IsLog(file.path())) logs.push_back(file.path());
    }
    std::sort(logs.begin(), logs.end());
    return logs;
  }
  // Writes owner metadata directly with RocksDB and fails the next append. If RocksDB recovers
  // automatically, it creates a newer log and then fails to append to the table.
  void FailAppend(const rocksdb::Options& as, DiskFault fault) {
    rocksdb::Options options = as;
    const auto observer = std::make_shared<RecoveryObserver>();
    options.listeners.push_back(observer);
    const auto appends = [&](DiskOperation operation, const std::string& path) {
      if (operation == DiskOperation::kCreate && IsLog(path)) observer->OnLogCreated();
      return operation == DiskOperation::kAppend;
    };
    WriteMetadataAndFailNext(options, fault, appends);
    recovery_begun_ = observer->begun();
    if (recovery_begun_) {
      ASSERT_TRUE(observer->WaitForNewerLog());
    }
    CloseDatabase();
  }
  // The same, but RocksDB's recovery succeeds except for deleting the torn log.
  void FailAppendAndLogDeletion(const rocksdb::Options& as) {
    rocksdb::Options options = as;
    const auto observer = std::make_shared<RecoveryObserver>();
    options.listeners.push_back(observer);
    const auto logs = [](DiskOperation operation, const std::string& path) {
      return IsLog(path) &&
             (operation == DiskOperation::kAppend || operation == DiskOperation::kDelete);
    };
    WriteMetadataAndFailNext(options, DiskFault::kNoSpace, logs);
    ASSERT_TRUE(observer->WaitForEnd());
    CloseDatabase();
  }
  void WriteMetadataAndFailNext(const rocksdb::Options& options, DiskFault fault,
                                FaultPlan::Condition which) {
    rocksdb::DB* database = nullptr;
    ASSERT_TRUE(rocksdb::DB::Open(options, dir_, &database).ok());
    database_.reset(database);
    rocksdb::WriteOptions sync;
    sync.sync = true;
    for (int i = 0; i < kMetadataWrites; ++i) {
      ASSERT_TRUE(database_->Put(sync, kOwnerMetadataKey, "note").ok());
    }
    plan_.Fail(fault, 1, 1000, std::move(which));
    EXPECT_FALSE(database_->Put(sync, kOwnerMetadataKey, std::string(500, 'x')).ok());
  }
  void CloseDatabase() {
    database_.reset();
    plan_.Heal();
  }
  rocksdb::Options ServiceOptions() const {
    return DatabaseOptions(DatabaseAccess::kReadWrite, env_.get());
  }
  // The options of earlier versions, which left RocksDB's automatic recovery enabled.
  rocksdb::Options OptionsWithAutomaticRecovery() const {
    rocksdb::Options options = ServiceOptions();
    options.listeners.clear();
    options.max_bgerror_resume_count = rocksdb::Options().max_bgerror_resume_count;
    return options;
  }
  // The error of opening the database; empty on success.
  std::string OpenError() const {
    try {
      Engine engine(dir_, Engine::OpenMode::kReadWrite, options_);
    } catch (const DataCorruptionError& error) {
      return error.what();
    }
    return "";
  }
  void ExpectFirstFiveBatchesAndOwnerMetadata() {
    Engine engine(dir_, Engine::OpenMode::kReadWrite, options_);
    EXPECT_EQ(engine.Load(), ImageAfter(5));
    EXPECT_EQ(engine.LoadOwnerMetadata(), "note");
  }

  std::string root_, dir_;
  FaultPlan plan_;
  std::unique_ptr<rocksdb::Env> env_;
  std::unique_ptr<rocksdb::DB> database_;
  bool recovery_begun_ = false;
  EngineOptions options_;
};

// Guards against RocksDB's automatic recovery, which creates a newer log next to the torn one while
// the engine reopens the database; the directory could not be opened any more afterwards.
TEST_F(FailingDiskTest, AutomaticRecoveryIsDisabled) {
  for (const DiskFault fault :
       {DiskFault::kNoSpace, DiskFault::kRetryableIoError, DiskFault::kIoError}) {
    fs::remove_all(dir_);
    WriteBatches(1, 5);
    FailAppend(ServiceOptions(), fault);
    EXPECT_FALSE(recovery_begun_);
    EXPECT_EQ(Logs().size(), 1u);
    ExpectFirstFiveBatchesAndOwnerMetadata();
  }
}

// Guards against refusing a directory that contains all acknowledged writes.
TEST_F(FailingDiskTest, OpensATornLogFollowedByAnEmptyLog) {
  WriteBatches(1, 5);
  FailAppend(OptionsWithAutomaticRecovery(), DiskFault::kNoSpace);
  ASSERT_EQ(Logs().size(), 2u);
  EXPECT_EQ(fs::file_size(Logs()[1]), 0u);
  ExpectFirstFiveBatchesAndOwnerMetadata();
  WriteBatches(6, 7);
  Engine engine(dir_, Engine::OpenMode::kReadWrite, options_);
  EXPECT_EQ(engine.Load(), ImageAfter(7));
}

// Guards against the same after RocksDB has flushed all of the torn log to a table.
TEST_F(FailingDiskTest, IgnoresATornLogThatTheManifestDoesNotNeed) {
  WriteBatches(1, 5);
  FailAppendAndLogDeletion(OptionsWithAutomaticRecovery());
  ASSERT_EQ(Logs().size(), 2u);
  ExpectFirstFiveBatchesAndOwnerMetadata();
  WriteBatches(6, 7);
  Engine engine(dir_, Engine::OpenMode::kReadWrite, options_);
  EXPECT_EQ(engine.Load(), ImageAfter(7));
}

// Guards against corruption of acknowledged writes that is taken for the torn write of a failed
// append.
TEST_F(FailingDiskTest, DetectsABitFlipInATornLogFollowedByAnEmptyLog) {
  WriteBatches(1, 5);
  FailAppend(OptionsWithAutomaticRecovery(), DiskFault::kNoSpace);
  ASSERT_EQ(Logs().size(), 2u);
  const std::string log = Logs()[0], bytes = ReadBytes(log);
  const size_t acknowledged = CheckLog(bytes).valid_bytes;
  ASSERT_GT(acknowledged, 0u);
  ASSERT_LT(acknowledged, bytes.size());
  for (size_t at = 0; at < acknowledged; ++at) {
    for (int bit = 0; bit < 8; ++bit) {
      std::string corrupted = bytes;
      corrupted[at] = static_cast<char>(corrupted[at] ^ 1 << bit);
      WriteBytes(log, corrupted);
      EXPECT_EQ(OpenError().rfind(log + ": byte ", 0), 0u)
          << at << " " << bit << " " << OpenError();
    }
  }
}

// Guards against truncating the last acknowledged write as a torn write because of a bit flip in
// its length.
TEST_F(FailingDiskTest, BitFlipInTheLastRecordsLengthIsCorruption) {
  WriteBatches(1, 5);
  ASSERT_EQ(Logs().size(), 1u);
  const std::string bytes = ReadBytes(Logs()[0]);
  const size_t last_record = CheckLog(bytes.substr(0, bytes.size() - 1)).valid_bytes;
  constexpr size_t kLengthOffset = 4, kLengthBits = 16;
  for (size_t bit = 0; bit < kLengthBits; ++bit) {
    std::string corrupted = bytes;
    char& byte = corrupted[last_record + kLengthOffset + bit / 8];
    byte = static_cast<char>(byte ^ 1 << bit % 8);
    EXPECT_EQ(CheckLog(corrupted).state, LogCheck::State::kCorrupt) << bit;
  }
}

// Guards against `check`, `dump` and `snapshot` ignoring corruption of acknowledged writes.
TEST_F(FailingDiskTest, ReadOnlyOpenDetectsCorruption) {
  WriteBatches(1, 5);
  ASSERT_EQ(Logs().size(), 1u);
  const std::string log = Logs()[0], bytes = ReadBytes(log);
  for (size_t at = 0; at < bytes.size(); ++at) {
    std::string corrupted = bytes;
    corrupted[at] = static_cast<char>(corrupted[at] ^ 1 << at % 8);
    WriteBytes(log, corrupted);
    try {
      Engine engine(dir_, Engine::OpenMode::kReadOnly, options_);
      engine.Load();
      ADD_FAILURE() << "byte " << at << ": corruption was not detected";
    } catch (const DataCorruptionError& error) {
      EXPECT_EQ(std::string(error.what()).rfind(log + ": byte ", 0), 0u) << error.what();
    }
  }
}

// Guards against truncating acknowledged writes in a log that is followed by a newer one.
TEST_F(FailingDiskTest, RefusesATornLogFollowedByALogWithRecords) {
  WriteBatches(1, 5);
  FailAppend(OptionsWithAutomaticRecovery(), DiskFault::kNoSpace);
  ASSERT_EQ(Logs().size(), 2u);
  const std::string bytes = ReadBytes(Logs()[0]);
  WriteBytes(Logs()[1], bytes.substr(0, CheckLog(bytes).valid_bytes));
  EXPECT_EQ(OpenError(), Logs()[0] + ": byte " + std::to_string(CheckLog(bytes).invalid_offset) +
                             ": corrupt; restore a snapshot");
}

// Writes and retries until the outcome is known.
WriteOutcome WriteUntilResolved(Engine* engine, const Batch& batch) {
  WriteOutcome written = engine->Write(batch);
  for (int i = 0; i < kMaxRetries && written == WriteOutcome::kUnknown; ++i) {
    written = engine->ResolveUnknownWrite();
  }
  return written;
}

// Guards against the loss of an acknowledged write, an outcome that is wrong after a restart, and
// an engine that does not use a disk that works again. Fails each disk operation in turn, then
// again after the first successful write.
TEST_F(FailingDiskTest, FailureOfAnyOperationLosesNoAcknowledgedWrite) {
  for (const DiskFault fault : {DiskFault::kNoSpace, DiskFault::kIoError}) {
    for (const int count : {1, 2, 5, 40}) {
      for (int first = 1; first <= 24; ++first) {
        SCOPED_TRACE(testing::Message() << "fault " << static_cast<int>(fault) << ", changes "
                                        << first << " to " << first + count - 1);
        fs::remove_all(dir_);
        uint64_t last = 0;
        bool again = false;
        {
          Engine engine(dir_, Engine::OpenMode::kReadWrite, options_);
          plan_.Fail(fault, first, count);
          for (int tries = 0; tries < kMaxRetries && last < 12; ++tries) {
            const WriteOutcome written = WriteUntilResolved(&engine, NumberedBatch(last + 1));
            ASSERT_NE(written, WriteOutcome::kUnknown);
            if (written == WriteOutcome::kDurable) ++last;
            if (plan_.failures() > 0 && written == WriteOutcome::kDurable && !again) {
              again = true;
              plan_.Fail(fault, 1, count);
            }
          }
          ASSERT_EQ(last, 12u);
        }
        plan_.Heal();
        Engine engine(dir_, Engine::OpenMode::kReadWrite, options_);
        ASSERT_EQ(engine.Load(), ImageAfter(last));
      }
    }
  }
}

// Guards against a failure during opening that makes the database impossible to open later.
TEST_F(FailingDiskTest, OpensAfterAFailureOfAnyOperation) {
  for (const DiskFault fault : {DiskFault::kNoSpace, DiskFault::kIoError}) {
    for (const int count : {1, 2, 5, 40}) {
      for (int first = 1; first <= 24; ++first) {
        SCOPED_TRACE(testing::Message() << "fault " << static_cast<int>(fault) << ", changes "
                                        << first << " to " << first + count - 1);
        fs::remove_all(dir_);
        WriteBatches(1, 5);
        plan_.Fail(fault, first, count);
        bool opened = false;
        for (int tries = 0; tries < kMaxRetries && !opened; ++tries) {
          try {
            Engine engine(dir_, Engine::OpenMode::kReadWrite, options_);
            opened = true;
          } catch (const DiskError& error) {
            ASSERT_FALSE(dynamic_cast<const DataCorruptionError*>(&error)) << error.what();
          }
        }
        ASSERT_TRUE(opened);
        plan_.Heal();
        Engine engine(dir_, Engine::OpenMode::kReadWrite, options_);
        ASSERT_EQ(engine.Load(), ImageAfter(5));
      }
    }
  }
}

// Guards against the same when a table is flushed while the service writes.
TEST_F(FailingDiskTest, FailureOfATableFlushLosesNoAcknowledgedWrite) {
  constexpr size_t kValueBytes = 1 << 20;
  constexpr uint64_t kBatches = 24;  // more than a write buffer
  for (const int count : {1, 40}) {
    fs::remove_all(dir_);
    {
      Engine engine(dir_, Engine::OpenMode::kReadWrite, options_);
      plan_.Fail(DiskFault::kNoSpace, 1, count,
                 [](DiskOperation, const std::string& path) { return path.ends_with(".sst"); });
      uint64_t last = 0;
      for (int tries = 0; tries < kMaxRetries && last < kBatches; ++tries) {
        const WriteOutcome written =
            WriteUntilResolved(&engine, NumberedBatch(last + 1, kValueBytes));
        ASSERT_NE(written, WriteOutcome::kUnknown);
        if (written == WriteOutcome::kDurable) ++last;
      }
      ASSERT_EQ(last, kBatches);
    }
    EXPECT_GT(plan_.failures(), 0);
    plan_.Heal();
    Engine engine(dir_, Engine::OpenMode::kReadWrite, options_);
    ASSERT_EQ(engine.Load(), ImageAfter(kBatches, kValueBytes));
  }
}

// Guards against reporting the outcome of one batch for the next one, which was never written.
TEST_F(FailingDiskTest, RefusesWritesUntilAnUnknownWriteIsResolved) {
  Engine engine(dir_, Engine::OpenMode::kReadWrite, options_);
  for (uint64_t number = 1; number <= 3; ++number) {
    ASSERT_EQ(engine.Write(NumberedBatch(number)), WriteOutcome::kDurable);
  }
  constexpr int kSyncOperation = 2;  // the append before it succeeds
  plan_.Fail(DiskFault::kIoError, kSyncOperation, 1000);
  ASSERT_EQ(engine.Write(NumberedBatch(4)), WriteOutcome::kUnknown);
  EXPECT_EQ(engine.Write(NumberedBatch(5)), WriteOutcome::kAbsent);
  plan_.Heal();
  EXPECT_EQ(engine.ResolveUnknownWrite(), WriteOutcome::kDurable);
  EXPECT_EQ(engine.Load(), ImageAfter(4));
}

// Guards against a service that continues after losing acknowledged writes.
TEST_F(FailingDiskTest, MissingAcknowledgedWritesAreCorruption) {
  Engine engine(dir_, Engine::OpenMode::kReadWrite, options_);
  for (uint64_t number = 1; number <= 5; ++number) {
    ASSERT_EQ(engine.Write(NumberedBatch(number)), WriteOutcome::kDurable);
  }
  plan_.Fail(DiskFault::kIoError, 1, 1000);
  ASSERT_EQ(engine.Write(NumberedBatch(6)), WriteOutcome::kUnknown);
  fs::remove_all(dir_);
  plan_.Heal();
  try {
    engine.ResolveUnknownWrite();
    FAIL() << "no error was thrown";
  } catch (const DataCorruptionError& error) {
    EXPECT_EQ(error.what(), dir_ + ": 5 acknowledged writes are missing; restore a snapshot");
  }
}

// Guards against retrying a failing disk without a delay, too rarely, or without logging.
TEST(DiskRetry, BacksOffAndLogsAtIntervals) {
  DiskRetry retry;
  EXPECT_FALSE(retry.OnSuccess(Seconds(1)));
  Micros now = Seconds(10);
  int lines = 0;
  Micros delay;
  while (now < Seconds(100)) {
    const DiskRetry::Decision decision = retry.OnFailure(now);
    EXPECT_GE(decision.delay, delay);
    EXPECT_GT(decision.delay, Micros{});
    EXPECT_LE(decision.delay, Seconds(2));
    EXPECT_EQ(decision.failing_for, now - Seconds(10));
    lines += decision.log ? 1 : 0;
    delay = decision.delay;
    now += delay;
  }
  EXPECT_GE(lines, 3);
  EXPECT_LE(lines, 4);
  EXPECT_EQ(retry.OnSuccess(now), now - Seconds(10));
  EXPECT_TRUE(retry.OnFailure(now).log);
}

}  // namespace
}  // namespace badgershore::store
