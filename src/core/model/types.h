// Basic types of the core: resources, jobs, machine types, durable records and their keys.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/model/time.h"
#include "limits/quota_types.h"

namespace badgershore {

// Thousandths of a CPU, of an accelerator and of a GB of memory, and bytes of a machine's report.
struct Resources {
  int64_t cpu = 0;
  int64_t gpu = 0;
  int64_t mem = 0;
  // What tasks take of the report that has to list them, see core/model/message_size.h. Only the
  // leader sets it; no record and no message has it.
  int64_t report = 0;

  bool Fits(const Resources& room) const {
    return cpu <= room.cpu && gpu <= room.gpu && mem <= room.mem && report <= room.report;
  }
  Resources operator+(const Resources& o) const {
    return {cpu + o.cpu, gpu + o.gpu, mem + o.mem, report + o.report};
  }
  Resources operator-(const Resources& o) const {
    return {cpu - o.cpu, gpu - o.gpu, mem - o.mem, report - o.report};
  }
  Resources Times(int64_t n) const { return {cpu * n, gpu * n, mem * n, report * n}; }
  bool operator==(const Resources&) const = default;
  // Number of tasks of size `each` that fit into these resources.
  int64_t Holds(const Resources& each) const {
    int64_t n = INT32_MAX;
    if (each.cpu > 0) n = std::min(n, cpu / each.cpu);
    if (each.gpu > 0) n = std::min(n, gpu / each.gpu);
    if (each.mem > 0) n = std::min(n, mem / each.mem);
    if (each.report > 0) n = std::min(n, report / each.report);
    return std::max<int64_t>(n, 0);
  }
};

// Formats the amount in cores: "4", or "0.250" if it is not a whole number.
inline std::string FormatCores(int64_t millicores) {
  constexpr int64_t kPerCore = 1000;
  const std::string whole = std::to_string(millicores / kPerCore);
  const int64_t rest = millicores % kPerCore;
  return rest == 0 ? whole : whole + "." + std::to_string(kPerCore + rest).substr(1);
}

enum class JobKind { kArray, kGang, kService };
enum class Priority { kProduction, kHigh, kNormal, kIdle };

struct JobSpec {
  std::string id;
  std::string job_class;
  std::string team;
  JobKind kind = JobKind::kArray;
  Priority priority = Priority::kNormal;
  int tasks = 1;
  Resources need;
  std::string image;
  double image_gb = 0;
  std::optional<std::vector<std::string>> machine_types;
  std::optional<std::string> zone;
  bool same_zone = false;
  bool spread = false;
  bool allow_spot = false;
  Micros estimated_runtime;
  Micros checkpoint_interval;
  Micros checkpoint_duration;
  std::optional<Micros> deadline;
  int64_t submitted_ms = 0;  // time of day, so that the job's age survives a failover
  bool operator==(const JobSpec&) const = default;
};

struct MachineType {
  std::string name;
  Resources size;
  double image_cache_gb = 0;
  double fetch_gb_per_s = 0;
  double price = 0;
  double spot_price = 0;
  Micros boot;
  std::vector<std::string> zones;
  // What the tasks on one machine may use together: its size, and what its report may list.
  Resources Capacity() const;
  bool operator==(const MachineType&) const = default;
};

// Durable records, by key prefix.
struct TermRecord {
  uint64_t term = 0;
  std::string leader;
};
struct LeaderRecord {
  std::string leader;
  uint64_t term = 0;
};
struct JobEndRecord {
  bool cancelled = false;
  int tasks = 0;
};
struct ProgressChunk {
  std::string job;
  int chunk = 0;
  std::string bits;  // bitmap of the chunk's finished tasks, one hex digit for four tasks
};
struct ProgressPage {
  std::vector<ProgressChunk> chunks;
};
struct MachineRecord {
  std::string id;
  std::string endpoint;
  std::string type;
  std::string zone;
  bool spot = false;
};
struct FleetPage {
  std::vector<MachineRecord> machines;
};
struct TypeCountRecord {
  int count = 0;
};
// Limits of the state service that a leader has learned from refusals, and the configured ones at
// that time. Sizes in bytes.
struct LimitsRecord {
  size_t configured_value_bytes = 0, configured_mutations = 0;
  size_t value_bytes = 0, mutations = 0;
  bool operator==(const LimitsRecord&) const = default;
};
using Record =
    std::variant<std::monostate, TermRecord, LeaderRecord, JobSpec, JobEndRecord, ProgressPage,
                 FleetPage, MachineType, TypeCountRecord, limits::QuotaRecord, LimitsRecord>;

namespace keys {
inline const std::string kControl = "ctl/";
inline const std::string kLeader = "ctl/lead";
inline const std::string kTerm = "ctl/term";
// The successor that the last leader named in its handover.
inline const std::string kSuccessor = "ctl/next";
inline const std::string kTypes = "ctl/types";
inline const std::string kType = "ctl/type/";
inline const std::string kStateLimits = "ctl/limits";
inline const std::string kJob = "job/";
inline const std::string kJobEnd = "end/";
inline const std::string kProgress = "prog/";
inline const std::string kFleet = "fleet/";
inline const std::string kLimits = "limits/";
inline const std::string kQuotaRecord = "limits/escrow";
// The quota record where it is divided: the root, which names the parts.
inline const std::string kQuotaRoot = "limits/root";
inline const std::string kQuotaPart = "limits/part/";
}  // namespace keys

}  // namespace badgershore
