// The processor time and memory use of a process, read from /proc.
#pragma once

#include <sys/types.h>

#include <optional>

namespace badgershore::scale {

struct ProcessUsage {
  double cpu_s = 0;        // user and system time of all threads since the process started
  double resident_mb = 0;  // current resident set size
  double peak_mb = 0;      // peak resident set size
};

// Empty if the process does not exist.
std::optional<ProcessUsage> ReadUsage(pid_t pid);

// The total memory of this machine.
double MachineMemoryMb();

}  // namespace badgershore::scale
