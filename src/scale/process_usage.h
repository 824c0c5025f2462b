// What a process has used, as the kernel accounts for it (/proc).
#pragma once

#include <sys/types.h>

#include <optional>

namespace badgershore::scale {

struct ProcessUsage {
  double cpu_s = 0;        // user and system time of all threads since the process began
  double resident_mb = 0;  // now
  double peak_mb = 0;      // the most it ever held
};

// Nothing where there is no such process.
std::optional<ProcessUsage> ReadUsage(pid_t pid);

// The memory of this machine, in MB.
double MachineMemoryMb();

}  // namespace badgershore::scale
