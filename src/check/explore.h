// Explores every order of events of a deterministic model, breadth first, until there is no new
// state, a state violates an invariant or the bound on states is reached.
//
// World is copied for each step and has: Events(), the names of the events that are possible next;
// Apply(event), which applies one; Key(), equal for equal states; Violation(), the violated
// invariant or empty.
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

// A model around code under test that can't be copied: ReplayedWorld keeps the list of events and
// replays them.
class ReplayableModel {
 public:
  virtual ~ReplayableModel() = default;
  virtual std::vector<std::string> Events() const = 0;
  virtual void Apply(const std::string& event) = 0;
  virtual std::string Key() const = 0;
  virtual std::string Violation() const = 0;
};

class ReplayedWorld {
 public:
  explicit ReplayedWorld(std::function<std::unique_ptr<ReplayableModel>()> make_model)
      : make_model_(std::move(make_model)) {}
  ReplayedWorld(const ReplayedWorld& other)
      : make_model_(other.make_model_), events_(other.events_) {}
  ReplayedWorld(ReplayedWorld&&) = default;
  std::vector<std::string> Events() const { return Current().Events(); }
  void Apply(const std::string& event) {
    events_.push_back(event);
    if (model_) model_->Apply(event);
  }
  std::string Key() const { return Current().Key(); }
  std::string Violation() const { return Current().Violation(); }

 private:
  const ReplayableModel& Current() const {
    if (!model_) {
      model_ = make_model_();
      for (const std::string& e : events_) model_->Apply(e);
    }
    return *model_;
  }
  std::function<std::unique_ptr<ReplayableModel>()> make_model_;
  std::vector<std::string> events_;
  mutable std::unique_ptr<ReplayableModel> model_;  // created when needed; not copied
};

struct ExplorationResult {
  uint64_t states = 0, steps = 0;
  int depth = 0;                  // every order of this many events was explored
  bool complete = false;          // every reachable state was explored
  std::string violation;          // the violated invariant; empty: none
  std::vector<std::string> path;  // the events that led to the violation
};

template <typename World>
ExplorationResult Explore(const World& start, uint64_t max_states) {
  struct Transition {
    size_t previous;
    std::string event;
  };
  // The step that led to each state; worlds are not kept.
  std::vector<Transition> transitions{{0, ""}};
  std::unordered_set<uint64_t> visited;
  ExplorationResult out;
  const auto path_to = [&](size_t index) {
    std::vector<std::string> path;
    for (; index != 0; index = transitions[index].previous)
      path.insert(path.begin(), transitions[index].event);
    return path;
  };
  std::vector<std::pair<World, size_t>> frontier, next_frontier;
  frontier.emplace_back(start, 0);
  visited.insert(std::hash<std::string>{}(start.Key()));
  out.states = 1;
  while (!frontier.empty()) {
    next_frontier.clear();
    for (const auto& [world, index] : frontier) {
      for (const std::string& event : world.Events()) {
        World after = world;
        after.Apply(event);
        ++out.steps;
        if (!visited.insert(std::hash<std::string>{}(after.Key())).second) continue;
        ++out.states;
        transitions.push_back({index, event});
        const std::string violation = after.Violation();
        if (!violation.empty()) {
          out.violation = violation;
          out.path = path_to(transitions.size() - 1);
          return out;
        }
        if (out.states >= max_states) return out;
        next_frontier.emplace_back(std::move(after), transitions.size() - 1);
      }
    }
    std::swap(frontier, next_frontier);
    ++out.depth;
  }
  out.complete = true;
  return out;
}

// Runs long random orders of events, where there are too many to explore them all. Every event
// other than time, a delivery or a proposal counts as a fault and is drawn rarely. Each walk has
// its own seed, so that a violation can be reproduced.
inline ExplorationResult RunRandomWalks(
    const std::function<std::unique_ptr<ReplayableModel>()>& make_model, uint64_t walks, int steps,
    uint64_t seed) {
  constexpr double kTimeShare = 0.25, kFaultShare = 0.06;
  ExplorationResult out;
  for (uint64_t walk = 0; walk < walks; ++walk) {
    std::mt19937_64 random(seed + walk);
    const auto chance = [&] { return std::uniform_real_distribution<double>(0, 1)(random); };
    const std::unique_ptr<ReplayableModel> model = make_model();
    std::vector<std::string> path;
    for (int step = 0; step < steps; ++step) {
      std::vector<std::string> time, deliveries, faults;
      for (const std::string& event : model->Events()) {
        const bool delivery = event.starts_with("delivered") || event.starts_with("proposes");
        (event == "time" ? time : delivery ? deliveries : faults).push_back(event);
      }
      const double draw = chance();
      const bool inject_fault = !faults.empty() && draw < kFaultShare;
      const bool time_passes =
          !time.empty() && (deliveries.empty() || draw < kFaultShare + kTimeShare);
      const auto& candidates = inject_fault ? faults : time_passes ? time : deliveries;
      if (candidates.empty()) break;
      path.push_back(candidates[random() % candidates.size()]);
      model->Apply(path.back());
      ++out.steps;
      out.violation = model->Violation();
      if (out.violation.empty()) continue;
      out.path = path;
      return out;
    }
    ++out.states;  // walks that ran to their end
    out.depth = std::max(out.depth, static_cast<int>(path.size()));
  }
  return out;
}

}  // namespace badgershore::check
