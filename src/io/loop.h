// A single-threaded epoll event loop for coroutines: socket readiness, timers and one-shot values.
#pragma once

#include <coroutine>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>

#include "core/model/time.h"
#include "error/error.h"
#include "io/task.h"

namespace badgershore::io {

class Loop {
 public:
  // A suspended coroutine that waits for a wake-up or for its deadline.
  struct Waiter {
    std::coroutine_handle<> handle;
    std::multimap<Micros, Waiter*>::iterator timer;
    bool has_timer = false;
    bool timed_out = false;
    bool queued = false;  // already in the queue of ready coroutines
  };

  Loop();
  ~Loop();
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  static Micros Now();           // the monotonic clock
  static int64_t TimeOfDayMs();  // the wall clock, since the Unix epoch

  void Run();
  void Stop() { running_ = false; }
  void Restart() { running_ = true; }  // after Stop, so that Run can be called again

  // The longest time that the loop spent in one iteration, without polling for events, since the
  // last call of this function.
  Micros TakeLongestTurn() { return std::exchange(longest_turn_, Micros{}); }

  void StartTimer(Waiter* w, Micros deadline);
  void Wake(Waiter* w);  // queues the coroutine; the loop resumes it, not the caller

  struct SleepAwaiter {
    Loop* loop;
    Micros deadline;
    Waiter waiter{};
    bool await_ready() const noexcept { return false; }
    void await_suspend(std::coroutine_handle<> h) {
      waiter.handle = h;
      loop->StartTimer(&waiter, deadline);
    }
    void await_resume() const noexcept {}
  };
  SleepAwaiter Sleep(Micros span) { return {this, Now() + span}; }

 private:
  friend class Socket;
  struct FdState {
    Waiter* waiter = nullptr;  // only one coroutine uses a socket at a time
  };
  void Add(int fd, FdState* state);
  // Moves the waiters whose timers have expired to the ready queue; returns the time it used as
  // now.
  Micros ExpireTimers();
  void ResumeReady();

  int epoll_ = -1;
  bool running_ = true;
  std::multimap<Micros, Waiter*> timers_;
  std::deque<Waiter*> ready_;
  Micros longest_turn_;
};

// A non-blocking TCP socket that is registered with the loop as long as it is open.
class Socket {
 public:
  Socket() = default;
  Socket(Loop* loop, int fd);
  Socket(Socket&& o) noexcept { *this = std::move(o); }
  Socket& operator=(Socket&& o) noexcept;
  ~Socket() { Close(); }

  bool open() const { return fd_ >= 0; }
  void Close();

  static Task<Socket> Connect(Loop* loop, std::string addr, Micros deadline);
  // `addr`: IPV4:PORT; with port 0 the kernel picks a free port, see LocalAddress. Blocks for up to
  // 10 s while the address is in use.
  [[nodiscard]] static Result<Socket> Listen(Loop* loop, const std::string& addr);
  std::string LocalAddress() const;
  Task<Socket> Accept();

  // Returns the number of bytes read, 0 at the end of the stream, -1 on an error or at the
  // deadline.
  Task<ssize_t> Read(char* data, size_t size, Micros deadline);
  Task<bool> WriteAll(std::string_view data, Micros deadline);

 private:
  struct ReadyAwaiter {
    Socket* socket;
    Micros deadline;
    Loop::Waiter waiter{};
    bool await_ready() const noexcept { return false; }
    void await_suspend(std::coroutine_handle<> h) {
      waiter.handle = h;
      socket->state_->waiter = &waiter;
      if (deadline < kNever) socket->loop_->StartTimer(&waiter, deadline);
    }
    bool await_resume() const noexcept {
      socket->state_->waiter = nullptr;
      return !waiter.timed_out;
    }
  };
  ReadyAwaiter Ready(Micros deadline) { return {this, deadline}; }

  Loop* loop_ = nullptr;
  int fd_ = -1;
  Loop::FdState* state_ = nullptr;
};

// A one-shot value: set once by non-coroutine code and awaited by one coroutine. Set has no effect
// after the first call.
template <typename T>
class OneShotValue {
 public:
  explicit OneShotValue(Loop* loop) : loop_(loop) {}
  void Set(T v) {
    if (value_) return;
    value_ = std::move(v);
    if (waiter_) loop_->Wake(std::exchange(waiter_, nullptr));
  }
  struct Awaiter {
    OneShotValue* slot;
    Micros deadline;
    Loop::Waiter waiter{};
    bool await_ready() const noexcept { return slot->value_.has_value(); }
    void await_suspend(std::coroutine_handle<> h) {
      waiter.handle = h;
      slot->waiter_ = &waiter;
      slot->loop_->StartTimer(&waiter, deadline);
    }
    std::optional<T> await_resume() {
      slot->waiter_ = nullptr;
      return std::move(slot->value_);
    }
  };
  Awaiter Wait(Micros deadline) { return {this, deadline}; }

 private:
  Loop* loop_;
  std::optional<T> value_;
  Loop::Waiter* waiter_ = nullptr;
};

}  // namespace badgershore::io
