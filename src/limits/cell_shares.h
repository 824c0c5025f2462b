// The cells of a deployment and the quota shares that are derived from the settings alone.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "limits/quota_types.h"

namespace badgershore::limits {

struct Cell {
  std::string name;
  bool initial_member = true;  // has an initial share
  bool draining = false;       // requests nothing and transfers all but its floor
  std::string successor;       // if not empty, the cell was removed permanently and this cell
                               // inherits its share
  bool removed() const { return !successor.empty(); }
};

struct Settings {
  std::string self;
  std::vector<Cell> cells;              // all cells, including this one
  int64_t units = 720'720'000;          // in a total; divides evenly among up to 16 cells
  double floor_share = 0.05;            // of an initial share; never transferred, always usable
  double min_transfer_share = 0.01;     // of an equal share; less is not taken from waiting work
  int64_t min_reclaim_delay_ms = 1000;  // from a transfer to the request to return it; doubles
  int64_t max_reclaim_delay_ms = 30000;
};

// The largest fraction of a total, 0 to 1, that one cell can hold: the others keep their floors.
double GatherableShare(const Settings& settings);

// Shares in units of a total.
class CellShares {
 public:
  explicit CellShares(Settings settings) : settings_(std::move(settings)) {}

  const Settings& settings() const { return settings_; }
  // Returns null if the settings do not contain the cell.
  const Cell* Find(const std::string& name) const;
  // True if the settings contain the cell and it is not removed.
  bool IsActive(const std::string& cell) const;
  // The units that this cell holds of a new team. Each initial member gets an equal share; the one
  // with the first name also gets the remainder of the division.
  int64_t OwnInitialShare() const;
  // The share of each initial member, without the remainder.
  int64_t InitialShare() const;
  // The share of each active cell if the total were divided equally.
  int64_t EqualShare() const;
  // Units that are never transferred and can therefore be used without a message from any other
  // cell. Depends only on the initial members, so it never changes.
  int64_t Floor() const;

 private:
  int64_t InitialMembers() const;

  Settings settings_;
};

}  // namespace badgershore::limits
