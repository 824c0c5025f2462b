// Starts and supervises the processes of a site from the loop. The kernel kills them when the
// program that started them ends for any reason.
#pragma once

#include <sys/types.h>

#include <functional>
#include <string>
#include <vector>

#include "io/loop.h"
#include "site/core/supervise.h"

namespace badgershore::site {

struct Command {
  std::string name;
  std::vector<std::string> argv;
  std::string log_file;  // standard output and standard error are appended to it
  int stage = 0;
};

class Processes {
 public:
  Processes(io::Loop* loop, std::vector<Command> commands);
  // Starts all processes and restarts those that end. After Stop, calls `on_all_ended` once all
  // have ended.
  void Start(std::function<void()> on_all_ended);
  void Stop();
  void Kill(size_t child, Micros restart_after);
  size_t size() const { return pids_.size(); }
  pid_t pid(size_t child) const { return pids_[child]; }  // 0: not running
  // Called with the wait status of each child that ends.
  std::function<void(const std::string& name, int status)> on_ended;

 private:
  io::Task<void> Watch(std::function<void()> on_all_ended);
  void Execute(const Supervisor::Action& action);

  io::Loop* loop_;
  std::vector<Command> commands_;
  std::vector<pid_t> pids_;
  Supervisor supervisor_;
};

// Runs a program until it exits and appends its output to `log_file`. Returns its exit code, or -1
// if it could not be started or was ended by a signal.
int RunToEnd(const std::vector<std::string>& argv, const std::string& log_file);

// Returns a free loopback address as HOST:PORT. The port is below the ephemeral range: an outgoing
// connection could otherwise take the port and hold it for a minute after its close (TIME_WAIT).
// Ports are handed out in turn; throws std::runtime_error if none is free.
std::string FreeAddress();

}  // namespace badgershore::site
