// badgershore-scale: runs a site of a given size on one machine, with hollow workers and emulated
// users against real controllers and a real state service, and reports the resource use of each
// role.
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "config/config.h"
#include "programs/common.h"
#include "scale/core/capacity.h"
#include "scale/core/slopes.h"
#include "scale/run.h"

namespace {

using namespace badgershore;

std::string ProgramFolder() {
  return std::filesystem::read_symlink("/proc/self/exe").parent_path().string();
}

// The directory of a run: a given one, which is kept, or a temporary one, which is removed with
// this object.
class RunFolder {
 public:
  explicit RunFolder(std::string kept) : path_(std::move(kept)), keep_(!path_.empty()) {
    if (keep_) return;
    path_ = (std::filesystem::temp_directory_path() / "badgershore-scale-XXXXXX").string();
    if (!::mkdtemp(path_.data())) throw config::Error(path_ + ": can't create the directory");
  }
  RunFolder(const RunFolder&) = delete;
  RunFolder& operator=(const RunFolder&) = delete;
  ~RunFolder() {
    std::error_code ignored;
    if (!keep_) std::filesystem::remove_all(path_, ignored);
  }
  const std::string& path() const { return path_; }

 private:
  std::string path_;
  bool keep_;
};

scale::Report RunOnce(const scale::Plan& plan, uint64_t seed, const std::string& keep) {
  const RunFolder folder(keep);
  scale::RunOptions options;
  options.programs = ProgramFolder();
  options.dir = folder.path();
  options.seed = seed;
  options.progress = ::isatty(STDERR_FILENO) == 1;
  scale::Run run(plan, std::move(options));
  return run.Execute();
}

void WriteFile(const std::string& file, const std::string& text) {
  std::ofstream out(file);
  out << text;
  if (!out.flush()) throw config::Error(file + ": can't write the file");
}

int RunPlan(const std::string& file, uint64_t seed, const std::string& json,
            const std::string& keep) {
  const scale::Report report = RunOnce(scale::LoadPlan(file), seed, keep);
  if (json == "-") {
    std::printf("%s\n", scale::ToJson(report).c_str());
  } else {
    std::printf("%s", scale::ToTable(report).c_str());
    if (!json.empty()) WriteFile(json, scale::ToJson(report) + "\n");
  }
  return report.clean() ? 0 : 1;
}

std::vector<double> ParseSizes(const std::string& text) {
  std::vector<double> sizes;
  std::istringstream in(text);
  for (std::string part; std::getline(in, part, ',');) {
    char* end = nullptr;
    const double size = std::strtod(part.c_str(), &end);
    if (part.empty() || *end != '\0' || size <= 0) {
      throw config::Error("--sizes: expected numbers above 0, separated by commas");
    }
    sizes.push_back(size);
  }
  return sizes;
}

// Runs all sizes in turn, `repeats` times over, so that a drift in the machine's speed affects all
// sizes equally.
int Sweep(const std::string& file, const std::string& axis, const std::string& sizes, int repeats,
          const std::string& out) {
  const scale::Plan plan = scale::LoadPlan(file);
  const std::vector<double> values = ParseSizes(sizes);
  for (const double value : values) scale::VaryPlan(plan, axis, value);  // checks the axis
  bool clean = true;
  for (int repeat = 1; repeat <= repeats; ++repeat) {
    for (const double value : values) {
      const scale::Plan varied = scale::VaryPlan(plan, axis, value);
      const scale::Report report = RunOnce(varied, static_cast<uint64_t>(repeat), "");
      clean = clean && report.clean();
      if (!report.stopped.empty()) throw config::Error("stopped: " + report.stopped);
      const scale::Row row = {axis, value, repeat, scale::LoadOf(varied),
                              scale::MeasuresOf(report)};
      std::ofstream(out, std::ios::app) << scale::ToJsonLine(row);
      std::printf("%s %g, %d of %d: leader %.3f cores, %.1f starts a second%s\n", axis.c_str(),
                  value, repeat, repeats, row.measures.at("leader cores"),
                  report.starts_reached_per_s, report.clean() ? "" : ", NOT CLEAN");
      std::fflush(stdout);
    }
  }
  return clean ? 0 : 1;
}

struct CapacityOptions {
  std::string slopes, page_to_write, page_to_check;
  scale::Load load;
  scale::WorkerBudget budget;
};

// Prints the tables, writes them into a page, or checks that a page has the current ones.
int PrintCapacity(const CapacityOptions& options) {
  const std::string& slopes = options.slopes;
  const std::string tables = scale::CapacityTables(
      scale::ParseRows(config::ReadFile(slopes), slopes), options.load, options.budget);
  if (!options.page_to_write.empty()) {
    const std::string page = config::ReadFile(options.page_to_write);
    WriteFile(options.page_to_write, scale::ReplaceTables(page, tables));
    return 0;
  }
  if (!options.page_to_check.empty()) {
    const std::string page = config::ReadFile(options.page_to_check);
    if (scale::ReplaceTables(page, tables) == page) return 0;
    std::printf("%s: the tables are out of date; rewrite them with --write\n",
                options.page_to_check.c_str());
    return 1;
  }
  std::printf("%s", tables.c_str());
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"badgershore-scale: runs a site of a given size on one machine"};
  app.set_version_flag("--version", std::string("badgershore-scale ") + BADGERSHORE_VERSION);
  app.require_subcommand(1);
  std::string file, json, keep, log_format = "text";
  uint64_t seed = 1;
  programs::AddLogFormat(&app, &log_format);
  const auto verb = [&](const char* name, const char* help) {
    CLI::App* sub = app.add_subcommand(name, help);
    sub->fallthrough();
    return sub;
  };
  CLI::App* run =
      verb("run", "Run a plan; exits with 1 if an invariant is violated or a job does not end");
  run->add_option("plan", file, "Plan file (YAML), see deploy/scale")->required();
  run->add_option("--seed", seed, "Seed of all random choices")->capture_default_str();
  run->add_option(
      "--json", json,
      "Write the report to this file as JSON; with - only the JSON, to standard output");
  run->add_option("--keep", keep, "Keep settings, state and logs in this directory");
  std::string axis, sizes, out = "slopes.jsonl";
  int repeats = 3;
  CLI::App* sweep = verb("sweep", "Run a plan at several sizes along one axis, to measure slopes");
  sweep->add_option("plan", file, "Plan file (YAML)")->required();
  sweep
      ->add_option("--axis", axis,
                   "workers, starts_per_s, teams, tasks_per_job, task_run_s or gang_size")
      ->required();
  sweep->add_option("--sizes", sizes, "Sizes, separated by commas")->required();
  sweep->add_option("--repeats", repeats, "Number of runs of each size")->check(CLI::Range(1, 100));
  sweep->add_option("--out", out, "File to which one row per run is appended")
      ->capture_default_str();
  CapacityOptions capacity;
  CLI::App* tables = verb(
      "capacity", "Compute the resource use of each role at a given load from measured slopes");
  tables->add_option("--slopes", capacity.slopes, "File written by sweep")->required();
  tables->add_option("--workers", capacity.load.workers)->required();
  tables->add_option("--starts", capacity.load.starts_per_s, "Task starts per second")->required();
  tables->add_option("--running", capacity.load.running_tasks, "Number of running tasks")
      ->required();
  tables->add_option("--jobs", capacity.load.jobs_per_s, "Jobs per second")->required();
  tables->add_option("--teams", capacity.load.teams)->required();
  tables->add_option("--gang-starts", capacity.load.gang_starts_per_s,
                     "Task starts of urgent gangs per second");
  tables->add_option("--write", capacity.page_to_write, "Write the tables into this page");
  tables->add_option("--check-page", capacity.page_to_check,
                     "Exit with 1 if the tables of this page differ");
  CLI::App* check = verb("check", "Check a plan file");
  check->add_option("plan", file, "Plan file (YAML)")->required();
  if (const int code = programs::Parse(&app, argc, argv); code >= 0) return code;
  if (!programs::SetUpLog("badgershore-scale", log_format)) return programs::kExitInvalidInput;
  std::signal(SIGPIPE, SIG_IGN);
  try {
    if (*run) return RunPlan(file, seed, json, keep);
    if (*tables) return PrintCapacity(capacity);
    if (*sweep) return Sweep(file, axis, sizes, repeats, out);
    const scale::Plan plan = scale::LoadPlan(file);
    std::printf("%s is valid: %d workers, %.0f starts a second, %.0f tasks at once, %d teams\n",
                plan.name.c_str(), plan.workers, plan.starts_per_s, plan.running_tasks(),
                plan.teams);
    return 0;
  } catch (const std::exception& e) {
    std::fprintf(stderr, "badgershore-scale: %s\n", e.what());
  }
  return programs::kExitInvalidInput;
}
