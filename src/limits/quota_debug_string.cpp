// Debug strings of quota records, cell messages and ledgers.
#include "limits/quota_ledger.h"

namespace badgershore::limits {
namespace {

void Append(std::string* out, const TeamAmounts& teams) {
  for (const auto& [team, amounts] : teams) {
    *out += team;
    for (const int64_t n : amounts) *out += ',' + std::to_string(n);
    *out += ' ';
  }
}

void Append(std::string* out, const std::string& cell, const TransferAccount& account) {
  *out += cell + ':' + std::to_string(account.sent) + '/' + std::to_string(account.received) +
          (account.closed ? " closed " : " ") + std::to_string(account.nonce) + ' ';
  Append(out, account.in_transit);
  *out += "net sent ";
  Append(out, account.net_sent);
}

}  // namespace

std::string DebugString(const QuotaRecord& record) {
  std::string out = '#' + std::to_string(record.number) + " held ";
  Append(&out, record.held);
  out += "totals ";
  Append(&out, record.totals);
  for (const auto& [cell, account] : record.accounts) Append(&out, cell, account);
  for (const auto& [cell, inherited] : record.inherited) out += "inherited from " + cell + ' ';
  return out;
}

std::string DebugString(const CellMessage& message) {
  std::string out = message.from + '>' + message.to + ' ' + std::to_string(message.term) + ' ' +
                    std::to_string(message.nonce) + '~' + std::to_string(message.echoed_nonce) +
                    ' ' + std::to_string(message.sent) + '/' + std::to_string(message.received) +
                    ' ';
  Append(&out, message.in_transit);
  out += "held ";
  Append(&out, message.held);
  out += "totals ";
  Append(&out, message.totals);
  for (const auto& [team, request] : message.requests) {
    out += team + " requests";
    for (const int64_t n : request.units) out += ',' + std::to_string(n);
    out += request.all_or_nothing ? "! " : " ";
  }
  for (const auto& [cell, net_sent] : message.closed) {
    out += "closed " + cell + ' ';
    Append(&out, net_sent);
  }
  return out;
}

std::string QuotaLedger::DebugString() const {
  std::string out =
      limits::DebugString(records_.durable()) + '|' + limits::DebugString(records_.next());
  if (records_.in_flight()) out += "|in flight " + limits::DebugString(*records_.in_flight());
  for (const auto& [cell, peer] : peers_) {
    out += '|' + std::string(peer.responded ? "responded " : "no response ") +
           limits::DebugString(peer.message);
  }
  if (!restricted_to_floor_reason_.empty()) out += "|restricted: " + restricted_to_floor_reason_;
  return out;
}

}  // namespace badgershore::limits
