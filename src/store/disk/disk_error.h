// Errors of code that reads or writes the state service's data directory.
#pragma once

#include <stdexcept>

namespace badgershore::store {

// The message is one line: the file or directory, the error and, if there is one, the remedy.
// The cause may be temporary: no space, an input/output error, another process using the directory.
class DiskError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// The data on disk differs from what was written; a retry does not help.
class DataCorruptionError : public DiskError {
 public:
  using DiskError::DiskError;
};

}  // namespace badgershore::store
