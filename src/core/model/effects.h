// What goes into the core and what comes out of it. No clock, socket or log is known here.
#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "core/model/types.h"
#include "membership/members.h"

namespace badgershore {

using RequestId = uint64_t;

// ---- State service ----
struct Guard {
  std::string key;
  uint64_t stamp = 0;
};
struct Change {
  std::string key;
  bool erase = false;
  Record value;
  uint64_t lease = 0;
};
struct StateOp {
  enum class Kind { kGet, kList, kCommit, kGrant, kTouch, kRelease, kWatch };
  RequestId id = 0;
  Kind kind = Kind::kGet;
  std::string key;        // key or prefix
  std::string after;      // paging
  uint64_t revision = 0;  // watch
  uint64_t lease = 0;
  Micros span;  // lease time or watch wait
  std::vector<Guard> guards;
  std::vector<Change> changes;
};
struct Entry {
  std::string key;
  Record value;
  uint64_t stamp = 0;
  bool erased = false;
};
struct StateReply {
  // kRefused: surely not carried out. kUnknown: may have been, or may be later.
  enum class Outcome { kOk, kMissing, kConflict, kInvalid, kCompacted, kRefused, kUnknown };
  Outcome outcome = Outcome::kUnknown;
  std::vector<Entry> entries;
  std::vector<std::string> failed;
  uint64_t epoch = 0;
  uint64_t lease = 0;
  bool more = false;
  bool limited = false;  // kRefused because its limit is reached
  bool ok() const { return outcome == Outcome::kOk; }
};

// ---- Cloud ----
struct CloudOp {
  enum class Kind { kTypes, kRent, kReturn, kList };
  RequestId id = 0;
  Kind kind = Kind::kTypes;
  std::string name, type, zone, after;
  bool spot = false;
  int count = 0;
  std::vector<std::string> machines;
  Micros good_until = kNever;  // not sent any more after that: answered kBusy
};
struct ListedMachine {
  std::string id, endpoint, type, zone;
  bool spot = false;
  enum class Phase { kStarting, kRunning, kFailed } phase = Phase::kStarting;
  Micros age;
};
struct CloudReply {
  enum class Outcome { kOk, kNoCapacity, kInvalid, kBusy, kUnknown };
  Outcome outcome = Outcome::kUnknown;
  std::vector<MachineType> types;
  std::vector<std::string> rented;
  std::vector<ListedMachine> listed;
  bool more = false;
  bool ok() const { return outcome == Outcome::kOk; }
};

// ---- Workers ----
struct TaskRef {
  std::string job;
  int task = 0;
  auto operator<=>(const TaskRef&) const = default;
};
enum class RunState { kSent, kFetching, kGathering, kRunning, kFlushing, kExited };
enum class ExitCause { kNone, kDone, kHalted, kPeers, kAlone, kError, kFull, kBusy, kUnknown };
struct ReportedTask {
  TaskRef ref;
  uint64_t attempt = 0;
  RunState state = RunState::kRunning;
  ExitCause cause = ExitCause::kNone;
  bool saved = false;
};
struct Report {
  std::string machine, endpoint, type, zone;
  bool spot = false;
  uint64_t session = 0, seq = 0, fencing_token = 0;
  std::optional<Micros> notice;
  std::vector<ReportedTask> tasks;
};
struct Order {
  enum class Verb { kStart, kHalt, kClear };
  Verb verb = Verb::kStart;
  TaskRef ref;
  uint64_t attempt = 0;
  Micros grace;
};
struct CheckinAnswer {
  RequestId token = 0;
  int status = 503;  // 200, 421 or 503
  std::string leader;
  uint64_t fencing_token = 0;
  std::vector<Order> orders;
  Micros good_until = kNever;  // its starts may not leave after that: the report gets 503
};
struct DirectOp {
  RequestId id = 0;
  std::string machine, endpoint;
  uint64_t fencing_token = 0, session = 0;
  std::vector<Order> orders;
};
struct DirectReply {
  int status = 0;  // 0: no answer
  std::optional<Report> report;
};

// ---- Users ----
enum class Phase { kPending, kRunning, kDone, kWithdrawn };
struct UserAnswer {
  RequestId token = 0;
  int status = 503;
  std::string job;
  Phase phase = Phase::kPending;
  int done = 0, running = 0;
  std::string reason;  // for refusals
  int retry_after_s = 0;
};

// ---- Peers ----
struct JobDigest {
  std::string job;
  int done = 0, running = 0;
};
struct PeerNote {
  std::string from;
  uint64_t term = 0;
  std::string leader;
  bool state_ok = false;
  std::vector<JobDigest> jobs;
  bool hears_workers = false;  // some worker has reported there of late
  // Jobs whose cancellation is being recorded there: nothing of them is worth starting. A hint;
  // lost, late or repeated it does no harm.
  std::vector<std::string> calls_off;
  // Jobs whose cancellation is durable. Ends never change, so this is good however late it comes.
  std::vector<std::string> called_off;
};

// What a leader tells another cell's: to one address, or to all of the cell's.
struct CellSend {
  std::vector<std::string> to;
  limits::CellNote note;
};

struct LogLine {
  enum class Level { kError, kInfo, kDebug } level = Level::kInfo;
  std::string text;
};

struct Effects {
  std::vector<StateOp> state;
  std::vector<CloudOp> cloud;
  std::vector<DirectOp> direct;
  std::vector<CheckinAnswer> checkins;
  std::vector<UserAnswer> answers;
  std::vector<PeerNote> notes;
  std::vector<CellSend> cells;
  std::vector<membership::Message> members;
  std::vector<LogLine> log;
};

}  // namespace badgershore
