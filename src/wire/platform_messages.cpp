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

std::string FormatScaleOut(const CloudRequest& request) {
  Writer w;
  w.Begin().Put("hire", request.request_name).Put("build", request.type).Put("yard", request.zone);
  return w.Put("loaners", request.spot).Put("number", request.count).End().Done();
}

std::string FormatScaleIn(const CloudRequest& request) {
  Writer w;
  w.Begin().Key("setts").BeginList();
  for (const std::string& m : request.machines) w.Str(m);
  return w.EndList().End().Done();
}

bool ParseMachineTypes(std::string_view body, CloudResponse* response) {
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
    response->types.push_back(std::move(t));
  }
  return !response->types.empty();
}

bool ParseCreatedInstances(std::string_view body, CloudResponse* response) {
  rapidjson::Document doc;
  if (!ParseObject(body, &doc)) return false;
  const Value* names = List(doc, "setts");
  if (!names) return false;
  for (const Value& n : names->GetArray()) {
    if (n.IsString()) response->created.emplace_back(n.GetString(), n.GetStringLength());
  }
  return true;
}

bool ParseInstances(std::string_view body, CloudResponse* response) {
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
    if (!m.id.empty()) response->instances.push_back(std::move(m));
  }
  response->has_more = Flag(doc, "truncated");
  return true;
}

std::string FormatCompareAndSwap(const StateRequest& request) {
  Writer w;
  w.Begin().Key("guards").BeginList();
  for (const Precondition& precondition : request.preconditions)
    w.Begin().Put("path", precondition.key).Put("stamp", precondition.version).End();
  w.EndList().Key("then").BeginList();
  for (const Mutation& mutation : request.mutations) {
    w.Begin();
    if (mutation.is_delete) {
      w.Put("delete", mutation.key);
    } else {
      w.Put("put", mutation.key).Key("value");
      PutRecord(&w, mutation.value);
      if (mutation.lease != 0) w.Put("tenancy", mutation.lease);
    }
    w.End();
  }
  return w.EndList().End().Done();
}

std::string FormatGrantLease(const StateRequest& request) {
  Writer w;
  return w.Begin().Put("lifeMs", request.duration.ToMillis()).End().Done();
}

bool ParseEntry(std::string_view body, StateResponse* response) {
  rapidjson::Document doc;
  if (!ParseObject(body, &doc)) return false;
  response->entries.push_back(ReadEntry(doc));
  return response->entries.back().version != 0;
}

bool ParseEntries(std::string_view body, StateResponse* response) {
  rapidjson::Document doc;
  if (!ParseObject(body, &doc)) return false;
  const Value* list = List(doc, "entries");
  if (!list) return false;
  for (const Value& v : list->GetArray()) response->entries.push_back(ReadEntry(v));
  response->has_more = Flag(doc, "truncated");
  response->revision = Count(doc, "epoch");
  return true;
}

bool ParseChanges(std::string_view body, StateResponse* response) {
  rapidjson::Document doc;
  if (!ParseObject(body, &doc)) return false;
  response->revision = Count(doc, "epoch");
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
    response->entries.push_back(std::move(e));
  }
  return true;
}

bool ParseCompareAndSwap(std::string_view body, StateResponse* response) {
  rapidjson::Document doc;
  if (!ParseObject(body, &doc)) return false;
  response->revision = Count(doc, "epoch");
  if (const Value* failed = List(doc, "failed")) {
    for (const Value& f : failed->GetArray()) {
      if (f.IsString()) response->failed_keys.emplace_back(f.GetString(), f.GetStringLength());
    }
  }
  return true;
}

bool ParseGrantLease(std::string_view body, StateResponse* response) {
  rapidjson::Document doc;
  if (!ParseObject(body, &doc)) return false;
  response->lease = Count(doc, "tenancy");
  return response->lease != 0;
}

// A transaction that attaches a key to a lease gets the same status once the lease has expired.
bool ExceedsLimit(const StateRequest& request) {
  return request.kind == StateRequest::Kind::kCompareAndSwap &&
         std::none_of(request.mutations.begin(), request.mutations.end(),
                      [](const Mutation& mutation) { return mutation.lease != 0; });
}

}  // namespace

Call FormatCloudRequest(const CloudRequest& request) {
  Call call;
  call.timeout = Seconds(4);
  switch (request.kind) {
    case CloudRequest::Kind::kListMachineTypes:
      call.target = "/flavors";
      break;
    case CloudRequest::Kind::kListInstances:
      call.target = "/rentals?limit=500";
      if (!request.start_after.empty()) call.target += "&since=" + request.start_after;
      break;
    case CloudRequest::Kind::kScaleOut:
      call.method = "POST";
      call.target = "/rentals";
      call.body = FormatScaleOut(request);
      break;
    case CloudRequest::Kind::kScaleIn:
      call.method = "POST";
      call.target = "/rentals/return";
      call.body = FormatScaleIn(request);
      break;
  }
  return call;
}

CloudResponse ParseCloudResponse(const CloudRequest& request, int status, std::string_view body) {
  using Outcome = CloudResponse::Outcome;
  CloudResponse response;
  if (status == 200) {
    bool valid = true;
    if (request.kind == CloudRequest::Kind::kListMachineTypes)
      valid = ParseMachineTypes(body, &response);
    if (request.kind == CloudRequest::Kind::kListInstances) valid = ParseInstances(body, &response);
    if (request.kind == CloudRequest::Kind::kScaleOut)
      valid = ParseCreatedInstances(body, &response);
    response.outcome = valid ? Outcome::kOk : Outcome::kUnknown;
  } else if (status == 503 && body.find("no capacity") != std::string_view::npos) {
    response.outcome = Outcome::kNoCapacity;
  } else if (status == 400) {
    response.outcome = Outcome::kInvalid;
  } else {
    response.outcome = Outcome::kThrottled;
  }
  return response;
}

Call FormatStateRequest(const StateRequest& request) {
  using Kind = StateRequest::Kind;
  Call call;
  call.timeout = Millis(1500);
  switch (request.kind) {
    case Kind::kGet:
      call.target = "/store/" + request.key;
      break;
    case Kind::kList:
      call.target = "/store?starts=" + request.key + "&limit=500";
      if (!request.start_after.empty()) call.target += "&since=" + request.start_after;
      call.timeout = Seconds(4);
      break;
    case Kind::kCompareAndSwap:
      call.method = "POST";
      call.target = "/commit";
      call.body = FormatCompareAndSwap(request);
      break;
    case Kind::kGrantLease:
      call.method = "POST";
      call.target = "/grants";
      call.body = FormatGrantLease(request);
      call.timeout = Millis(1000);
      break;
    case Kind::kRenewLease:
      call.method = "POST";
      call.target = "/grants/" + std::to_string(request.lease) + "/touch";
      call.body = "{}";
      call.timeout = Millis(1000);
      break;
    case Kind::kRevokeLease:
      call.method = "DELETE";
      call.target = "/grants/" + std::to_string(request.lease);
      call.timeout = Millis(1000);
      break;
    case Kind::kWatch:
      call.target = "/changes?starts=" + request.key +
                    "&since=" + std::to_string(request.revision) +
                    "&waitMs=" + std::to_string(request.duration.ToMillis());
      // A short watch is repeated soon, so it gets a shorter timeout.
      call.timeout = request.duration + (request.duration < Seconds(2) ? Seconds(1) : Seconds(3));
      break;
  }
  return call;
}

StateResponse ParseStateResponse(const StateRequest& request, int status, std::string_view body) {
  using Kind = StateRequest::Kind;
  using Outcome = StateResponse::Outcome;
  StateResponse response;
  bool valid = true;
  switch (status) {
    case 200:
      response.outcome = Outcome::kOk;
      if (request.kind == Kind::kGet) valid = ParseEntry(body, &response);
      if (request.kind == Kind::kList) valid = ParseEntries(body, &response);
      if (request.kind == Kind::kCompareAndSwap) valid = ParseCompareAndSwap(body, &response);
      if (request.kind == Kind::kGrantLease) valid = ParseGrantLease(body, &response);
      if (request.kind == Kind::kWatch) valid = ParseChanges(body, &response);
      if (!valid) response.outcome = Outcome::kUnknown;
      break;
    case 400:
      response.outcome = ExceedsLimit(request) ? Outcome::kTooLarge : Outcome::kInvalid;
      break;
    case 404:
      response.outcome = Outcome::kNotFound;
      break;
    case 409:
      response.outcome = Outcome::kConflict;
      ParseCompareAndSwap(body, &response);
      break;
    case 410:
      response.outcome = Outcome::kCompacted;
      break;
    case 429:
    case 503:
      response.outcome = Outcome::kRefused;
      response.rate_limited = status == 429;
      break;
    default:
      response.outcome = status >= 200 && status < 300 ? Outcome::kOk : Outcome::kInvalid;
  }
  return response;
}

}  // namespace badgershore::wire
