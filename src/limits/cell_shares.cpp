#include "limits/cell_shares.h"

#include <algorithm>

namespace badgershore::limits {

double GatherableShare(const Settings& settings) {
  int initial = 0;
  int others = 0;
  for (const Cell& cell : settings.cells) {
    initial += cell.initial_member;
    others += cell.initial_member && !cell.removed() && cell.name != settings.self;
  }
  return initial == 0 ? 0 : 1 - settings.floor_share * others / initial;
}

const Cell* CellShares::Find(const std::string& name) const {
  for (const Cell& cell : settings_.cells)
    if (cell.name == name) return &cell;
  return nullptr;
}

bool CellShares::IsActive(const std::string& name) const {
  const Cell* cell = Find(name);
  return cell && !cell->removed();
}

int64_t CellShares::InitialMembers() const {
  return std::count_if(settings_.cells.begin(), settings_.cells.end(),
                       [](const Cell& cell) { return cell.initial_member; });
}

int64_t CellShares::InitialShare() const {
  return settings_.units / std::max<int64_t>(1, InitialMembers());
}

int64_t CellShares::OwnInitialShare() const {
  const Cell* self = Find(settings_.self);
  if (!self || !self->initial_member) return 0;
  const Cell* first = self;
  for (const Cell& cell : settings_.cells) {
    if (cell.initial_member && cell.name < first->name) first = &cell;
  }
  const int64_t share = InitialShare();
  return first == self ? share + settings_.units - share * InitialMembers() : share;
}

int64_t CellShares::EqualShare() const {
  const int64_t active = std::count_if(settings_.cells.begin(), settings_.cells.end(),
                                       [](const Cell& cell) { return !cell.removed(); });
  return settings_.units / std::max<int64_t>(1, active);
}

int64_t CellShares::Floor() const {
  const Cell* self = Find(settings_.self);
  if (!self || !self->initial_member) return 0;
  return static_cast<int64_t>(static_cast<double>(InitialShare()) * settings_.floor_share);
}

}  // namespace badgershore::limits
