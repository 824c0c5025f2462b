// badgershore-rehearse: runs scenarios and reports invariant violations.
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <mutex>
#include <thread>

#include "check/cancel_model.h"
#include "check/election_model.h"
#include "check/explore.h"
#include "check/limits_model.h"
#include "config/config.h"
#include "io/mailbox.h"
#include "programs/common.h"
#include "rehearsal/site.h"
#include "store/disk/archive.h"
#include "wire/json.h"

namespace {

using namespace badgershore;
using config::Scenario;
using rehearsal::Result;

std::string g_scenarios;  // the directory of the stored scenarios

// The directory of this executable; the other programs are in the same directory.
std::string ProgramFolder() {
  return std::filesystem::read_symlink("/proc/self/exe").parent_path().string();
}

// `scenarios` in the current directory, as in a checkout, or else the directory in which `cmake
// --install` puts the scenarios.
std::string ScenariosFolder() {
  const std::string installed = ProgramFolder() + "/../share/badgershore/scenarios";
  return !std::filesystem::exists("scenarios") && std::filesystem::exists(installed) ? installed
                                                                                     : "scenarios";
}

// Resolves a scenario given as a file or as the name of a stored scenario.
std::string ResolveScenarioFile(const std::string& scenario) {
  if (std::filesystem::exists(scenario)) return scenario;
  std::string kept = g_scenarios + "/" + scenario + ".yaml";
  if (!std::filesystem::exists(kept)) {
    throw config::Error(scenario + ": expected a file or the name of a scenario in " + g_scenarios);
  }
  return kept;
}

std::string FinalText(const Result& r) {
  std::string out;
  for (const auto& [id, phase] : r.final_states) out += id + " " + phase + "\n";
  return out;
}

// A digest of the final states. A job whose cancellation races with its completion may end in
// either state, so it is counted as `either`.
std::string FinalStatesDigest(const Scenario& scenario, Result r) {
  for (const std::string& id : scenario.racing_jobs) {
    if (r.final_states.contains(id) && r.final_states[id] != "open") r.final_states[id] = "either";
  }
  return store::Sha256(FinalText(r));
}

double Quantile(std::vector<double> v, double q) {
  if (v.empty()) return 0;
  std::sort(v.begin(), v.end());
  return v[std::min(v.size() - 1, static_cast<size_t>(q * static_cast<double>(v.size())))];
}

std::string ResultToJson(const Scenario& scenario, const Result& r, double wall_s,
                         const char* time) {
  wire::Writer w;
  w.Begin().Put("scenario", r.scenario).Put("seed", r.seed).Put("time", time);
  w.Key("jobs").Begin().Put("done", r.done).Put("withdrawn", r.withdrawn).Put("open", r.open).End();
  w.Put("final_states_sha256", FinalStatesDigest(scenario, r));
  w.Put("history_sha256", store::Sha256(r.history));
  w.Key("broken").BeginList();
  for (const auto& b : r.violations) {
    w.Begin().Put("rule", b.rule).Put("at_s", b.at_s).Put("detail", b.detail).End();
  }
  w.EndList().Key("waits").Begin();
  for (const auto& [lane, waits] : r.waits) {
    w.Key(lane.c_str()).Begin().Put("p50_s", Quantile(waits, 0.5));
    w.Put("p90_s", Quantile(waits, 0.9)).Put("p99_s", Quantile(waits, 0.99)).End();
  }
  w.End().Key("service").BeginList();
  for (const auto& [key, s] : r.service) {
    w.Begin().Put("team", key.first).Put("class", key.second).Put("accepted", s.accepted);
    w.Put("started", s.started).Put("done", s.done).Put("share", s.share());
    w.Put("largest", s.largest).Put("largest_done", s.largest_done);
    w.Put("largest_begun_within_s", s.latest_largest_start_s).End();
  }
  w.EndList()
      .Put("latest_cancelled_s", r.latest_cancelled_s)
      .Put("started_cancelled", r.started_cancelled)
      .Put("crossed", r.reordered_responses)
      .Put("price", r.price)
      .Put("wall_s", wall_s)
      .Put("simulated_s", r.simulated_s);
  return w.End().Done();
}

void PrintResult(const Scenario& scenario, const Result& r, double wall_s) {
  std::printf("%s, seed %llu: %d done, %d withdrawn, %d open; final states %.12s, history %.12s\n",
              r.scenario.c_str(), static_cast<unsigned long long>(r.seed), r.done, r.withdrawn,
              r.open, FinalStatesDigest(scenario, r).c_str(), store::Sha256(r.history).c_str());
  for (const auto& [lane, waits] : r.waits) {
    std::printf("  %-20s %5zu jobs, done within %.0f s (half), %.0f s (90%%), %.0f s (99%%)\n",
                lane.c_str(), waits.size(), Quantile(waits, 0.5), Quantile(waits, 0.9),
                Quantile(waits, 0.99));
  }
  std::printf(
      "  %.0f s run in %.1f s; price %.2f; cancelled tasks ended within %.1f s, %d started "
      "after their cancellation\n",
      r.simulated_s, wall_s, r.price, r.latest_cancelled_s, r.started_cancelled);
  for (const std::string& view : r.leader_views) std::printf("  open: %s\n", view.c_str());
  size_t shown = 0;
  for (const auto& b : r.violations) {
    if (++shown > 10) break;
    std::printf("  broken: %s at %.3f s: %s\n", b.rule.c_str(), b.at_s, b.detail.c_str());
  }
  if (r.violations.size() > 10) std::printf("  and %zu more\n", r.violations.size() - 10);
}

Result PlayTimed(const Scenario& scenario, uint64_t seed, double* wall_s) {
  const auto start = std::chrono::steady_clock::now();
  Result r = rehearsal::Simulate(scenario, seed);
  *wall_s = std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
  return r;
}

std::string Read(const std::string& file) { return config::ReadFile(file); }

std::string TemporaryFolder() {
  std::string name = (std::filesystem::temp_directory_path() / "badgershore-XXXXXX").string();
  if (!::mkdtemp(name.data())) throw config::Error(name + ": can't create the directory");
  return name;
}

void CheckPlayable(const Scenario& scenario, const std::string& file) {
  if (!scenario.cells.empty()) {
    throw config::Error(file + ": several cells can be run in simulated time only");
  }
  using Kind = config::Fault::Kind;
  for (const auto& t : scenario.troubles) {
    if (t.kind == Kind::kStateDown || t.kind == Kind::kLostCommitResponses ||
        t.kind == Kind::kCommitsAfterTimeout || t.kind == Kind::kDiskFull ||
        t.kind == Kind::kPartition) {
      throw config::Error(file + ": the fault at " + std::to_string(t.at.ToSeconds()) +
                          " s can be injected in simulated time only");
    }
  }
}

// Runs the scenario in real time with real processes on loopback.
Result PlayReal(const Scenario& scenario, const std::string& file, uint64_t seed, double* wall_s) {
  CheckPlayable(scenario, file);
  const std::string dir = TemporaryFolder();
  Result result;
  {
    io::Loop loop;
    rehearsal::Site site(&loop, scenario, {ProgramFolder(), dir, "127.0.0.1:0", seed, 1, ""});
    const Micros start = io::Loop::Now();
    const auto started = site.Start([&] { loop.Stop(); });
    if (!started) throw config::Error(started.error().message);
    bool interrupted = false;
    io::OnTerminationSignal(&loop, [&] {
      interrupted = true;
      site.Stop();
    });
    loop.Run();
    *wall_s = (io::Loop::Now() - start).ToSeconds();
    result = site.world().FinishRun();
    if (interrupted) std::fprintf(stderr, "interrupted\n");
  }
  std::filesystem::remove_all(dir);
  return result;
}

io::Task<void> ShowProgress(io::Loop* loop, rehearsal::Site* site, bool tty) {
  while (!site->ready()) co_await loop->Sleep(Millis(50));
  std::printf(
      "badgershore is up: http://%s\n"
      "try: curl -X POST http://%s/work -d '{\"nameId\":\"job-1\",\"lane\":\"try\",\"owner\":"
      "\"settlement\",\"shape\":\"array\",\"rank\":\"normal\",\"legs\":6,\"cpus\":1,"
      "\"accelerators\":0,\"memGb\":1,\"kit\":\"img\",\"imageGb\":1,\"samePlace\":false,"
      "\"spread\":false,\"loaners\":true,\"expectS\":5,\"stashEveryS\":0,\"stashS\":0}'\n"
      "     curl http://%s/work/job-1\n"
      "Ctrl-C stops all processes\n",
      site->address().c_str(), site->address().c_str(), site->address().c_str());
  std::fflush(stdout);
  rehearsal::Site::Counts shown;
  shown.open = -1;
  if (!tty) co_return;
  for (;;) {
    const rehearsal::Site::Counts now = co_await site->Count();
    if (!(now == shown)) {
      shown = now;
      std::printf("jobs: %d active, %d ended; machines: %d up, %d starting\n", now.open,
                  now.finished, now.up, now.starting);
      std::fflush(stdout);
    }
    co_await loop->Sleep(Seconds(1));
  }
}

int RunSite(const Scenario& scenario, const std::string& listen, const std::string& data) {
  const std::string dir = data.empty() ? TemporaryFolder() : data;
  int code = 0;
  {
    io::Loop loop;
    rehearsal::Site site(&loop, scenario, {ProgramFolder(), dir, listen, 1, 1, ""});
    if (const auto started = site.Start([&] { loop.Stop(); }); !started) {
      std::fprintf(stderr, "badgershore-rehearse: %s\n", started.error().message.c_str());
      code = 1;
    } else {
      io::OnTerminationSignal(&loop, [&] { site.Stop(); });
      io::Spawn(ShowProgress(&loop, &site, ::isatty(STDOUT_FILENO) == 1));
      loop.Run();
    }
  }
  if (data.empty()) std::filesystem::remove_all(dir);
  return code;
}

int RunScenario(const std::string& file, uint64_t seed, bool real, const std::string& json,
                const std::string& evidence) {
  const Scenario scenario = config::LoadScenario(file);
  double wall_s = 0;
  const char* time = real ? "real" : "simulated";
  const Result r =
      real ? PlayReal(scenario, file, seed, &wall_s) : PlayTimed(scenario, seed, &wall_s);
  PrintResult(scenario, r, wall_s);
  if (!json.empty()) {
    std::ofstream out(json);
    out << ResultToJson(scenario, r, wall_s, time) << "\n";
    if (!out.flush()) throw config::Error(json + ": can't write the file");
  }
  if (!evidence.empty()) {
    store::ArchiveWriter out(evidence);
    out.Add("scenario.yaml", Read(file));
    out.Add("history.txt", r.history);
    out.Add("log.txt", r.log);
    out.Add("final-states.txt", FinalText(r));
    out.Add("result.json", ResultToJson(scenario, r, wall_s, time) + "\n");
    out.Finish();
  }
  return r.clean() ? 0 : 1;
}

// Removes faults one at a time as long as the scenario still fails, and prints those that are left.
void MinimizeFaults(Scenario scenario, uint64_t seed) {
  for (size_t i = 0; i < scenario.troubles.size();) {
    Scenario reduced = scenario;
    reduced.troubles.erase(reduced.troubles.begin() + static_cast<std::ptrdiff_t>(i));
    if (rehearsal::Simulate(reduced, seed).clean()) {
      ++i;
    } else {
      scenario = std::move(reduced);
    }
  }
  std::printf("smallest set of faults that still fails: %zu, at", scenario.troubles.size());
  for (const auto& t : scenario.troubles) std::printf(" %.1f s", t.at.ToSeconds());
  std::printf("\n");
}

int ExploreSeeds(const std::string& file, const std::string& seeds, int jobs) {
  const size_t dots = seeds.find("..");
  char* end = nullptr;
  const uint64_t first = std::strtoull(seeds.c_str(), &end, 10);
  if (dots == std::string::npos || end != seeds.c_str() + dots) {
    throw config::Error("--seeds: expected A..B");
  }
  const uint64_t last = std::strtoull(seeds.c_str() + dots + 2, &end, 10);
  if (*end != '\0' || last < first) throw config::Error("--seeds: expected A..B");
  const Scenario scenario = config::LoadScenario(file);
  std::atomic<uint64_t> next{first}, played{0};
  std::atomic<bool> stop{false};
  std::mutex mutex;
  std::map<std::string, int> finals;
  std::optional<Result> failure;
  double slowest = 0;
  const bool tty = ::isatty(STDERR_FILENO) == 1;
  const auto work = [&] {
    for (;;) {
      const uint64_t seed = next++;
      if (seed > last || stop) return;
      double wall_s = 0;
      Result r = PlayTimed(scenario, seed, &wall_s);
      const std::lock_guard<std::mutex> lock(mutex);
      ++played;
      slowest = std::max(slowest, wall_s);
      ++finals[FinalStatesDigest(scenario, r)];
      if (tty)
        std::fprintf(stderr, "\r%llu of %llu", static_cast<unsigned long long>(played),
                     static_cast<unsigned long long>(last - first + 1));
      if (!r.clean() && (!failure || r.seed < failure->seed)) {
        failure = std::move(r);
        stop = true;
      }
    }
  };
  std::vector<std::thread> threads;
  threads.reserve(static_cast<size_t>(jobs));
  for (int i = 0; i < jobs; ++i) threads.emplace_back(work);
  for (std::thread& t : threads) t.join();
  if (tty) std::fprintf(stderr, "\n");
  std::printf("%s: %llu seeds, slowest %.1f s", scenario.name.c_str(),
              static_cast<unsigned long long>(played), slowest);
  for (const auto& [sha, count] : finals) std::printf("; %.12s %d times", sha.c_str(), count);
  std::printf("\n");
  if (failure) {
    PrintResult(scenario, *failure, 0);
    std::printf("replay: badgershore-rehearse run %s --seed %llu\n", file.c_str(),
                static_cast<unsigned long long>(failure->seed));
    MinimizeFaults(scenario, failure->seed);
    return 1;
  }
  if (finals.size() == 1) return 0;
  std::printf("the final states differ between seeds\n");
  return 1;
}

template <typename World>
int ExploreModel(const World& start_world, uint64_t states) {
  const auto start = std::chrono::steady_clock::now();
  const check::ExplorationResult o = check::Explore(start_world, states);
  std::printf("%llu states, %llu steps, every order of %d events%s, %.1f s: %s\n",
              static_cast<unsigned long long>(o.states), static_cast<unsigned long long>(o.steps),
              o.depth, o.complete ? " (all reachable states)" : "",
              std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count(),
              o.violation.empty() ? "no invariant violated" : o.violation.c_str());
  for (const std::string& event : o.path) std::printf("  %s\n", event.c_str());
  return o.violation.empty() ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"badgershore-rehearse: runs scenarios, or a complete site, on one machine"};
  app.set_version_flag("--version", std::string("badgershore-rehearse ") + BADGERSHORE_VERSION);
  app.require_subcommand(1);
  std::string name, json, evidence, seeds = "1..50", log_format = "text";
  g_scenarios = ScenariosFolder();
  std::string time = "simulated", listen = "127.0.0.1:0", data;
  uint64_t seed = 1;
  int jobs = static_cast<int>(std::max(1u, std::thread::hardware_concurrency()));
  programs::AddLogFormat(&app, &log_format);
  app.add_option("--scenarios,--nights", g_scenarios, "Directory of the stored scenarios")
      ->capture_default_str();
  const auto verb = [&](const char* verb_name, const char* help) {
    CLI::App* sub = app.add_subcommand(verb_name, help);
    sub->fallthrough();
    return sub;
  };
  CLI::App* run =
      verb("run", "Run a scenario; exits with 1 if an invariant is violated or a job does not end");
  run->add_option("scenario", name, "Name of a stored scenario, or a file")->required();
  run->add_option("--seed", seed, "Seed of all random choices")->capture_default_str();
  run->add_option("--json", json, "Write the result to this file as JSON");
  run->add_option(
      "--evidence", evidence,
      "Write scenario, log, history, final states and result to this archive (tar.zst)");
  run->add_option("--time", time, "simulated, or real: with real processes on loopback")
      ->check(CLI::IsMember({"simulated", "real"}))
      ->capture_default_str();
  CLI::App* up = verb("up", "Run a complete site on loopback until Ctrl-C");
  up->add_option("scenario", name,
                 "Scenario that describes the site; default: a small built-in site");
  up->add_option("--listen", listen, "Listen address for users; port 0 selects a free port")
      ->capture_default_str();
  up->add_option(
      "--data", data,
      "Keep settings, state and logs in this directory; by default they are removed at the end");
  CLI::App* explore =
      verb("explore", "Run a scenario with many seeds; stops at the first violation");
  explore->add_option("scenario", name, "Name of a stored scenario, or a file")->required();
  explore->add_option("--seeds", seeds, "Range of seeds, A..B")->capture_default_str();
  explore->add_option("--jobs", jobs, "Number of runs in parallel")->check(CLI::Range(1, 256));
  check::LimitsPlan limits_plan;
  uint64_t states = 1000000;
  check::ElectionPlan leadership_plan;
  std::string of = "limits";
  CLI::App* model = verb("model", "Explore every order of events of a state machine");
  check::CancelPlan cancellation_plan;
  int fault = 0;
  model
      ->add_option("of", of,
                   "limits: quota shares of several cells; leadership: election in one cell; "
                   "cancellations: cancelled jobs in one cell")
      ->check(CLI::IsMember({"limits", "leadership", "cancellations"}))
      ->capture_default_str();
  model->add_option("--seconds", cancellation_plan.seconds, "Cancellations: seconds that pass");
  model->add_option("--troubles", cancellation_plan.faults,
                    "Cancellations: largest number of faults");
  model->add_option("--first", cancellation_plan.initial_events,
                    "Cancellations: events that are applied before the exploration");
  model
      ->add_option("--planted", fault,
                   "Cancellations: number of the injected fault to find; 0: none")
      ->check(CLI::Range(0, 4));
  model->add_option("--nodes", leadership_plan.nodes, "Leadership: number of controllers")
      ->check(CLI::Range(2, 5));
  model->add_option("--times", leadership_plan.time_steps,
                    "Leadership: time that passes, in thirds of a lease");
  model->add_option("--lates", leadership_plan.delays,
                    "Leadership: number of delayed requests or responses");
  model->add_option("--losses", leadership_plan.losses, "Leadership: number of lost responses");
  model->add_option("--ends", leadership_plan.restarts,
                    "Leadership: number of controllers that end");
  model->add_option("--retires", leadership_plan.handovers, "Leadership: number of handovers");
  model->add_option("--cells", limits_plan.cells, "Limits: number of cells")
      ->check(CLI::Range(2, 5))
      ->capture_default_str();
  model->add_option("--teams", limits_plan.teams, "Limits: number of teams")
      ->check(CLI::Range(1, 3))
      ->capture_default_str();
  model->add_option("--whole", limits_plan.limit, "Limits: limit of a team, in tasks")
      ->capture_default_str();
  model->add_option("--crashes", limits_plan.crashes, "Limits: number of crashes")
      ->capture_default_str();
  model
      ->add_option("--restores", limits_plan.restores,
                   "Limits: number of restores of an old copy of a record")
      ->capture_default_str();
  model
      ->add_option("--repeats", limits_plan.duplicates,
                   "Limits: number of messages that are delivered again")
      ->capture_default_str();
  model
      ->add_option("--transfers", limits_plan.transfers,
                   "Limits: total number of transfers between cells")
      ->capture_default_str();
  model->add_option("--states", states, "Largest number of states")->capture_default_str();
  CLI::App* list = verb("list", "List the stored scenarios");
  CLI::App* check = verb("check", "Check a scenario file");
  check->add_option("scenario", name, "Name of a stored scenario, or a file")->required();
  if (const int code = programs::Parse(&app, argc, argv); code >= 0) return code;
  if (!programs::SetUpLog("badgershore-rehearse", log_format)) return programs::kExitInvalidInput;
  std::signal(SIGPIPE, SIG_IGN);
  try {
    if (*model && of == "leadership")
      return ExploreModel(check::ElectionModel(leadership_plan), states);
    if (*model && of == "cancellations") {
      cancellation_plan.fault = static_cast<check::AuthorityFault>(fault);
      return ExploreModel(check::CancelModel(cancellation_plan), states);
    }
    if (*model) return ExploreModel(check::LimitsModel(limits_plan), states);
    if (*list) {
      std::vector<std::string> files;
      for (const auto& f : std::filesystem::directory_iterator(g_scenarios)) {
        if (f.path().extension() == ".yaml") files.push_back(f.path().string());
      }
      std::sort(files.begin(), files.end());
      for (const std::string& f : files) {
        const Scenario scenario = config::LoadScenario(f);
        std::printf("%-28s %s\n", scenario.name.c_str(), scenario.about.c_str());
      }
      return 0;
    }
    if (*up) {
      if (!name.empty())
        CheckPlayable(config::LoadScenario(ResolveScenarioFile(name)), ResolveScenarioFile(name));
      return RunSite(
          name.empty() ? config::SmallSite() : config::LoadScenario(ResolveScenarioFile(name)),
          listen, data);
    }
    const std::string file = ResolveScenarioFile(name);
    if (*run) return RunScenario(file, seed, time == "real", json, evidence);
    if (*explore) return ExploreSeeds(file, seeds, jobs);
    const Scenario scenario = config::LoadScenario(file);
    std::printf("%s is valid: %zu job classes, %zu faults\n", scenario.name.c_str(),
                scenario.classes.size(), scenario.troubles.size());
    return 0;
  } catch (const config::Error& e) {
    std::fprintf(stderr, "badgershore-rehearse: %s\n", e.what());
  } catch (const std::exception& e) {
    std::fprintf(stderr, "badgershore-rehearse: %s\n", e.what());
  }
  return programs::kExitInvalidInput;
}
