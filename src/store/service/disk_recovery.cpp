#include "store/service/disk_recovery.h"

#include <spdlog/spdlog.h>

#include <chrono>

namespace badgershore::store {

void DiskRecovery::Stop() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopped_ = true;
  }
  wakeup_.notify_all();
}

WriteOutcome DiskRecovery::LogOutcome(WriteOutcome outcome) {
  if (outcome == WriteOutcome::kDurable) OnSuccess();
  if (outcome == WriteOutcome::kAbsent) OnFailure(engine_->last_failure());
  return outcome;
}

WriteOutcome DiskRecovery::ResolveUnknownWrite() {
  WriteOutcome outcome = WriteOutcome::kUnknown;
  Micros delay = OnFailure(engine_->last_failure());
  while (outcome == WriteOutcome::kUnknown && Wait(delay)) {
    outcome = engine_->ResolveUnknownWrite();
    if (outcome == WriteOutcome::kUnknown) delay = OnFailure(engine_->last_failure());
  }
  return LogOutcome(outcome);
}

bool DiskRecovery::Read(const std::function<void()>& read) {
  for (;;) {
    Micros delay;
    try {
      read();
      OnSuccess();
      return true;
    } catch (const DataCorruptionError&) {
      throw;
    } catch (const DiskError& error) {
      delay = OnFailure(error.what());
    }
    if (!Wait(delay)) return false;
  }
}

Micros DiskRecovery::OnFailure(const std::string& reason) {
  const DiskRetry::Decision decision = retry_.OnFailure(io::Loop::Now());
  if (decision.log) {
    mailbox_->Post([reason, failing_for = decision.failing_for] {
      spdlog::error("disk operations have been failing for {:.1f} s: {}", failing_for.ToSeconds(),
                    reason);
    });
  }
  return decision.delay;
}

void DiskRecovery::OnSuccess() {
  const std::optional<Micros> failed_for = retry_.OnSuccess(io::Loop::Now());
  if (!failed_for) return;
  mailbox_->Post([failed_for = *failed_for] {
    spdlog::info("disk operations succeed again after {:.1f} s of failures",
                 failed_for.ToSeconds());
  });
}

bool DiskRecovery::Wait(Micros delay) {
  std::unique_lock<std::mutex> lock(mutex_);
  const auto timeout = std::chrono::microseconds(delay.count);
  return !wakeup_.wait_for(lock, timeout, [&] { return stopped_; });
}

}  // namespace badgershore::store
