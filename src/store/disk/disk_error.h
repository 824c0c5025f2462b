// The error of everything that reads or writes the state service's data directory.
#pragma once

#include <stdexcept>

namespace badgershore::store {

// One line: the file or directory, what is wrong with it and, where there is something, what to do.
class DiskError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

}  // namespace badgershore::store
