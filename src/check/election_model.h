// Leadership of a cell as it ships (core/desk/election), around a state service in which requests
// are carried out late, answers are lost, nodes end and are back at once with requests of their
// last life still under way, stand still (they do not tick while time passes) and hand over. A
// world is the list of its events: the code under test is not copied but played again.
#pragma once

#include <memory>
#include <string>
#include <vector>

namespace badgershore::check {

// A fault planted in what surrounds the election; the exploration has to find each.
enum class PlantedInLease { kNone, kSlowClock, kEarlyEnd, kNoGuards, kLeaseOfName };

struct ElectionPlan {
  int nodes = 3;
  int ends = 1, lates = 1, losses = 1, retires = 1;
  int times = 12;  // steps of a third of a lease
  PlantedInLease planted = PlantedInLease::kNone;
};

class ElectionModel {
 public:
  explicit ElectionModel(const ElectionPlan& plan);
  ElectionModel(const ElectionModel& other);
  ElectionModel& operator=(const ElectionModel&) = delete;
  ElectionModel(ElectionModel&& other) noexcept;
  ~ElectionModel();

  std::vector<std::string> Events() const;
  void Happen(const std::string& event);
  std::string Key() const;
  // Two nodes may start work at once.
  std::string Broken() const;

 private:
  struct Play;
  const Play& Now() const;
  ElectionPlan plan_;
  std::vector<std::string> events_;
  mutable std::unique_ptr<Play> play_;  // made when it is needed, dropped when the world is copied
};

}  // namespace badgershore::check
