#include "io/mailbox.h"

#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <csignal>
#include <stdexcept>

namespace badgershore::io {
namespace {

// Makes a connected socket pair: a byte sent to `*writer_fd`, by any thread or signal handler,
// wakes the reader of the returned socket.
Socket MakeWakePair(Loop* loop, int* writer_fd) {
  int fds[2];
  if (::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0, fds) != 0) {
    throw std::runtime_error("socketpair failed");
  }
  *writer_fd = fds[1];
  return {loop, fds[0]};
}

void SendWakeUp(int writer_fd) {
  // A failed send is ignored: when the buffer is full, the reader has a wake-up pending.
  (void)!::send(writer_fd, "x", 1, MSG_NOSIGNAL | MSG_DONTWAIT);
}

int g_signal_writer_fd = -1;

Task<void> WaitForSignal(Socket socket, std::function<void()> on_signal) {
  char byte;
  // If the read fails, signals no longer end the process; no other action is taken.
  if (co_await socket.Read(&byte, 1, kNever) == 1) on_signal();
}

}  // namespace

Mailbox::Mailbox(Loop* loop) : wake_reader_(MakeWakePair(loop, &wake_writer_fd_)) { Spawn(Run()); }

Mailbox::~Mailbox() { ::close(wake_writer_fd_); }

void Mailbox::Post(std::function<void()> work) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    work_.push_back(std::move(work));
  }
  SendWakeUp(wake_writer_fd_);
}

Task<void> Mailbox::Run() {
  char buffer[256];
  for (;;) {
    const ssize_t n = co_await wake_reader_.Read(buffer, sizeof(buffer), kNever);
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

void OnTerminationSignal(Loop* loop, std::function<void()> on_signal) {
  Socket reader = MakeWakePair(loop, &g_signal_writer_fd);
  const auto handler = [](int) { SendWakeUp(g_signal_writer_fd); };
  std::signal(SIGINT, handler);
  std::signal(SIGTERM, handler);
  Spawn(WaitForSignal(std::move(reader), std::move(on_signal)));
}

}  // namespace badgershore::io
