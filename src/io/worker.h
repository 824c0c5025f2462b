// A thread that runs blocking jobs for a loop, one at a time, in the order of posting.
#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>

#include "io/mailbox.h"

namespace badgershore::io {

class Worker {
 public:
  // A job runs in the worker thread; the function it returns then runs on the loop.
  using Job = std::function<std::function<void()>()>;
  explicit Worker(Mailbox* mailbox);
  ~Worker();  // waits for the running job and drops the queued ones
  Worker(const Worker&) = delete;
  Worker& operator=(const Worker&) = delete;
  void Post(Job job);

 private:
  void Run();
  Mailbox* mailbox_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<Job> jobs_;
  bool stopping_ = false;
  std::thread thread_;  // declared last: it uses the other members as soon as it is constructed
};

}  // namespace badgershore::io
