// Lets a state service survive a failing disk: retries with a backoff until the disk works, and
// logs the outage. For use on the thread that owns the engine.
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

// Called once, in the event loop, when the data on disk is corrupt and the service can't continue.
// `line` names the file and the remedy.
using OnDataCorrupted = std::function<void(const std::string& line)>;

class DiskRecovery {
 public:
  DiskRecovery(Engine* engine, io::Mailbox* mailbox) : engine_(engine), mailbox_(mailbox) {}

  // Ends every current and future wait. Thread-safe.
  void Stop();

  // Logs a failure or recovery according to the outcome of a write, and returns that outcome.
  // kUnknown is logged by ResolveUnknownWrite.
  WriteOutcome LogOutcome(WriteOutcome outcome);
  // After kUnknown: retries until the outcome is known; kUnknown only after Stop. Throws a
  // DataCorruptionError if the data is corrupt.
  WriteOutcome ResolveUnknownWrite();
  // Retries `read` while it throws a DiskError; false only after Stop. Passes on a
  // DataCorruptionError.
  bool Read(const std::function<void()>& read);

 private:
  Micros OnFailure(const std::string& reason);  // the delay until the next attempt
  void OnSuccess();
  bool Wait(Micros delay);  // false: stopped

  Engine* engine_;
  io::Mailbox* mailbox_;
  DiskRetry retry_;
  std::mutex mutex_;
  std::condition_variable wakeup_;
  bool stopped_ = false;
};

}  // namespace badgershore::store
