#include "core/api/admission_control.h"

#include <algorithm>
#include <cmath>

namespace badgershore {
namespace {

constexpr Micros kWindow = Seconds(10);
constexpr Micros kCrowded = Seconds(3);  // so long after a refusal the limit is taken to hold
constexpr double kForgotten = 0.05;      // submissions of late that count for none
constexpr double kMargin = 1.2;          // of an equal part
constexpr int kLongest = 10;             // seconds; users give up after a minute

}  // namespace

void AdmissionControl::Fade(Micros now) {
  const double share = std::exp(-(now - faded_at_).ToSeconds() / kWindow.ToSeconds());
  faded_at_ = now;
  for (auto it = tried_.begin(); it != tried_.end();) {
    it->second *= share;
    it = it->second < kForgotten ? tried_.erase(it) : std::next(it);
  }
}

int AdmissionControl::TurnAway(Micros now, const std::string& team) {
  Fade(now);
  if (now - limited_at_ < kCrowded) {
    double sum = 0;
    for (const auto& [name, tried] : tried_) sum += tried;
    const size_t teams = tried_.size() + (tried_.contains(team) ? 0 : 1);
    const double part = sum / static_cast<double>(teams);
    const double own = tried_.contains(team) ? tried_[team] : 0;
    // Alone a team is held to the state service's limit only.
    if (teams > 1 && own > kMargin * part) {
      return std::clamp(static_cast<int>(std::ceil(own / std::max(part, 1.0))), 1, kLongest);
    }
  }
  tried_[team] += 1;
  return 0;
}

}  // namespace badgershore
