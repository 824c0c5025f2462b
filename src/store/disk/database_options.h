// How the state service's database is opened.
#pragma once

#include <rocksdb/options.h>

namespace badgershore::store {

enum class DatabaseAccess {
  kReadWrite,  // the only writer; a torn end must have been cut before
  kReadOnly,   // beside a writer, whose last record may be incomplete
};

// `env`: null for the library's own.
rocksdb::Options DatabaseOptions(DatabaseAccess access, rocksdb::Env* env);

}  // namespace badgershore::store
