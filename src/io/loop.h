// One thread's epoll loop: readiness, timers and single-value slots for coroutines.
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
  // One suspended coroutine, waiting for a wake-up or for its deadline.
  struct Waiter {
    std::coroutine_handle<> handle;
    std::multimap<Micros, Waiter*>::iterator timer;
    bool has_timer = false;
    bool timed_out = false;
    bool queued = false;  // already among the ready ones
  };

  Loop();
  ~Loop();
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  static Micros Now();  // steady
  static int64_t TimeOfDayMs();

  void Run();
  void Stop() { running_ = false; }
  void Restart() { running_ = true; }  // Run may be called again

  // The longest that the loop worked without looking for new events, since the last call.
  Micros TakeLongestTurn() { return std::exchange(longest_turn_, Micros{}); }

  void Arm(Waiter* w, Micros deadline);
  void Wake(Waiter* w);  // resumes from the loop, not from inside the caller

  struct SleepAwaiter {
    Loop* loop;
    Micros deadline;
    Waiter waiter{};
    bool await_ready() const noexcept { return false; }
    void await_suspend(std::coroutine_handle<> h) {
      waiter.handle = h;
      loop->Arm(&waiter, deadline);
    }
    void await_resume() const noexcept {}
  };
  SleepAwaiter Sleep(Micros span) { return {this, Now() + span}; }

 private:
  friend class Socket;
  struct FdState {
    Waiter* waiter = nullptr;  // a socket is used by one coroutine at a time
  };
  void Add(int fd, FdState* state);
  // Now, when the due timers have been taken.
  Micros RunTimers();
  void RunReady();

  int epoll_ = -1;
  bool running_ = true;
  std::multimap<Micros, Waiter*> timers_;
  std::deque<Waiter*> ready_;
  Micros longest_turn_;
};

// A non-blocking TCP socket registered with the loop for its whole life.
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
  // `addr`: IPV4:PORT; port 0 takes a free one, see LocalAddress. Blocks for up to 10 s while the
  // address is in use.
  [[nodiscard]] static Result<Socket> Listen(Loop* loop, const std::string& addr);
  std::string LocalAddress() const;
  Task<Socket> Accept();

  // Bytes read; 0 at the end of the stream; -1 on an error or at the deadline.
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
      if (deadline < kNever) socket->loop_->Arm(&waiter, deadline);
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

// A value handed over once from plain code to a coroutine that waits for it.
template <typename T>
class Slot {
 public:
  explicit Slot(Loop* loop) : loop_(loop) {}
  void Set(T v) {
    if (value_) return;
    value_ = std::move(v);
    if (waiter_) loop_->Wake(std::exchange(waiter_, nullptr));
  }
  struct Awaiter {
    Slot* slot;
    Micros deadline;
    Loop::Waiter waiter{};
    bool await_ready() const noexcept { return slot->value_.has_value(); }
    void await_suspend(std::coroutine_handle<> h) {
      waiter.handle = h;
      slot->waiter_ = &waiter;
      slot->loop_->Arm(&waiter, deadline);
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
