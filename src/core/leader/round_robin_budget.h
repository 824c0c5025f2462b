// Limits the work of one step on a list of items.
#pragma once

#include <algorithm>
#include <cstddef>
#include <vector>

namespace badgershore {

// Chooses the items that are served in this step: all of them, or as many as the budget allows.
// In the latter case the next step continues after the last one.
class RoundRobinBudget {
 public:
  // `max_cost`: limit on the cost of one step, in the unit of the items' cost.
  explicit RoundRobinBudget(size_t max_cost) : max_cost_(max_cost) {}

  // `cost`: of each item; positive. Chooses at least one item if there is one.
  template <typename Item>
  std::vector<Item> Choose(const std::vector<Item>& items, size_t cost) {
    const size_t count = std::max<size_t>(1, max_cost_ / cost);
    if (items.size() <= count) {
      next_ = 0;
      return items;
    }
    std::vector<Item> chosen;
    chosen.reserve(count);
    for (size_t i = 0; i < count; ++i) chosen.push_back(items[(next_ + i) % items.size()]);
    next_ = (next_ + count) % items.size();
    return chosen;
  }

 private:
  size_t max_cost_;
  size_t next_ = 0;
};

}  // namespace badgershore
