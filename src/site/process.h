// Processes of a site, started and watched by the loop. They end with the program that started
// them, however that ends.
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
  std::string log_file;  // standard output and error are appended
  int stage = 0;
};

class Processes {
 public:
  Processes(io::Loop* loop, std::vector<Command> commands);
  // Starts them and keeps them running until Stop; then ends them all and calls `over`.
  void Start(std::function<void()> over);
  void Stop();
  void Kill(size_t child, Micros back_after);
  size_t size() const { return pids_.size(); }
  pid_t pid(size_t child) const { return pids_[child]; }  // 0: it does not run
  // An ended child is told here, with its wait status.
  std::function<void(const std::string& name, int status)> on_ended;

 private:
  io::Task<void> Watch(std::function<void()> over);
  void Do(const Supervisor::Action& action);

  io::Loop* loop_;
  std::vector<Command> commands_;
  std::vector<pid_t> pids_;
  Supervisor supervisor_;
};

// Runs a program to its end, its output to the end of `log_file`. Its exit code; -1 where it did
// not come to one.
int RunToEnd(const std::vector<std::string>& argv, const std::string& log_file);

// A free loopback port, as HOST:PORT, below those that outgoing connections take theirs from: one
// of them would hold it for a minute after its end. Each is given once in turn; std::runtime_error
// where none is free.
std::string FreeAddress();

}  // namespace badgershore::site
