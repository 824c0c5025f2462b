// The storage library's own log, which must not end the program where the disk fails: with the
// library's writer an append after a failed one is an assertion.
#pragma once

#include <rocksdb/env.h>

#include <memory>
#include <string>

namespace badgershore::store {

// Appends warnings and errors to DIR/LOG; what was there becomes DIR/LOG.old, also at one MiB. A
// line that can't be written is dropped. From any thread.
std::shared_ptr<rocksdb::Logger> OpenInfoLog(const std::string& dir);

// Writes nothing, for a directory that belongs to another process.
std::shared_ptr<rocksdb::Logger> DiscardingInfoLog();

}  // namespace badgershore::store
