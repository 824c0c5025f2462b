// Benchmarks of the state service's storage: commits per second by number of concurrent writers,
// compared with plain write+fdatasync of the same bytes and with other storage libraries; lists,
// watches and recovery. Results depend on the machine; run nothing else beside it. Not part of the
// tests.
#include <benchmark/benchmark.h>
#include <fcntl.h>
#include <lmdb.h>
#include <malloc.h>
#include <sqlite3.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>

#include "store/disk/engine.h"

namespace badgershore::store {
namespace {

namespace fs = std::filesystem;
constexpr size_t kValueBytes = 200;

std::string MakeTemporaryDirectory() {
  const char* base = std::getenv("BENCH_DIR");
  std::string name = std::string(base ? base : "/var/tmp") + "/badgershore-bench-XXXXXX";
  return ::mkdtemp(name.data());
}

std::string Key(uint64_t n) {
  char key[32];
  std::snprintf(key, sizeof(key), "job/job-%09llu", static_cast<unsigned long long>(n));
  return key;
}

// One batch with a commit of one put by each writer.
void Commits(benchmark::State& state) {
  const std::string dir = MakeTemporaryDirectory();
  {
    Engine engine(dir + "/s", Engine::OpenMode::kReadWrite);
    uint64_t n = 0;
    for (auto _ : state) {
      state.PauseTiming();
      Batch batch;
      batch.revision = n;
      for (int64_t w = 0; w < state.range(0); ++w) {
        ++n;
        const std::string key = Key(n % 100000);
        batch.revision = n;
        batch.items[key] = VersionedValue{"\"" + std::string(kValueBytes, 'x') + "\"", n, 0};
        batch.change_log.push_back({n, key, batch.items[key]->value});
      }
      batch.compacted_revision = n > kMinChangeLogEntries ? n - kMinChangeLogEntries : 0;
      state.ResumeTiming();
      if (engine.Write(batch) != WriteOutcome::kDurable) state.SkipWithError("not written");
    }
    state.SetItemsProcessed(static_cast<int64_t>(n));
  }
  fs::remove_all(dir);
}
BENCHMARK(Commits)->Arg(1)->Arg(16)->Arg(256)->UseRealTime()->Unit(benchmark::kMicrosecond);

// The same bytes: key, value, change row and about 120 bytes of row headers per commit.
void BareWrites(benchmark::State& state) {
  const std::string dir = MakeTemporaryDirectory();
  const int fd = ::open((dir + "/f").c_str(), O_CREAT | O_WRONLY | O_APPEND, 0600);
  const std::string bytes(static_cast<size_t>(state.range(0)) * (2 * (kValueBytes + 19) + 120),
                          'x');
  int64_t n = 0;
  for (auto _ : state) {
    if (::write(fd, bytes.data(), bytes.size()) < 0 || ::fdatasync(fd) != 0) {
      state.SkipWithError("not written");
    }
    n += state.range(0);
  }
  state.SetItemsProcessed(n);
  ::close(fd);
  fs::remove_all(dir);
}
BENCHMARK(BareWrites)->Arg(1)->Arg(16)->Arg(256)->UseRealTime()->Unit(benchmark::kMicrosecond);

void CommitsInLmdb(benchmark::State& state) {
  const std::string dir = MakeTemporaryDirectory();
  MDB_env* env = nullptr;
  mdb_env_create(&env);
  mdb_env_set_mapsize(env, 4ULL << 30);
  if (mdb_env_open(env, dir.c_str(), 0, 0600) != 0) state.SkipWithError("not opened");
  uint64_t n = 0;
  const std::string value(2 * kValueBytes, 'x');
  for (auto _ : state) {
    MDB_txn* txn = nullptr;
    MDB_dbi dbi = 0;
    mdb_txn_begin(env, nullptr, 0, &txn);
    mdb_dbi_open(txn, nullptr, 0, &dbi);
    for (int64_t w = 0; w < state.range(0); ++w) {
      std::string key = Key(++n % 100000);
      MDB_val k{key.size(), key.data()}, v{value.size(), const_cast<char*>(value.data())};
      mdb_put(txn, dbi, &k, &v, 0);
    }
    if (mdb_txn_commit(txn) != 0) state.SkipWithError("not written");
  }
  state.SetItemsProcessed(static_cast<int64_t>(n));
  mdb_env_close(env);
  fs::remove_all(dir);
}
BENCHMARK(CommitsInLmdb)->Arg(1)->Arg(16)->Arg(256)->UseRealTime()->Unit(benchmark::kMicrosecond);

void CommitsInSqlite(benchmark::State& state) {
  const std::string dir = MakeTemporaryDirectory();
  sqlite3* db = nullptr;
  sqlite3_open((dir + "/s.db").c_str(), &db);
  for (const char* sql : {"PRAGMA journal_mode=WAL", "PRAGMA synchronous=FULL",
                          "CREATE TABLE t(k TEXT PRIMARY KEY, v TEXT) WITHOUT ROWID"}) {
    sqlite3_exec(db, sql, nullptr, nullptr, nullptr);
  }
  sqlite3_stmt* put = nullptr;
  sqlite3_prepare_v2(db, "INSERT OR REPLACE INTO t VALUES(?,?)", -1, &put, nullptr);
  const std::string value(2 * kValueBytes, 'x');
  uint64_t n = 0;
  for (auto _ : state) {
    sqlite3_exec(db, "BEGIN", nullptr, nullptr, nullptr);
    for (int64_t w = 0; w < state.range(0); ++w) {
      const std::string key = Key(++n % 100000);
      sqlite3_bind_text(put, 1, key.c_str(), -1, SQLITE_TRANSIENT);
      sqlite3_bind_text(put, 2, value.c_str(), -1, SQLITE_TRANSIENT);
      sqlite3_step(put);
      sqlite3_reset(put);
    }
    if (sqlite3_exec(db, "COMMIT", nullptr, nullptr, nullptr) != SQLITE_OK) {
      state.SkipWithError("not written");
    }
  }
  state.SetItemsProcessed(static_cast<int64_t>(n));
  sqlite3_finalize(put);
  sqlite3_close(db);
  fs::remove_all(dir);
}
BENCHMARK(CommitsInSqlite)->Arg(1)->Arg(16)->Arg(256)->UseRealTime()->Unit(benchmark::kMicrosecond);

StateImage FilledImage(uint64_t keys) {
  StateImage image;
  for (uint64_t n = 1; n <= keys; ++n) {
    image.items[Key(n)] = VersionedValue{"\"" + std::string(kValueBytes, 'x') + "\"", n, 0};
  }
  image.revision = image.compacted_revision = keys;
  return image;
}

void Ranges(benchmark::State& state) {
  StateMachine machine({}, FilledImage(100000), Seconds(1));
  RequestId request_id = 0;
  std::string after;
  for (auto _ : state) {
    machine.Submit(Seconds(1), ++request_id, ListRequest{"job/", after, 500});
    const Response a = machine.TakeEffects().responses.at(0).second;
    after = a.has_more ? a.entries.back().first : "";
  }
  state.SetItemsProcessed(state.iterations() * 500);
}
BENCHMARK(Ranges)->Unit(benchmark::kMicrosecond);

// One commit while the given number of watches is open, a tenth of which match its key.
void CommitsUnderWatches(benchmark::State& state) {
  StateMachine machine({}, {}, Seconds(1));
  RequestId request_id = 0;
  uint64_t n = 0;
  for (auto _ : state) {
    state.PauseTiming();
    while (machine.watches() < static_cast<size_t>(state.range(0))) {
      const std::string prefix =
          ++request_id % 10 == 0 ? "job/" : "other" + std::to_string(request_id) + "/";
      machine.Submit(Seconds(1), request_id,
                     WatchRequest{prefix, machine.state().revision, Seconds(60)});
    }
    state.ResumeTiming();
    CompareAndSwapRequest r;
    r.mutations.push_back({Key(++n % 1000), "1", 0});
    machine.Submit(Seconds(1), ++request_id, std::move(r));
    machine.OnWriteCompleted(Seconds(1), machine.TakeEffects().write->id, WriteOutcome::kDurable);
    benchmark::DoNotOptimize(machine.TakeEffects());
  }
}
BENCHMARK(CommitsUnderWatches)->Arg(0)->Arg(500)->Unit(benchmark::kMicrosecond);

size_t ResidentMb() {
  std::ifstream in("/proc/self/statm");
  size_t all = 0, resident = 0;
  in >> all >> resident;
  return resident * 4096 >> 20;
}

void Recovery(benchmark::State& state) {
  const std::string dir = MakeTemporaryDirectory();
  {
    Engine engine(dir + "/s", Engine::OpenMode::kReadWrite);
    engine.Initialize(FilledImage(static_cast<uint64_t>(state.range(0))));
  }
  ::malloc_trim(0);
  const size_t before = ResidentMb();
  for (auto _ : state) {
    Engine engine(dir + "/s", Engine::OpenMode::kReadWrite);
    const StateMachine machine({}, engine.Load(), Seconds(1));
    state.counters["keys"] = static_cast<double>(machine.state().items.size());
    state.counters["resident_mb"] = static_cast<double>(ResidentMb() - before);
  }
  fs::remove_all(dir);
}
BENCHMARK(Recovery)->Arg(1000000)->Iterations(2)->UseRealTime()->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace badgershore::store

BENCHMARK_MAIN();
