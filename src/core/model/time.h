// The type of all points in time and durations: whole microseconds.
#pragma once

#include <cmath>
#include <compare>
#include <cstdint>

namespace badgershore {

struct Micros {
  int64_t count = 0;

  constexpr auto operator<=>(const Micros&) const = default;
  constexpr Micros operator+(Micros o) const { return {count + o.count}; }
  constexpr Micros operator-(Micros o) const { return {count - o.count}; }
  constexpr Micros& operator+=(Micros o) {
    count += o.count;
    return *this;
  }
  constexpr Micros Scaled(double f) const {
    return {static_cast<int64_t>(static_cast<double>(count) * f)};
  }
  constexpr double ToSeconds() const { return static_cast<double>(count) / 1e6; }
  constexpr int64_t ToMillis() const { return count / 1000; }
};

constexpr Micros Seconds(double s) { return {static_cast<int64_t>(s * 1e6)}; }
constexpr Micros Millis(int64_t ms) { return {ms * 1000}; }
constexpr Micros kNever{INT64_MAX / 4};

}  // namespace badgershore
