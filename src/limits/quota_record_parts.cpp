#include "limits/quota_record_parts.h"

#include <set>
#include <string>

namespace badgershore::limits {
namespace {

std::set<std::string> TeamsIn(const QuotaRecord& record) {
  std::set<std::string> teams;
  const auto add = [&teams](const TeamAmounts& amounts) {
    for (const auto& [team, units] : amounts) teams.insert(team);
  };
  add(record.held);
  add(record.totals);
  for (const auto& [cell, account] : record.accounts) {
    add(account.in_transit);
    add(account.net_sent);
  }
  return teams;
}

void CopyTeam(const std::string& team, const TeamAmounts& from, TeamAmounts* to) {
  const auto it = from.find(team);
  if (it != from.end()) to->insert(*it);
}

void AddTeam(const std::string& team, const QuotaRecord& record, QuotaRecord* part) {
  CopyTeam(team, record.held, &part->held);
  CopyTeam(team, record.totals, &part->totals);
  for (const auto& [cell, account] : record.accounts) {
    if (account.in_transit.contains(team)) {
      CopyTeam(team, account.in_transit, &part->accounts[cell].in_transit);
    }
    if (account.net_sent.contains(team)) {
      CopyTeam(team, account.net_sent, &part->accounts[cell].net_sent);
    }
  }
}

}  // namespace

std::vector<QuotaRecord> DivideByTeams(const QuotaRecord& record, size_t teams_per_part) {
  std::vector<QuotaRecord> parts;
  size_t teams_in_part = 0;
  for (const std::string& team : TeamsIn(record)) {
    if (parts.empty() || teams_in_part == teams_per_part) {
      parts.emplace_back();
      teams_in_part = 0;
    }
    AddTeam(team, record, &parts.back());
    ++teams_in_part;
  }
  return parts;
}

QuotaRecord RootOf(const QuotaRecord& record) {
  QuotaRecord root = record;
  root.held.clear();
  root.totals.clear();
  for (auto& [cell, account] : root.accounts) {
    account.in_transit.clear();
    account.net_sent.clear();
  }
  return root;
}

void AddTeams(const QuotaRecord& part, QuotaRecord* root) {
  root->held.insert(part.held.begin(), part.held.end());
  root->totals.insert(part.totals.begin(), part.totals.end());
  for (const auto& [cell, account] : part.accounts) {
    TransferAccount& target = root->accounts[cell];
    target.in_transit.insert(account.in_transit.begin(), account.in_transit.end());
    target.net_sent.insert(account.net_sent.begin(), account.net_sent.end());
  }
}

}  // namespace badgershore::limits
