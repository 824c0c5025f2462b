#include "io/mailbox.h"

#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <csignal>
#include <stdexcept>

namespace badgershore::io {
namespace {

// Makes a connected socket pair: a byte written to `*outside`, by any thread or signal handler,
// wakes the reader of the returned socket.
Socket WakePair(Loop* loop, int* outside) {
  int fds[2];
  if (::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0, fds) != 0) {
    throw std::runtime_error("socketpair failed");
  }
  *outside = fds[1];
  return {loop, fds[0]};
}

void WakeUp(int outside) {
  // A failed send is ignored: when the buffer is full, the reader has a wake-up pending.
  (void)!::send(outside, "x", 1, MSG_NOSIGNAL | MSG_DONTWAIT);
}

int g_signal_socket = -1;

Task<void> WaitForSignal(Socket socket, std::function<void()> then) {
  char byte;
  // If the read fails, signals no longer end the process; no other action is taken.
  if (co_await socket.Read(&byte, 1, kNever) == 1) then();
}

}  // namespace

Mailbox::Mailbox(Loop* loop) : inside_(WakePair(loop, &outside_)) { Spawn(Run()); }

Mailbox::~Mailbox() { ::close(outside_); }

void Mailbox::Post(std::function<void()> work) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    work_.push_back(std::move(work));
  }
  WakeUp(outside_);
}

Task<void> Mailbox::Run() {
  char buffer[256];
  for (;;) {
    const ssize_t n = co_await inside_.Read(buffer, sizeof(buffer), kNever);
    if (n <= 0) co_return;
    for (;;) {
      std::function<void()> work;
      {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (work_.empty()) break;
        work = std::move(work_.front());
        work_.pop_front();
      }
      work();
    }
  }
}

void OnEndSignals(Loop* loop, std::function<void()> then) {
  Socket inside = WakePair(loop, &g_signal_socket);
  const auto handler = [](int) { WakeUp(g_signal_socket); };
  std::signal(SIGINT, handler);
  std::signal(SIGTERM, handler);
  Spawn(WaitForSignal(std::move(inside), std::move(then)));
}

}  // namespace badgershore::io
