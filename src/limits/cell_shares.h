// The cells of a deployment and the shares that follow from their settings alone.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "limits/quota_types.h"

namespace badgershore::limits {

struct Cell {
  std::string name;
  bool initial_member = true;  // has held a share from the beginning
  bool draining = false;       // receives nothing, transfers all but its floor
  std::string successor;       // not empty: the cell was removed for good, this one has its share
  bool removed() const { return !successor.empty(); }
};

struct Settings {
  std::string self;
  std::vector<Cell> cells;              // all, this one among them
  int64_t units = 720'720'000;          // a total's units: divide evenly among up to 16 cells
  double floor_share = 0.05;            // of an initial share: never transferred, always usable
  double min_transfer_share = 0.01;     // of an equal share: less is not taken from waiting work
  int64_t min_reclaim_delay_ms = 1000;  // after a transfer, before asking back; then doubled
  int64_t max_reclaim_delay_ms = 30000;
};

// The part of a total, 0 to 1, that one cell can ever gather: the others keep their floors.
double GatherableShare(const Settings& settings);

// Shares in units of a total.
class CellShares {
 public:
  explicit CellShares(Settings settings) : settings_(std::move(settings)) {}

  const Settings& settings() const { return settings_; }
  // Null: not in the settings.
  const Cell* Find(const std::string& name) const;
  // Named in the settings and not removed.
  bool IsActive(const std::string& cell) const;
  // What this cell holds of a new team: an initial member's share, to the first of them with the
  // remainder of the division.
  int64_t OwnInitialShare() const;
  // Of each initial member, remainder apart.
  int64_t InitialShare() const;
  // An equal division among the active cells.
  int64_t EqualShare() const;
  // Never transferred, so usable without hearing from any other cell. Depends on the initial
  // members only and thus never changes.
  int64_t Floor() const;

 private:
  int64_t InitialMembers() const;

  Settings settings_;
};

}  // namespace badgershore::limits
