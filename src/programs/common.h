// Shared by all programs: log setup, command line parsing and exit codes.
#pragma once

#include <CLI/CLI.hpp>
#include <string>

namespace badgershore::programs {

constexpr int kExitInvalidInput = 2;
constexpr int kExitDataCorrupt = 3;  // the data on disk is corrupt

// Sets up logging to standard error. The level comes from LOG_LEVEL (error, info or debug);
// `format` is text or json. Prints an error and returns false if the level is invalid.
bool SetUpLog(const std::string& program, const std::string& format);
void AddLogFormat(CLI::App* app, std::string* format);

// Parses the command line. Returns the exit code if the program has to end now, else -1.
int Parse(CLI::App* app, int argc, char** argv);

}  // namespace badgershore::programs
