// The error of everything that reads or writes the state service's data directory.
#pragma once

#include <stdexcept>

namespace badgershore::store {

// One line: the file or directory, what is wrong with it and, where there is something, what to do.
// It may pass: no space, an input/output error, another process that uses the directory.
class DiskError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// What is on the disk is not what was written, so trying again does not help.
class DataDamagedError : public DiskError {
 public:
  using DiskError::DiskError;
};

}  // namespace badgershore::store
