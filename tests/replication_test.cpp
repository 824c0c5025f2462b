// The replication protocol: random walks and exploration of its model, also with injected protocol
// errors, which must be found, and unit tests of single steps.
#include <gtest/gtest.h>

#include "check/replication_model.h"
#include "replication/core/replica.h"

namespace badgershore::replication {
namespace {

using check::ExplorationResult;
using check::ReplicationFault;
using check::ReplicationPlan;

ExplorationResult RandomWalks(const ReplicationPlan& plan, uint64_t walks) {
  return check::RunRandomWalks([&] { return check::MakeReplicationModel(plan); }, walks, 160, 1);
}

ReplicationPlan LongPlan() {
  ReplicationPlan plan;
  plan.proposals = 12;
  plan.restarts = 4;
  plan.losses = 12;
  plan.time_steps = 60;
  return plan;
}

TEST(ReplicationModel, RandomWalksKeepTheInvariants) {
  check::ReplicationCoverage seen;
  ReplicationPlan plan = LongPlan();
  plan.coverage = &seen;
  const ExplorationResult out = RandomWalks(plan, 3000);
  EXPECT_GT(seen.commits, 10000u);
  EXPECT_GT(seen.leaders, 4000u);  // each walk starts with one
  EXPECT_GT(seen.images, 50u);
  EXPECT_EQ(out.violation, "") << testing::PrintToString(out.path);
  EXPECT_EQ(out.states, 3000u);
  EXPECT_GT(out.depth, 100);
}

TEST(ReplicationModel, RandomWalksWithALostDiskKeepTheInvariants) {
  ReplicationPlan plan = LongPlan();
  plan.disk_losses = 1;
  const ExplorationResult out = RandomWalks(plan, 2000);
  EXPECT_EQ(out.violation, "") << testing::PrintToString(out.path);
}

TEST(ReplicationModel, ShortEventSequencesKeepTheInvariants) {
  ReplicationPlan plan;
  plan.proposals = 1;
  plan.losses = 0;
  plan.time_steps = 3;
  const ExplorationResult out = check::Explore(check::ReplicationModel(plan), 8000);
  EXPECT_EQ(out.violation, "") << testing::PrintToString(out.path);
  EXPECT_GE(out.depth, 4);
}

class InjectedError : public testing::TestWithParam<ReplicationFault> {};

TEST_P(InjectedError, IsDetected) {
  ReplicationPlan plan = LongPlan();
  plan.fault = GetParam();
  plan.disk_losses = GetParam() == ReplicationFault::kEmptyDiskIsMember ? 1 : 0;
  EXPECT_NE(RandomWalks(plan, 20000).violation, "");
}

INSTANTIATE_TEST_SUITE_P(Faults, InjectedError,
                         testing::Values(ReplicationFault::kLosesDurableState,
                                         ReplicationFault::kSlowClock,
                                         ReplicationFault::kEmptyDiskIsMember));

constexpr Micros kLease = Seconds(1);

Settings ThreeReplicas(const std::string& self) {
  Settings settings;
  settings.self = self;
  settings.replicas = {"a", "b", "c"};
  settings.lease = kLease;
  return settings;
}

PersistentState Member(Position position = {1, 5}) {
  PersistentState stored;
  stored.history = "h";
  stored.member = true;
  stored.position = position;
  return stored;
}

template <typename Body>
Message From(const std::string& name, Body body) {
  return {name, "h", std::move(body)};
}

// The response to the message; disk writes complete immediately.
template <typename Body>
std::optional<Body> ResponseTo(Replica* replica, Micros now, const Message& message) {
  replica->OnMessage(now, message);
  std::optional<Body> found;
  for (int round = 0; round < 3; ++round) {
    Effects out = replica->Take();
    for (const auto& [to, sent] : out.send) {
      if (const auto* body = std::get_if<Body>(&sent.body)) found = *body;
    }
    if (!out.write) break;
    replica->OnStored(now, true);
  }
  return found;
}

bool GrantsVote(Replica* replica, Micros now, const std::string& candidate, VoteRequest request) {
  const auto response = ResponseTo<VoteResponse>(replica, now, From(candidate, request));
  return response && response->granted;
}

TEST(Replica, VotesOncePerTermAcrossRestarts) {
  Replica voter(ThreeReplicas("a"), Member(), 1, Seconds(10));
  const VoteRequest request{7, false, {1, 5}};
  EXPECT_TRUE(GrantsVote(&voter, Seconds(12), "b", request));
  EXPECT_FALSE(GrantsVote(&voter, Seconds(12), "c", request));
  EXPECT_EQ(voter.stored().vote, (Vote{7, "b"}));
  // After a restart it has only its persistent state.
  Replica restarted(ThreeReplicas("a"), voter.stored(), 2, Seconds(13));
  EXPECT_FALSE(GrantsVote(&restarted, Seconds(15), "c", request));
  EXPECT_TRUE(GrantsVote(&restarted, Seconds(15), "b", request));
}

TEST(Replica, RefusesVotesForCandidatesBehindIt) {
  Replica voter(ThreeReplicas("a"), Member({3, 9}), 1, Seconds(10));
  EXPECT_FALSE(GrantsVote(&voter, Seconds(12), "b", {8, false, {3, 8}}));
  EXPECT_FALSE(GrantsVote(&voter, Seconds(12), "b", {8, false, {2, 99}}));
  EXPECT_TRUE(GrantsVote(&voter, Seconds(12), "b", {8, false, {3, 9}}));
}

TEST(Replica, RefusesVotesWithinALeaseOfALeadersMessage) {
  Replica follower(ThreeReplicas("a"), Member(), 1, Seconds(10));
  const Micros heard = Seconds(20);
  follower.OnMessage(heard, From("b", AppendRequest{7, heard, std::nullopt}));
  follower.Take();
  const VoteRequest request{9, false, {1, 9}};
  EXPECT_FALSE(GrantsVote(&follower, heard + Millis(990), "c", request));
  EXPECT_EQ(follower.term(), 7u);
  EXPECT_TRUE(GrantsVote(&follower, heard + kLease, "c", request));
  // After a restart it may have promised a lease to a leader before.
  Replica restarted(ThreeReplicas("a"), Member(), 1, Seconds(30));
  EXPECT_FALSE(GrantsVote(&restarted, Seconds(30) + Millis(990), "c", request));
}

TEST(Replica, WithAnEmptyDiskIsNoMemberUntilItHasTheState) {
  Replica empty(ThreeReplicas("a"), PersistentState{}, 1, Seconds(10));
  EXPECT_FALSE(GrantsVote(&empty, Seconds(15), "b", {8, false, {1, 9}}));
  const Micros now = Seconds(16);
  const auto response =
      ResponseTo<AppendResponse>(&empty, now, From("b", AppendRequest{8, now, std::nullopt}));
  ASSERT_TRUE(response);
  EXPECT_FALSE(response->member);
  const SnapshotChunk part{8, now, {8, 10}, 0, 3, "abc"};
  const auto installed = ResponseTo<AppendResponse>(&empty, now, From("b", part));
  ASSERT_TRUE(installed);
  EXPECT_EQ(installed->position, (Position{8, 10}));
  EXPECT_FALSE(empty.stored().member);
  // It becomes a member after `rejoin_after`.
  const Micros later = Seconds(21);
  ResponseTo<AppendResponse>(&empty, later, From("b", AppendRequest{8, later, std::nullopt}));
  EXPECT_TRUE(empty.stored().member);
}

TEST(Replica, IgnoresAnOlderSnapshot) {
  Replica follower(ThreeReplicas("a"), Member({8, 20}), 1, Seconds(10));
  const SnapshotChunk part{9, Seconds(12), {8, 19}, 0, 3, "abc"};
  const auto response = ResponseTo<AppendResponse>(&follower, Seconds(12), From("b", part));
  ASSERT_TRUE(response);
  EXPECT_EQ(response->position, (Position{8, 20}));
}

TEST(Replica, IgnoresMessagesOfAnotherService) {
  Replica follower(ThreeReplicas("a"), Member(), 1, Seconds(10));
  Message foreign = From("b", AppendRequest{7, Seconds(12), std::nullopt});
  foreign.history = "other";
  EXPECT_FALSE(ResponseTo<AppendResponse>(&follower, Seconds(12), foreign));
  EXPECT_EQ(follower.leader(), "");
}

// A leader that has committed the first entry of its term; `c` has not responded yet.
Replica MakeLeader(Micros now) {
  Replica leader(ThreeReplicas("a"), Member(), 1, now - Seconds(3));
  leader.Tick(now);
  leader.Take();
  const uint64_t term = leader.term() + 1;
  leader.OnMessage(now, From("b", VoteResponse{term, true, true}));
  leader.Take();
  leader.OnStored(now, true);
  leader.OnMessage(now, From("b", VoteResponse{term, false, true}));
  leader.Take();
  leader.OnStored(now, true);
  leader.OnMessage(now, From("b", AppendResponse{term, now, {term, 6}, true, 0}));
  leader.Take();
  return leader;
}

TEST(Replica, ServesOnlyWhileItHoldsTheLeaderLease) {
  const Micros now = Seconds(13);
  Replica leader = MakeLeader(now);
  EXPECT_TRUE(leader.HoldsLeaderLease(now));
  EXPECT_TRUE(leader.HoldsLeaderLease(now + Millis(970)));
  EXPECT_FALSE(leader.HoldsLeaderLease(now + Millis(990)));
  const AppendResponse heard{leader.term(), now + Millis(990), {1, 5}, true, 0};
  leader.OnMessage(now + Millis(995), From("c", heard));
  EXPECT_TRUE(leader.HoldsLeaderLease(now + Millis(995)));
}

TEST(Replica, CommitsOnlyEntriesHeldByAMajority) {
  const Micros now = Seconds(13);
  Replica leader = MakeLeader(now);
  ASSERT_TRUE(leader.CanPropose());
  const Position position = leader.Propose(now, store::Batch{});
  leader.Take();
  leader.OnStored(now, true);
  EXPECT_TRUE(leader.Take().committed.empty());
  // Neither a replica that is no member nor an older position counts.
  leader.OnMessage(now, From("c", AppendResponse{leader.term(), now, position, false, 0}));
  leader.OnMessage(now, From("b", AppendResponse{leader.term(), now, {1, 5}, true, 0}));
  EXPECT_TRUE(leader.Take().committed.empty());
  leader.OnMessage(now, From("b", AppendResponse{leader.term(), now, position, true, 0}));
  EXPECT_EQ(leader.Take().committed, std::vector<Position>{position});
}

TEST(Replica, StepsDownWithoutResponses) {
  const Micros now = Seconds(13);
  Replica leader = MakeLeader(now);
  leader.Tick(now + Millis(1900));
  EXPECT_EQ(leader.role(), Replica::Role::kLeader);
  leader.Tick(now + Millis(2100));
  EXPECT_EQ(leader.role(), Replica::Role::kFollower);
}

// Guards against a leader with a hanging disk that keeps the whole service from committing.
TEST(Replica, StepsDownWhenItsDiskHangs) {
  const Micros now = Seconds(13);
  Replica leader = MakeLeader(now);
  leader.Propose(now, store::Batch{});
  const Micros due = now + kLease.Scaled(2) + Settings().heartbeat;
  for (Micros at = now; at <= due; at += Millis(50)) {
    leader.Tick(at);
    leader.OnMessage(at, From("b", AppendResponse{leader.term(), at, {1, 5}, true, 0}));
    leader.Take();
  }
  EXPECT_EQ(leader.role(), Replica::Role::kFollower);
  // When the write completes later, the entry is still recorded.
  leader.OnStored(now + Seconds(30), true);
  EXPECT_EQ(leader.stored().position, (Position{leader.term(), 7}));
}

TEST(Replica, StepsDownWhenItsDiskFails) {
  const Micros now = Seconds(13);
  Replica leader = MakeLeader(now);
  leader.Propose(now, store::Batch{});
  leader.OnStored(now, false);
  EXPECT_FALSE(leader.HoldsLeaderLease(now));
  EXPECT_EQ(leader.role(), Replica::Role::kFollower);
}

}  // namespace
}  // namespace badgershore::replication
