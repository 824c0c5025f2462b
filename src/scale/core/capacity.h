// The tables of docs/CAPACITY.md: what each role uses at a given load, worked out from measured
// slopes.
#pragma once

#include <string>
#include <vector>

#include "scale/core/slopes.h"

namespace badgershore::scale {

// What one worker may spend on control.
struct WorkerBudget {
  double cores = 0.014;
  double memory_mb = 64;
  double bytes_per_s = 7000;
};

// Markdown: the load, what each role uses at it, the slopes, and the share of the budget used.
std::string CapacityTables(const std::vector<Row>& rows, const Load& load,
                           const WorkerBudget& budget);

// The page's part between the two marks, which the tables fill; nothing else of it changes. A
// config::Error where the page lacks the marks.
std::string WithTables(const std::string& page, const std::string& tables);

}  // namespace badgershore::scale
