// A rate that falls when the other side refuses what exceeds its limit, and rises again slowly.
#pragma once

#include <algorithm>
#include <optional>

namespace badgershore {

class AdaptiveRate {
 public:
  // Rates per second. `announced`: a lower limit that may replace the configured one at any time.
  AdaptiveRate(double configured, std::optional<double> announced)
      : most_(configured), rate_(configured), announced_(announced) {}

  double per_second() const { return rate_; }
  int refused_in_a_row() const { return refused_in_a_row_; }

  void OnRefused() {
    ++refused_in_a_row_;
    if (announced_ && *announced_ < most_) {
      LowerToAnnounced();
    } else if (refused_in_a_row_ >= kRefusalsBeforeLowering) {
      rate_ = std::max(std::min(kLeastRate, most_), rate_ * kDecrease);
    }
  }
  void OnAccepted() {
    refused_in_a_row_ = 0;
    rate_ = std::min(most_, rate_ * kIncrease);
  }
  void LowerToAnnounced() {
    most_ = std::min(most_, announced_.value_or(most_));
    rate_ = std::min(rate_, most_);
  }

 private:
  // Fewer refusals may be due to what others send.
  static constexpr int kRefusalsBeforeLowering = 3;
  static constexpr double kDecrease = 0.8, kIncrease = 1.01;
  static constexpr double kLeastRate = 1;

  double most_;
  double rate_;
  std::optional<double> announced_;
  int refused_in_a_row_ = 0;
};

}  // namespace badgershore
