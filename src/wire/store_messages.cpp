#include "wire/store_messages.h"

#include <charconv>

#include "wire/json.h"

namespace badgershore::wire {
namespace {

using store::Outcome;

// Values are copied recursively. No valid client nests them deeper.
constexpr int kMaxDepth = 200;

bool IsNestedTooDeep(std::string_view text) {
  int depth = 0;
  bool quoted = false;
  for (size_t i = 0; i < text.size(); ++i) {
    const char c = text[i];
    if (quoted) {
      if (c == '\\') ++i;
      if (c == '"') quoted = false;
    } else if (c == '"') {
      quoted = true;
    } else if (c == '{' || c == '[') {
      if (++depth > kMaxDepth) return true;
    } else if (c == '}' || c == ']') {
      --depth;
    }
  }
  return false;
}

bool ParseValidObject(std::string_view text, rapidjson::Document* doc) {
  if (IsNestedTooDeep(text)) return false;
  doc->Parse<rapidjson::kParseIterativeFlag | rapidjson::kParseFullPrecisionFlag |
             rapidjson::kParseValidateEncodingFlag>(text.data(), text.size());
  return !doc->HasParseError() && doc->IsObject();
}

int HexDigit(char c) {
  if (c >= '0' && c <= '9') return c - '0';
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  if (c >= 'A' && c <= 'F') return c - 'A' + 10;
  return -1;
}

bool PercentDecode(std::string_view s, std::string* out) {
  out->clear();
  for (size_t i = 0; i < s.size(); ++i) {
    if (s[i] != '%') {
      out->push_back(s[i]);
      continue;
    }
    if (i + 2 >= s.size() || HexDigit(s[i + 1]) < 0 || HexDigit(s[i + 2]) < 0) return false;
    out->push_back(static_cast<char>(HexDigit(s[i + 1]) * 16 + HexDigit(s[i + 2])));
    i += 2;
  }
  return true;
}

bool ParseUint64(std::string_view s, uint64_t* out) {
  const auto [end, ec] = std::from_chars(s.data(), s.data() + s.size(), *out);
  return !s.empty() && ec == std::errc() && end == s.data() + s.size();
}

// The parameters of a query string.
struct Query {
  std::string prefix, since;
  uint64_t limit = 1000, wait_ms = 0;
  // Returns false if a parameter is malformed.
  bool Parse(std::string_view text) {
    while (!text.empty()) {
      const size_t ampersand = text.find('&');
      const std::string_view part = text.substr(0, ampersand);
      text = ampersand == std::string_view::npos ? std::string_view() : text.substr(ampersand + 1);
      const size_t eq = part.find('=');
      if (eq == std::string_view::npos) {
        if (part.empty()) continue;
        return false;
      }
      const std::string_view name = part.substr(0, eq);
      std::string value;
      if (!PercentDecode(part.substr(eq + 1), &value)) return false;
      if (name == "starts") prefix = value;
      if (name == "since") since = value;
      if (name == "limit" && (!ParseUint64(value, &limit) || limit == 0)) return false;
      if (name == "waitMs" && !ParseUint64(value, &wait_ms)) return false;
    }
    return true;
  }
};

ParsedStoreRequest RejectCall(int status, std::string error) {
  return {status, std::move(error), {}};
}

std::string ToJson(const Value& v) {
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> w(buffer);
  v.Accept(w);
  return {buffer.GetString(), buffer.GetSize()};
}

bool ReadOptionalUint64(const Value& object, const char* name, uint64_t* out) {
  const Value* v = Find(object, name);
  if (!v) return true;  // an absent number is 0
  if (!v->IsNumber() || (!v->IsUint64() && !(v->GetDouble() >= 0 && v->GetDouble() < 1.8e19 &&
                                             std::floor(v->GetDouble()) == v->GetDouble()))) {
    return false;
  }
  *out = Count(object, name);
  return true;
}

ParsedStoreRequest ParseCompareAndSwap(std::string_view body) {
  rapidjson::Document doc;
  if (!ParseValidObject(body, &doc)) return RejectCall(400, "expected a JSON object");
  store::CompareAndSwapRequest out;
  out.bytes = body.size();
  if (const Value* guards = Find(doc, "guards")) {
    if (!guards->IsArray()) return RejectCall(400, "guards: expected a list");
    for (const Value& g : guards->GetArray()) {
      store::CompareAndSwapRequest::Precondition precondition;
      precondition.key = Text(g, "path");
      if (!store::ValidKey(precondition.key) || !Find(g, "stamp") ||
          !ReadOptionalUint64(g, "stamp", &precondition.version)) {
        return RejectCall(400, "guards: expected a path and a stamp");
      }
      out.preconditions.push_back(std::move(precondition));
    }
  }
  if (const Value* mutations = Find(doc, "then")) {
    if (!mutations->IsArray()) return RejectCall(400, "then: expected a list");
    for (const Value& c : mutations->GetArray()) {
      store::CompareAndSwapRequest::Mutation mutation;
      const bool is_delete = Find(c, "delete") != nullptr;
      if (!c.IsObject() || is_delete == (Find(c, "put") != nullptr)) {
        return RejectCall(400, "then: expected a put or a delete");
      }
      mutation.key = Text(c, is_delete ? "delete" : "put");
      if (!store::ValidKey(mutation.key)) return RejectCall(400, "then: not a key");
      if (!is_delete) {
        const auto value = c.FindMember("value");
        if (value == c.MemberEnd()) return RejectCall(400, "then: a put without a value");
        mutation.value = ToJson(value->value);
        if (!ReadOptionalUint64(c, "tenancy", &mutation.lease)) {
          return RejectCall(400, "tenancy: expected a whole number");
        }
      }
      out.mutations.push_back(std::move(mutation));
    }
  }
  return {0, "", std::move(out)};
}

void WriteEntry(Writer* w, const std::string& key, const store::VersionedValue& item) {
  w->Put("path", key).Key("value").RawText(item.value).Put("stamp", item.version);
  if (item.lease != 0) w->Put("tenancy", item.lease);
}

std::string RevisionBody(uint64_t epoch) {
  Writer w;
  return w.Begin().Put("epoch", epoch).End().Done();
}

std::string ErrorBody(const std::string& text) {
  Writer w;
  return w.Begin().Put("error", text).End().Done();
}

std::string ResponseBody(const store::Request& request, const store::Response& response) {
  Writer w;
  w.Begin();
  if (std::holds_alternative<store::GetRequest>(request)) {
    WriteEntry(&w, response.entries.at(0).first, response.entries.at(0).second);
  } else if (std::holds_alternative<store::ListRequest>(request)) {
    w.Key("entries").BeginList();
    for (const auto& [key, item] : response.entries) {
      w.Begin();
      WriteEntry(&w, key, item);
      w.End();
    }
    w.EndList().Put("truncated", response.has_more).Put("epoch", response.revision);
  } else if (std::holds_alternative<store::WatchRequest>(request)) {
    w.Put("epoch", response.revision).Key("log").BeginList();
    for (const store::ChangeLogEntry& entry : response.changes) {
      w.Begin();
      if (entry.value) {
        w.Put("put", entry.key).Key("value").RawText(*entry.value);
      } else {
        w.Put("delete", entry.key);
      }
      w.Put("stamp", entry.revision).End();
    }
    w.EndList();
  } else if (std::holds_alternative<store::CompareAndSwapRequest>(request)) {
    w.Put("epoch", response.revision);
  } else {
    w.Put("tenancy", response.lease);
  }
  return w.End().Done();
}

}  // namespace

ParsedStoreRequest ParseStoreRequest(std::string_view method, std::string_view target,
                                     std::string_view body) {
  const size_t question_mark = target.find('?');
  const std::string_view path = target.substr(0, question_mark);
  const bool get = method == "GET", post = method == "POST";
  Query query;
  if (question_mark != std::string_view::npos && !query.Parse(target.substr(question_mark + 1))) {
    return RejectCall(400, "malformed query");
  }
  if (path == "/store") {
    if (!get) return RejectCall(405, "GET only");
    return {0, "", store::ListRequest{query.prefix, query.since, query.limit}};
  }
  if (store::HasPrefix(path, "/store/")) {
    if (!get) return RejectCall(405, "GET only");
    store::GetRequest r;
    if (!PercentDecode(path.substr(7), &r.key) || !store::ValidKey(r.key)) {
      return RejectCall(400, "not a key");
    }
    return {0, "", std::move(r)};
  }
  if (path == "/changes") {
    if (!get) return RejectCall(405, "GET only");
    store::WatchRequest r{query.prefix, 0, {}};
    if (!ParseUint64(query.since, &r.since_revision))
      return RejectCall(400, "since: expected a revision");
    r.wait = Millis(static_cast<int64_t>(std::min<uint64_t>(query.wait_ms, 60000)));
    return {0, "", std::move(r)};
  }
  if (path == "/commit") {
    if (!post) return RejectCall(405, "POST only");
    return ParseCompareAndSwap(body);
  }
  if (path == "/grants") {
    if (!post) return RejectCall(405, "POST only");
    rapidjson::Document doc;
    uint64_t ms = 0;
    if (!ParseValidObject(body, &doc) || !ReadOptionalUint64(doc, "lifeMs", &ms) || ms > 600000) {
      return RejectCall(400, "lifeMs: expected 100 to 600000");
    }
    return {0, "", store::GrantLeaseRequest{Millis(static_cast<int64_t>(ms))}};
  }
  if (store::HasPrefix(path, "/grants/")) {
    std::string_view id = path.substr(8);
    const bool renew = id.ends_with("/touch");
    if (renew) id.remove_suffix(6);
    uint64_t lease = 0;
    if (!ParseUint64(id, &lease)) return RejectCall(404, "no such lease");
    if (renew && post) return {0, "", store::RenewLeaseRequest{lease}};
    if (!renew && method == "DELETE") return {0, "", store::RevokeLeaseRequest{lease}};
    return RejectCall(405, "not so");
  }
  return RejectCall(404, "no such path");
}

StoreHttpResponse FormatStoreResponse(const store::Request& request,
                                      const store::Response& response) {
  switch (response.outcome) {
    case Outcome::kOk:
      return {200, ResponseBody(request, response)};
    case Outcome::kNotFound:
      return {404, RevisionBody(response.revision)};
    case Outcome::kConflict: {
      Writer w;
      w.Begin().Key("failed").BeginList();
      for (const std::string& key : response.failed_keys) w.Str(key);
      return {409, w.EndList().Put("epoch", response.revision).End().Done()};
    }
    case Outcome::kInvalid:
      return {400, ErrorBody(response.error)};
    case Outcome::kCompacted:
      return {410, RevisionBody(response.revision)};
    case Outcome::kRateLimited:
      return {429, ErrorBody(response.error)};
    case Outcome::kRefused:
      return {503, ErrorBody(response.error)};
    case Outcome::kUnknown:
      break;
  }
  return {0, ""};
}

std::string FormatItemLine(const std::string& key, const store::VersionedValue& item) {
  Writer w;
  w.Begin();
  WriteEntry(&w, key, item);
  return w.End().Done();
}

std::string FormatLeaseLine(uint64_t id, Micros duration) {
  Writer w;
  return w.Begin().Put("lease", id).Put("lifeUs", duration.count).End().Done();
}

std::string FormatChangeLine(const store::ChangeLogEntry& entry) {
  Writer w;
  w.Begin().Put("change", entry.key);
  if (entry.value) w.Key("value").RawText(*entry.value);
  return w.Put("stamp", entry.revision).End().Done();
}

std::string FormatHeaderLine(const store::StateImage& image) {
  Writer w;
  w.Begin().Put("epoch", image.revision).Put("lastLease", image.last_lease_id);
  return w.Put("compacted", image.compacted_revision).End().Done();
}

bool ReadLine(std::string_view line, store::StateImage* image) {
  rapidjson::Document doc;
  if (!ParseValidObject(line, &doc)) return false;
  const auto value = doc.FindMember("value");
  // Comparing rapidjson iterators is ambiguous under the rules of C++20.
  const bool has_value = doc.HasMember("value");
  if (Find(doc, "path")) {
    const std::string key = Text(doc, "path");
    if (!store::ValidKey(key) || !has_value) return false;
    image->items[key] = {ToJson(value->value), Count(doc, "stamp"), Count(doc, "tenancy")};
  } else if (Find(doc, "lease")) {
    image->leases[Count(doc, "lease")] = Micros{static_cast<int64_t>(Count(doc, "lifeUs"))};
  } else if (Find(doc, "change")) {
    store::ChangeLogEntry entry{Count(doc, "stamp"), Text(doc, "change"), std::nullopt};
    if (has_value) entry.value = ToJson(value->value);
    image->change_log.push_back(std::move(entry));
  } else if (Find(doc, "epoch")) {
    image->revision = Count(doc, "epoch");
    image->last_lease_id = Count(doc, "lastLease");
    image->compacted_revision = Count(doc, "compacted");
  } else {
    return false;
  }
  return true;
}

}  // namespace badgershore::wire
