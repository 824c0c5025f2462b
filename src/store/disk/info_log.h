// Writers of RocksDB's info log. RocksDB's own writer aborts the process by an assertion when it
// appends after a failed append; these tolerate a failing disk.
#pragma once

#include <rocksdb/env.h>

#include <memory>
#include <string>

namespace badgershore::store {

// Writes warnings and errors to DIR/LOG, which is rotated to DIR/LOG.old at opening and at one MiB.
// A line that can't be written is dropped. Thread-safe.
std::shared_ptr<rocksdb::Logger> OpenInfoLog(const std::string& dir);

// Discards everything; for a directory that another process may be writing to.
std::shared_ptr<rocksdb::Logger> DiscardingInfoLog();

}  // namespace badgershore::store
