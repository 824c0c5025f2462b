#include "rehearsal/cloud.h"

#include <algorithm>

#include "wire/json.h"

namespace badgershore::rehearsal {

using wire::Writer;

Cloud::Cloud(const Scenario& scenario, uint64_t seed, Hooks hooks)
    : scenario_(scenario),
      random_(seed),
      hooks_(std::move(hooks)),
      rate_(scenario.site.cloud_rps * 2, {}) {}

const MachineOffer* Cloud::Type(const std::string& name) const {
  for (const MachineOffer& t : scenario_.types) {
    if (t.type.name == name) return &t;
  }
  return nullptr;
}

std::string Cloud::Add(Micros now, const MachineOffer& type, const std::string& zone, bool spot) {
  char id[24];
  std::snprintf(id, sizeof(id), "n-%06d", ++last_id_);
  machines_[id] = {id,     type.type.name, zone,  hooks_.endpoint(id), spot, now,
                   kNever, kNever,         kNever};
  return id;
}

void Cloud::Begin(Micros now) {
  for (const MachineOffer& t : scenario_.types) {
    for (int i = 0; i < t.up; ++i) {
      const auto& zones = t.type.zones;
      const std::string id = Add(now, t, zones[static_cast<size_t>(i) % zones.size()], false);
      machines_[id].up_at = now;
      hooks_.up(machines_[id]);
    }
  }
}

std::pair<int, std::string> Cloud::Rent(Micros now, const std::string& body) {
  rapidjson::Document doc;
  if (!wire::ParseObject(body, &doc)) return {400, "{}"};
  const std::string request_id = wire::Text(doc, "hire"), zone = wire::Text(doc, "yard");
  const MachineOffer* type = Type(wire::Text(doc, "build"));
  const bool spot = wire::Flag(doc, "loaners");
  int number = static_cast<int>(wire::Count(doc, "number"));
  if (!type || request_id.empty() || number < 1 || number > 50) return {400, "{}"};
  if (auto it = rent_responses_.find(request_id); it != rent_responses_.end())
    return {200, it->second};
  int used = 0;
  for (const auto& [id, m] : machines_) {
    used +=
        m.type == type->type.name && m.spot == spot && m.gone_at == kNever && m.failed_at == kNever;
  }
  number = std::min(number, (spot ? type->spot_capacity : type->capacity) - used);
  if (no_capacity || number < 1) return {503, R"({"error":"no capacity"})"};
  Writer w;
  w.Begin().Key("setts").BeginList();
  for (int i = 0; i < number; ++i) {
    const std::string id = Add(now, *type, zone, spot);
    w.Str(id);
    if (RandomFraction() < never_boots_share) continue;
    const double spread = 1 + scenario_.boot_spread * (2 * RandomFraction() - 1);
    const Micros at = now + type->type.boot.Scaled(spread);
    const bool vanishes = RandomFraction() < vanish_share;
    hooks_.later(at, [this, id, at, vanishes] {
      Machine& m = machines_[id];
      if (m.gone_at != kNever) return;
      if (vanishes) {  // granted, but it never comes up
        m.failed_at = at;
        return;
      }
      m.up_at = at;
      hooks_.up(m);
    });
  }
  return {200, rent_responses_[request_id] = w.EndList().End().Done()};
}

// The machines as of some time ago: half to twice the nominal lag.
std::string Cloud::List(Micros now, const std::string& after) {
  const Micros seen = now - scenario_.site.cloud_list_lag.Scaled(0.5 + 1.5 * RandomFraction());
  Writer w;
  w.Begin().Key("setts").BeginList();
  int count = 0;
  bool truncated = false;
  for (auto it = machines_.upper_bound(after); it != machines_.end(); ++it) {
    const Machine& m = it->second;
    if (m.requested_at > seen || m.gone_at <= seen) continue;
    if (++count > 500) {
      truncated = true;
      break;
    }
    w.Begin()
        .Put("nameId", m.id)
        .Put("endpoint", m.endpoint)
        .Put("build", m.type)
        .Put("yard", m.zone);
    w.Put("loaners", m.spot)
        .Put("phase", m.failed_at <= seen ? "failed"
                      : m.up_at <= seen   ? "running"
                                          : "starting");
    w.Put("heldS", (seen - m.requested_at).ToSeconds()).End();
  }
  return w.EndList().Put("truncated", truncated).End().Done();
}

std::pair<int, std::string> Cloud::Handle(Micros now, const wire::Call& call) {
  if (api_down) return {503, R"({"error":"trouble"})"};
  if (!rate_.TryAcquire(now, 1)) return {429, "{}"};
  if (call.target == "/flavors") {
    Writer w;
    w.Begin().Key("builds").BeginList();
    for (const MachineOffer& t : scenario_.types) {
      w.Begin().Put("sku", t.type.name);
      w.Put("cpus", static_cast<double>(t.type.size.cpu) / 1000);
      w.Put("accelerators", static_cast<double>(t.type.size.gpu) / 1000);
      w.Put("memGb", static_cast<double>(t.type.size.mem) / 1000);
      w.Put("localGb", t.type.image_cache_gb).Put("fetchGbPerS", t.type.fetch_gb_per_s);
      w.Put("rate", t.type.price).Put("spotPrice", t.type.spot_price);
      w.Put("bootS", t.type.boot.ToSeconds()).Key("yards").BeginList();
      for (const std::string& z : t.type.zones) w.Str(z);
      w.EndList().End();
    }
    return {200, w.EndList().End().Done()};
  }
  if (call.target == "/rentals/return") {
    rapidjson::Document doc;
    wire::ParseObject(call.body, &doc);
    const wire::Value* names = wire::Find(doc, "setts");
    if (!names || !names->IsArray() || names->Size() > 100) return {400, "{}"};
    for (const wire::Value& n : names->GetArray()) {
      if (n.IsString()) Terminate(now, n.GetString());
    }
    return {200, "{}"};
  }
  if (call.method == "POST") return Rent(now, call.body);
  const size_t since = call.target.find("since=");
  return {200, List(now, since == std::string::npos ? "" : call.target.substr(since + 6))};
}

void Cloud::Terminate(Micros now, const std::string& id) {
  auto it = machines_.find(id);
  if (it == machines_.end() || it->second.gone_at != kNever) return;
  it->second.gone_at = now;
  hooks_.gone(it->second);
}

double Cloud::TotalCost(Micros now) const {
  double out = 0;
  for (const auto& [id, m] : machines_) {
    const Micros end = std::max(std::min({now, m.gone_at, m.failed_at}),
                                m.requested_at + (m.gone_at <= now ? Seconds(60) : Micros{}));
    const MachineOffer* t = Type(m.type);
    if (!t) continue;  // can't happen: only known types are granted
    out +=
        (m.spot ? t->type.spot_price : t->type.price) * (end - m.requested_at).ToSeconds() / 3600;
  }
  return out;
}

}  // namespace badgershore::rehearsal
