// One value for each team in the settings.
#pragma once

#include <cstddef>
#include <vector>

namespace badgershore {

// Indexed by the team's position in the settings. Index -1 stands for unknown teams and has a value
// as well.
template <typename Value>
class PerTeam {
 public:
  explicit PerTeam(size_t known_teams) : values_(known_teams + 1) {}

  Value& operator[](int team) { return values_[IndexOf(team)]; }
  const Value& operator[](int team) const { return values_[IndexOf(team)]; }
  // In index order, beginning with the value of unknown teams.
  auto begin() { return values_.begin(); }
  auto end() { return values_.end(); }
  int known_teams() const { return static_cast<int>(values_.size()) - 1; }

 private:
  static size_t IndexOf(int team) { return static_cast<size_t>(team + 1); }

  std::vector<Value> values_;
};

}  // namespace badgershore
