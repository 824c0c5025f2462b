// Requests of controllers to the cloud and to the state service, and the responses to them.
#include <algorithm>

#include "wire/json.h"
#include "wire/messages.h"
#include "wire/records.h"

namespace badgershore::wire {
namespace {

Entry ReadEntry(const Value& v) {
  Entry e;
  e.key = Text(v, "path");
  e.version = Count(v, "stamp");
  if (const Value* value = Find(v, "value")) e.value = ReadRecord(e.key, *value);
  return e;
}

std::string FormatRent(const CloudRequest& op) {
  Writer w;
  w.Begin().Put("hire", op.request_name).Put("build", op.type).Put("yard", op.zone);
  return w.Put("loaners", op.spot).Put("number", op.count).End().Done();
}

std::string FormatReturn(const CloudRequest& op) {
  Writer w;
  w.Begin().Key("setts").BeginList();
  for (const std::string& m : op.machines) w.Str(m);
  return w.EndList().End().Done();
}

bool ParseTypes(std::string_view body, CloudResponse* reply) {
  rapidjson::Document doc;
  if (!ParseObject(body, &doc)) return false;
  const Value* builds = List(doc, "builds");
  if (!builds) return false;
  for (const Value& b : builds->GetArray()) {
    MachineType t;
    t.name = Text(b, "sku");
    if (t.name.empty()) return false;
    t.size = {Thousandths(Number(b, "cpus")), Thousandths(Number(b, "accelerators")),
              Thousandths(Number(b, "memGb"))};
    t.image_cache_gb = Number(b, "localGb");
    t.fetch_gb_per_s = Number(b, "fetchGbPerS");
    t.price = Number(b, "rate");
    t.spot_price = Number(b, "spotPrice");
    t.boot = Seconds(Number(b, "bootS"));
    if (const Value* yards = List(b, "yards")) {
      for (const Value& y : yards->GetArray()) {
        if (y.IsString()) t.zones.emplace_back(y.GetString(), y.GetStringLength());
      }
    }
    reply->types.push_back(std::move(t));
  }
  return !reply->types.empty();
}

bool ParseRented(std::string_view body, CloudResponse* reply) {
  rapidjson::Document doc;
  if (!ParseObject(body, &doc)) return false;
  const Value* names = List(doc, "setts");
  if (!names) return false;
  for (const Value& n : names->GetArray()) {
    if (n.IsString()) reply->created.emplace_back(n.GetString(), n.GetStringLength());
  }
  return true;
}

bool ParseListed(std::string_view body, CloudResponse* reply) {
  rapidjson::Document doc;
  if (!ParseObject(body, &doc)) return false;
  const Value* list = List(doc, "setts");
  if (!list) return false;
  for (const Value& v : list->GetArray()) {
    CloudInstance m;
    m.id = Text(v, "nameId");
    m.endpoint = Text(v, "endpoint");
    m.type = Text(v, "build");
    m.zone = Text(v, "yard");
    m.spot = Flag(v, "loaners");
    const std::string phase = Text(v, "phase");
    m.phase = phase == "running"  ? CloudInstance::Phase::kRunning
              : phase == "failed" ? CloudInstance::Phase::kFailed
                                  : CloudInstance::Phase::kStarting;
    m.age = Seconds(Number(v, "heldS"));
    if (!m.id.empty()) reply->instances.push_back(std::move(m));
  }
  reply->has_more = Flag(doc, "truncated");
  return true;
}

std::string FormatCommit(const StateRequest& op) {
  Writer w;
  w.Begin().Key("guards").BeginList();
  for (const Precondition& g : op.preconditions)
    w.Begin().Put("path", g.key).Put("stamp", g.version).End();
  w.EndList().Key("then").BeginList();
  for (const Mutation& c : op.mutations) {
    w.Begin();
    if (c.is_delete) {
      w.Put("delete", c.key);
    } else {
      w.Put("put", c.key).Key("value");
      PutRecord(&w, c.value);
      if (c.lease != 0) w.Put("tenancy", c.lease);
    }
    w.End();
  }
  return w.EndList().End().Done();
}

std::string FormatGrant(const StateRequest& op) {
  Writer w;
  return w.Begin().Put("lifeMs", op.duration.ToMillis()).End().Done();
}

bool ParseEntry(std::string_view body, StateResponse* reply) {
  rapidjson::Document doc;
  if (!ParseObject(body, &doc)) return false;
  reply->entries.push_back(ReadEntry(doc));
  return reply->entries.back().version != 0;
}

bool ParseEntries(std::string_view body, StateResponse* reply) {
  rapidjson::Document doc;
  if (!ParseObject(body, &doc)) return false;
  const Value* list = List(doc, "entries");
  if (!list) return false;
  for (const Value& v : list->GetArray()) reply->entries.push_back(ReadEntry(v));
  reply->has_more = Flag(doc, "truncated");
  reply->revision = Count(doc, "epoch");
  return true;
}

bool ParseChanges(std::string_view body, StateResponse* reply) {
  rapidjson::Document doc;
  if (!ParseObject(body, &doc)) return false;
  reply->revision = Count(doc, "epoch");
  const Value* list = List(doc, "log");
  if (!list) return true;
  for (const Value& v : list->GetArray()) {
    Entry e;
    e.deleted = Find(v, "delete") != nullptr;
    e.key = Text(v, e.deleted ? "delete" : "put");
    e.version = Count(v, "stamp");
    if (const Value* value = Find(v, "value"); value && !e.deleted) {
      e.value = ReadRecord(e.key, *value);
    }
    reply->entries.push_back(std::move(e));
  }
  return true;
}

bool ParseCommit(std::string_view body, StateResponse* reply) {
  rapidjson::Document doc;
  if (!ParseObject(body, &doc)) return false;
  reply->revision = Count(doc, "epoch");
  if (const Value* failed = List(doc, "failed")) {
    for (const Value& f : failed->GetArray()) {
      if (f.IsString()) reply->failed_keys.emplace_back(f.GetString(), f.GetStringLength());
    }
  }
  return true;
}

bool ParseGrant(std::string_view body, StateResponse* reply) {
  rapidjson::Document doc;
  if (!ParseObject(body, &doc)) return false;
  reply->lease = Count(doc, "tenancy");
  return reply->lease != 0;
}

}  // namespace

Call FormatCloudCall(const CloudRequest& op) {
  Call c;
  c.timeout = Seconds(4);
  switch (op.kind) {
    case CloudRequest::Kind::kListMachineTypes:
      c.target = "/flavors";
      break;
    case CloudRequest::Kind::kListInstances:
      c.target = "/rentals?limit=500";
      if (!op.start_after.empty()) c.target += "&since=" + op.start_after;
      break;
    case CloudRequest::Kind::kScaleOut:
      c.method = "POST";
      c.target = "/rentals";
      c.body = FormatRent(op);
      break;
    case CloudRequest::Kind::kScaleIn:
      c.method = "POST";
      c.target = "/rentals/return";
      c.body = FormatReturn(op);
      break;
  }
  return c;
}

CloudResponse ParseCloudAnswer(const CloudRequest& op, int status, std::string_view body) {
  using Outcome = CloudResponse::Outcome;
  CloudResponse reply;
  if (status == 200) {
    bool good = true;
    if (op.kind == CloudRequest::Kind::kListMachineTypes) good = ParseTypes(body, &reply);
    if (op.kind == CloudRequest::Kind::kListInstances) good = ParseListed(body, &reply);
    if (op.kind == CloudRequest::Kind::kScaleOut) good = ParseRented(body, &reply);
    reply.outcome = good ? Outcome::kOk : Outcome::kUnknown;
  } else if (status == 503 && body.find("no capacity") != std::string_view::npos) {
    reply.outcome = Outcome::kNoCapacity;
  } else if (status == 400) {
    reply.outcome = Outcome::kInvalid;
  } else {
    reply.outcome = Outcome::kThrottled;
  }
  return reply;
}

Call FormatStateCall(const StateRequest& op) {
  using Kind = StateRequest::Kind;
  Call c;
  c.timeout = Millis(1500);
  switch (op.kind) {
    case Kind::kGet:
      c.target = "/store/" + op.key;
      break;
    case Kind::kList:
      c.target = "/store?starts=" + op.key + "&limit=500";
      if (!op.start_after.empty()) c.target += "&since=" + op.start_after;
      c.timeout = Seconds(4);
      break;
    case Kind::kCompareAndSwap:
      c.method = "POST";
      c.target = "/commit";
      c.body = FormatCommit(op);
      break;
    case Kind::kGrantLease:
      c.method = "POST";
      c.target = "/grants";
      c.body = FormatGrant(op);
      c.timeout = Millis(1000);
      break;
    case Kind::kRenewLease:
      c.method = "POST";
      c.target = "/grants/" + std::to_string(op.lease) + "/touch";
      c.body = "{}";
      c.timeout = Millis(1000);
      break;
    case Kind::kRevokeLease:
      c.method = "DELETE";
      c.target = "/grants/" + std::to_string(op.lease);
      c.timeout = Millis(1000);
      break;
    case Kind::kWatch:
      c.target = "/changes?starts=" + op.key + "&since=" + std::to_string(op.revision) +
                 "&waitMs=" + std::to_string(op.duration.ToMillis());
      // A short watch is repeated soon, so it gets a shorter timeout.
      c.timeout = op.duration + (op.duration < Seconds(2) ? Seconds(1) : Seconds(3));
      break;
  }
  return c;
}

StateResponse ParseStateAnswer(const StateRequest& op, int status, std::string_view body) {
  using Kind = StateRequest::Kind;
  using Outcome = StateResponse::Outcome;
  StateResponse reply;
  bool good = true;
  switch (status) {
    case 200:
      reply.outcome = Outcome::kOk;
      if (op.kind == Kind::kGet) good = ParseEntry(body, &reply);
      if (op.kind == Kind::kList) good = ParseEntries(body, &reply);
      if (op.kind == Kind::kCompareAndSwap) good = ParseCommit(body, &reply);
      if (op.kind == Kind::kGrantLease) good = ParseGrant(body, &reply);
      if (op.kind == Kind::kWatch) good = ParseChanges(body, &reply);
      if (!good) reply.outcome = Outcome::kUnknown;
      break;
    case 404:
      reply.outcome = Outcome::kNotFound;
      break;
    case 409:
      reply.outcome = Outcome::kConflict;
      ParseCommit(body, &reply);
      break;
    case 410:
      reply.outcome = Outcome::kCompacted;
      break;
    case 429:
    case 503:
      reply.outcome = Outcome::kRefused;
      reply.rate_limited = status == 429;
      break;
    default:
      reply.outcome = status >= 200 && status < 300 ? Outcome::kOk : Outcome::kInvalid;
  }
  return reply;
}

}  // namespace badgershore::wire
