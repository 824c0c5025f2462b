// Injects disk faults into programs that a test starts, by preloading failing_disk.cpp.
#pragma once

#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>
#include <thread>
#include <utility>

namespace badgershore {

class FailingDisk {
 public:
  // Faults affect files below `directory`; `control` is the file that passes the current fault to
  // the programs.
  FailingDisk(std::string directory, std::string control)
      : directory_(std::move(directory)), control_file_(std::move(control)) {}
  ~FailingDisk() { DisablePreload(); }
  FailingDisk(const FailingDisk&) = delete;
  FailingDisk& operator=(const FailingDisk&) = delete;

  // Programs started between Begin and End are subject to the faults.
  void EnablePreload() {
    setenv("FAILING_DISK_DIRECTORY", directory_.c_str(), 1);
    setenv("FAILING_DISK_CONTROL", control_file_.c_str(), 1);
    setenv("LD_PRELOAD", BADGERSHORE_FAILING_DISK, 1);
    const char* options = std::getenv("ASAN_OPTIONS");
    asan_options_ = options ? options : "";
    setenv("ASAN_OPTIONS", (asan_options_ + ":verify_asan_link_order=0").c_str(), 1);
    preload_enabled_ = true;
  }
  void DisablePreload() {
    if (!std::exchange(preload_enabled_, false)) return;
    unsetenv("LD_PRELOAD");
    setenv("ASAN_OPTIONS", asan_options_.c_str(), 1);
  }
  // From now on every operation that changes files fails with `error` (errno), or only the given
  // system call, such as "fsync".
  void Fail(int error, const std::string& call = "") {
    std::filesystem::remove(failure_marker());
    const std::string temporary = control_file_ + ".new";
    std::ofstream(temporary) << error << ' ' << call;
    std::filesystem::rename(temporary, control_file_);
  }
  void ClearFault() { std::filesystem::remove(control_file_); }
  // Waits until the last fault has made an operation fail; false if none fails within 15 s.
  bool WaitUntilFailed() const {
    constexpr auto kPollInterval = std::chrono::milliseconds(50);
    for (int polls = 0; polls < 300; ++polls) {
      if (std::filesystem::exists(failure_marker())) return true;
      std::this_thread::sleep_for(kPollInterval);
    }
    return false;
  }

 private:
  std::string failure_marker() const { return control_file_ + ".failed"; }

  std::string directory_, control_file_, asan_options_;
  bool preload_enabled_ = false;
};

}  // namespace badgershore
