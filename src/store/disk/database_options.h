// RocksDB options of the state service's database.
#pragma once

#include <rocksdb/options.h>

#include <memory>

namespace badgershore::store {

enum class DatabaseAccess {
  kReadWrite,  // the only writer; torn writes must have been truncated before
  kReadOnly,   // possibly alongside a writer, whose last record may be incomplete
};

// `env`, `info_log`: null for RocksDB's default.
rocksdb::Options DatabaseOptions(DatabaseAccess access, rocksdb::Env* env,
                                 std::shared_ptr<rocksdb::Logger> info_log = nullptr);

}  // namespace badgershore::store
