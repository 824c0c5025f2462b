#include "wire/messages.h"

#include <algorithm>
#include <cctype>

#include "wire/json.h"
#include "wire/records.h"

namespace badgershore::wire {
namespace {

constexpr size_t kNameLimit = 200;
constexpr double kSpanLimit = 1e9;

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
class Checker {
 public:
  explicit Checker(const Value& object) : object_(object) {}
  const std::string& problem() const { return problem_; }

  std::string Name(const char* field) {
    const Value* v = Find(object_, field);
    if (!v || !v->IsString() || v->GetStringLength() == 0 || v->GetStringLength() > kNameLimit) {
      return Fail(field, "a string of 1 to 200 bytes"), std::string();
    }
    return {v->GetString(), v->GetStringLength()};
  }
  double Amount(const char* field, double least, double most) {
    const Value* v = Find(object_, field);
    if (!v || !v->IsNumber() || !(v->GetDouble() >= least) || !(v->GetDouble() <= most)) {
      return Fail(field, "a number in its range"), 0;
    }
    return v->GetDouble();
  }
  int Whole(const char* field, int least, int most) {
    const Value* v = Find(object_, field);
    const double d = v && v->IsNumber() ? v->GetDouble() : least - 1.0;
    if (d != std::floor(d) || d < least || d > most) {
      return Fail(field, "a whole number in its range"), least;
    }
    return static_cast<int>(d);
  }
  bool Truth(const char* field) {
    const Value* v = Find(object_, field);
    if (!v || !v->IsBool()) return Fail(field, "true or false"), false;
    return v->GetBool();
  }
  template <typename E>
  E OneOf(const char* field, std::initializer_list<std::pair<const char*, E>> choices) {
    const std::string s = Text(object_, field);
    for (const auto& [name, value] : choices) {
      if (s == name) return value;
    }
    Fail(field, "one of its values");
    return choices.begin()->second;
  }
  void Fail(const char* field, const char* expected) {
    if (problem_.empty()) problem_ = std::string(field) + ": expected " + expected;
  }

 private:
  const Value& object_;
  std::string problem_;
};

// Only fields that may be null (builds, yard, dueS) may be absent. Jobs that are already stored are
// read by records.cpp, which accepts missing fields.
JobSpec ReadJob(const Value& v, Checker* c) {
  JobSpec s;
  s.job_class = c->Name("lane");
  s.team = c->Name("owner");
  s.kind = c->OneOf<JobKind>(
      "shape",
      {{"array", JobKind::kArray}, {"gang", JobKind::kGang}, {"daemon", JobKind::kService}});
  s.priority = c->OneOf<Priority>("rank", {{"production", Priority::kProduction},
                                           {"high", Priority::kHigh},
                                           {"normal", Priority::kNormal},
                                           {"idle", Priority::kIdle}});
  s.tasks = c->Whole("legs", 1, 100000);
  // Rounded up, so that a task is never counted with less than it requests.
  s.need.cpu = static_cast<int64_t>(std::ceil(c->Amount("cpus", 0, 1e6) * 1000 - 1e-6));
  s.need.gpu = static_cast<int64_t>(std::ceil(c->Amount("accelerators", 0, 1e6) * 1000 - 1e-6));
  s.need.mem = static_cast<int64_t>(std::ceil(c->Amount("memGb", 0, 1e7) * 1000 - 1e-6));
  s.image = c->Name("kit");
  s.image_gb = c->Amount("imageGb", 0, 1e6);
  if (const Value* builds = Find(v, "builds")) {
    s.machine_types.emplace();
    if (!builds->IsArray()) {
      c->Fail("builds", "a list of names, or null");
    } else {
      for (const Value& b : builds->GetArray()) {
        if (!b.IsString() || b.GetStringLength() > kNameLimit) {
          c->Fail("builds", "a list of names, or null");
          break;
        }
        s.machine_types->emplace_back(b.GetString(), b.GetStringLength());
      }
    }
  }
  if (Find(v, "yard")) s.zone = c->Name("yard");
  s.same_zone = c->Truth("samePlace");
  s.spread = c->Truth("spread");
  s.allow_spot = c->Truth("loaners");
  s.estimated_runtime = Seconds(c->Amount("expectS", 0, kSpanLimit));
  s.checkpoint_interval = Seconds(c->Amount("stashEveryS", 0, kSpanLimit));
  s.checkpoint_duration = Seconds(c->Amount("stashS", 0, kSpanLimit));
  if (Find(v, "dueS")) s.deadline = Seconds(c->Amount("dueS", 0, kSpanLimit));
  return s;
}

bool ParseTask(const std::string& name, TaskRef* out) {
  const size_t slash = name.rfind('/');
  if (slash == std::string::npos || slash + 1 >= name.size() || name.size() - slash > 8) {
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

TaskPhase ParseRunState(const std::string& s) {
  if (s == "fetching") return TaskPhase::kFetchingImage;
  if (s == "gathering") return TaskPhase::kWaitingForGang;
  if (s == "flushing") return TaskPhase::kCheckpointing;
  if (s == "exited") return TaskPhase::kExited;
  return TaskPhase::kRunning;
}

ExitReason ParseCause(const std::string& s) {
  if (s == "done") return ExitReason::kDone;
  if (s == "halted") return ExitReason::kStopped;
  if (s == "peers") return ExitReason::kGangMemberLost;
  if (s == "alone") return ExitReason::kGangIncomplete;
  if (s == "full") return ExitReason::kInsufficientResources;
  if (s == "busy") return ExitReason::kDuplicateTask;
  if (s == "unknown") return ExitReason::kUnknownTask;
  return ExitReason::kError;
}

void PutOrders(Writer* w, const std::vector<Command>& orders) {
  w->Key("orders").BeginList();
  for (const Command& o : orders) {
    w->Begin();
    w->Put("verb", o.verb == Command::Verb::kStart  ? "start"
                   : o.verb == Command::Verb::kStop ? "halt"
                                                    : "clear");
    w->Put("leg", o.ref.job + "/" + std::to_string(o.ref.task)).Put("try", o.attempt);
    if (o.verb == Command::Verb::kStop) w->Put("windDownS", o.grace_period.ToSeconds());
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
  Checker checker(doc);
  JobSpec spec = ReadJob(doc, &checker);
  spec.id = id;
  spec.submitted_ms = time_of_day_ms;
  out.reason = checker.problem();
  if (out.reason.empty()) out.spec = std::move(spec);
  return out;
}

std::string FormatAnswer(const ApiResponse& a) {
  Writer w;
  w.Begin();
  if (a.status == 200 || a.status == 201) {
    w.Put("nameId", a.job).Put("phase", PhaseName(a.phase));
    w.Put("done", a.done).Put("running", a.running);
  } else {
    w.Put("error", a.reason);
  }
  return w.End().Done();
}

std::optional<Heartbeat> ParseReport(std::string_view body) {
  rapidjson::Document doc;
  if (!ParseObject(body, &doc)) return std::nullopt;
  Heartbeat r;
  r.machine = Text(doc, "sett");
  r.endpoint = Text(doc, "endpoint");
  r.type = Text(doc, "build");
  r.zone = Text(doc, "yard");
  r.spot = Flag(doc, "loaners");
  r.agent_epoch = Count(doc, "tenure");
  r.sequence = Count(doc, "tally");
  r.fencing_token = Count(doc, "baton");
  if (const Value* n = Find(doc, "recallS"); n && n->IsNumber())
    r.preemption_notice = Seconds(n->GetDouble());
  if (r.machine.empty() || r.machine.size() > kNameLimit || r.agent_epoch == 0) return std::nullopt;
  if (const Value* legs = List(doc, "legs")) {
    r.tasks.reserve(legs->Size());
    for (const Value& leg : legs->GetArray()) {
      TaskStatus t;
      if (!ParseTask(Text(leg, "leg"), &t.ref)) continue;
      t.attempt = Count(leg, "try");
      t.phase = ParseRunState(Text(leg, "phase"));
      if (t.phase == TaskPhase::kExited) t.exit_reason = ParseCause(Text(leg, "cause"));
      t.checkpointed = Flag(leg, "stored");
      r.tasks.push_back(std::move(t));
    }
  }
  return r;
}

std::string FormatCheckinAnswer(const HeartbeatResponse& a) {
  Writer w;
  w.Begin();
  if (a.status == 200) {
    w.Put("baton", a.fencing_token);
    PutOrders(&w, a.commands);
  } else if (a.status == 421 && !a.leader.empty()) {
    w.Put("overseer", a.leader);
  }
  return w.End().Done();
}

std::string FormatDirect(const CommandRequest& op) {
  Writer w;
  w.Begin().Put("baton", op.fencing_token).Put("tenure", op.agent_epoch);
  PutOrders(&w, op.commands);
  return w.End().Done();
}

std::string FormatReport(const Heartbeat& r) {
  static const char* const kStates[] = {"fetching", "fetching", "gathering",
                                        "running",  "flushing", "exited"};
  static const char* const kCauses[] = {"",      "done", "halted", "peers",  "alone",
                                        "error", "full", "busy",   "unknown"};
  Writer w;
  w.Begin().Put("sett", r.machine).Put("endpoint", r.endpoint).Put("build", r.type);
  w.Put("yard", r.zone)
      .Put("loaners", r.spot)
      .Put("tenure", r.agent_epoch)
      .Put("tally", r.sequence);
  w.Put("baton", r.fencing_token);
  if (r.preemption_notice) w.Put("recallS", r.preemption_notice->ToSeconds());
  w.Key("legs").BeginList();
  for (const TaskStatus& t : r.tasks) {
    w.Begin().Put("leg", t.ref.job + "/" + std::to_string(t.ref.task)).Put("try", t.attempt);
    w.Put("phase", kStates[static_cast<size_t>(t.phase)]);
    if (t.phase == TaskPhase::kExited) w.Put("cause", kCauses[static_cast<size_t>(t.exit_reason)]);
    if (t.checkpointed) w.Put("stored", true);
    w.End();
  }
  return w.EndList().End().Done();
}

namespace {

std::vector<Command> ParseOrders(const Value& doc) {
  std::vector<Command> out;
  const Value* list = List(doc, "orders");
  if (!list) return out;
  for (const Value& v : list->GetArray()) {
    Command o;
    const std::string verb = Text(v, "verb");
    if (!ParseTask(Text(v, "leg"), &o.ref)) continue;
    o.attempt = Count(v, "try");
    o.grace_period = Seconds(Number(v, "windDownS"));
    if (verb == "start") {
      o.verb = Command::Verb::kStart;
    } else if (verb == "halt") {
      o.verb = Command::Verb::kStop;
    } else if (verb == "clear") {
      o.verb = Command::Verb::kForget;
    } else {
      continue;
    }
    out.push_back(std::move(o));
  }
  return out;
}

}  // namespace

HeartbeatResponse ParseCheckinAnswer(int status, std::string_view body) {
  HeartbeatResponse a;
  a.status = status;
  rapidjson::Document doc;
  if (!ParseObject(body, &doc)) {
    if (status == 200) a.status = 0;
    return a;
  }
  a.fencing_token = Count(doc, "baton");
  a.leader = Text(doc, "overseer");
  a.commands = ParseOrders(doc);
  return a;
}

std::optional<CommandRequest> ParseDirect(std::string_view body) {
  rapidjson::Document doc;
  if (!ParseObject(body, &doc) || !Find(doc, "baton") || !Find(doc, "tenure")) return std::nullopt;
  CommandRequest op;
  op.fencing_token = Count(doc, "baton");
  op.agent_epoch = Count(doc, "tenure");
  op.commands = ParseOrders(doc);
  return op;
}

}  // namespace badgershore::wire
