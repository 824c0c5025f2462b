// Failure detection among controllers: a simulated network of members in simulated time, with one
// seed per run.
#include <gtest/gtest.h>

#include <iostream>
#include <queue>

#include "membership/members.h"

namespace badgershore::membership {
namespace {

struct SimulatedNetwork {
  SimulatedNetwork(int count, uint64_t seed) : random(seed) {
    std::vector<std::string> names;
    for (int i = 0; i < count; ++i) names.push_back("m-" + std::to_string(100 + i));
    for (const std::string& name : names) {
      Settings s;
      s.self = name;
      for (const std::string& other : names)
        if (other != name) s.others.push_back(other);
      members.emplace(name, Members(s, 1000, random()));
    }
  }
  void Run(Micros span) {
    const Micros end = now + span;
    while (now < end) {
      now += Millis(20);
      while (!in_flight.empty() && in_flight.top().first <= now) {
        const Message m = in_flight.top().second;
        in_flight.pop();
        if (crashed.contains(m.to) || paused.contains(m.to)) continue;
        members.at(m.to).OnMessage(now, m);
        SendPending(m.to);
      }
      for (auto& [name, member] : members) {
        if (crashed.contains(name) || paused.contains(name)) continue;
        member.Tick(now);
        SendPending(name);
      }
    }
  }
  void SendPending(const std::string& from) {
    for (const Message& m : members.at(from).Take()) {
      ++messages;
      const double chance = static_cast<double>(random() % 1000) / 1000;
      if (chance < loss_rate || partitioned.contains({from, m.to})) continue;
      const Micros delay = Millis(1 + static_cast<int64_t>(random() % 20)) + extra_delay[from];
      in_flight.push({now + delay, m});
    }
  }
  int CountSuspecting(const std::string& member, bool confirmed = false) const {
    int n = 0;
    for (const auto& [name, m] : members) {
      if (name == member || crashed.contains(name)) continue;
      n += confirmed ? m.IsSuspicionConfirmed(now, member)
                     : m.Find(member)->state == State::kSuspect;
    }
    return n;
  }

  struct DeliveredLater {
    bool operator()(const std::pair<Micros, Message>& a,
                    const std::pair<Micros, Message>& b) const {
      return a.first > b.first;
    }
  };
  std::map<std::string, Members> members;
  std::priority_queue<std::pair<Micros, Message>, std::vector<std::pair<Micros, Message>>,
                      DeliveredLater>
      in_flight;
  std::set<std::string> crashed, paused;
  std::set<std::pair<std::string, std::string>> partitioned;
  std::map<std::string, Micros> extra_delay;
  double loss_rate = 0;
  uint64_t messages = 0;
  std::mt19937_64 random;
  Micros now = Seconds(10);
};

TEST(Members, ConfirmsNoSuspicionWithTenPercentMessageLoss) {
  for (const int count : {3, 9, 48}) {
    SimulatedNetwork network(count, 1);
    network.loss_rate = 0.1;
    network.Run(Seconds(120));
    for (const auto& [name, m] : network.members)
      EXPECT_EQ(network.CountSuspecting(name, true), 0) << name;
  }
}

TEST(Members, CrashIsSuspectedByAllAndSoonConfirmed) {
  for (const int count : {3, 9, 48}) {
    SimulatedNetwork network(count, 2);
    network.Run(Seconds(10));
    network.crashed = {"m-101"};
    Micros first_suspected = kNever, suspected_by_all = kNever, confirmed = kNever;
    const Micros crashed_at = network.now;
    while (confirmed == kNever && network.now - crashed_at < Seconds(60)) {
      network.Run(Millis(100));
      const int n = network.CountSuspecting("m-101");
      if (n > 0) first_suspected = std::min(first_suspected, network.now - crashed_at);
      if (n == count - 1) suspected_by_all = std::min(suspected_by_all, network.now - crashed_at);
      if (network.CountSuspecting("m-101", true) == count - 1) confirmed = network.now - crashed_at;
    }
    std::cout << count << " members: first suspected after " << first_suspected.ToSeconds()
              << " s, by all " << suspected_by_all.ToSeconds() << " s, confirmed "
              << confirmed.ToSeconds() << " s\n";
    EXPECT_LT(first_suspected, Seconds(3)) << count;
    EXPECT_LT(confirmed, Seconds(12)) << count;
    // After a restart with a later incarnation all members consider it alive.
    Settings s;
    s.self = "m-101";
    for (const auto& [name, m] : network.members)
      if (name != s.self) s.others.push_back(name);
    network.members.insert_or_assign("m-101", Members(s, 2000, 5));
    network.crashed.clear();
    network.Run(Seconds(15));
    EXPECT_EQ(network.CountSuspecting("m-101"), 0) << count;
  }
}

// Guards against a paused member that considers the others failed when it resumes.
TEST(Members, ResumedMemberSuspectsNoOther) {
  SimulatedNetwork network(3, 3);
  network.Run(Seconds(10));
  network.paused = {"m-100"};
  network.Run(Seconds(8));
  EXPECT_EQ(network.CountSuspecting("m-100"), 2);
  network.paused.clear();
  network.Run(Millis(300));
  EXPECT_GT(network.members.at("m-100").health_multiplier(), 1);
  EXPECT_EQ(network.members.at("m-100").Find("m-101")->state, State::kAlive);
  network.Run(Seconds(5));
  EXPECT_EQ(network.CountSuspecting("m-100"), 0);  // it has refuted the suspicion
  EXPECT_GT(network.members.at("m-100").incarnation(), 1000u);
  EXPECT_EQ(network.CountSuspecting("m-101") + network.CountSuspecting("m-102"), 0);
}

// A member that is cut off from one peer is reached through the other. A member that is cut off
// from all peers detects that it is isolated.
TEST(Members, DistinguishesPartialPartitionFromIsolation) {
  SimulatedNetwork network(3, 4);
  network.Run(Seconds(5));
  network.partitioned = {{"m-100", "m-101"}, {"m-101", "m-100"}};
  network.Run(Seconds(20));
  EXPECT_EQ(network.CountSuspecting("m-100", true) + network.CountSuspecting("m-101", true), 0);
  network.partitioned = {
      {"m-100", "m-101"}, {"m-101", "m-100"}, {"m-100", "m-102"}, {"m-102", "m-100"}};
  network.Run(Seconds(20));
  EXPECT_TRUE(network.members.at("m-100").IsIsolated(network.now));
  EXPECT_FALSE(network.members.at("m-101").IsIsolated(network.now));
  EXPECT_EQ(network.members.at("m-100").Find("m-101")->state, State::kAlive);
  EXPECT_EQ(network.CountSuspecting("m-100", true), 2);
}

TEST(Members, LeavingMemberIsNotSuspectedAndStaleMessagesAreIgnored) {
  SimulatedNetwork network(3, 5);
  network.Run(Seconds(5));
  Message stale;
  stale.kind = Message::Kind::kPing;
  stale.from = "m-102";
  stale.to = "m-100";
  stale.incarnation = 999;
  stale.gossip = {{"m-101", State::kSuspect, 999, "m-102"}};
  network.members.at("m-102").Leave(network.now);
  network.SendPending("m-102");
  network.Run(Millis(200));
  network.crashed = {"m-102"};
  network.Run(Seconds(20));
  network.members.at("m-100").OnMessage(network.now, stale);
  EXPECT_EQ(network.members.at("m-100").Find("m-102")->state, State::kLeft);
  EXPECT_EQ(network.members.at("m-100").Find("m-101")->state, State::kAlive);
}

TEST(Members, MessageRatePerMemberIsIndependentOfMemberCount) {
  for (const int count : {3, 9, 48}) {
    SimulatedNetwork network(count, 6);
    network.Run(Seconds(60));
    const double messages_per_second = static_cast<double>(network.messages) / count / 60;
    std::cout << count << " members: " << messages_per_second << " messages a second each\n";
    EXPECT_LT(messages_per_second, 5);
    network.messages = 0;
    network.crashed = {"m-101"};
    network.Run(Seconds(60));
    EXPECT_LT(static_cast<double>(network.messages) / (count - 1) / 60, 8) << count;
  }
}

}  // namespace
}  // namespace badgershore::membership
