// The tables of docs/CAPACITY.md: the resource use of each role at a given load, computed from
// measured slopes.
#pragma once

#include <string>
#include <vector>

#include "scale/core/slopes.h"

namespace badgershore::scale {

// The resources that the control traffic of one worker may use.
struct WorkerBudget {
  double cores = 0.014;
  double memory_mb = 64;
  double bytes_per_s = 7000;
};

// Returns Markdown tables: the load, the resource use of each role at that load, the share of the
// worker budget used, and the slopes.
std::string CapacityTables(const std::vector<Row>& rows, const Load& load,
                           const WorkerBudget& budget);

// Returns `page` with the text between its two markers replaced by the tables. Throws config::Error
// if the page has no markers.
std::string ReplaceTables(const std::string& page, const std::string& tables);

}  // namespace badgershore::scale
