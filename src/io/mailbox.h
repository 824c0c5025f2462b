// A way into a loop from other threads and from signal handlers.
#pragma once

#include <deque>
#include <functional>
#include <mutex>

#include "io/loop.h"

namespace badgershore::io {

// Work posted from any thread is run by the loop, in order.
class Mailbox {
 public:
  explicit Mailbox(Loop* loop);
  ~Mailbox();
  void Post(std::function<void()> work);

 private:
  Task<void> Run();

  int outside_ = -1;  // before `inside_`, whose making sets it
  Socket inside_;
  std::mutex mutex_;
  std::deque<std::function<void()>> work_;
};

// Calls `then` from the loop when SIGINT or SIGTERM comes. One for a process.
void OnEndSignals(Loop* loop, std::function<void()> then);

}  // namespace badgershore::io
