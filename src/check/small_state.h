// A minimal state service for the models: a few keys, leases, compare-and-swap, and a log of all
// changes. A request is executed when the model calls Carry; the caller passes the time.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/model/effects.h"

namespace badgershore::check {

struct SmallState {
  struct Item {
    Record value;
    uint64_t stamp = 0, lease = 0;
  };
  Micros lease;  // duration after a renewal
  // Injected faults.
  Micros ends_early;
  bool no_guards = false, lease_of_name = false;

  std::map<std::string, Item> items;
  std::map<uint64_t, Micros> leases;
  std::vector<Entry> log;
  uint64_t epoch = 1, last_lease = 0;

  void Put(const std::string& key, Record value, uint64_t of_lease = 0) {
    items[key] = {value, epoch, of_lease};
    log.push_back({key, std::move(value), epoch, false});
  }
  void Erase(const std::string& key) {
    if (items.erase(key) > 0) log.push_back({key, {}, epoch, true});
  }
  void EndLeases(Micros now) {
    for (auto it = leases.begin(); it != leases.end();) {
      const auto at = it++;
      if (now >= at->second - ends_early) Drop(at->first);
    }
  }
  void Drop(uint64_t ended) {
    leases.erase(ended);
    std::vector<std::string> gone;
    for (const auto& [key, item] : items)
      if (item.lease == ended) gone.push_back(key);
    for (const std::string& key : gone) {
      ++epoch;
      Erase(key);
    }
  }
  StateResponse Since(const StateRequest& watch) const {
    StateResponse r;
    r.outcome = StateResponse::Outcome::kOk;
    r.revision = epoch;
    for (const Entry& e : log) {
      if (e.version > watch.revision && e.key.starts_with(watch.key)) r.entries.push_back(e);
    }
    return r;
  }
  StateResponse Carry(Micros now, size_t requester, const StateRequest& op) {
    using K = StateRequest::Kind;
    StateResponse r;
    r.outcome = StateResponse::Outcome::kOk;
    r.revision = epoch;
    switch (op.kind) {
      case K::kList:
        for (const auto& [key, item] : items) {
          if (key.starts_with(op.key)) r.entries.push_back({key, item.value, item.stamp});
        }
        break;
      case K::kGrantLease:
        r.lease = lease_of_name ? requester + 1 : ++last_lease;
        leases[r.lease] = now + op.duration;
        break;
      case K::kRenewLease:
        if (!leases.contains(op.lease)) {
          r.outcome = StateResponse::Outcome::kNotFound;
        } else {
          leases[op.lease] = now + lease;
        }
        break;
      case K::kRevokeLease:
        Drop(op.lease);
        break;
      case K::kCompareAndSwap: {
        for (const Precondition& g : op.preconditions) {
          auto it = items.find(g.key);
          if ((it == items.end() ? 0 : it->second.stamp) != g.version && !no_guards) {
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
        r.revision = ++epoch;
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
