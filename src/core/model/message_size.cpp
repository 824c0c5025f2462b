#include "core/model/message_size.h"

#include <utility>

#include "core/model/record_size.h"

namespace badgershore {
namespace {

// {"leg": "JOB/99999", "try": 18446744073709551615, "phase": "exited", "cause": "unknown",
// "stored": false}, without the job's name.
constexpr int64_t kReportedTaskOverheadBytes = 104;
// {"verb":"start","leg":"JOB/9999999","try":18446744073709551615,"windDownS":1000000000.000001},
// without the job's name.
constexpr size_t kCommandOverheadBytes = 96;
// {"baton":18446744073709551615,"tenure":18446744073709551615,"orders":[]}
constexpr size_t kCommandsOverheadBytes = 80;
constexpr size_t kMaxJobNameBytes = 100;

}  // namespace

int64_t MaxReportedTaskBytes(const std::string& job) {
  return static_cast<int64_t>(JsonTextBytes(job)) + kReportedTaskOverheadBytes;
}

size_t MaxCommandBytes(const Command& command) {
  return JsonTextBytes(command.ref.job) + kCommandOverheadBytes;
}

CommandBatch::CommandBatch(std::vector<Command>* commands)
    : commands_(commands), bytes_(kCommandsOverheadBytes) {
  for (const Command& command : *commands_) bytes_ += MaxCommandBytes(command);
}

bool CommandBatch::Add(Command command) {
  const size_t bytes = bytes_ + MaxCommandBytes(command);
  if (bytes > kMaxMessageBytes) return false;
  bytes_ = bytes;
  commands_->push_back(std::move(command));
  return true;
}

bool CommandBatch::IsFull() const {
  return bytes_ + kMaxJobNameBytes + kCommandOverheadBytes > kMaxMessageBytes;
}

}  // namespace badgershore
