// The state machine of the state service: a comparison with a simple model, and unit tests of what
// the model does not cover.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <map>
#include <tuple>

#include "store/state_machine.h"
#include "wire/store_messages.h"

namespace badgershore::store {
namespace {

// The simplest implementation of PROTOCOL: without batches, sorted indices or a durable image.
struct Model {
  uint64_t revision = 0, last_lease_id = 0;
  std::map<std::string, VersionedValue> items;
  std::map<uint64_t, std::pair<Micros, Micros>> leases;  // time to live and expiry
  std::vector<ChangeLogEntry> log;

  void EndLease(uint64_t lease) {
    leases.erase(lease);
    std::vector<std::string> keys;
    for (const auto& [key, item] : items) {
      if (item.lease == lease) keys.push_back(key);
    }
    if (!keys.empty()) ++revision;
    for (const std::string& key : keys) {
      items.erase(key);
      log.push_back({revision, key, std::nullopt});
    }
  }
  void AdvanceTo(Micros now) {
    for (;;) {
      std::pair<Micros, uint64_t> first{kNever, 0};
      for (const auto& [id, l] : leases) first = std::min(first, {l.second, id});
      if (first.first > now) return;
      EndLease(first.second);
    }
  }
  Response Run(Micros now, const Request& request) {
    Response a;
    a.outcome = Outcome::kOk;
    if (const auto* c = std::get_if<CompareAndSwapRequest>(&request)) {
      for (const auto& change : c->mutations) {
        if (change.lease != 0 && !leases.contains(change.lease)) a.outcome = Outcome::kInvalid;
      }
      if (a.outcome == Outcome::kInvalid) return a;
      for (const auto& g : c->preconditions) {
        const uint64_t stamp = items.contains(g.key) ? items[g.key].version : 0;
        if (stamp != g.version) a.failed_keys.push_back(g.key);
      }
      if (!a.failed_keys.empty()) {
        a.outcome = Outcome::kConflict;
        a.revision = revision;
        return a;
      }
      bool any = false;
      for (const auto& change : c->mutations)
        any = any || change.value || items.contains(change.key);
      if (any) ++revision;
      for (const auto& change : c->mutations) {
        if (change.value) {
          items[change.key] = {*change.value, revision, change.lease};
          log.push_back({revision, change.key, change.value});
        } else if (items.erase(change.key) > 0) {
          log.push_back({revision, change.key, std::nullopt});
        }
      }
      a.revision = revision;
    } else if (const auto* g = std::get_if<GrantLeaseRequest>(&request)) {
      a.lease = ++last_lease_id;
      leases[a.lease] = {g->time_to_live, now + g->time_to_live};
    } else if (const auto* t = std::get_if<RenewLeaseRequest>(&request)) {
      if (!leases.contains(t->lease)) {
        a.outcome = Outcome::kNotFound;
      } else {
        leases[t->lease].second = now + leases[t->lease].first;
      }
    } else if (const auto* r = std::get_if<RevokeLeaseRequest>(&request)) {
      if (leases.contains(r->lease)) {
        EndLease(r->lease);
      } else {
        a.outcome = Outcome::kNotFound;
      }
    }
    return a;
  }
};

using Op = std::tuple<uint8_t, uint8_t, uint8_t, uint8_t>;

CompareAndSwapRequest RandomCommit(const Op& op, const Model& model) {
  const auto [kind, a, b, c] = op;
  const auto key = [](int n) { return "k/" + std::to_string(n % 5); };
  CompareAndSwapRequest r;
  if (a % 3 != 0) {
    const auto it = model.items.find(key(a));
    const uint64_t current_version = it == model.items.end() ? 0 : it->second.version;
    r.preconditions.push_back({key(a), a % 7 == 1 ? current_version + 1 : current_version});
  }
  for (int i = 0; i < b % 3; ++i) {
    CompareAndSwapRequest::Mutation change{key(c + i), std::nullopt, 0};
    if ((c + i) % 4 != 0) change.value = std::to_string(c);
    if (change.value && b % 5 == 0) change.lease = c % 4;
    r.mutations.push_back(std::move(change));
  }
  return r;
}

TEST(StateMachineModel, RespondsLikeTheModel) {
  const bool held = rc::check("histories", [](const std::vector<Op>& ops) {
    Micros now = Seconds(1);
    StateMachine machine({}, {}, now);
    Model model;
    std::map<RequestId, Request> requests;
    RequestId request_id = 0;
    const auto compare = [&](StateMachine::Effects out) {
      for (const auto& [t, actual] : out.responses) {
        const Request request = requests.at(t);
        if (actual.outcome == Outcome::kRefused) continue;
        const Response expected = model.Run(now, request);
        RC_ASSERT(actual.outcome == expected.outcome);
        RC_ASSERT(actual.failed_keys == expected.failed_keys);
        if (expected.outcome == Outcome::kOk)
          RC_ASSERT(actual.lease == expected.lease || expected.lease == 0);
        if (std::holds_alternative<CompareAndSwapRequest>(request) && expected.revision) {
          RC_ASSERT(actual.revision == expected.revision);
        }
      }
    };
    std::optional<Batch> batch_in_progress;
    const auto take_effects = [&] {
      StateMachine::Effects out = machine.TakeEffects();
      if (out.write) batch_in_progress = std::move(out.write);
      compare(std::move(out));
    };
    const auto write = [&](WriteOutcome written) {
      while (batch_in_progress) {
        const uint64_t id = std::exchange(batch_in_progress, std::nullopt)->id;
        machine.OnWriteCompleted(now, id, written);
        take_effects();
        written = WriteOutcome::kDurable;
      }
    };
    for (const Op& op : ops) {
      const auto [kind, a, b, c] = op;
      Request request;
      switch (kind % 8) {
        case 0:
          request = GrantLeaseRequest{Millis(100 + a * 4)};
          break;
        case 1:
          request = RenewLeaseRequest{static_cast<uint64_t>(a % 4)};
          break;
        case 2:
          request = RevokeLeaseRequest{static_cast<uint64_t>(a % 4)};
          break;
        case 3:
          write(WriteOutcome::kDurable);
          continue;
        case 4: {  // advances the time in steps that expire leases one by one
          write(WriteOutcome::kDurable);
          if (machine.writes_blocked()) continue;
          const Micros until = now + Millis(a);
          while (machine.NextDeadline() <= until) {
            now = std::max(now, machine.NextDeadline());
            model.AdvanceTo(now);
            machine.Tick(now);
            take_effects();
            write(WriteOutcome::kDurable);
          }
          now = until;
          continue;
        }
        default:
          request = RandomCommit(op, model);
      }
      requests[++request_id] = request;
      machine.Submit(now, request_id, request);
      take_effects();
    }
    write(WriteOutcome::kDurable);
    RC_ASSERT(machine.state().items == model.items);
    RC_ASSERT(machine.state().revision == model.revision);
    // A watch from any revision returns every later change.
    for (uint64_t since = 0; since <= model.revision; ++since) {
      machine.Submit(now, ++request_id, WatchRequest{"k/", since, {}});
      std::vector<ChangeLogEntry> expected;
      for (const ChangeLogEntry& row : model.log) {
        if (row.revision > since) expected.push_back(row);
      }
      RC_ASSERT(machine.TakeEffects().responses.at(0).second.changes == expected);
    }
    // A restart from the durable image yields the same state.
    StateImage image;
    image = machine.state();
    RC_ASSERT(StateMachine({}, image, now).state() == machine.state());
  });
  EXPECT_TRUE(held);
}

class StateMachineTest : public testing::Test {
 protected:
  Response SendRequest(Request r) {
    machine.Submit(now, ++request_id, std::move(r));
    return CompleteWrites();
  }
  // Completes all writes with `written`; returns the last response.
  Response CompleteWrites(WriteOutcome written = WriteOutcome::kDurable) {
    Response last;
    last.outcome = Outcome::kUnknown;
    for (;;) {
      StateMachine::Effects out = machine.TakeEffects();
      for (auto& [t, a] : out.responses) last = responses_by_id[t] = a;
      if (!out.write) return last;
      machine.OnWriteCompleted(now, out.write->id, written);
    }
  }
  static CompareAndSwapRequest Put(std::string key, std::string value, uint64_t lease = 0) {
    CompareAndSwapRequest r;
    r.mutations.push_back({std::move(key), std::move(value), lease});
    return r;
  }
  Micros now = Seconds(1);
  StateMachine machine{Limits{}, StateImage{}, now};
  RequestId request_id = 0;
  std::map<RequestId, Response> responses_by_id;
};

TEST_F(StateMachineTest, ReadsReturnOnlyDurableData) {
  machine.Submit(now, 1, Put("a", "1"));
  const Batch batch = *machine.TakeEffects().write;
  machine.Submit(now, 2, GetRequest{"a"});
  EXPECT_EQ(machine.TakeEffects().responses.at(0).second.outcome, Outcome::kNotFound);
  // Preconditions are evaluated against the state after the batch in progress.
  CompareAndSwapRequest second = Put("a", "2");
  second.preconditions.push_back({"a", 0});
  machine.Submit(now, 3, second);
  EXPECT_TRUE(machine.TakeEffects().responses.empty());
  machine.OnWriteCompleted(now, batch.id, WriteOutcome::kDurable);
  const auto out = machine.TakeEffects();
  ASSERT_EQ(out.responses.size(), 2u);
  EXPECT_EQ(out.responses[0].second.outcome, Outcome::kOk);
  EXPECT_EQ(out.responses[1].second.outcome, Outcome::kConflict);
}

TEST_F(StateMachineTest, FailedWriteRefusesChangesUntilAWriteSucceeds) {
  const uint64_t lease = SendRequest(GrantLeaseRequest{Seconds(1)}).lease;
  SendRequest(Put("l", "1", lease));
  machine.Submit(now, ++request_id, Put("a", "1"));
  EXPECT_EQ(CompleteWrites(WriteOutcome::kAbsent).outcome, Outcome::kRefused);
  EXPECT_EQ(SendRequest(Put("a", "2")).outcome, Outcome::kRefused);
  EXPECT_EQ(SendRequest(GetRequest{"l"}).outcome, Outcome::kOk);
  // The lease has expired meanwhile; it is renewed at the end of the outage.
  now += Seconds(5);
  machine.Tick(now);
  CompleteWrites(WriteOutcome::kDurable);
  EXPECT_FALSE(machine.writes_blocked());
  EXPECT_EQ(SendRequest(GetRequest{"l"}).outcome, Outcome::kOk);
  EXPECT_EQ(SendRequest(Put("a", "3")).outcome, Outcome::kOk);
  now += Millis(999);
  machine.Tick(now);
  CompleteWrites();
  EXPECT_EQ(SendRequest(GetRequest{"l"}).outcome, Outcome::kOk);
  now += Millis(1);
  machine.Tick(now);
  CompleteWrites();
  EXPECT_EQ(SendRequest(GetRequest{"l"}).outcome, Outcome::kNotFound);
}

TEST_F(StateMachineTest, UnknownOutcomeGetsNoResponseAndIsResolvedLater) {
  machine.Submit(now, ++request_id, Put("a", "1"));
  const Batch batch = *machine.TakeEffects().write;
  machine.OnWriteCompleted(now, batch.id, WriteOutcome::kUnknown);
  EXPECT_EQ(machine.TakeEffects().responses.at(0).second.outcome, Outcome::kUnknown);
  EXPECT_EQ(SendRequest(Put("b", "1")).outcome, Outcome::kRefused);
  EXPECT_EQ(SendRequest(GetRequest{"a"}).outcome, Outcome::kNotFound);
  machine.OnWriteCompleted(now, batch.id, WriteOutcome::kDurable);  // it turns out to be on disk
  EXPECT_EQ(SendRequest(GetRequest{"a"}).outcome, Outcome::kOk);
  EXPECT_EQ(SendRequest(Put("b", "1")).outcome, Outcome::kOk);
}

TEST_F(StateMachineTest, WatchesReturnChangesTimeOutAndReportCompaction) {
  SendRequest(Put("a", "1"));
  machine.Submit(now, 100, WatchRequest{"b", 1, Seconds(10)});
  SendRequest(Put("a", "2"));
  EXPECT_FALSE(responses_by_id.contains(100));
  SendRequest(Put("b", "3"));
  ASSERT_TRUE(responses_by_id.contains(100));
  EXPECT_EQ(responses_by_id[100].changes, (std::vector<ChangeLogEntry>{{3, "b", "3"}}));
  machine.Submit(now, 101, WatchRequest{"b", 3, Seconds(10)});
  now += Seconds(10);
  machine.Tick(now);
  CompleteWrites();
  EXPECT_TRUE(responses_by_id[101].changes.empty());
  EXPECT_EQ(responses_by_id[101].revision, 3u);
  for (size_t i = 0; i < kMinChangeLogEntries; ++i) SendRequest(Put("c", "1"));
  EXPECT_EQ(SendRequest(WatchRequest{"", 2, {}}).outcome, Outcome::kCompacted);
  EXPECT_EQ(SendRequest(WatchRequest{"", 3, {}}).changes.size(), kMinChangeLogEntries);
  // A revision from before an older snapshot was restored.
  EXPECT_EQ(SendRequest(WatchRequest{"", machine.state().revision + 1, {}}).outcome,
            Outcome::kCompacted);
}

TEST_F(StateMachineTest, EnforcesLimitsAndAllowsBursts) {
  Limits limits;
  limits.requests_per_s = 10;
  limits.changes_per_s = 4;
  limits.value_bytes = 8;
  limits.commit_changes = 2;
  machine = StateMachine(limits, {}, now);
  EXPECT_EQ(SendRequest(Put("a", "123456789")).outcome, Outcome::kInvalid);
  CompareAndSwapRequest three;
  for (const char* k : {"a", "b", "c"}) three.mutations.push_back({k, "1", 0});
  EXPECT_EQ(SendRequest(three).outcome, Outcome::kInvalid);
  three.mutations.pop_back();
  EXPECT_EQ(SendRequest(three).outcome, Outcome::kOk);
  EXPECT_EQ(SendRequest(three).outcome, Outcome::kOk);
  EXPECT_EQ(SendRequest(three).outcome, Outcome::kRateLimited);
  for (int i = 0; i < 7; ++i)
    EXPECT_NE(SendRequest(GetRequest{"a"}).outcome, Outcome::kRateLimited);
  EXPECT_EQ(SendRequest(GetRequest{"a"}).outcome, Outcome::kRateLimited);
  now += Seconds(1);
  EXPECT_EQ(SendRequest(three).outcome, Outcome::kOk);
}

TEST_F(StateMachineTest, ListIsSplitAtItsLimitsAndContinues) {
  for (int i = 0; i < 300; ++i) {
    SendRequest(Put("r/" + std::to_string(1000 + i), std::string(4000, '1')));
  }
  size_t seen = 0;
  std::string after;
  for (int page = 0; page < 5; ++page) {
    const Response a = SendRequest(ListRequest{"r/", after, 200});
    seen += a.entries.size();
    EXPECT_LE(a.entries.size(), 129u);  // 512 KiB
    if (!a.has_more) break;
    after = a.entries.back().first;
  }
  EXPECT_EQ(seen, 300u);
}

TEST(StoreProtocol, RejectsMalformedRequests) {
  const auto status = [](const char* method, const char* target, const char* body) {
    return wire::ParseStoreRequest(method, target, body).status;
  };
  EXPECT_EQ(status("GET", "/store/a/b", ""), 0);
  EXPECT_EQ(status("GET", "/store/a%20b", ""), 400);
  EXPECT_EQ(status("GET", "/store/", ""), 400);
  EXPECT_EQ(status("GET", "/changes?starts=c/", ""), 400);
  EXPECT_EQ(status("GET", "/store?limit=x", ""), 400);
  EXPECT_EQ(status("POST", "/grants", "{\"lifeMs\":-1}"), 400);
  EXPECT_EQ(status("POST", "/grants/x/touch", ""), 404);
  EXPECT_EQ(status("POST", "/commit", "[]"), 400);
  EXPECT_EQ(status("POST", "/commit", "{\"guards\":[{\"path\":\"a\"}]}"), 400);
  EXPECT_EQ(status("POST", "/commit", "{\"then\":[{\"put\":\"a\"}]}"), 400);
  EXPECT_EQ(status("POST", "/commit", "{\"then\":[{\"put\":\"a\",\"value\":null}]}"), 0);
  // Guards against a stack overflow by the recursive copy of a deeply nested value.
  const std::string deep = "{\"then\":[{\"put\":\"a\",\"value\":" + std::string(20000, '[') +
                           std::string(20000, ']') + "}]}";
  EXPECT_EQ(status("POST", "/commit", deep.c_str()), 400);
}

}  // namespace
}  // namespace badgershore::store
