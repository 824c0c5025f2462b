// Inputs and outputs of the core, which itself uses no clock, socket or log.
#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "core/model/types.h"
#include "membership/members.h"

namespace badgershore {

using RequestId = uint64_t;

// ---- State service ----
struct Precondition {
  std::string key;
  uint64_t version = 0;
};
struct Mutation {
  std::string key;
  bool is_delete = false;
  Record value;
  uint64_t lease = 0;
};
struct StateRequest {
  enum class Kind { kGet, kList, kCompareAndSwap, kGrantLease, kRenewLease, kRevokeLease, kWatch };
  RequestId id = 0;
  Kind kind = Kind::kGet;
  std::string key;          // key, or prefix for kList and kWatch
  std::string start_after;  // kList: the page begins after this key
  uint64_t revision = 0;    // kWatch: changes after this revision
  uint64_t lease = 0;
  Micros duration;  // kGrantLease: lease duration; kWatch: maximum wait
  std::vector<Precondition> preconditions;
  std::vector<Mutation> mutations;
};
struct Entry {
  std::string key;
  Record value;
  uint64_t version = 0;
  bool deleted = false;
};
struct StateResponse {
  // kRefused: certainly not carried out; may succeed later. kUnknown: may have been carried out, or
  // may be later. kTooLarge: a transaction that exceeds a limit (of a value's size, of the number
  // of mutations or of the total size) or is malformed. It was certainly not carried out, and would
  // be refused again.
  enum class Outcome {
    kOk,
    kNotFound,
    kConflict,
    kInvalid,
    kTooLarge,
    kCompacted,
    kRefused,
    kUnknown
  };
  Outcome outcome = Outcome::kUnknown;
  std::vector<Entry> entries;
  std::vector<std::string> failed_keys;
  uint64_t revision = 0;
  uint64_t lease = 0;
  bool has_more = false;
  bool rate_limited = false;  // kRefused because the rate limit is reached
  bool ok() const { return outcome == Outcome::kOk; }
};

// ---- Cloud ----
struct CloudRequest {
  enum class Kind { kListMachineTypes, kScaleOut, kScaleIn, kListInstances };
  RequestId id = 0;
  Kind kind = Kind::kListMachineTypes;
  std::string request_name, type, zone, start_after;
  bool spot = false;
  int count = 0;
  std::vector<std::string> machines;
  // After this time the request is not sent and its outcome is kThrottled.
  Micros valid_until = kNever;
};
struct CloudInstance {
  std::string id, endpoint, type, zone;
  bool spot = false;
  enum class Phase { kStarting, kRunning, kFailed } phase = Phase::kStarting;
  Micros age;
};
struct CloudResponse {
  enum class Outcome { kOk, kNoCapacity, kInvalid, kThrottled, kUnknown };
  Outcome outcome = Outcome::kUnknown;
  std::vector<MachineType> types;
  std::vector<std::string> created;
  std::vector<CloudInstance> instances;
  bool has_more = false;
  bool ok() const { return outcome == Outcome::kOk; }
};

// ---- Agents ----
struct TaskRef {
  std::string job;
  int task = 0;
  auto operator<=>(const TaskRef&) const = default;
};
// One attempt at a task.
struct TaskKey {
  TaskRef ref;
  uint64_t attempt = 0;
  auto operator<=>(const TaskKey&) const = default;
};
enum class TaskPhase {
  kStartSent,
  kFetchingImage,
  kWaitingForGang,
  kRunning,
  kCheckpointing,
  kExited
};
enum class ExitReason {
  kNone,
  kDone,
  kStopped,
  kGangMemberLost,
  kGangIncomplete,
  kError,
  kInsufficientResources,
  kDuplicateTask,
  kUnknownTask
};
struct TaskStatus {
  TaskRef ref;
  uint64_t attempt = 0;
  TaskPhase phase = TaskPhase::kRunning;
  ExitReason exit_reason = ExitReason::kNone;
  bool checkpointed = false;
};
struct Heartbeat {
  std::string machine, endpoint, type, zone;
  bool spot = false;
  uint64_t agent_epoch = 0, sequence = 0, fencing_token = 0;
  std::optional<Micros> preemption_notice;
  std::vector<TaskStatus> tasks;
  // Number of the connection on which it arrived, in the order in which this controller accepted
  // them; 0: unknown, or the response to a direct call.
  uint64_t connection = 0;
};
struct Command {
  enum class Verb { kStart, kStop, kForget };
  Verb verb = Verb::kStart;
  TaskRef ref;
  uint64_t attempt = 0;
  Micros grace_period;
};
// Whether one of the commands starts a task.
inline bool HasStarts(const std::vector<Command>& commands) {
  return std::any_of(commands.begin(), commands.end(),
                     [](const Command& command) { return command.verb == Command::Verb::kStart; });
}
// Carries all starts. A response that is late or comes again is harmless: an agent executes only
// the response to the heartbeat that it has in flight, and an agent that has been restarted has
// other heartbeats in flight.
struct HeartbeatResponse {
  RequestId request_id = 0;
  int status = 503;  // 200, 421 or 503
  std::string leader;
  uint64_t fencing_token = 0;
  std::vector<Command> commands;
  // The response may not be sent after this time, because of the start commands in it: the
  // heartbeat is then answered with 503.
  Micros valid_until = kNever;
};
// A direct call: stops, or no commands to raise the fencing token and read the agent's state. It
// may be executed late, or again, also by an agent that has been restarted: a stop names an
// attempt, and nothing else is sent this way. Only a gang's member can be replaced under the
// attempt of a member that was stopped: a late stop may then end the new one, which costs the gang
// its run.
struct CommandRequest {
  RequestId id = 0;
  std::string machine, endpoint;
  uint64_t fencing_token = 0, agent_epoch = 0;
  std::vector<Command> commands;
};
struct CommandResponse {
  int status = 0;  // 0: no response
  std::optional<Heartbeat> heartbeat;
};

// ---- Users ----
enum class JobPhase { kPending, kRunning, kDone, kCancelled };
struct ApiResponse {
  RequestId request_id = 0;
  int status = 503;
  std::string job;
  JobPhase phase = JobPhase::kPending;
  int done = 0, running = 0;
  std::string reason;  // why the request was rejected
  int retry_after_s = 0;
};

// ---- Peers ----
struct JobStatus {
  std::string job;
  int done = 0, running = 0;
};
struct PeerStatus {
  std::string from;
  uint64_t term = 0;
  std::string leader;
  bool state_service_reachable = false;
  std::vector<JobStatus> job_statuses;
  bool receives_heartbeats = false;  // an agent has sent a heartbeat to this peer recently
  // Jobs whose cancellation this peer is recording, so that the leader need not start their tasks.
  // Only a hint: it may be lost, delayed or duplicated without harm.
  std::vector<std::string> cancelling;
  // Jobs whose cancellation is durable. End records never change, so this may arrive late.
  std::vector<std::string> cancelled;
  // Jobs whose cancellation is durable and which the leader is asked to confirm.
  std::vector<std::string> unconfirmed;
};

// From the leader: it has applied the cancellations of these jobs and starts no more tasks of them,
// and its lease was valid after it had learned of them. Stays true, so it may arrive late.
struct CancellationConfirmation {
  std::string from, to;
  std::vector<std::string> jobs;
};

// A message from this cell's leader to another cell's, sent to one address or to all addresses of
// that cell.
struct CellDelivery {
  std::vector<std::string> addresses;
  limits::CellMessage message;
};

struct LogLine {
  enum class Level { kError, kInfo, kDebug } level = Level::kInfo;
  std::string text;
};

struct Effects {
  std::vector<StateRequest> state_requests;
  std::vector<CloudRequest> cloud_requests;
  std::vector<CommandRequest> command_requests;
  std::vector<HeartbeatResponse> heartbeat_responses;
  std::vector<ApiResponse> api_responses;
  std::vector<PeerStatus> peer_statuses;
  std::vector<CellDelivery> cell_deliveries;
  std::vector<membership::Message> membership_messages;
  std::vector<CancellationConfirmation> cancellation_confirmations;
  std::vector<LogLine> log;
};

}  // namespace badgershore
