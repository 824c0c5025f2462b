#include "wire/messages.h"

#include <algorithm>
#include <cctype>

#include "wire/json.h"
#include "wire/records.h"

namespace badgershore::wire {
namespace {

constexpr size_t kMaxNameBytes = 200;
constexpr double kMaxSeconds = 1e9;

const char* PhaseName(JobPhase p) {
  switch (p) {
    case JobPhase::kPending:
      return "pending";
    case JobPhase::kRunning:
      return "running";
    case JobPhase::kDone:
      return "done";
    case JobPhase::kCancelled:
      return "withdrawn";
  }
  return "pending";
}

// Reads fields of an object and keeps the first error.
class FieldReader {
 public:
  explicit FieldReader(const Value& object) : object_(object) {}
  const std::string& error() const { return error_; }

  std::string RequiredString(const char* field) {
    const Value* v = Find(object_, field);
    if (!v || !v->IsString() || v->GetStringLength() == 0 || v->GetStringLength() > kMaxNameBytes) {
      return Fail(field, "a string of 1 to 200 bytes"), std::string();
    }
    return {v->GetString(), v->GetStringLength()};
  }
  double RequiredNumber(const char* field, double min, double max) {
    const Value* v = Find(object_, field);
    if (!v || !v->IsNumber() || !(v->GetDouble() >= min) || !(v->GetDouble() <= max)) {
      return Fail(field, "a number in its range"), 0;
    }
    return v->GetDouble();
  }
  int RequiredInteger(const char* field, int min, int max) {
    const Value* v = Find(object_, field);
    const double d = v && v->IsNumber() ? v->GetDouble() : min - 1.0;
    if (d != std::floor(d) || d < min || d > max) {
      return Fail(field, "a whole number in its range"), min;
    }
    return static_cast<int>(d);
  }
  bool RequiredBool(const char* field) {
    const Value* v = Find(object_, field);
    if (!v || !v->IsBool()) return Fail(field, "true or false"), false;
    return v->GetBool();
  }
  template <typename E>
  E RequiredEnum(const char* field, std::initializer_list<std::pair<const char*, E>> choices) {
    const std::string s = Text(object_, field);
    for (const auto& [name, value] : choices) {
      if (s == name) return value;
    }
    Fail(field, "one of its values");
    return choices.begin()->second;
  }
  void Fail(const char* field, const char* expected) {
    if (error_.empty()) error_ = std::string(field) + ": expected " + expected;
  }

 private:
  const Value& object_;
  std::string error_;
};

// Only fields that may be null (builds, yard, dueS) may be absent. Jobs that are already stored are
// read by records.cpp, which accepts missing fields.
JobSpec ReadJobSpec(const Value& v, FieldReader* reader) {
  JobSpec s;
  s.job_class = reader->RequiredString("lane");
  s.team = reader->RequiredString("owner");
  s.kind = reader->RequiredEnum<JobKind>(
      "shape",
      {{"array", JobKind::kArray}, {"gang", JobKind::kGang}, {"daemon", JobKind::kService}});
  s.priority = reader->RequiredEnum<Priority>("rank", {{"production", Priority::kProduction},
                                                       {"high", Priority::kHigh},
                                                       {"normal", Priority::kNormal},
                                                       {"idle", Priority::kIdle}});
  s.tasks = reader->RequiredInteger("legs", 1, 100000);
  // Rounded up, so that a task is never counted with less than it requests.
  s.need.cpu =
      static_cast<int64_t>(std::ceil(reader->RequiredNumber("cpus", 0, 1e6) * 1000 - 1e-6));
  s.need.gpu =
      static_cast<int64_t>(std::ceil(reader->RequiredNumber("accelerators", 0, 1e6) * 1000 - 1e-6));
  s.need.mem =
      static_cast<int64_t>(std::ceil(reader->RequiredNumber("memGb", 0, 1e7) * 1000 - 1e-6));
  s.image = reader->RequiredString("kit");
  s.image_gb = reader->RequiredNumber("imageGb", 0, 1e6);
  if (const Value* builds = Find(v, "builds")) {
    s.machine_types.emplace();
    if (!builds->IsArray()) {
      reader->Fail("builds", "a list of names, or null");
    } else {
      for (const Value& b : builds->GetArray()) {
        if (!b.IsString() || b.GetStringLength() > kMaxNameBytes) {
          reader->Fail("builds", "a list of names, or null");
          break;
        }
        s.machine_types->emplace_back(b.GetString(), b.GetStringLength());
      }
    }
  }
  if (Find(v, "yard")) s.zone = reader->RequiredString("yard");
  s.same_zone = reader->RequiredBool("samePlace");
  s.spread = reader->RequiredBool("spread");
  s.allow_spot = reader->RequiredBool("loaners");
  s.estimated_runtime = Seconds(reader->RequiredNumber("expectS", 0, kMaxSeconds));
  s.checkpoint_interval = Seconds(reader->RequiredNumber("stashEveryS", 0, kMaxSeconds));
  s.checkpoint_duration = Seconds(reader->RequiredNumber("stashS", 0, kMaxSeconds));
  if (Find(v, "dueS")) s.deadline = Seconds(reader->RequiredNumber("dueS", 0, kMaxSeconds));
  return s;
}

bool ParseTaskRef(const std::string& name, TaskRef* out) {
  const size_t slash = name.rfind('/');
  if (slash == std::string::npos || slash + 1 >= name.size() || name.size() - slash > 8 ||
      slash > kMaxNameBytes) {
    return false;
  }
  out->job = name.substr(0, slash);
  out->task = 0;
  for (size_t i = slash + 1; i < name.size(); ++i) {
    if (!std::isdigit(static_cast<unsigned char>(name[i]))) return false;
    out->task = out->task * 10 + (name[i] - '0');
  }
  return true;
}

TaskPhase ParseTaskPhase(const std::string& s) {
  if (s == "fetching") return TaskPhase::kFetchingImage;
  if (s == "gathering") return TaskPhase::kWaitingForGang;
  if (s == "flushing") return TaskPhase::kCheckpointing;
  if (s == "exited") return TaskPhase::kExited;
  return TaskPhase::kRunning;
}

ExitReason ParseExitReason(const std::string& s) {
  if (s == "done") return ExitReason::kDone;
  if (s == "halted") return ExitReason::kStopped;
  if (s == "peers") return ExitReason::kGangMemberLost;
  if (s == "alone") return ExitReason::kGangIncomplete;
  if (s == "full") return ExitReason::kInsufficientResources;
  if (s == "busy") return ExitReason::kDuplicateTask;
  if (s == "unknown") return ExitReason::kUnknownTask;
  return ExitReason::kError;
}

void WriteCommands(Writer* w, const std::vector<Command>& commands) {
  w->Key("orders").BeginList();
  for (const Command& command : commands) {
    w->Begin();
    w->Put("verb", command.verb == Command::Verb::kStart  ? "start"
                   : command.verb == Command::Verb::kStop ? "halt"
                                                          : "clear");
    w->Put("leg", command.ref.job + "/" + std::to_string(command.ref.task))
        .Put("try", command.attempt);
    if (command.verb == Command::Verb::kStop) w->Put("windDownS", command.grace_period.ToSeconds());
    w->End();
  }
  w->EndList();
}

}  // namespace

bool ValidJobId(std::string_view id) {
  return id.size() > 4 && id.size() <= 100 && id.substr(0, 4) == "job-" &&
         std::all_of(id.begin() + 4, id.end(),
                     [](char c) { return std::isdigit(static_cast<unsigned char>(c)); });
}

Submission ParseSubmission(std::string_view body, int64_t time_of_day_ms) {
  Submission out;
  rapidjson::Document doc;
  if (!ParseObject(body, &doc)) {
    out.reason = "expected a JSON object";
    return out;
  }
  const std::string id = Text(doc, "nameId");
  if (!ValidJobId(id)) {
    out.reason = "nameId: expected job- and a number";
    return out;
  }
  out.id = id;
  FieldReader reader(doc);
  JobSpec spec = ReadJobSpec(doc, &reader);
  spec.id = id;
  spec.submitted_ms = time_of_day_ms;
  out.reason = reader.error();
  if (out.reason.empty()) out.spec = std::move(spec);
  return out;
}

std::string FormatApiResponse(const ApiResponse& response) {
  Writer w;
  w.Begin();
  if (response.status == 200 || response.status == 201) {
    w.Put("nameId", response.job).Put("phase", PhaseName(response.phase));
    w.Put("done", response.done).Put("running", response.running);
  } else {
    w.Put("error", response.reason);
  }
  return w.End().Done();
}

std::optional<Heartbeat> ParseHeartbeat(std::string_view body) {
  rapidjson::Document doc;
  if (!ParseObject(body, &doc)) return std::nullopt;
  Heartbeat heartbeat;
  heartbeat.machine = Text(doc, "sett");
  heartbeat.endpoint = Text(doc, "endpoint");
  heartbeat.type = Text(doc, "build");
  heartbeat.zone = Text(doc, "yard");
  heartbeat.spot = Flag(doc, "loaners");
  heartbeat.agent_epoch = Count(doc, "tenure");
  heartbeat.sequence = Count(doc, "tally");
  heartbeat.fencing_token = Count(doc, "baton");
  if (const Value* n = Find(doc, "recallS"); n && n->IsNumber())
    heartbeat.preemption_notice = Seconds(n->GetDouble());
  if (heartbeat.machine.empty() || heartbeat.machine.size() > kMaxNameBytes ||
      heartbeat.agent_epoch == 0)
    return std::nullopt;
  if (const Value* legs = List(doc, "legs")) {
    heartbeat.tasks.reserve(legs->Size());
    for (const Value& leg : legs->GetArray()) {
      TaskStatus t;
      if (!ParseTaskRef(Text(leg, "leg"), &t.ref)) continue;
      t.attempt = Count(leg, "try");
      t.phase = ParseTaskPhase(Text(leg, "phase"));
      if (t.phase == TaskPhase::kExited) t.exit_reason = ParseExitReason(Text(leg, "cause"));
      t.checkpointed = Flag(leg, "stored");
      heartbeat.tasks.push_back(std::move(t));
    }
  }
  return heartbeat;
}

std::string FormatHeartbeatResponse(const HeartbeatResponse& response) {
  Writer w;
  w.Begin();
  if (response.status == 200) {
    w.Put("baton", response.fencing_token);
    WriteCommands(&w, response.commands);
  } else if (response.status == 421 && !response.leader.empty()) {
    w.Put("overseer", response.leader);
  }
  return w.End().Done();
}

std::string FormatCommandRequest(const CommandRequest& request) {
  Writer w;
  w.Begin().Put("baton", request.fencing_token).Put("tenure", request.agent_epoch);
  WriteCommands(&w, request.commands);
  return w.End().Done();
}

std::string FormatHeartbeat(const Heartbeat& heartbeat) {
  static const char* const kPhaseNames[] = {"fetching", "fetching", "gathering",
                                            "running",  "flushing", "exited"};
  static const char* const kExitReasonNames[] = {"",      "done", "halted", "peers",  "alone",
                                                 "error", "full", "busy",   "unknown"};
  Writer w;
  w.Begin()
      .Put("sett", heartbeat.machine)
      .Put("endpoint", heartbeat.endpoint)
      .Put("build", heartbeat.type);
  w.Put("yard", heartbeat.zone)
      .Put("loaners", heartbeat.spot)
      .Put("tenure", heartbeat.agent_epoch)
      .Put("tally", heartbeat.sequence);
  w.Put("baton", heartbeat.fencing_token);
  if (heartbeat.preemption_notice) w.Put("recallS", heartbeat.preemption_notice->ToSeconds());
  w.Key("legs").BeginList();
  for (const TaskStatus& t : heartbeat.tasks) {
    w.Begin().Put("leg", t.ref.job + "/" + std::to_string(t.ref.task)).Put("try", t.attempt);
    w.Put("phase", kPhaseNames[static_cast<size_t>(t.phase)]);
    if (t.phase == TaskPhase::kExited)
      w.Put("cause", kExitReasonNames[static_cast<size_t>(t.exit_reason)]);
    if (t.checkpointed) w.Put("stored", true);
    w.End();
  }
  return w.EndList().End().Done();
}

namespace {

std::vector<Command> ParseCommands(const Value& doc) {
  std::vector<Command> out;
  const Value* list = List(doc, "orders");
  if (!list) return out;
  for (const Value& v : list->GetArray()) {
    Command command;
    const std::string verb = Text(v, "verb");
    if (!ParseTaskRef(Text(v, "leg"), &command.ref)) continue;
    command.attempt = Count(v, "try");
    command.grace_period = Seconds(Number(v, "windDownS"));
    if (verb == "start") {
      command.verb = Command::Verb::kStart;
    } else if (verb == "halt") {
      command.verb = Command::Verb::kStop;
    } else if (verb == "clear") {
      command.verb = Command::Verb::kForget;
    } else {
      continue;
    }
    out.push_back(std::move(command));
  }
  return out;
}

}  // namespace

HeartbeatResponse ParseHeartbeatResponse(int status, std::string_view body) {
  HeartbeatResponse response;
  response.status = status;
  rapidjson::Document doc;
  if (!ParseObject(body, &doc)) {
    if (status == 200) response.status = 0;
    return response;
  }
  response.fencing_token = Count(doc, "baton");
  response.leader = Text(doc, "overseer");
  response.commands = ParseCommands(doc);
  return response;
}

std::optional<CommandRequest> ParseCommandRequest(std::string_view body) {
  rapidjson::Document doc;
  if (!ParseObject(body, &doc) || !Find(doc, "baton") || !Find(doc, "tenure")) return std::nullopt;
  CommandRequest request;
  request.fencing_token = Count(doc, "baton");
  request.agent_epoch = Count(doc, "tenure");
  request.commands = ParseCommands(doc);
  return request;
}

}  // namespace badgershore::wire
