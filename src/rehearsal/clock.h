// Simulated time and randomness of a scenario: one event queue and one random engine, so that a
// seed gives the same history to the byte.
#pragma once

#include <algorithm>
#include <functional>
#include <queue>
#include <random>
#include <tuple>
#include <vector>

#include "core/model/time.h"

namespace badgershore::rehearsal {

class Clock {
 public:
  explicit Clock(uint64_t seed) : random(seed) {}

  void Schedule(Micros at, std::function<void()> then) {
    queue_.push({std::max(at, now), ++order, std::move(then)});
  }
  double RandomFraction() { return std::uniform_real_distribution<double>(0, 1)(random); }
  Micros RandomDuration(double least_s, double most_s) {
    return Seconds(least_s + (most_s - least_s) * RandomFraction());
  }
  bool empty() const { return queue_.empty(); }
  Micros NextAt() const { return queue_.empty() ? kNever : queue_.top().at; }
  void RunUntil(Micros until) {
    while (!queue_.empty() && queue_.top().at <= until) {
      now = queue_.top().at;
      auto then = std::move(const_cast<Event&>(queue_.top()).then);
      queue_.pop();
      then();
    }
    now = std::max(now, until);
  }

  Micros now = Seconds(1);
  std::mt19937_64 random;
  uint64_t order = 0;  // number of the last event; also a source of unique numbers

 private:
  struct Event {
    Micros at;
    uint64_t order;
    std::function<void()> then;
    bool operator>(const Event& o) const { return std::tie(at, order) > std::tie(o.at, o.order); }
  };
  std::priority_queue<Event, std::vector<Event>, std::greater<>> queue_;
};

}  // namespace badgershore::rehearsal
