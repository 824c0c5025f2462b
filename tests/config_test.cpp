#include "config/config.h"

#include <gtest/gtest.h>

#include "config/scenario.h"
#include "config/yaml.h"

namespace badgershore::config {
namespace {

const std::string kGood =
    R"({"member":"m-0","site":"a","client_listen":"127.0.0.1:1","back":"127.0.0.1:2",
 "members":[{"member":"m-1","site":"a","addr":"127.0.0.1:3"}],"new_field":1,
 "external":{"cloud":"127.0.0.1:4","state":"127.0.0.1:5"},
 "params":{"zones":["a"],"teams":[{"name":"t","cpus":2.5,"cpus_max":4}],
  "objectives":[{"kind":"finished","class":"c","within_s":250.0,"share":0.9}],
  "workers":{"report_s":3.0,"lease_s":18.0,"gang_wait_s":30.0,"gang_peer_s":6.0,"cancel_s":43.0},
  "state":{"rps":120.0,"write_rps":15.0,"value_kb":8.0,"txn_ops":8},
  "cloud":{"rps":8.0,"list_lag_s":8.0},
  "quota":{"cores":0.1,"mem_mb":56.0,"max_connections":700}}})";

std::string PlatformErrorOf(std::string text, const std::string& from, const std::string& to) {
  const size_t at = text.find(from);
  EXPECT_NE(at, std::string::npos) << from;
  text.replace(at, from.size(), to);
  try {
    ParsePlatform(text, "f.json");
  } catch (const Error& e) {
    return e.what();
  }
  return "accepted";
}

TEST(Platform, ReadsTheFile) {
  const PlatformSettings s = ParsePlatform(kGood, "f.json");
  EXPECT_EQ(s.member, "m-0");
  EXPECT_EQ(s.agent_lease, Seconds(18));
  EXPECT_EQ(s.teams[0].guarantee.cpu, 2500);
  EXPECT_EQ(s.teams[0].limit.cpu, 4000);
  EXPECT_EQ(s.objectives[0].within, Seconds(250));
}

// The state service may lower its limits; `next` in the settings says to what.
TEST(Platform, ReadsTheLaterLimitsOfTheStateService) {
  EXPECT_FALSE(ParsePlatform(kGood, "f.json").next_state);
  const auto with_next = [](const std::string& next) {
    std::string text = kGood;
    const std::string last = "\"txn_ops\":8";
    return text.replace(text.find(last), last.size(), last + ",\"next\":" + next);
  };
  const PlatformSettings s = ParsePlatform(with_next(R"({"value_kb":2.0,"txn_ops":4})"), "f.json");
  ASSERT_TRUE(s.next_state);
  EXPECT_EQ(s.next_state->ValueBytes(), 2048u);
  EXPECT_EQ(s.next_state->mutations, 4);
  EXPECT_EQ(s.next_state->changes_per_s, 15);
  EXPECT_FALSE(ParsePlatform(with_next("null"), "f.json").next_state);
  EXPECT_EQ(
      PlatformErrorOf(with_next(R"({"value_kb":2.0})"), "\"value_kb\":2.0", "\"value_kb\":-1"),
      "f.json: params.state.next.value_kb: expected a number from 0.1 to 1e+06");
}

TEST(Platform, ErrorsNameFileFieldAndExpectedValue) {
  EXPECT_EQ(PlatformErrorOf(kGood, "\"lease_s\":18.0", "\"lease_s\":\"x\""),
            "f.json: params.workers.lease_s: expected a number from 0.001 to 1e+06");
  EXPECT_EQ(PlatformErrorOf(kGood, "127.0.0.1:5", "nowhere"),
            "f.json: external.state: expected ADDRESS:PORT");
  EXPECT_EQ(PlatformErrorOf(kGood, "\"member\":\"m-1\",", ""),
            "f.json: members[0].member: expected a non-empty string");
  EXPECT_EQ(PlatformErrorOf(kGood, "\"cancel_s\":43.0", "\"cancel_s\":10.0"),
            "f.json: params.workers.cancel_s: expected more than lease_s, or a cancellation can't "
            "be guaranteed");
  EXPECT_EQ(PlatformErrorOf(kGood, "{\"member\":\"m-0\"", "[1"), "f.json: expected a JSON object");
}

TEST(OperatorOptions, ReadsDefaultsAndOverrides) {
  EXPECT_EQ(ParseOptions("", "o.yaml").bucket_width, 2.0);
  const Options o = ParseOptions("dispatch:\n  bucket_width: 1.5\n  rebind_wait_s: 4\n", "o.yaml");
  EXPECT_EQ(o.bucket_width, 1.5);
  EXPECT_EQ(o.rebind_wait, Seconds(4));
}

TEST(OperatorOptions, RejectsUnknownKeysAndBadValues) {
  const auto error_of = [](const std::string& text) -> std::string {
    try {
      ParseOptions(text, "o.yaml");
    } catch (const Error& e) {
      return e.what();
    }
    return "accepted";
  };
  EXPECT_EQ(error_of("dispatch:\n  width: 2\n"),
            "o.yaml: dispatch.width: expected a known setting");
  EXPECT_EQ(error_of("nothing: {}\n"), "o.yaml: nothing: expected a known section");
  EXPECT_EQ(error_of("dispatch:\n  bucket_width: wide\n"),
            "o.yaml: dispatch.bucket_width: expected a number from 1.01 to 100");
  EXPECT_EQ(error_of("failover:\n  lease_s: 0\n"),
            "o.yaml: failover.lease_s: expected a number from 1 to 60");
  EXPECT_EQ(error_of("dispatch: [1\n").substr(0, 12), "o.yaml: line");
}

// Guards against an error without a line number, and a missing key that terminated the program.
TEST(Yaml, ErrorsNameFileLineAndExpectedValue) {
  const auto error_of = [](const std::string& text) -> std::string {
    try {
      YamlMap top = YamlMap::Parse(text, "f.yaml");
      YamlMap limits = top.Map("limits");
      limits.Number("rps", 0, 10, 1);
      limits.OneOf("mode", {"fast", "safe"}, 0);
      limits.RejectUnknownKeys();
      top.Each("list", [](YamlMap item) { item.Span("at_s", 0, 5); });
      top.RejectUnknownKeys();
      return "";
    } catch (const Error& e) {
      return e.what();
    }
  };
  EXPECT_EQ(error_of(""), "");
  EXPECT_EQ(error_of("limits:\n  rps: 3\n"), "");
  EXPECT_EQ(error_of("limits:\n  rps: 3\n  wps: 4\n"),
            "f.yaml:3: limits.wps: expected one of mode, rps");
  EXPECT_EQ(error_of("limits:\n  rps: 30\n"),
            "f.yaml:2: limits.rps: expected a number from 0 to 10");
  EXPECT_EQ(error_of("limits:\n  mode: slow\n"), "f.yaml:2: limits.mode: expected fast or safe");
  EXPECT_EQ(error_of("list:\n- at_s: 1\n- {}\n"), "f.yaml:3: list[1].at_s: expected a value");
  EXPECT_EQ(error_of("list: 3\n"), "f.yaml:1: list: expected a list");
  EXPECT_EQ(error_of("- 3\n"), "f.yaml:1: expected a map");
  EXPECT_EQ(error_of("limits: [\n").substr(0, 7), "f.yaml:");
}

const char kCells[] =
    "cells:\n"
    "- {name: north, backs: ['10.0.0.1:1', '10.0.0.2:1']}\n"
    "- {name: south, backs: ['10.0.1.1:1'], drains: true}\n"
    "- {name: old, heir: north}\n"
    "- {name: new, backs: ['10.0.2.1:1'], founding: false}\n";

TEST(Cells, ReadsCellsAndFindsOwnCellByAddress) {
  const CellsConfig plan = config::ParseCells(kCells, "cells.yaml", "10.0.1.1:1");
  EXPECT_EQ(plan.self, "south");
  ASSERT_EQ(plan.cells.size(), 4u);
  EXPECT_TRUE(plan.cells[1].draining);
  EXPECT_EQ(plan.cells[2].successor, "north");
  EXPECT_FALSE(plan.cells[3].initial_member);
}

TEST(Cells, ErrorsNameFileLineAndExpectedValue) {
  const auto error_of = [](const std::string& text) -> std::string {
    try {
      config::ParseCells(text, "cells.yaml", "10.0.0.1:1");
    } catch (const config::Error& e) {
      return e.what();
    }
    return "";
  };
  EXPECT_EQ(error_of(kCells), "");
  for (const auto& [text, expected] : std::map<std::string, std::string>{
           {"cells: []\n", "at least one cell"},
           {"cells:\n- {name: a, backs: ['1.1.1.1:1']}\n", "a cell with this controller's address"},
           {"cells:\n- {name: a, backs: ['10.0.0.1:1']}\n- {name: a, backs: ['1.1.1.1:1']}\n",
            "a unique cell name"},
           {"cells:\n- {name: a, backs: ['10.0.0.1:1']}\n- {name: b, heir: c}\n", "heir of b"},
           {"cells:\n- {name: a, backs: ['10.0.0.1:1'], floor: 1}\n", "floor"}}) {
    EXPECT_NE(error_of(text).find(expected), std::string::npos) << text << error_of(text);
    EXPECT_EQ(error_of(text).rfind("cells.yaml", 0), 0u) << error_of(text);
  }
}

// Guards against a fault that matches no host: the scenario would pass without any fault.
TEST(ScenarioFile, RejectsFaultsThatMatchNoHost) {
  const auto error_of = [](const std::string& fault) -> std::string {
    try {
      config::ParseScenario(
          "about: a\nduration_s: 9\nteams: [{name: t}]\nmachine_types: [{name: m}]\n"
          "classes: [{name: c, run_s: 1}]\ntroubles:\n- {" +
              fault + "}\n",
          "n.yaml");
    } catch (const config::Error& e) {
      return e.what();
    }
    return "";
  };
  EXPECT_EQ(error_of("kind: cut, who: followers, whom: machines, at_s: 1, for_s: 1"), "");
  EXPECT_EQ(error_of("kind: kill, who: followers, at_s: 1"),
            "n.yaml:7: troubles[0].who: expected leader, all or node-0 to node-2; followers only "
            "for a cut");
  EXPECT_NE(error_of("kind: late_reportz, at_s: 1").find("n.yaml:7: troubles[0].kind: expected"),
            std::string::npos);
}

}  // namespace
}  // namespace badgershore::config
