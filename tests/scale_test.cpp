// Tests of the parts of a scale run without processes: plans, start times, reports, slopes and
// capacity tables.
#include <gtest/gtest.h>

#include "config/config.h"
#include "rehearsal/history.h"
#include "scale/core/capacity.h"
#include "scale/core/plan.h"
#include "scale/core/report.h"
#include "scale/core/slopes.h"
#include "scale/core/start_times.h"

namespace badgershore::scale {
namespace {

using rehearsal::Event;

const char* const kPlan = R"(about: A plan
workers: 10
teams: 3
quota_cpus: 50
starts_per_s: 20
tasks_per_job: 10
task_run_s: 2
urgent: {gang_sizes: [2, 4], per_minute: 60, run_s: 1}
phases: {ramp_s: 4, steady_s: 5, peak_s: 10, settle_s: 30}
faults: {kill_leader: true, lose_workers: 0.2}
)";

std::string ErrorOf(const std::string& text) {
  try {
    ParsePlan(text, "plan.yaml");
  } catch (const config::Error& e) {
    return e.what();
  }
  return "";
}

Event At(int64_t at_s, Event::Kind kind, const std::string& job, int task = 0) {
  Event e;
  e.at_us = at_s * 1000000;
  e.kind = kind;
  e.job = job;
  e.task = task;
  e.machine = "n-000001";
  return e;
}

Event Submitted(int64_t at_s, const std::string& job, const std::string& lane, int tasks) {
  Event e = At(at_s, Event::Kind::kSubmitted, job);
  e.facts.job_class = lane;
  e.facts.tasks = tasks;
  return e;
}

TEST(Plan, ScenarioArrivalsMatchPlan) {
  const Plan plan = ParsePlan(kPlan, "plan.yaml");
  const config::Scenario scenario = ToScenario(plan);
  EXPECT_EQ(scenario.site.teams.size(), 3u);
  EXPECT_EQ(scenario.site.teams[0].limit.cpu, 50000);
  EXPECT_EQ(scenario.types.at(0).up, 10);
  double peak_tasks = 0, urgent_jobs = 0;
  for (const config::JobClass& c : scenario.classes) {
    const int jobs = static_cast<int>(c.per_minute * (c.until - c.from).ToSeconds() / 60);
    EXPECT_GT(jobs, 0) << "a job class has no jobs";
    if (c.spec.job_class == kUrgentClass) urgent_jobs += jobs;
    if (c.spec.job_class == kBatchClass && c.until == Seconds(19)) peak_tasks += jobs * c.min_tasks;
  }
  EXPECT_EQ(peak_tasks, 200);  // 20 per second for 10 s
  EXPECT_EQ(urgent_jobs, 19);  // one per second for 19 s
  ASSERT_EQ(scenario.troubles.size(), 2u);
  EXPECT_EQ(scenario.troubles[0].at, Seconds(14));  // the middle of the peak
}

TEST(Plan, ErrorsNameFieldAndExpectedValue) {
  EXPECT_EQ(ErrorOf(kPlan), "");
  EXPECT_NE(ErrorOf(std::string(kPlan) + "teem: 3\n").find("teem"), std::string::npos);
  std::string text = kPlan;
  text.replace(text.find("workers: 10"), 11, "workers: -1");
  EXPECT_NE(ErrorOf(text).find("workers"), std::string::npos);
  text = kPlan;
  text.replace(text.find("[2, 4]"), 6, "[0]");
  EXPECT_NE(ErrorOf(text).find("gang_sizes"), std::string::npos);
  EXPECT_THROW(VaryPlan(ParsePlan(kPlan, "p"), "tims", 3), config::Error);
  EXPECT_THROW(VaryPlan(ParsePlan(kPlan, "p"), "teams", 0), config::Error);
  EXPECT_EQ(VaryPlan(ParsePlan(kPlan, "p"), "gang_size", 64).urgent.gang_sizes,
            std::vector<int>{64});
}

TEST(StartTimes, MeasuresWaitForFirstAndLastTask) {
  StartTimes times;
  times.OnEvent(Submitted(10, "job-1", "batch", 2));
  times.OnEvent(At(12, Event::Kind::kTaskStarted, "job-1", 0));
  times.OnEvent(At(13, Event::Kind::kTaskStarted, "job-1", 0));  // a restart of the first task
  EXPECT_EQ(times.classes().at("batch").started_whole, 0);
  times.OnEvent(At(18, Event::Kind::kTaskStarted, "job-1", 1));
  times.OnEvent(At(19, Event::Kind::kTaskExited, "job-1", 1));
  const StartTimes::ClassTimes& lane = times.classes().at("batch");
  EXPECT_EQ(lane.started_whole, 1);
  EXPECT_NEAR(lane.first_start.Quantile(0.5), 2, 0.15);
  EXPECT_NEAR(lane.last_start.longest(), 8, 1e-9);
  EXPECT_EQ(times.starts(), 3u);
  EXPECT_EQ(times.running(), 2);
  EXPECT_EQ(times.most_running(), 3);
  EXPECT_EQ(times.busiest_second(), 1);
  EXPECT_NEAR(times.busiest_mean(2), 1, 1e-9);  // seconds 2 and 3
}

TEST(Report, PhaseIsDifferenceOfTwoSamples) {
  Sample from, to;
  from.phase = "peak";
  to.at_s = 10;
  from.processes["node-0"] = {5, 20, 25};
  to.processes["node-0"] = {9, 30, 35};
  from.processes["node-1"] = {8, 10, 10};
  // Restarted between the samples: its processor time starts again at 0.
  to.processes["node-1"] = {1, 12, 12};
  to.leader = "node-0";
  from.leader_counters["badgershore_reports_total"] = 100;
  to.leader_counters["badgershore_reports_total"] = 300;
  to.leader_counters["badgershore_loop_longest_turn_seconds"] = 0.025;
  from.report_bytes = 1000;
  to.report_bytes = 21000;
  const PhaseUsage phase = UsageBetween(from, to, 10);
  EXPECT_NEAR(phase.cores.at("leader"), 0.4, 1e-9);
  EXPECT_NEAR(phase.cores.at("standby"), 0.1, 1e-9);
  EXPECT_NEAR(phase.resident_mb.at("leader"), 30, 1e-9);
  EXPECT_NEAR(phase.leader_per_s.at("badgershore_reports_total"), 20, 1e-9);
  EXPECT_NEAR(phase.longest_turn_ms, 25, 1e-9);
  EXPECT_NEAR(phase.worker_bytes_per_s, 200, 1e-9);
}

TEST(Report, IsCleanOnlyWithoutViolations) {
  Report report;
  EXPECT_TRUE(report.clean());
  report.open = 1;
  EXPECT_FALSE(report.clean());
  report.open = 0;
  report.broken.push_back({"ran_twice", 1, "job-1/0"});
  EXPECT_FALSE(report.clean());
  EXPECT_NE(ToTable(report).find("ran_twice"), std::string::npos);
  EXPECT_NE(ToJson(report).find("\"clean\":false"), std::string::npos);
}

std::vector<Row> RowsOf(double per_worker, double per_start, double squared = 0) {
  std::vector<Row> rows;
  for (const double workers : {250.0, 500.0, 1000.0, 2000.0}) {
    for (const double starts : {100.0, 400.0, 800.0}) {
      Row row;
      row.axis = "workers";
      row.size = workers;
      row.load = {workers,
                  starts,
                  starts * (3 + 0.001 * workers),
                  starts / (50 + 10 * static_cast<double>(rows.size() % 4)),
                  40 + static_cast<double>(rows.size() % 5),
                  static_cast<double>(rows.size() % 3)};
      row.measures["leader cores"] =
          0.01 + per_worker * workers + per_start * starts + squared * workers * workers;
      rows.push_back(row);
    }
  }
  return rows;
}

TEST(Slopes, FitRecoversKnownCoefficients) {
  const Fit fit = FitAll(RowsOf(4e-5, 2e-4)).at("leader cores");
  EXPECT_NEAR(fit.intercept, 0.01, 1e-6);
  EXPECT_NEAR(fit.slopes[0], 4e-5, 1e-9);
  EXPECT_NEAR(fit.slopes[1], 2e-4, 1e-9);
  EXPECT_NEAR(fit.r_squared, 1, 1e-9);
  Load planned;
  planned.workers = 2000;
  planned.starts_per_s = 1600;
  EXPECT_NEAR(fit.Estimate(planned), 0.01 + 0.08 + 0.32, 1e-6);
}

TEST(Slopes, ReportNonlinearCosts) {
  const Fit straight = FitAll(RowsOf(4e-5, 2e-4)).at("leader cores");
  const Fit bent = FitAll(RowsOf(4e-5, 2e-4, 1e-7)).at("leader cores");
  EXPECT_NEAR(straight.nonlinearity.at("workers"), 0, 1e-6);
  EXPECT_GT(bent.nonlinearity.at("workers"), 0.02);
}

TEST(Slopes, RowsRoundTripThroughJson) {
  const std::vector<Row> rows = RowsOf(1, 2);
  std::string text;
  for (const Row& row : rows) text += ToJsonLine(row);
  const std::vector<Row> read = ParseRows(text, "rows.jsonl");
  ASSERT_EQ(read.size(), rows.size());
  EXPECT_EQ(read[3].axis, "workers");
  EXPECT_EQ(read[3].size, rows[3].size);
  EXPECT_EQ(TermsOf(read[3].load), TermsOf(rows[3].load));
  EXPECT_EQ(read[3].measures, rows[3].measures);
  EXPECT_THROW(ParseRows("{}\n", "rows.jsonl"), config::Error);
  EXPECT_THROW(FitAll({rows.begin(), rows.begin() + 7}), config::Error);
}

TEST(Capacity, TablesReplaceOnlyTextBetweenMarkers) {
  const std::string begin = "<!-- badgershore-scale capacity: begin -->\n";
  const std::string end = "<!-- badgershore-scale capacity: end -->\n";
  EXPECT_EQ(ReplaceTables("a\n" + begin + "old\n" + end + "z\n", "new\n"),
            "a\n" + begin + "new\n" + end + "z\n");
  EXPECT_THROW(ReplaceTables("a\n", "new\n"), config::Error);
}

TEST(Capacity, ReportsShareOfWorkerBudget) {
  std::vector<Row> rows = RowsOf(0, 0);
  for (Row& row : rows) {
    row.measures = {{"report bytes/s", row.load.workers * 700},
                    {"hollow cores", row.load.workers * 0.007},
                    {"hollow MB", row.load.workers * 32}};
  }
  Load load;
  load.workers = 2000;
  const std::string tables = CapacityTables(rows, load, WorkerBudget{0.014, 64, 7000});
  EXPECT_NE(tables.find("| 7000 | 700 | 10.0% |"), std::string::npos) << tables;
  EXPECT_NE(tables.find("| 0.0140 | 0.0070 | 50.0% |"), std::string::npos) << tables;
  EXPECT_NE(tables.find("| 64.0 | 32.0 | 50.0% |"), std::string::npos) << tables;
}

}  // namespace
}  // namespace badgershore::scale
