// Divides a quota record by teams, for a store whose values are smaller than the record.
#pragma once

#include <cstddef>
#include <vector>

#include "limits/quota_types.h"

namespace badgershore::limits {

// The amounts of consecutive teams, by name. A part has no other content: numbers and flags of
// accounts, and what was inherited, are in the root.
std::vector<QuotaRecord> DivideByTeams(const QuotaRecord& record, size_t teams_per_part);
// The record without the amounts of its teams.
QuotaRecord RootOf(const QuotaRecord& record);
// Adds the teams of a part to a root.
void AddTeams(const QuotaRecord& part, QuotaRecord* root);

}  // namespace badgershore::limits
