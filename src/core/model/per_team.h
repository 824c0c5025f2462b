// A value for each team of the settings.
#pragma once

#include <cstddef>
#include <vector>

namespace badgershore {

// Indexed by a team's number in the settings; -1 is an unknown team and has a value too.
template <typename Value>
class PerTeam {
 public:
  explicit PerTeam(size_t known_teams) : values_(known_teams + 1) {}

  Value& operator[](int team) { return values_[Slot(team)]; }
  const Value& operator[](int team) const { return values_[Slot(team)]; }
  // In the order of their numbers, the unknown team first.
  auto begin() { return values_.begin(); }
  auto end() { return values_.end(); }
  int known_teams() const { return static_cast<int>(values_.size()) - 1; }

 private:
  static size_t Slot(int team) { return static_cast<size_t>(team + 1); }

  std::vector<Value> values_;
};

}  // namespace badgershore
