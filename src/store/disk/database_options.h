// How the state service's database is opened.
#pragma once

#include <rocksdb/options.h>

#include <memory>

namespace badgershore::store {

enum class DatabaseAccess {
  kReadWrite,  // the only writer; a torn end must have been cut before
  kReadOnly,   // beside a writer, whose last record may be incomplete
};

// `env`, `info_log`: null for the library's own.
rocksdb::Options DatabaseOptions(DatabaseAccess access, rocksdb::Env* env,
                                 std::shared_ptr<rocksdb::Logger> info_log = nullptr);

}  // namespace badgershore::store
