// Failure detection among controllers: a simulated network of members in simulated time, with one
// seed per run.
#include <gtest/gtest.h>

#include <iostream>
#include <queue>

#include "membership/members.h"

namespace badgershore::membership {
namespace {

struct Net {
  Net(int count, uint64_t seed) : random(seed) {
    std::vector<std::string> names;
    for (int i = 0; i < count; ++i) names.push_back("m-" + std::to_string(100 + i));
    for (const std::string& name : names) {
      Settings s;
      s.self = name;
      for (const std::string& other : names)
        if (other != name) s.others.push_back(other);
      at.emplace(name, Members(s, 1000, random()));
    }
  }
  void Run(Micros span) {
    const Micros end = now + span;
    while (now < end) {
      now += Millis(20);
      while (!way.empty() && way.top().first <= now) {
        const Message m = way.top().second;
        way.pop();
        if (down.contains(m.to) || frozen.contains(m.to)) continue;
        at.at(m.to).OnMessage(now, m);
        Post(m.to);
      }
      for (auto& [name, member] : at) {
        if (down.contains(name) || frozen.contains(name)) continue;
        member.Tick(now);
        Post(name);
      }
    }
  }
  void Post(const std::string& from) {
    for (const Message& m : at.at(from).Take()) {
      ++messages;
      const double chance = static_cast<double>(random() % 1000) / 1000;
      if (chance < loss || cut.contains({from, m.to})) continue;
      const Micros delay = Millis(1 + static_cast<int64_t>(random() % 20)) + slow[from];
      way.push({now + delay, m});
    }
  }
  int Suspecting(const std::string& member, bool firm = false) const {
    int n = 0;
    for (const auto& [name, m] : at) {
      if (name == member || down.contains(name)) continue;
      n += firm ? m.IsSuspicionConfirmed(now, member) : m.Find(member)->state == State::kSuspect;
    }
    return n;
  }

  struct Later {
    bool operator()(const std::pair<Micros, Message>& a,
                    const std::pair<Micros, Message>& b) const {
      return a.first > b.first;
    }
  };
  std::map<std::string, Members> at;
  std::priority_queue<std::pair<Micros, Message>, std::vector<std::pair<Micros, Message>>, Later>
      way;
  std::set<std::string> down, frozen;
  std::set<std::pair<std::string, std::string>> cut;
  std::map<std::string, Micros> slow;
  double loss = 0;
  uint64_t messages = 0;
  std::mt19937_64 random;
  Micros now = Seconds(10);
};

TEST(Members, NobodyIsSuspectedWhereOneMessageInTenIsLost) {
  for (const int count : {3, 9, 48}) {
    Net net(count, 1);
    net.loss = 0.1;
    net.Run(Seconds(120));
    for (const auto& [name, m] : net.at) EXPECT_EQ(net.Suspecting(name, true), 0) << name;
  }
}

TEST(Members, AnEndIsSuspectedByAllAndFirmSoon) {
  for (const int count : {3, 9, 48}) {
    Net net(count, 2);
    net.Run(Seconds(10));
    net.down = {"m-101"};
    Micros first = kNever, all = kNever, firm = kNever;
    const Micros began = net.now;
    while (firm == kNever && net.now - began < Seconds(60)) {
      net.Run(Millis(100));
      const int n = net.Suspecting("m-101");
      if (n > 0) first = std::min(first, net.now - began);
      if (n == count - 1) all = std::min(all, net.now - began);
      if (net.Suspecting("m-101", true) == count - 1) firm = net.now - began;
    }
    std::cout << count << " members: first suspected after " << first.ToSeconds() << " s, by all "
              << all.ToSeconds() << " s, firm " << firm.ToSeconds() << " s\n";
    EXPECT_LT(first, Seconds(3)) << count;
    EXPECT_LT(firm, Seconds(12)) << count;
    // After a restart with a later incarnation all members consider it alive.
    Settings s;
    s.self = "m-101";
    for (const auto& [name, m] : net.at)
      if (name != s.self) s.others.push_back(name);
    net.at.insert_or_assign("m-101", Members(s, 2000, 5));
    net.down.clear();
    net.Run(Seconds(15));
    EXPECT_EQ(net.Suspecting("m-101"), 0) << count;
  }
}

// Guards against a paused member that considers the others failed when it resumes.
TEST(Members, AFrozenWatcherDoubtsItselfFirst) {
  Net net(3, 3);
  net.Run(Seconds(10));
  net.frozen = {"m-100"};
  net.Run(Seconds(8));
  EXPECT_EQ(net.Suspecting("m-100"), 2);
  net.frozen.clear();
  net.Run(Millis(300));
  EXPECT_GT(net.at.at("m-100").health_multiplier(), 1);
  EXPECT_EQ(net.at.at("m-100").Find("m-101")->state, State::kAlive);
  net.Run(Seconds(5));
  EXPECT_EQ(net.Suspecting("m-100"), 0);  // it has refuted the suspicion
  EXPECT_GT(net.at.at("m-100").incarnation(), 1000u);
  EXPECT_EQ(net.Suspecting("m-101") + net.Suspecting("m-102"), 0);
}

// A member that is cut off from one peer is reached through the other. A member that is cut off
// from all peers detects that it is isolated.
TEST(Members, PartialCutsAreToldApart) {
  Net net(3, 4);
  net.Run(Seconds(5));
  net.cut = {{"m-100", "m-101"}, {"m-101", "m-100"}};
  net.Run(Seconds(20));
  EXPECT_EQ(net.Suspecting("m-100", true) + net.Suspecting("m-101", true), 0);
  net.cut = {{"m-100", "m-101"}, {"m-101", "m-100"}, {"m-100", "m-102"}, {"m-102", "m-100"}};
  net.Run(Seconds(20));
  EXPECT_TRUE(net.at.at("m-100").IsIsolated(net.now));
  EXPECT_FALSE(net.at.at("m-101").IsIsolated(net.now));
  EXPECT_EQ(net.at.at("m-100").Find("m-101")->state, State::kAlive);
  EXPECT_EQ(net.Suspecting("m-100", true), 2);
}

TEST(Members, WhoLeavesIsNotSuspectedAndAnOldMessageBringsNothingBack) {
  Net net(3, 5);
  net.Run(Seconds(5));
  Message old;
  old.kind = Message::Kind::kPing;
  old.from = "m-102";
  old.to = "m-100";
  old.incarnation = 999;
  old.gossip = {{"m-101", State::kSuspect, 999, "m-102"}};
  net.at.at("m-102").Leave(net.now);
  net.Post("m-102");
  net.Run(Millis(200));
  net.down = {"m-102"};
  net.Run(Seconds(20));
  net.at.at("m-100").OnMessage(net.now, old);
  EXPECT_EQ(net.at.at("m-100").Find("m-102")->state, State::kLeft);
  EXPECT_EQ(net.at.at("m-100").Find("m-101")->state, State::kAlive);
}

TEST(Members, MessagesOfEachAreAsManyHoweverManyThereAre) {
  for (const int count : {3, 9, 48}) {
    Net net(count, 6);
    net.Run(Seconds(60));
    const double each = static_cast<double>(net.messages) / count / 60;
    std::cout << count << " members: " << each << " messages a second each\n";
    EXPECT_LT(each, 5);
    net.messages = 0;
    net.down = {"m-101"};
    net.Run(Seconds(60));
    EXPECT_LT(static_cast<double>(net.messages) / (count - 1) / 60, 8) << count;
  }
}

}  // namespace
}  // namespace badgershore::membership
