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
  limits.RejectUnknownKeys();
  s.engine.reserve_bytes = static_cast<uint64_t>(top.Whole("reserve_mb", 0, int64_t{1} << 40, 64))
                           << 20;
  s.max_connections = top.Whole("max_connections", 1, 1 << 20, 4096);
  top.RejectUnknownKeys();
  return s;
}

// Stops the service because its data is corrupt. Returns the exit code.
int StopOnDataDamage(io::Loop* loop, const std::string& damage) {
  spdlog::error("{}", damage);
  loop->Stop();
  return programs::kExitDataCorrupt;
}

int Serve(const std::string& dir, const std::string& listen, const Settings& settings) {
  store::Engine engine(dir, store::Engine::OpenMode::kReadWrite, settings.engine);
  if (!engine.LoadOwnerMetadata().empty()) {
    throw store::DiskError(
        dir + ": is the data directory of a replica; serve it with --replicas and --name");
  }
  for (const std::string& note : engine.recovery_warnings()) spdlog::info("{}", note);
  std::signal(SIGPIPE, SIG_IGN);
  io::Loop loop;
  store::Service service(&loop, &engine, settings.limits,
                         static_cast<size_t>(settings.max_connections));
  int exit_code = 0;
  service.SetOnDataCorrupted(
      [&](const std::string& line) { exit_code = StopOnDataDamage(&loop, line); });
  if (const auto started = service.Start(listen); !started) {
    std::fprintf(stderr, "badgershore-state: %s\n", started.error().message.c_str());
    return 1;
  }
  io::OnTerminationSignal(&loop, [&] { loop.Stop(); });
  spdlog::info("state loaded: {} keys at revision {}", service.machine().state().items.size(),
               service.machine().state().revision);
  std::printf("listening on %s\n", service.address().c_str());
  std::fflush(stdout);
  loop.Run();
  return exit_code;
}

// Serves as one of several replicas, at the addresses given in the replica file.
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
  service.SetOnDataCorrupted(
      [&](const std::string& line) { exit_code = StopOnDataDamage(&loop, line); });
  if (const auto started = service.Start(); !started) {
    std::fprintf(stderr, "badgershore-state: %s\n", started.error().message.c_str());
    return 1;
  }
  io::OnTerminationSignal(&loop, [&] { loop.Stop(); });
  std::printf("listening on %s\n", service.address().c_str());
  std::fflush(stdout);
  loop.Run();
  return exit_code;
}

// Initializes a data directory for a replica. It must be run for every replica before its first
// start, and all directories must hold the same content.
int InitReplica(const std::string& dir, const std::string& replicas) {
  const replication::ReplicaSet set = replication::LoadReplicaSet(replicas);
  store::Engine engine(dir, store::Engine::OpenMode::kReadWrite);
  if (!engine.LoadOwnerMetadata().empty())
    throw store::DiskError(dir + ": is the data directory of a replica already");
  const store::StateImage image = engine.Load();
  std::string content = wire::FormatHeaderLine(image);
  for (const auto& [key, item] : image.items) content += wire::FormatItemLine(key, item);
  const replication::PersistentState first =
      replication::InitialPersistentState(set, store::Sha256(content));
  if (engine.WriteWithOwnerMetadata(nullptr, replication::Encode(first)) !=
      store::WriteOutcome::kDurable) {
    throw store::DiskError(dir + ": can't be written");
  }
  std::printf("%s is initialized for a replica: %zu keys at revision %llu\n", dir.c_str(),
              image.items.size(), static_cast<unsigned long long>(image.revision));
  return 0;
}

int Inspect(const std::string& dir, bool dump) {
  store::Engine engine(dir, store::Engine::OpenMode::kReadOnly);
  const store::StateImage image = engine.Load();
  if (!dump) {
    std::printf("%s is whole: %zu keys, %zu leases, revision %llu\n", dir.c_str(),
                image.items.size(), image.leases.size(),
                static_cast<unsigned long long>(image.revision));
    return 0;
  }
  std::printf("%s\n", wire::FormatHeaderLine(image).c_str());
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
  CLI::App app{"badgershore-state: a small, durable and consistent key-value store"};
  app.set_version_flag("--version", std::string("badgershore-state ") + BADGERSHORE_VERSION);
  app.require_subcommand(1);
  std::string dir, listen, options, file, replicas, name, log_format = "text";
  bool check_only = false;
  programs::AddLogFormat(&app, &log_format);
  const auto verb = [&](const char* name, const char* help) {
    CLI::App* sub = app.add_subcommand(name, help);
    sub->fallthrough();
    sub->add_option("--data", dir, "Data directory")->required();
    return sub;
  };
  CLI::App* serve = verb("serve", "Serve the state over HTTP");
  CLI::Option* listen_option = serve->add_option(
      "--listen", listen, "Listen address, HOST:PORT; port 0 selects a free port");
  CLI::Option* replicas_option = serve->add_option(
      "--replicas", replicas, "Serve as one of several replicas; the list of replicas (YAML)");
  serve->add_option("--name", name, "Name of this replica in the list")->needs(replicas_option);
  replicas_option->excludes(listen_option);
  serve->add_option("--options", options, "Limits and sizes (YAML), as in deploy/state.yaml");
  serve->add_flag("--check", check_only, "Check the options and exit");
  CLI::App* init =
      verb("init", "Initialize a data directory for a replica, before its first start");
  init->add_option("--replicas", replicas, "The list of replicas (YAML)")->required();
  CLI::App* check = verb("check", "Verify every record; can be run while the state is served");
  CLI::App* dump = verb("dump", "Print every record, one JSON object per line");
  CLI::App* snapshot =
      verb("snapshot", "Write a consistent snapshot; can be run while the state is served");
  snapshot->add_option("--out", file, "Archive to write (tar.zst)")->required();
  CLI::App* restore = verb("restore", "Restore a snapshot into an empty directory");
  restore->add_option("--from", file, "Archive to read (tar.zst)")->required();
  if (const int code = programs::Parse(&app, argc, argv); code >= 0) return code;
  if (!programs::SetUpLog("badgershore-state", log_format)) return programs::kExitInvalidInput;
  try {
    if (*serve) {
      const Settings settings = ReadSettings(options);
      if (!check_only && !replicas.empty()) return ServeReplica(dir, replicas, name, settings);
      if (!check_only && listen.empty())
        throw config::Error("serve: expected --listen or --replicas");
      if (!check_only) return Serve(dir, listen, settings);
      std::printf("options are valid\n");
    }
    if (*init) return InitReplica(dir, replicas);
    if (*check || *dump) return Inspect(dir, static_cast<bool>(*dump));
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
    return programs::kExitInvalidInput;
  } catch (const store::DataCorruptionError& e) {
    std::fprintf(stderr, "badgershore-state: %s\n", e.what());
    return programs::kExitDataCorrupt;
  } catch (const store::DiskError& e) {
    std::fprintf(stderr, "badgershore-state: %s\n", e.what());
    return 1;
  }
  return 0;
}
