// A thread that carries out jobs for a loop, in order, one at a time.
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
  // A job runs in the thread; what it returns is run by the loop afterwards.
  using Job = std::function<std::function<void()>()>;
  explicit Worker(Mailbox* mailbox);
  ~Worker();  // the job that runs is waited for; the others are dropped
  Worker(const Worker&) = delete;
  Worker& operator=(const Worker&) = delete;
  void Post(Job job);

 private:
  void Run();
  Mailbox* mailbox_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<Job> jobs_;
  bool ending_ = false;
  std::thread thread_;  // last: it begins when all else is there
};

}  // namespace badgershore::io
