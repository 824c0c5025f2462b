#include "core/model/record_size.h"

#include <numeric>

namespace badgershore {
namespace {

// Braces, field names, separators and flags of the items and of records with no growing part.
constexpr size_t kMachineItemOverheadBytes = 64;
constexpr size_t kProgressItemOverheadBytes = 48;
constexpr size_t kPageOverheadBytes = 32;
constexpr size_t kSmallRecordBytes = 256;
constexpr size_t kTypeOverheadBytes = 320;
constexpr size_t kJobOverheadBytes = 640;
constexpr size_t kQuotaOverheadBytes = 128;
constexpr size_t kAccountOverheadBytes = 192;
// A list element's quotes and comma.
constexpr size_t kElementOverheadBytes = 3;
constexpr int kTasksPerDigit = 4;

template <typename List, typename Size>
size_t Sum(const List& list, Size size) {
  return std::accumulate(list.begin(), list.end(), size_t{0},
                         [&](size_t sum, const auto& item) { return sum + size(item); });
}

size_t TextsBytes(const std::vector<std::string>& texts) {
  return Sum(texts,
             [](const std::string& text) { return JsonTextBytes(text) + kElementOverheadBytes; });
}

size_t TeamAmountsBytes(const limits::TeamAmounts& amounts) {
  return Sum(amounts, [](const auto& team) {
    return JsonTextBytes(team.first) + 2 * kElementOverheadBytes +
           Sum(team.second, [](int64_t amount) { return std::to_string(amount).size() + 1; });
  });
}

struct RecordSize {
  size_t operator()(const std::monostate&) const { return 0; }
  size_t operator()(const TermRecord& r) const {
    return kSmallRecordBytes + JsonTextBytes(r.leader);
  }
  size_t operator()(const LeaderRecord& r) const {
    return kSmallRecordBytes + JsonTextBytes(r.leader);
  }
  size_t operator()(const JobEndRecord&) const { return kSmallRecordBytes; }
  size_t operator()(const TypeCountRecord&) const { return kSmallRecordBytes; }
  size_t operator()(const LimitsRecord&) const { return kSmallRecordBytes; }
  size_t operator()(const ProgressPage& r) const {
    return kPageOverheadBytes + Sum(r.chunks, [](const ProgressChunk& chunk) {
             return ProgressItemBytes(chunk.job,
                                      static_cast<int>(chunk.bits.size()) * kTasksPerDigit);
           });
  }
  size_t operator()(const FleetPage& r) const {
    return kPageOverheadBytes + Sum(r.machines, MachineItemBytes);
  }
  size_t operator()(const MachineType& r) const {
    return kTypeOverheadBytes + JsonTextBytes(r.name) + TextsBytes(r.zones);
  }
  size_t operator()(const JobSpec& r) const {
    return kJobOverheadBytes + JsonTextBytes(r.id) + JsonTextBytes(r.job_class) +
           JsonTextBytes(r.team) + JsonTextBytes(r.image) + (r.zone ? JsonTextBytes(*r.zone) : 0) +
           (r.machine_types ? TextsBytes(*r.machine_types) : 0);
  }
  size_t operator()(const limits::QuotaRecord& r) const {
    return kQuotaOverheadBytes + TeamAmountsBytes(r.held) + TeamAmountsBytes(r.totals) +
           Sum(r.accounts,
               [](const auto& account) {
                 return kAccountOverheadBytes + JsonTextBytes(account.first) +
                        TeamAmountsBytes(account.second.in_transit) +
                        TeamAmountsBytes(account.second.net_sent);
               }) +
           TextsBytes(r.parts) + Sum(r.inherited, [](const auto& cell) {
             return JsonTextBytes(cell.first) + kElementOverheadBytes;
           });
  }
};

}  // namespace

size_t JsonTextBytes(const std::string& text) {
  constexpr unsigned char kFirstPrintable = 0x20;
  constexpr size_t kUnicodeEscapeBytes = 6;
  size_t bytes = 0;
  for (const char c : text) {
    if (static_cast<unsigned char>(c) < kFirstPrintable) {
      bytes += kUnicodeEscapeBytes;
    } else {
      bytes += c == '"' || c == '\\' ? 2 : 1;
    }
  }
  return bytes;
}

size_t MachineItemBytes(const MachineRecord& machine) {
  return kMachineItemOverheadBytes + JsonTextBytes(machine.id) + JsonTextBytes(machine.endpoint) +
         JsonTextBytes(machine.type) + JsonTextBytes(machine.zone);
}

size_t ProgressItemBytes(const std::string& job, int tasks) {
  return kProgressItemOverheadBytes + JsonTextBytes(job) +
         static_cast<size_t>((tasks + kTasksPerDigit - 1) / kTasksPerDigit);
}

size_t MaxRecordBytes(const Record& record) { return std::visit(RecordSize{}, record); }

}  // namespace badgershore
