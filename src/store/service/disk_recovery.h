// Carries a state service over a disk that fails: tries again with a backoff until the disk works,
// and says so in the log. For the thread that owns the engine.
#pragma once

#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <string>

#include "io/mailbox.h"
#include "store/disk/engine.h"
#include "store/disk_retry.h"

namespace badgershore::store {

// Told in the loop, once, when the disk holds damaged data: the service can't go on. `line` names
// the file and what to do.
using OnDataDamaged = std::function<void(const std::string& line)>;

class DiskRecovery {
 public:
  DiskRecovery(Engine* engine, io::Mailbox* mailbox) : engine_(engine), mailbox_(mailbox) {}

  // Ends all waiting, now and later. From any thread.
  void Stop();

  // Logs what became of a write, and hands it back. kUnknown is for ResolveUnknownWrite to log.
  WriteOutcome Record(WriteOutcome written);
  // After kUnknown: tries again until the outcome is known; kUnknown only after Stop. Throws a
  // DataDamagedError.
  WriteOutcome ResolveUnknownWrite();
  // Reads until `read` throws no DiskError that may pass; false only after Stop. Throws a
  // DataDamagedError.
  bool Read(const std::function<void()>& read);

 private:
  Micros OnFailure(const std::string& reason);  // how long to wait
  void OnSuccess();
  bool Wait(Micros delay);  // false: stopped

  Engine* engine_;
  io::Mailbox* mailbox_;
  DiskRetry retry_;
  std::mutex mutex_;
  std::condition_variable changed_;
  bool stopped_ = false;
};

}  // namespace badgershore::store
