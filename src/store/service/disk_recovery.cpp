#include "store/service/disk_recovery.h"

#include <spdlog/spdlog.h>

#include <chrono>

namespace badgershore::store {

void DiskRecovery::Stop() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopped_ = true;
  }
  changed_.notify_all();
}

WriteOutcome DiskRecovery::Record(WriteOutcome written) {
  if (written == WriteOutcome::kDurable) OnSuccess();
  if (written == WriteOutcome::kAbsent) OnFailure(engine_->last_failure());
  return written;
}

WriteOutcome DiskRecovery::ResolveUnknownWrite() {
  WriteOutcome written = WriteOutcome::kUnknown;
  Micros delay = OnFailure(engine_->last_failure());
  while (written == WriteOutcome::kUnknown && Wait(delay)) {
    written = engine_->ResolveUnknownWrite();
    if (written == WriteOutcome::kUnknown) delay = OnFailure(engine_->last_failure());
  }
  return Record(written);
}

bool DiskRecovery::Read(const std::function<void()>& read) {
  for (;;) {
    Micros delay;
    try {
      read();
      OnSuccess();
      return true;
    } catch (const DataDamagedError&) {
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
  const auto span = std::chrono::microseconds(delay.count);
  return !changed_.wait_for(lock, span, [&] { return stopped_; });
}

}  // namespace badgershore::store
