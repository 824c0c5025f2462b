// Tests of the load balancer, the supervisor and the choice of free ports.
#include <gtest/gtest.h>

#include <fstream>
#include <set>

#include "site/core/balance.h"
#include "site/core/supervise.h"
#include "site/process.h"

namespace badgershore::site {
namespace {

TEST(Balance, HealthFollowsProbeRules) {
  Balancer b(2);
  Micros now = Seconds(100);
  EXPECT_TRUE(b.Order(now, 0).empty());
  b.OnProbe(now, 0, true);  // for a node that has never been healthy one success is enough
  EXPECT_TRUE(b.healthy(0));
  b.OnProbe(now, 0, false);
  EXPECT_TRUE(b.healthy(0));
  b.OnProbe(now, 0, false);  // two failures in a row
  EXPECT_FALSE(b.healthy(0));
  for (int i = 0; i < 2; ++i) b.OnProbe(now += Seconds(1), 0, true);
  EXPECT_FALSE(b.healthy(0));  // not until 3 s after its removal
  b.OnProbe(now += Seconds(1), 0, true);
  EXPECT_TRUE(b.healthy(0));
  for (const bool good : {false, true, false, true, false}) b.OnProbe(now += Seconds(1), 0, good);
  EXPECT_FALSE(b.healthy(0));  // three failures among the last six probes; the pause is doubled
  for (int i = 0; i < 5; ++i) b.OnProbe(now += Seconds(1), 0, true);
  EXPECT_FALSE(b.healthy(0));
  b.OnProbe(now += Seconds(1), 0, true);
  EXPECT_TRUE(b.healthy(0));
}

TEST(Balance, PrefersLeastConnectionsAndSkipsRefusingNodes) {
  Balancer b(4);
  const Micros now = Seconds(100);
  for (size_t i = 0; i < 4; ++i) b.OnProbe(now, i, true);
  b.OnOpen(0);
  b.OnOpen(0);
  b.OnOpen(1);
  EXPECT_EQ(b.Order(now, 0), (std::vector<size_t>{2, 3, 1}));
  for (int i = 0; i < 3; ++i) b.OnConnect(now, 2, false);
  EXPECT_EQ(b.Order(now, 0), (std::vector<size_t>{3, 1, 0}));
  EXPECT_EQ(b.Order(now + Seconds(3), 0).front(), 2u);
}

using Kind = Supervisor::Action::Kind;

TEST(Supervise, StartsInStagesAndBacksOffRestarts) {
  Supervisor s({1, 0});
  Micros now = Seconds(100);
  auto did = s.Tick(now);
  ASSERT_EQ(did.size(), 1u);
  EXPECT_EQ(did[0].child, 1u);
  EXPECT_TRUE(s.Tick(now + Millis(100)).empty());
  did = s.Tick(now += Millis(300));
  ASSERT_EQ(did.size(), 1u);
  EXPECT_EQ(did[0].child, 0u);
  Micros pause;
  for (int i = 0; i < 8; ++i) {  // the child ends as soon as it has started
    s.OnEnded(now, 0);
    const Micros ended = now;
    while (s.Tick(now).empty()) now += Millis(50);
    EXPECT_GE(now - ended, pause);
    pause = now - ended;
  }
  EXPECT_LE(pause, Seconds(10));
  now += Seconds(60);
  s.OnEnded(now, 0);
  EXPECT_EQ(s.Tick(now += Millis(500)).size(), 1u);
}

TEST(Supervise, StopsLaterStagesFirstAndEscalatesToKill) {
  Supervisor s({0, 1});
  Micros now = Seconds(100);
  s.Tick(now);
  s.Tick(now += Seconds(1));
  s.Stop(now);
  auto did = s.Tick(now);
  ASSERT_EQ(did.size(), 1u);
  EXPECT_EQ(did[0].child, 1u);
  EXPECT_EQ(did[0].kind, Kind::kTerminate);
  EXPECT_TRUE(s.Tick(now + Seconds(1)).empty());
  did = s.Tick(now += Seconds(5));
  ASSERT_EQ(did.size(), 1u);
  EXPECT_EQ(did[0].kind, Kind::kKill);
  s.OnEnded(now, 1);
  EXPECT_FALSE(s.all_stopped());
  did = s.Tick(now);
  ASSERT_EQ(did.size(), 1u);
  EXPECT_EQ(did[0].child, 0u);
  s.OnEnded(now, 0);
  EXPECT_TRUE(s.all_stopped());
  EXPECT_TRUE(s.Tick(now += Seconds(60)).empty());  // no child is restarted after Stop
}

TEST(SiteFreeAddress, IsBelowEphemeralPorts) {
  std::ifstream in("/proc/sys/net/ipv4/ip_local_port_range");
  int first_outgoing = 32768;
  in >> first_outgoing;
  std::set<std::string> given;
  for (int i = 0; i < 100; ++i) {
    const std::string address = site::FreeAddress();
    EXPECT_LT(std::atoi(address.c_str() + address.rfind(':') + 1), first_outgoing) << address;
    EXPECT_TRUE(given.insert(address).second) << address << " was returned twice";
  }
}

}  // namespace
}  // namespace badgershore::site
