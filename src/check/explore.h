// Explores every order of events of a deterministic model, breadth first, until there is no new
// state, a state violates an invariant or the bound on states is reached.
//
// World is copied for each step and has: Events(), the names of the events that are possible next;
// Happen(event), which applies one; Key(), equal for equal states; Broken(), the violated invariant
// or empty.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <unordered_set>
#include <utility>
#include <vector>

namespace badgershore::check {

// A model around code under test that can't be copied: Replayed keeps the list of events and
// replays them.
class Play {
 public:
  virtual ~Play() = default;
  virtual std::vector<std::string> Events() const = 0;
  virtual void Do(const std::string& event) = 0;
  virtual std::string Key() const = 0;
  virtual std::string Broken() const = 0;
};

class Replayed {
 public:
  explicit Replayed(std::function<std::unique_ptr<Play>()> begin) : begin_(std::move(begin)) {}
  Replayed(const Replayed& other) : begin_(other.begin_), events_(other.events_) {}
  Replayed(Replayed&&) = default;
  std::vector<std::string> Events() const { return Now().Events(); }
  void Happen(const std::string& event) {
    events_.push_back(event);
    if (play_) play_->Do(event);
  }
  std::string Key() const { return Now().Key(); }
  std::string Broken() const { return Now().Broken(); }

 private:
  const Play& Now() const {
    if (!play_) {
      play_ = begin_();
      for (const std::string& e : events_) play_->Do(e);
    }
    return *play_;
  }
  std::function<std::unique_ptr<Play>()> begin_;
  std::vector<std::string> events_;
  mutable std::unique_ptr<Play> play_;  // created when needed; not copied
};

struct Outcome {
  uint64_t states = 0, steps = 0;
  int depth = 0;                  // every order of this many events was explored
  bool whole = false;             // every reachable state was explored
  std::string broken;             // the violated invariant; empty: none
  std::vector<std::string> path;  // the events that led to the violation
};

template <typename World>
Outcome Explore(const World& start, uint64_t most_states) {
  struct Step {
    size_t before;
    std::string event;
  };
  std::vector<Step> steps{{0, ""}};  // the step that led to each state; worlds are not kept
  std::unordered_set<uint64_t> seen;
  Outcome out;
  const auto path_to = [&](size_t at) {
    std::vector<std::string> path;
    for (; at != 0; at = steps[at].before) path.insert(path.begin(), steps[at].event);
    return path;
  };
  std::vector<std::pair<World, size_t>> level, next;
  level.emplace_back(start, 0);
  seen.insert(std::hash<std::string>{}(start.Key()));
  out.states = 1;
  while (!level.empty()) {
    next.clear();
    for (const auto& [world, at] : level) {
      for (const std::string& event : world.Events()) {
        World after = world;
        after.Happen(event);
        ++out.steps;
        if (!seen.insert(std::hash<std::string>{}(after.Key())).second) continue;
        ++out.states;
        steps.push_back({at, event});
        const std::string broken = after.Broken();
        if (!broken.empty()) {
          out.broken = broken;
          out.path = path_to(steps.size() - 1);
          return out;
        }
        if (out.states >= most_states) return out;
        next.emplace_back(std::move(after), steps.size() - 1);
      }
    }
    std::swap(level, next);
    ++out.depth;
  }
  out.whole = true;
  return out;
}

// Runs long random orders of events, where there are too many to explore them all. Every event
// other than time, a delivery or a proposal counts as a fault and is drawn rarely. Each walk has
// its own seed, so that a violation can be reproduced.
inline Outcome Walk(const std::function<std::unique_ptr<Play>()>& begin, uint64_t walks, int steps,
                    uint64_t seed) {
  constexpr double kTimeShare = 0.25, kFaultShare = 0.06;
  Outcome out;
  for (uint64_t walk = 0; walk < walks; ++walk) {
    std::mt19937_64 random(seed + walk);
    const auto chance = [&] { return std::uniform_real_distribution<double>(0, 1)(random); };
    const std::unique_ptr<Play> play = begin();
    std::vector<std::string> path;
    for (int step = 0; step < steps; ++step) {
      std::vector<std::string> time, deliveries, faults;
      for (const std::string& event : play->Events()) {
        const bool delivery = event.starts_with("delivered") || event.starts_with("proposes");
        (event == "time" ? time : delivery ? deliveries : faults).push_back(event);
      }
      const double drawn = chance();
      const bool fault = !faults.empty() && drawn < kFaultShare;
      const bool pass = !time.empty() && (deliveries.empty() || drawn < kFaultShare + kTimeShare);
      const auto& from = fault ? faults : pass ? time : deliveries;
      if (from.empty()) break;
      path.push_back(from[random() % from.size()]);
      play->Do(path.back());
      ++out.steps;
      out.broken = play->Broken();
      if (out.broken.empty()) continue;
      out.path = path;
      return out;
    }
    ++out.states;  // walks that ran to their end
    out.depth = std::max(out.depth, static_cast<int>(path.size()));
  }
  return out;
}

}  // namespace badgershore::check
