#include "programs/common.h"

#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <cstdio>
#include <cstdlib>

namespace badgershore::programs {
namespace {

// The pattern flag %*: the message escaped for use in a JSON string. Control characters become
// spaces.
class JsonMessageFlag : public spdlog::custom_flag_formatter {
 public:
  void format(const spdlog::details::log_msg& msg, const std::tm&,
              spdlog::memory_buf_t& out) override {
    for (const char c : msg.payload) {
      if (c == '"' || c == '\\') out.push_back('\\');
      out.push_back(static_cast<unsigned char>(c) < ' ' ? ' ' : c);
    }
  }
  std::unique_ptr<custom_flag_formatter> clone() const override {
    return std::make_unique<JsonMessageFlag>();
  }
};

}  // namespace

bool SetUpLog(const std::string& program, const std::string& format) {
  const char* level = std::getenv("LOG_LEVEL");
  const std::string name = level ? level : "info";
  auto logger =
      std::make_shared<spdlog::logger>(program, std::make_shared<spdlog::sinks::stderr_sink_st>());
  if (format == "json") {
    auto formatter = std::make_unique<spdlog::pattern_formatter>();
    formatter->add_flag<JsonMessageFlag>('*').set_pattern(
        R"({"time":"%Y-%m-%dT%H:%M:%S.%e%z","level":"%l","text":"%*"})");
    logger->set_formatter(std::move(formatter));
  } else {
    logger->set_pattern("%l %v");
  }
  spdlog::set_default_logger(logger);
  if (name == "error") {
    spdlog::set_level(spdlog::level::err);
  } else if (name == "info") {
    spdlog::set_level(spdlog::level::info);
  } else if (name == "debug") {
    spdlog::set_level(spdlog::level::debug);
  } else {
    std::fprintf(stderr, "%s: LOG_LEVEL: expected error, info or debug\n", program.c_str());
    return false;
  }
  return true;
}

void AddLogFormat(CLI::App* app, std::string* format) {
  app->add_option("--log-format", *format, "Log format: text or json")
      ->check(CLI::IsMember({"text", "json"}))
      ->capture_default_str();
}

int Parse(CLI::App* app, int argc, char** argv) {
  try {
    app->parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    return app->exit(e) == 0 ? 0 : kExitInvalidInput;
  }
  return -1;
}

}  // namespace badgershore::programs
