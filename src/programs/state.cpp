// badgershore-state: the durable state service.
#include <spdlog/spdlog.h>

#include <csignal>
#include <cstdio>

#include "config/yaml.h"
#include "programs/common.h"
#include "replication/service/codec.h"
#include "replication/service/service.h"
#include "store/disk/archive.h"
#include "store/service/service.h"
#include "wire/store_messages.h"

namespace {

using namespace badgershore;

struct Settings {
  store::Limits limits;
  store::EngineOptions engine;
  int64_t max_connections = 4096;
};

Settings ReadSettings(const std::string& file) {
  Settings s;
  if (file.empty()) return s;
  config::YamlMap top = config::YamlMap::Load(file);
  config::YamlMap limits = top.Map("limits");
  s.limits.requests_per_s = limits.Number("rps", 0, 1e9, 0);
  s.limits.changes_per_s = limits.Number("write_rps", 0, 1e9, 0);
  s.limits.value_bytes = static_cast<size_t>(limits.Number("value_kb", 0.1, 64, 64) * 1024);
  s.limits.commit_changes = static_cast<size_t>(limits.Whole("txn_ops", 1, 100000, 128));
  limits.NoOthers();
  s.engine.reserve_bytes = static_cast<uint64_t>(top.Whole("reserve_mb", 0, int64_t{1} << 40, 64))
                           << 20;
  s.max_connections = top.Whole("max_connections", 1, 1 << 20, 4096);
  top.NoOthers();
  return s;
}

// Ends the service where its data is damaged; the exit code.
int StopFor(io::Loop* loop, const std::string& damage) {
  spdlog::error("{}", damage);
  loop->Stop();
  return programs::kDataDamaged;
}

int Serve(const std::string& dir, const std::string& listen, const Settings& settings) {
  store::Engine engine(dir, store::Engine::OpenMode::kReadWrite, settings.engine);
  if (!engine.LoadOwnerMetadata().empty()) {
    throw store::DiskError(dir + ": is a replica's; serve it with --replicas and --name");
  }
  for (const std::string& note : engine.recovery_warnings()) spdlog::info("{}", note);
  std::signal(SIGPIPE, SIG_IGN);
  io::Loop loop;
  store::Service service(&loop, &engine, settings.limits,
                         static_cast<size_t>(settings.max_connections));
  int exit_code = 0;
  service.SetOnDataDamaged([&](const std::string& line) { exit_code = StopFor(&loop, line); });
  if (const auto started = service.Start(listen); !started) {
    std::fprintf(stderr, "badgershore-state: %s\n", started.error().message.c_str());
    return 1;
  }
  io::OnEndSignals(&loop, [&] { loop.Stop(); });
  spdlog::info("{} keys at revision {}", service.machine().state().items.size(),
               service.machine().state().revision);
  std::printf("listening on %s\n", service.address().c_str());
  std::fflush(stdout);
  loop.Run();
  return exit_code;
}

// One of several replicas: its addresses are those of the set's file.
int ServeReplica(const std::string& dir, const std::string& replicas, const std::string& name,
                 const Settings& settings) {
  const replication::ReplicaSet set = replication::LoadReplicaSet(replicas);
  if (!set.Find(name)) throw config::Error("--name: expected one of the replicas in " + replicas);
  store::Engine engine(dir, store::Engine::OpenMode::kReadWrite, settings.engine);
  for (const std::string& note : engine.recovery_warnings()) spdlog::info("{}", note);
  std::signal(SIGPIPE, SIG_IGN);
  io::Loop loop;
  replication::ReplicatedService service(&loop, &engine, settings.limits, set, name,
                                         static_cast<size_t>(settings.max_connections));
  int exit_code = 0;
  service.SetOnDataDamaged([&](const std::string& line) { exit_code = StopFor(&loop, line); });
  if (const auto started = service.Start(); !started) {
    std::fprintf(stderr, "badgershore-state: %s\n", started.error().message.c_str());
    return 1;
  }
  io::OnEndSignals(&loop, [&] { loop.Stop(); });
  std::printf("listening on %s\n", service.address().c_str());
  std::fflush(stdout);
  loop.Run();
  return exit_code;
}

// Makes a directory a replica's. Run on every replica before its first start, on equal contents.
int Init(const std::string& dir, const std::string& replicas) {
  const replication::ReplicaSet set = replication::LoadReplicaSet(replicas);
  store::Engine engine(dir, store::Engine::OpenMode::kReadWrite);
  if (!engine.LoadOwnerMetadata().empty()) throw store::DiskError(dir + ": is a replica's already");
  const store::StateImage image = engine.Load();
  std::string content = wire::FormatHeadLine(image);
  for (const auto& [key, item] : image.items) content += wire::FormatItemLine(key, item);
  const replication::Stored first = replication::FirstStored(set, store::Sha256(content));
  if (engine.WriteWithOwnerMetadata(nullptr, replication::Encode(first)) !=
      store::WriteOutcome::kDurable) {
    throw store::DiskError(dir + ": can't be written");
  }
  std::printf("%s is a replica's now: %zu keys at revision %llu\n", dir.c_str(), image.items.size(),
              static_cast<unsigned long long>(image.revision));
  return 0;
}

int Look(const std::string& dir, bool dump) {
  store::Engine engine(dir, store::Engine::OpenMode::kReadOnly);
  const store::StateImage image = engine.Load();
  if (!dump) {
    std::printf("%s is whole: %zu keys, %zu leases, revision %llu\n", dir.c_str(),
                image.items.size(), image.leases.size(),
                static_cast<unsigned long long>(image.revision));
    return 0;
  }
  std::printf("%s\n", wire::FormatHeadLine(image).c_str());
  for (const auto& [key, item] : image.items) {
    std::printf("%s\n", wire::FormatItemLine(key, item).c_str());
  }
  for (const auto& [id, life] : image.leases) {
    std::printf("%s\n", wire::FormatLeaseLine(id, life).c_str());
  }
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"badgershore-state: a small consistent store that keeps what it has answered"};
  app.set_version_flag("--version", std::string("badgershore-state ") + BADGERSHORE_VERSION);
  app.require_subcommand(1);
  std::string dir, listen, options, file, replicas, name, log_format = "text";
  bool check_only = false;
  programs::AddLogFormat(&app, &log_format);
  const auto verb = [&](const char* name, const char* help) {
    CLI::App* sub = app.add_subcommand(name, help);
    sub->fallthrough();
    sub->add_option("--data", dir, "The directory that holds the state")->required();
    return sub;
  };
  CLI::App* serve = verb("serve", "Serve the state over HTTP");
  CLI::Option* listens =
      serve->add_option("--listen", listen, "HOST:PORT; port 0 takes a free one");
  CLI::Option* of_set =
      serve->add_option("--replicas", replicas, "Be one of several replicas: their list (YAML)");
  serve->add_option("--name", name, "Which of them this one is")->needs(of_set);
  of_set->excludes(listens);
  serve->add_option("--options", options, "Limits and sizes (YAML)");
  serve->add_flag("--check", check_only, "Check the options and exit");
  CLI::App* init = verb("init", "Make a directory a replica's, before its first start");
  init->add_option("--replicas", replicas, "The replicas (YAML)")->required();
  CLI::App* check = verb("check", "Verify every record, also while it is served");
  CLI::App* dump = verb("dump", "Print every record, a JSON object a line");
  CLI::App* snapshot = verb("snapshot", "Write a consistent snapshot, also while it is served");
  snapshot->add_option("--out", file, "The archive to write (tar.zst)")->required();
  CLI::App* restore = verb("restore", "Fill an empty directory from a snapshot");
  restore->add_option("--from", file, "The archive to read")->required();
  if (const int code = programs::Parse(&app, argc, argv); code >= 0) return code;
  if (!programs::SetUpLog("badgershore-state", log_format)) return programs::kBadInput;
  try {
    if (*serve) {
      const Settings settings = ReadSettings(options);
      if (!check_only && !replicas.empty()) return ServeReplica(dir, replicas, name, settings);
      if (!check_only && listen.empty())
        throw config::Error("serve: expected --listen or --replicas");
      if (!check_only) return Serve(dir, listen, settings);
      std::printf("options are good\n");
    }
    if (*init) return Init(dir, replicas);
    if (*check || *dump) return Look(dir, static_cast<bool>(*dump));
    if (*snapshot) {
      store::Engine engine(dir, store::Engine::OpenMode::kReadOnly);
      const store::StateImage image = engine.Load();
      store::WriteSnapshot(image, file);
      std::printf("%s: %zu keys at revision %llu\n", file.c_str(), image.items.size(),
                  static_cast<unsigned long long>(image.revision));
    }
    if (*restore) {
      store::Restore(file, dir);
      std::printf("%s restored from %s\n", dir.c_str(), file.c_str());
    }
  } catch (const config::Error& e) {
    std::fprintf(stderr, "badgershore-state: %s\n", e.what());
    return programs::kBadInput;
  } catch (const store::DataDamagedError& e) {
    std::fprintf(stderr, "badgershore-state: %s\n", e.what());
    return programs::kDataDamaged;
  } catch (const store::DiskError& e) {
    std::fprintf(stderr, "badgershore-state: %s\n", e.what());
    return 1;
  }
  return 0;
}
