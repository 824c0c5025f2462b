#include "site/process.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <fstream>
#include <stdexcept>

namespace badgershore::site {
namespace {

std::vector<int> Stages(const std::vector<Command>& commands) {
  std::vector<int> out;
  out.reserve(commands.size());
  for (const Command& c : commands) out.push_back(c.stage);
  return out;
}

// The kernel kills the child (PR_SET_PDEATHSIG) when this process ends for any reason.
pid_t SpawnChild(const std::vector<std::string>& arguments, const std::string& log_file) {
  std::vector<char*> argv;
  argv.reserve(arguments.size() + 1);
  for (const std::string& a : arguments) argv.push_back(const_cast<char*>(a.c_str()));
  argv.push_back(nullptr);
  const pid_t parent = ::getpid();
  const pid_t pid = ::fork();
  if (pid != 0) return pid;
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (::getppid() != parent) _exit(127);  // the parent ended before prctl
  ::setpgid(0, 0);                        // Ctrl-C at the terminal signals only the parent
  const int log = ::open(log_file.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  if (log >= 0) {
    ::dup2(log, STDOUT_FILENO);
    ::dup2(log, STDERR_FILENO);
  }
  ::execv(argv[0], argv.data());
  _exit(127);
}

}  // namespace

Processes::Processes(io::Loop* loop, std::vector<Command> commands)
    : loop_(loop),
      commands_(std::move(commands)),
      pids_(commands_.size(), 0),
      supervisor_(Stages(commands_)) {}

void Processes::Execute(const Supervisor::Action& action) {
  pid_t& pid = pids_[action.child];
  switch (action.kind) {
    case Supervisor::Action::Kind::kStart:
      pid = SpawnChild(commands_[action.child].argv, commands_[action.child].log_file);
      break;
    case Supervisor::Action::Kind::kTerminate:
      if (pid > 0) ::kill(pid, SIGTERM);
      break;
    case Supervisor::Action::Kind::kKill:
      if (pid > 0) ::kill(pid, SIGKILL);
      break;
  }
}

void Processes::Start(std::function<void()> on_all_ended) {
  io::Spawn(Watch(std::move(on_all_ended)));
}
void Processes::Stop() { supervisor_.Stop(io::Loop::Now()); }
void Processes::Kill(size_t child, Micros restart_after) {
  Execute(supervisor_.Kill(io::Loop::Now(), child, restart_after));
}

io::Task<void> Processes::Watch(std::function<void()> on_all_ended) {
  while (!supervisor_.all_stopped()) {
    for (size_t i = 0; i < pids_.size(); ++i) {
      int status = 0;
      if (pids_[i] <= 0 || ::waitpid(pids_[i], &status, WNOHANG) != pids_[i]) continue;
      pids_[i] = 0;
      supervisor_.OnEnded(io::Loop::Now(), i);
      if (on_ended) on_ended(commands_[i].name, status);
    }
    for (const Supervisor::Action& a : supervisor_.Tick(io::Loop::Now())) Execute(a);
    co_await loop_->Sleep(Millis(50));
  }
  on_all_ended();
}

int RunToEnd(const std::vector<std::string>& argv, const std::string& log_file) {
  int status = 0;
  const pid_t pid = SpawnChild(argv, log_file);
  if (pid <= 0 || ::waitpid(pid, &status, 0) != pid || !WIFEXITED(status)) return -1;
  return WEXITSTATUS(status);
}

namespace {

constexpr int kFirstPort = 10000;

// The first port of the ephemeral range, which outgoing connections use.
int FirstEphemeralPort() {
  constexpr int kDefaultFirstPort = 32768;
  std::ifstream in("/proc/sys/net/ipv4/ip_local_port_range");
  int first = kDefaultFirstPort;
  return in >> first && first > kFirstPort ? first : kDefaultFirstPort;
}

bool IsFree(int port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<uint16_t>(port));
  const bool free = ::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
  ::close(fd);
  return free;
}

}  // namespace

std::string FreeAddress() {
  static const int ports = FirstEphemeralPort() - kFirstPort;
  // Starts at a port that depends on the process id, so that sites that start at the same time do
  // not try the same ports.
  static int next = static_cast<int>(::getpid() * 37 % ports);
  for (int tries = 0; tries < ports; ++tries) {
    const int port = kFirstPort + next;
    next = (next + 1) % ports;
    if (IsFree(port)) return "127.0.0.1:" + std::to_string(port);
  }
  throw std::runtime_error("no free loopback port below the ephemeral port range");
}

}  // namespace badgershore::site
