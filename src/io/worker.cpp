#include "io/worker.h"

namespace badgershore::io {

Worker::Worker(Mailbox* mailbox) : mailbox_(mailbox), thread_([this] { Run(); }) {}

Worker::~Worker() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_all();
  thread_.join();
}

void Worker::Post(Job job) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    jobs_.push_back(std::move(job));
  }
  changed_.notify_all();
}

void Worker::Run() {
  for (;;) {
    std::unique_lock<std::mutex> lock(mutex_);
    changed_.wait(lock, [&] { return stopping_ || !jobs_.empty(); });
    if (stopping_) return;
    const Job job = std::move(jobs_.front());
    jobs_.pop_front();
    lock.unlock();
    mailbox_->Post(job());
  }
}

}  // namespace badgershore::io
