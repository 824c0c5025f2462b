#include <spdlog/spdlog.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdio>

#include "adapters/controller_server.h"
#include "config/config.h"
#include "io/mailbox.h"
#include "programs/common.h"

using namespace badgershore;

int main(int argc, char** argv) {
  CLI::App app{"badgershore: a cluster scheduler"};
  std::string config_file, options_file, cells_file;
  bool check = false;
  app.add_option("--config", config_file, "Settings file of the platform (JSON)")->required();
  app.add_option("--options", options_file, "Settings file of the operators (YAML)");
  app.add_option(
      "--cells", cells_file,
      "Cells that share the teams' limits (YAML); default: deploy/cells.yaml if that file exists");
  app.add_flag("--check", check, "Check the settings files and exit");
  app.set_version_flag("--version", std::string("badgershore ") + BADGERSHORE_VERSION);
  std::string log_format = "text";
  programs::AddLogFormat(&app, &log_format);
  if (const int code = programs::Parse(&app, argc, argv); code >= 0) return code;
  if (!programs::SetUpLog("badgershore", log_format)) return programs::kExitInvalidInput;
  PlatformSettings settings;
  Options options;
  try {
    settings = config::LoadPlatform(config_file);
    if (!options_file.empty()) options = config::LoadOptions(options_file);
    if (cells_file.empty() && ::access("deploy/cells.yaml", R_OK) == 0) {
      cells_file = "deploy/cells.yaml";
    }
    if (!cells_file.empty()) options.cells = config::LoadCells(cells_file, settings.peer_listen);
  } catch (const config::Error& e) {
    std::fprintf(stderr, "badgershore: %s\n", e.what());
    return 2;
  }
  if (check) {
    std::printf("settings are valid\n");
    return 0;
  }
  std::signal(SIGPIPE, SIG_IGN);
  io::Loop loop;
  adapters::ControllerServer server(&loop, settings, options);
  if (const auto started = server.Start(); !started) {
    std::fprintf(stderr, "badgershore: %s\n", started.error().message.c_str());
    return 1;
  }
  io::OnTerminationSignal(&loop, [&] { server.Shutdown([&] { loop.Stop(); }); });
  spdlog::info("member {} of site {} listens on {}", settings.member, settings.site,
               settings.client_listen);
  loop.Run();
  return 0;
}
