// A minimal state service for the models: a few keys, leases, compare-and-swap, and a log of all
// changes. A request is executed when the model calls Execute; the caller passes the time.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/model/effects.h"

namespace badgershore::check {

struct FakeStateService {
  struct Item {
    Record value;
    uint64_t version = 0, lease = 0;
  };
  Micros renew_duration;  // duration after a renewal
  // Injected faults.
  Micros expire_early;
  bool ignore_preconditions = false, reuse_lease_ids = false;

  std::map<std::string, Item> items;
  std::map<uint64_t, Micros> leases;
  std::vector<Entry> log;
  uint64_t revision = 1, last_lease = 0;

  void Put(const std::string& key, Record value, uint64_t lease_id = 0) {
    items[key] = {value, revision, lease_id};
    log.push_back({key, std::move(value), revision, false});
  }
  void Erase(const std::string& key) {
    if (items.erase(key) > 0) log.push_back({key, {}, revision, true});
  }
  void ExpireLeases(Micros now) {
    for (auto it = leases.begin(); it != leases.end();) {
      const auto expiry = it++;
      if (now >= expiry->second - expire_early) EndLease(expiry->first);
    }
  }
  void EndLease(uint64_t lease_id) {
    leases.erase(lease_id);
    std::vector<std::string> expired_keys;
    for (const auto& [key, item] : items)
      if (item.lease == lease_id) expired_keys.push_back(key);
    for (const std::string& key : expired_keys) {
      ++revision;
      Erase(key);
    }
  }
  StateResponse ChangesSince(const StateRequest& watch) const {
    StateResponse r;
    r.outcome = StateResponse::Outcome::kOk;
    r.revision = revision;
    for (const Entry& e : log) {
      if (e.version > watch.revision && e.key.starts_with(watch.key)) r.entries.push_back(e);
    }
    return r;
  }
  StateResponse Execute(Micros now, size_t requester, const StateRequest& op) {
    using Kind = StateRequest::Kind;
    StateResponse r;
    r.outcome = StateResponse::Outcome::kOk;
    r.revision = revision;
    switch (op.kind) {
      case Kind::kList:
        for (const auto& [key, item] : items) {
          if (key.starts_with(op.key)) r.entries.push_back({key, item.value, item.version});
        }
        break;
      case Kind::kGrantLease:
        r.lease = reuse_lease_ids ? requester + 1 : ++last_lease;
        leases[r.lease] = now + op.duration;
        break;
      case Kind::kRenewLease:
        if (!leases.contains(op.lease)) {
          r.outcome = StateResponse::Outcome::kNotFound;
        } else {
          leases[op.lease] = now + renew_duration;
        }
        break;
      case Kind::kRevokeLease:
        EndLease(op.lease);
        break;
      case Kind::kCompareAndSwap: {
        for (const Precondition& g : op.preconditions) {
          auto it = items.find(g.key);
          if ((it == items.end() ? 0 : it->second.version) != g.version && !ignore_preconditions) {
            r.failed_keys.push_back(g.key);
          }
        }
        for (const Mutation& c : op.mutations) {
          if (c.lease != 0 && !leases.contains(c.lease)) {
            r.outcome = StateResponse::Outcome::kInvalid;
            return r;
          }
        }
        if (!r.failed_keys.empty()) {
          r.outcome = StateResponse::Outcome::kConflict;
          return r;
        }
        r.revision = ++revision;
        for (const Mutation& c : op.mutations) {
          if (c.is_delete) {
            Erase(c.key);
          } else {
            Put(c.key, c.value, c.lease);
          }
        }
        break;
      }
      default:
        break;
    }
    return r;
  }
};

}  // namespace badgershore::check
