#include "scale/process_usage.h"

#include <unistd.h>

#include <fstream>
#include <sstream>
#include <string>

namespace badgershore::scale {
namespace {

constexpr double kKbPerMb = 1024;

// Returns the value of the line `NAME:   123 kB` in `file`, 0 if there is none.
double ReadKb(const std::string& file, const std::string& name) {
  std::ifstream in(file);
  for (std::string line; std::getline(in, line);) {
    if (line.rfind(name + ":", 0) == 0) return std::atof(line.c_str() + name.size() + 1);
  }
  return 0;
}

}  // namespace

std::optional<ProcessUsage> ReadUsage(pid_t pid) {
  const std::string folder = "/proc/" + std::to_string(pid);
  std::ifstream in(folder + "/stat");
  std::string line;
  if (!std::getline(in, line)) return std::nullopt;
  // The second field is the program's name in parentheses, which may contain spaces.
  const size_t name_end = line.rfind(')');
  if (name_end == std::string::npos) return std::nullopt;
  std::istringstream fields(line.substr(name_end + 1));
  std::string skipped;
  constexpr int kFieldsBeforeUserTime = 11;  // state (3) to cmajflt (13)
  for (int i = 0; i < kFieldsBeforeUserTime; ++i) fields >> skipped;
  double user_ticks = 0, system_ticks = 0;
  fields >> user_ticks >> system_ticks;
  ProcessUsage usage;
  usage.cpu_s = (user_ticks + system_ticks) / static_cast<double>(::sysconf(_SC_CLK_TCK));
  usage.resident_mb = ReadKb(folder + "/status", "VmRSS") / kKbPerMb;
  usage.peak_mb = ReadKb(folder + "/status", "VmHWM") / kKbPerMb;
  return usage;
}

double MachineMemoryMb() { return ReadKb("/proc/meminfo", "MemTotal") / kKbPerMb; }

}  // namespace badgershore::scale
