#include "io/loop.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <ctime>
#include <stdexcept>

namespace badgershore::io {
namespace {

bool ParseAddr(const std::string& addr, sockaddr_in* out, int min_port = 1) {
  const size_t colon = addr.rfind(':');
  if (colon == std::string::npos) return false;
  std::memset(out, 0, sizeof(*out));
  out->sin_family = AF_INET;
  const int port = std::atoi(addr.c_str() + colon + 1);
  if (port < min_port || port > 65535) return false;
  out->sin_port = htons(static_cast<uint16_t>(port));
  return inet_pton(AF_INET, addr.substr(0, colon).c_str(), &out->sin_addr) == 1;
}

void SetNoDelay(int fd) {
  int one = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
}

}  // namespace

Loop::Loop() : epoll_(epoll_create1(EPOLL_CLOEXEC)) {
  if (epoll_ < 0) throw std::runtime_error("epoll_create1 failed");
}

Loop::~Loop() { ::close(epoll_); }

Micros Loop::Now() {
  timespec ts{};
  clock_gettime(CLOCK_MONOTONIC, &ts);
  return {static_cast<int64_t>(ts.tv_sec) * 1000000 + ts.tv_nsec / 1000};
}

int64_t Loop::TimeOfDayMs() {
  timespec ts{};
  clock_gettime(CLOCK_REALTIME, &ts);
  return static_cast<int64_t>(ts.tv_sec) * 1000 + ts.tv_nsec / 1000000;
}

void Loop::StartTimer(Waiter* w, Micros deadline) {
  w->timer = timers_.emplace(deadline, w);
  w->has_timer = true;
}

void Loop::Wake(Waiter* w) {
  if (w->queued) return;
  w->queued = true;
  if (w->has_timer) timers_.erase(w->timer);
  w->has_timer = false;
  ready_.push_back(w);
}

void Loop::Add(int fd, FdState* state) {
  epoll_event ev{};
  ev.events = EPOLLIN | EPOLLOUT | EPOLLRDHUP | EPOLLET;
  ev.data.ptr = state;
  epoll_ctl(epoll_, EPOLL_CTL_ADD, fd, &ev);
}

Micros Loop::ExpireTimers() {
  const Micros now = Now();
  while (!timers_.empty() && timers_.begin()->first <= now) {
    Waiter* w = timers_.begin()->second;
    timers_.erase(timers_.begin());
    w->has_timer = false;
    w->timed_out = true;
    w->queued = true;
    ready_.push_back(w);
  }
  return now;
}

void Loop::ResumeReady() {
  while (!ready_.empty()) {
    Waiter* w = ready_.front();
    ready_.pop_front();
    w->handle.resume();
  }
}

void Loop::Run() {
  epoll_event events[64];
  ResumeReady();
  Micros turn_start = Now();
  while (running_) {
    int wait_ms = 1000;
    if (!timers_.empty()) {
      const Micros now = Now();
      longest_turn_ = std::max(longest_turn_, now - turn_start);
      const int64_t us = (timers_.begin()->first - now).count;
      wait_ms = us <= 0 ? 0 : static_cast<int>(std::min<int64_t>(1000, (us + 999) / 1000));
    }
    const int n = epoll_wait(epoll_, events, 64, wait_ms);
    for (int i = 0; i < n; ++i) {
      auto* state = static_cast<FdState*>(events[i].data.ptr);
      if (Waiter* w = std::exchange(state->waiter, nullptr)) Wake(w);
    }
    turn_start = ExpireTimers();
    ResumeReady();
  }
}

Socket::Socket(Loop* loop, int fd) : loop_(loop), fd_(fd), state_(new Loop::FdState) {
  loop_->Add(fd_, state_);
}

Socket& Socket::operator=(Socket&& o) noexcept {
  if (this != &o) {
    Close();
    loop_ = o.loop_;
    fd_ = std::exchange(o.fd_, -1);
    state_ = std::exchange(o.state_, nullptr);
  }
  return *this;
}

void Socket::Close() {
  if (fd_ >= 0) {
    // close() does not remove the epoll registration while a forked process still holds the socket;
    // a later event would then refer to the deleted state.
    epoll_ctl(loop_->epoll_, EPOLL_CTL_DEL, fd_, nullptr);
    ::close(fd_);
  }
  fd_ = -1;
  delete std::exchange(state_, nullptr);
}

Task<Socket> Socket::Connect(Loop* loop, std::string addr, Micros deadline) {
  sockaddr_in sa{};
  if (!ParseAddr(addr, &sa)) co_return Socket();
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) co_return Socket();
  SetNoDelay(fd);
  Socket socket(loop, fd);
  const int rc = ::connect(fd, reinterpret_cast<sockaddr*>(&sa), sizeof(sa));
  if (rc != 0 && errno != EINPROGRESS) co_return Socket();
  while (rc != 0) {
    const bool ready = co_await socket.Ready(deadline);
    if (!ready) co_return Socket();
    int err = 0;
    socklen_t len = sizeof(err);
    getsockopt(fd, SOL_SOCKET, SO_ERROR, &err, &len);
    if (err != 0) co_return Socket();
    sockaddr_in peer{};
    socklen_t peer_len = sizeof(peer);
    if (getpeername(fd, reinterpret_cast<sockaddr*>(&peer), &peer_len) == 0) break;
  }
  co_return socket;
}

namespace {

constexpr Micros kAddressInUseTimeout = Seconds(10);
constexpr int kListenBacklog = 256;

bool BindAndListen(int fd, const sockaddr_in& address) {
  return fd >= 0 && ::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0 &&
         ::listen(fd, kListenBacklog) == 0;
}

// After a restart the previous process may not have closed its socket yet, so EADDRINUSE is retried
// for a while. errno holds the cause of a failure.
bool BindAndListenRetrying(int fd, const sockaddr_in& address) {
  bool listening = BindAndListen(fd, address);
  const Micros deadline = Loop::Now() + kAddressInUseTimeout;
  while (!listening && fd >= 0 && errno == EADDRINUSE && Loop::Now() < deadline) {
    ::usleep(20000);
    listening = BindAndListen(fd, address);
  }
  return listening;
}

}  // namespace

Result<Socket> Socket::Listen(Loop* loop, const std::string& addr) {
  sockaddr_in address{};
  if (!ParseAddr(addr, &address, 0)) {
    return MakeError(ErrorCode::kInvalidAddress,
                     "'" + addr + "' is not an IPv4 address with a port");
  }
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int reuse_address = 1;
  if (fd >= 0) setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &reuse_address, sizeof(reuse_address));
  if (!BindAndListenRetrying(fd, address)) {
    std::string message = "can't listen on " + addr + ": " + std::strerror(errno);
    if (fd >= 0) ::close(fd);
    return MakeError(ErrorCode::kAddressUnavailable, std::move(message));
  }
  return Socket(loop, fd);
}

std::string Socket::LocalAddress() const {
  sockaddr_in sa{};
  socklen_t size = sizeof(sa);
  char text[INET_ADDRSTRLEN] = "";
  if (getsockname(fd_, reinterpret_cast<sockaddr*>(&sa), &size) != 0) return "";
  inet_ntop(AF_INET, &sa.sin_addr, text, sizeof(text));
  return std::string(text) + ":" + std::to_string(ntohs(sa.sin_port));
}

Task<Socket> Socket::Accept() {
  for (;;) {
    const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd >= 0) {
      SetNoDelay(fd);
      co_return Socket(loop_, fd);
    }
    if (errno == EAGAIN || errno == EWOULDBLOCK) {
      co_await Ready(kNever);
    } else {
      // Out of file descriptors or the like: the registration is edge-triggered and reports no new
      // event for the pending connection, so accept is retried after a delay.
      co_await loop_->Sleep(Millis(50));
    }
  }
}

Task<ssize_t> Socket::Read(char* data, size_t size, Micros deadline) {
  for (;;) {
    const ssize_t n = ::recv(fd_, data, size, 0);
    if (n >= 0) co_return n;
    if (errno == EINTR) continue;
    if (errno != EAGAIN && errno != EWOULDBLOCK) co_return -1;
    const bool ready = co_await Ready(deadline);
    if (!ready) co_return -1;
  }
}

Task<bool> Socket::WriteAll(std::string_view data, Micros deadline) {
  while (!data.empty()) {
    const ssize_t n = ::send(fd_, data.data(), data.size(), MSG_NOSIGNAL);
    if (n > 0) {
      data.remove_prefix(static_cast<size_t>(n));
      continue;
    }
    if (n < 0 && errno == EINTR) continue;
    if (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK) co_return false;
    const bool ready = co_await Ready(deadline);
    if (!ready) co_return false;
  }
  co_return true;
}

}  // namespace badgershore::io
