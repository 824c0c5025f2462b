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
  uint64_t epoch = 0, last_lease = 0;
  std::map<std::string, VersionedValue> items;
  std::map<uint64_t, std::pair<Micros, Micros>> leases;  // time to live and expiry
  std::vector<ChangeLogEntry> log;

  void Drop(uint64_t lease) {
    leases.erase(lease);
    std::vector<std::string> keys;
    for (const auto& [key, item] : items) {
      if (item.lease == lease) keys.push_back(key);
    }
    if (!keys.empty()) ++epoch;
    for (const std::string& key : keys) {
      items.erase(key);
      log.push_back({epoch, key, std::nullopt});
    }
  }
  void Pass(Micros now) {
    for (;;) {
      std::pair<Micros, uint64_t> first{kNever, 0};
      for (const auto& [id, l] : leases) first = std::min(first, {l.second, id});
      if (first.first > now) return;
      Drop(first.second);
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
        a.revision = epoch;
        return a;
      }
      bool any = false;
      for (const auto& change : c->mutations)
        any = any || change.value || items.contains(change.key);
      if (any) ++epoch;
      for (const auto& change : c->mutations) {
        if (change.value) {
          items[change.key] = {*change.value, epoch, change.lease};
          log.push_back({epoch, change.key, change.value});
        } else if (items.erase(change.key) > 0) {
          log.push_back({epoch, change.key, std::nullopt});
        }
      }
      a.revision = epoch;
    } else if (const auto* g = std::get_if<GrantLeaseRequest>(&request)) {
      a.lease = ++last_lease;
      leases[a.lease] = {g->time_to_live, now + g->time_to_live};
    } else if (const auto* t = std::get_if<RenewLeaseRequest>(&request)) {
      if (!leases.contains(t->lease)) {
        a.outcome = Outcome::kNotFound;
      } else {
        leases[t->lease].second = now + leases[t->lease].first;
      }
    } else if (const auto* r = std::get_if<RevokeLeaseRequest>(&request)) {
      if (leases.contains(r->lease)) {
        Drop(r->lease);
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
    const uint64_t right = it == model.items.end() ? 0 : it->second.version;
    r.preconditions.push_back({key(a), a % 7 == 1 ? right + 1 : right});
  }
  for (int i = 0; i < b % 3; ++i) {
    CompareAndSwapRequest::Mutation change{key(c + i), std::nullopt, 0};
    if ((c + i) % 4 != 0) change.value = std::to_string(c);
    if (change.value && b % 5 == 0) change.lease = c % 4;
    r.mutations.push_back(std::move(change));
  }
  return r;
}

TEST(StoreMachine, AnswersAsAPlainModelDoes) {
  const bool held = rc::check("histories", [](const std::vector<Op>& ops) {
    Micros now = Seconds(1);
    StateMachine machine({}, {}, now);
    Model model;
    std::map<RequestId, Request> asked;
    RequestId token = 0;
    const auto compare = [&](StateMachine::Effects out) {
      for (const auto& [t, got] : out.responses) {
        const Request request = asked.at(t);
        if (got.outcome == Outcome::kRefused) continue;
        const Response want = model.Run(now, request);
        RC_ASSERT(got.outcome == want.outcome);
        RC_ASSERT(got.failed_keys == want.failed_keys);
        if (want.outcome == Outcome::kOk) RC_ASSERT(got.lease == want.lease || want.lease == 0);
        if (std::holds_alternative<CompareAndSwapRequest>(request) && want.revision) {
          RC_ASSERT(got.revision == want.revision);
        }
      }
    };
    std::optional<Batch> under_way;
    const auto take = [&] {
      StateMachine::Effects out = machine.TakeEffects();
      if (out.write) under_way = std::move(out.write);
      compare(std::move(out));
    };
    const auto write = [&](WriteOutcome written) {
      while (under_way) {
        const uint64_t id = std::exchange(under_way, std::nullopt)->id;
        machine.OnWriteCompleted(now, id, written);
        take();
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
            model.Pass(now);
            machine.Tick(now);
            take();
            write(WriteOutcome::kDurable);
          }
          now = until;
          continue;
        }
        default:
          request = RandomCommit(op, model);
      }
      asked[++token] = request;
      machine.Submit(now, token, request);
      take();
    }
    write(WriteOutcome::kDurable);
    RC_ASSERT(machine.state().items == model.items);
    RC_ASSERT(machine.state().revision == model.epoch);
    // A watch from any revision returns every later change.
    for (uint64_t since = 0; since <= model.epoch; ++since) {
      machine.Submit(now, ++token, WatchRequest{"k/", since, {}});
      std::vector<ChangeLogEntry> want;
      for (const ChangeLogEntry& row : model.log) {
        if (row.revision > since) want.push_back(row);
      }
      RC_ASSERT(machine.TakeEffects().responses.at(0).second.changes == want);
    }
    // A restart from the durable image yields the same state.
    StateImage image;
    image = machine.state();
    RC_ASSERT(StateMachine({}, image, now).state() == machine.state());
  });
  EXPECT_TRUE(held);
}

class Told : public testing::Test {
 protected:
  Response Ask(Request r) {
    machine.Submit(now, ++token, std::move(r));
    return Serve();
  }
  // Completes all writes with `written`; returns the last response.
  Response Serve(WriteOutcome written = WriteOutcome::kDurable) {
    Response last;
    last.outcome = Outcome::kUnknown;
    for (;;) {
      StateMachine::Effects out = machine.TakeEffects();
      for (auto& [t, a] : out.responses) last = answers[t] = a;
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
  RequestId token = 0;
  std::map<RequestId, Response> answers;
};

TEST_F(Told, AReadNeverSeesWhatIsNotDurable) {
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

TEST_F(Told, AFullDiskRefusesChangesAndGoesOnWhenThereIsRoom) {
  const uint64_t lease = Ask(GrantLeaseRequest{Seconds(1)}).lease;
  Ask(Put("l", "1", lease));
  machine.Submit(now, ++token, Put("a", "1"));
  EXPECT_EQ(Serve(WriteOutcome::kAbsent).outcome, Outcome::kRefused);
  EXPECT_EQ(Ask(Put("a", "2")).outcome, Outcome::kRefused);
  EXPECT_EQ(Ask(GetRequest{"l"}).outcome, Outcome::kOk);
  // The lease has expired meanwhile; it is renewed at the end of the outage.
  now += Seconds(5);
  machine.Tick(now);
  Serve(WriteOutcome::kDurable);
  EXPECT_FALSE(machine.writes_blocked());
  EXPECT_EQ(Ask(GetRequest{"l"}).outcome, Outcome::kOk);
  EXPECT_EQ(Ask(Put("a", "3")).outcome, Outcome::kOk);
  now += Millis(999);
  machine.Tick(now);
  Serve();
  EXPECT_EQ(Ask(GetRequest{"l"}).outcome, Outcome::kOk);
  now += Millis(1);
  machine.Tick(now);
  Serve();
  EXPECT_EQ(Ask(GetRequest{"l"}).outcome, Outcome::kNotFound);
}

TEST_F(Told, AnUnknownFateIsNotAnsweredAndIsSettledLater) {
  machine.Submit(now, ++token, Put("a", "1"));
  const Batch batch = *machine.TakeEffects().write;
  machine.OnWriteCompleted(now, batch.id, WriteOutcome::kUnknown);
  EXPECT_EQ(machine.TakeEffects().responses.at(0).second.outcome, Outcome::kUnknown);
  EXPECT_EQ(Ask(Put("b", "1")).outcome, Outcome::kRefused);
  EXPECT_EQ(Ask(GetRequest{"a"}).outcome, Outcome::kNotFound);
  machine.OnWriteCompleted(now, batch.id, WriteOutcome::kDurable);  // it turns out to be on disk
  EXPECT_EQ(Ask(GetRequest{"a"}).outcome, Outcome::kOk);
  EXPECT_EQ(Ask(Put("b", "1")).outcome, Outcome::kOk);
}

TEST_F(Told, WatchesWaitAnswerAndAreToldOfWhatIsForgotten) {
  Ask(Put("a", "1"));
  machine.Submit(now, 100, WatchRequest{"b", 1, Seconds(10)});
  Ask(Put("a", "2"));
  EXPECT_FALSE(answers.contains(100));
  Ask(Put("b", "3"));
  ASSERT_TRUE(answers.contains(100));
  EXPECT_EQ(answers[100].changes, (std::vector<ChangeLogEntry>{{3, "b", "3"}}));
  machine.Submit(now, 101, WatchRequest{"b", 3, Seconds(10)});
  now += Seconds(10);
  machine.Tick(now);
  Serve();
  EXPECT_TRUE(answers[101].changes.empty());
  EXPECT_EQ(answers[101].revision, 3u);
  for (size_t i = 0; i < kMinChangeLogEntries; ++i) Ask(Put("c", "1"));
  EXPECT_EQ(Ask(WatchRequest{"", 2, {}}).outcome, Outcome::kCompacted);
  EXPECT_EQ(Ask(WatchRequest{"", 3, {}}).changes.size(), kMinChangeLogEntries);
  // A revision from before an older snapshot was restored.
  EXPECT_EQ(Ask(WatchRequest{"", machine.state().revision + 1, {}}).outcome, Outcome::kCompacted);
}

TEST_F(Told, LimitsAreKeptAndBurstsAllowed) {
  Limits limits;
  limits.requests_per_s = 10;
  limits.changes_per_s = 4;
  limits.value_bytes = 8;
  limits.commit_changes = 2;
  machine = StateMachine(limits, {}, now);
  EXPECT_EQ(Ask(Put("a", "123456789")).outcome, Outcome::kInvalid);
  CompareAndSwapRequest three;
  for (const char* k : {"a", "b", "c"}) three.mutations.push_back({k, "1", 0});
  EXPECT_EQ(Ask(three).outcome, Outcome::kInvalid);
  three.mutations.pop_back();
  EXPECT_EQ(Ask(three).outcome, Outcome::kOk);
  EXPECT_EQ(Ask(three).outcome, Outcome::kOk);
  EXPECT_EQ(Ask(three).outcome, Outcome::kRateLimited);
  for (int i = 0; i < 7; ++i) EXPECT_NE(Ask(GetRequest{"a"}).outcome, Outcome::kRateLimited);
  EXPECT_EQ(Ask(GetRequest{"a"}).outcome, Outcome::kRateLimited);
  now += Seconds(1);
  EXPECT_EQ(Ask(three).outcome, Outcome::kOk);
}

TEST_F(Told, ARangeIsCutAtItsLimitsAndGoesOn) {
  for (int i = 0; i < 300; ++i) {
    Ask(Put("r/" + std::to_string(1000 + i), std::string(4000, '1')));
  }
  size_t seen = 0;
  std::string after;
  for (int page = 0; page < 5; ++page) {
    const Response a = Ask(ListRequest{"r/", after, 200});
    seen += a.entries.size();
    EXPECT_LE(a.entries.size(), 129u);  // 512 KiB
    if (!a.has_more) break;
    after = a.entries.back().first;
  }
  EXPECT_EQ(seen, 300u);
}

TEST(StoreWire, RefusesWhatIsMalformed) {
  const auto status = [](const char* method, const char* target, const char* body) {
    return wire::ParseStoreCall(method, target, body).status;
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
