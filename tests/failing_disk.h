// Injects disk faults into programs that a test starts, by preloading failing_disk.cpp.
#pragma once

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>
#include <utility>

namespace badgershore {

class FailingDisk {
 public:
  // Faults affect files below `directory`; `control` is the file that passes the current fault to
  // the programs.
  FailingDisk(std::string directory, std::string control)
      : directory_(std::move(directory)), control_(std::move(control)) {}
  ~FailingDisk() { End(); }
  FailingDisk(const FailingDisk&) = delete;
  FailingDisk& operator=(const FailingDisk&) = delete;

  // Programs started between Begin and End are subject to the faults.
  void Begin() {
    setenv("FAILING_DISK_DIRECTORY", directory_.c_str(), 1);
    setenv("FAILING_DISK_CONTROL", control_.c_str(), 1);
    setenv("LD_PRELOAD", BADGERSHORE_FAILING_DISK, 1);
    const char* options = std::getenv("ASAN_OPTIONS");
    asan_options_ = options ? options : "";
    setenv("ASAN_OPTIONS", (asan_options_ + ":verify_asan_link_order=0").c_str(), 1);
    begun_ = true;
  }
  void End() {
    if (!std::exchange(begun_, false)) return;
    unsetenv("LD_PRELOAD");
    setenv("ASAN_OPTIONS", asan_options_.c_str(), 1);
  }
  // From now on every operation that changes files fails with `error` (errno), or only the given
  // system call, such as "fsync".
  void Fail(int error, const std::string& call = "") {
    const std::string beside = control_ + ".new";
    std::ofstream(beside) << error << ' ' << call;
    std::filesystem::rename(beside, control_);
  }
  void Heal() { std::filesystem::remove(control_); }

 private:
  std::string directory_, control_, asan_options_;
  bool begun_ = false;
};

}  // namespace badgershore
