// What every program does alike: its log, its last words and its exit codes.
#pragma once

#include <CLI/CLI.hpp>
#include <string>

namespace badgershore::programs {

constexpr int kBadInput = 2;
constexpr int kDataDamaged = 3;  // what is on the disk is not what was written

// The log goes to standard error; LOG_LEVEL is error, info or debug. `format` is text or json.
// False, with a line said, where either is none of these.
bool SetUpLog(const std::string& program, const std::string& format);
void AddLogFormat(CLI::App* app, std::string* format);

// Parses; the exit code where the program is to end now, else -1.
int Parse(CLI::App* app, int argc, char** argv);

}  // namespace badgershore::programs
