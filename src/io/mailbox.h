// Passes work to a loop from other threads and from signal handlers.
#pragma once

#include <deque>
#include <functional>
#include <mutex>

#include "io/loop.h"

namespace badgershore::io {

// Runs functions posted from any thread on the loop, in the order of posting.
class Mailbox {
 public:
  explicit Mailbox(Loop* loop);
  ~Mailbox();
  void Post(std::function<void()> work);

 private:
  Task<void> Run();

  int wake_writer_fd_ = -1;  // declared before `wake_reader_`, whose initializer sets it
  Socket wake_reader_;
  std::mutex mutex_;
  std::deque<std::function<void()>> work_;
};

// Calls `on_signal` on the loop when SIGINT or SIGTERM arrives. Can be set once per process.
void OnTerminationSignal(Loop* loop, std::function<void()> on_signal);

}  // namespace badgershore::io
