#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdio>
#include <cstdlib>

#include "adapters/node.h"
#include "config/config.h"

namespace {

using namespace badgershore;

bool SetUpLog() {
  const char* level = std::getenv("LOG_LEVEL");
  const std::string name = level ? level : "info";
  auto logger = std::make_shared<spdlog::logger>("badgershore",
                                                 std::make_shared<spdlog::sinks::stderr_sink_st>());
  logger->set_pattern("%l %v");
  spdlog::set_default_logger(logger);
  if (name == "error")
    spdlog::set_level(spdlog::level::err);
  else if (name == "info")
    spdlog::set_level(spdlog::level::info);
  else if (name == "debug")
    spdlog::set_level(spdlog::level::debug);
  else
    return false;
  return true;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"badgershore: a cluster scheduler"};
  std::string config_file, options_file;
  bool check = false;
  app.add_option("--config", config_file, "The platform's settings file (JSON)")->required();
  app.add_option("--options", options_file, "The operators' own settings (YAML)");
  app.add_flag("--check", check, "Check the settings and exit");
  app.set_version_flag("--version", std::string("badgershore ") + BADGERSHORE_VERSION);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    return app.exit(e) == 0 ? 0 : 2;
  }
  if (!SetUpLog()) {
    std::fprintf(stderr, "badgershore: LOG_LEVEL: expected error, info or debug\n");
    return 2;
  }
  PlatformSettings settings;
  Options options;
  try {
    settings = config::LoadPlatform(config_file);
    if (!options_file.empty()) options = config::LoadOptions(options_file);
  } catch (const config::Error& e) {
    std::fprintf(stderr, "badgershore: %s\n", e.what());
    return 2;
  }
  if (check) {
    std::printf("settings are good\n");
    return 0;
  }
  std::signal(SIGPIPE, SIG_IGN);
  io::Loop loop;
  adapters::Node node(&loop, settings, options);
  std::string error;
  if (!node.Start(&error)) {
    std::fprintf(stderr, "badgershore: %s\n", error.c_str());
    return 1;
  }
  spdlog::info("{} of {} serves on {}", settings.member, settings.site, settings.client_listen);
  loop.Run();
  return 0;
}
