// Upper bounds of the size of messages to and from agents, in bytes of JSON text. PROTOCOL limits a
// report, a direct call and a line of a response to 64 KiB each. The bounds hold for the forms in
// wire/messages.cpp, for any order of the fields and with a blank after each separator.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "core/model/effects.h"

namespace badgershore {

constexpr size_t kMaxMessageBytes = 64 * 1024;

// Reports up to this size are read all the same: an earlier version may have started more tasks on
// a machine than its report may list, and the machine would lose them all with its lease.
constexpr size_t kMaxReceivedReportBytes = 256 * 1024;

// The part of a report that may list tasks; the rest is for the machine's names and counters.
constexpr int64_t kReportedTasksBytes = 59 * 1024;

// The part of a report that one task of the job takes, in its longest form.
int64_t MaxReportedTaskBytes(const std::string& job);

// The part of a message that the command takes.
size_t MaxCommandBytes(const Command& command);

// Adds commands to one message and keeps it within the limit. The list must outlive this, and
// nothing else may be added to it meanwhile.
class CommandBatch {
 public:
  explicit CommandBatch(std::vector<Command>* commands);

  // Returns false, without any effect, if the message would exceed the limit.
  bool Add(Command command);
  // Whether one more command might not fit.
  bool IsFull() const;
  size_t size() const { return commands_->size(); }
  bool empty() const { return commands_->empty(); }

 private:
  std::vector<Command>* commands_;
  size_t bytes_ = 0;
};

}  // namespace badgershore
