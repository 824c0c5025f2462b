// The badgershore program on the loopback interface, with fake services.
#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>

#include "standins.h"

namespace badgershore {
namespace {

// Returns an address with a port below the ephemeral range. An outgoing connection could otherwise
// hold a controller's port while the controller restarts. Each port is returned only once.
std::string FreeAddress() {
  static int next = 12000 + static_cast<int>(getpid() * 37 % 18000);
  for (int tries = 0; tries < 1000; ++tries) {
    const int port = next++;
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in sa{};
    sa.sin_family = AF_INET;
    sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    sa.sin_port = htons(static_cast<uint16_t>(port));
    const bool free = ::bind(fd, reinterpret_cast<sockaddr*>(&sa), sizeof(sa)) == 0;
    ::close(fd);
    if (free) return "127.0.0.1:" + std::to_string(port);
  }
  ADD_FAILURE() << "no free port";
  return "127.0.0.1:1";
}

struct ControllerProcess {
  std::string listen = FreeAddress(), peer_listen = FreeAddress(), config_file;
  pid_t pid = 0;

  void Start() {
    pid = fork();
    if (pid == 0) {
      setenv("LOG_LEVEL", "error", 1);
      execl(BADGERSHORE_PROGRAM, BADGERSHORE_PROGRAM, "--config", config_file.c_str(), nullptr);
      _exit(127);
    }
  }
  void Kill() {
    if (pid <= 0) return;
    ::kill(pid, SIGKILL);
    waitpid(pid, nullptr, 0);
    pid = 0;
  }
  ~ControllerProcess() {
    Kill();
    if (!config_file.empty()) std::remove(config_file.c_str());
  }
};

class Program : public testing::Test {
 protected:
  Program() : state_(&loop_), cloud_(&loop_) {
    EXPECT_TRUE(state_.Start(state_addr_));
    EXPECT_TRUE(cloud_.Start(cloud_addr_));
    for (size_t i = 0; i < 3; ++i) {
      char name[] = "/tmp/badgershore-test-XXXXXX";
      const int fd = mkstemp(name);
      ::close(fd);
      controllers_[i].config_file = name;
      std::string members;
      for (size_t k = 0; k < 3; ++k) {
        if (k == i) continue;
        members += std::string(members.empty() ? "" : ",") + "{\"member\":\"m-" +
                   std::to_string(k) + "\",\"site\":\"a\",\"addr\":\"" +
                   controllers_[k].peer_listen + "\"}";
      }
      std::ofstream(name)
          << "{\"member\":\"m-" << i << "\",\"site\":\"a\",\"client_listen\":\""
          << controllers_[i].listen << "\",\"back\":\"" << controllers_[i].peer_listen
          << "\",\"members\":[" << members << "],\"external\":{\"cloud\":\"" << cloud_addr_
          << "\",\"state\":\"" << state_addr_
          << "\"},\"params\":{\"zones\":[\"a\"],\"teams\":[{\"name\":\"t\"}],"
             "\"workers\":{\"report_s\":0.25,\"lease_s\":5,\"gang_wait_s\":10,"
             "\"gang_peer_s\":2,\"cancel_s\":20},\"state\":{\"rps\":1000,"
             "\"write_rps\":200,\"value_kb\":8,\"txn_ops\":8},\"cloud\":{\"rps\":20,"
             "\"list_lag_s\":1},\"quota\":{\"mem_mb\":64,\"max_connections\":200}}}";
      listen_addresses_.push_back(controllers_[i].listen);
    }
  }

  io::Task<http::ClientResponse> Request(size_t controller, std::string method, std::string path,
                                         std::string body = "") {
    http::Client client(&loop_, controllers_[controller].listen, 0, {});
    co_return co_await client.Request(std::move(method), std::move(path), std::move(body),
                                      Seconds(5));
  }
  // Repeats the request until the response has the status and the text, for at most `limit`.
  io::Task<bool> WaitForResponse(size_t controller, std::string method, std::string path,
                                 std::string body, int status, std::string text,
                                 Micros limit = Seconds(60)) {
    const Micros end = io::Loop::Now() + limit;
    while (io::Loop::Now() < end) {
      http::ClientResponse a = co_await Request(controller, method, path, body);
      if (a.answered() && a.status == status && a.body.find(text) != std::string::npos) {
        co_return true;
      }
      co_await loop_.Sleep(Millis(100));
    }
    co_return false;
  }
  static std::string Job(const std::string& id, int tasks) {
    return "{\"nameId\":\"" + id +
           "\",\"lane\":\"l\",\"owner\":\"t\",\"shape\":\"array\","
           "\"rank\":\"normal\",\"legs\":" +
           std::to_string(tasks) +
           R"(,"cpus":1,"accelerators":0,"memGb":1,"kit":"k","imageGb":1,"samePlace":false,)"
           R"("spread":false,"loaners":false,"expectS":1,"stashEveryS":0,"stashS":0})";
  }
  void Run(io::Task<void> test_body) {
    io::Spawn(RunAndStop(std::move(test_body)));
    loop_.Run();
  }
  io::Task<void> RunAndStop(io::Task<void> test_body) {
    co_await test_body;
    loop_.Stop();
  }

  io::Loop loop_;
  std::string state_addr_ = FreeAddress(), cloud_addr_ = FreeAddress();
  standins::StateService state_;
  standins::Cloud cloud_;
  ControllerProcess controllers_[3];
  std::vector<std::string> listen_addresses_;
};

TEST_F(Program, CompletesJobsAcrossControllerRestarts) {
  for (ControllerProcess& controller : controllers_) controller.Start();
  standins::Agent agent(&loop_, "n-000001", listen_addresses_, Millis(300));
  agent.Start();
  bool accepted = false, repeated = false, done = false, done_after_restart = false,
       unknown = false;
  Run([](Program_CompletesJobsAcrossControllerRestarts_Test* t, bool* accepted, bool* repeated,
         bool* done, bool* done_after_restart, bool* unknown) -> io::Task<void> {
    *accepted =
        co_await t->WaitForResponse(0, "POST", "/work", Job("job-000001", 6), 201, "pending");
    *repeated =
        co_await t->WaitForResponse(1, "POST", "/work", Job("job-000001", 6), 200, "job-000001");
    *done = co_await t->WaitForResponse(2, "GET", "/work/job-000001", "", 200, "\"done\"");
    for (ControllerProcess& controller : t->controllers_) controller.Kill();
    for (ControllerProcess& controller : t->controllers_) controller.Start();
    *done_after_restart =
        co_await t->WaitForResponse(1, "GET", "/work/job-000001", "", 200, "\"phase\":\"done\"");
    *unknown = co_await t->WaitForResponse(1, "GET", "/work/job-000099", "", 404, "");
  }(this, &accepted, &repeated, &done, &done_after_restart, &unknown));
  EXPECT_TRUE(accepted);
  EXPECT_TRUE(repeated);
  EXPECT_TRUE(done);
  EXPECT_TRUE(done_after_restart);
  EXPECT_TRUE(unknown);
  EXPECT_EQ(agent.tasks_started, 6);
  EXPECT_FALSE(agent.started_twice);
  EXPECT_TRUE(state_.Has("end/job-000001"));
  EXPECT_FALSE(state_.Has("job/job-000001"));
}

TEST_F(Program, RefusesSubmissionsInAnOutageAndCancelsAfterIt) {
  for (ControllerProcess& controller : controllers_) controller.Start();
  standins::Agent agent(&loop_, "n-000001", listen_addresses_, Seconds(600));
  agent.Start();
  bool accepted = false, refused = false, cancelled = false, stays_cancelled = false,
       invalid = false;
  Run([](Program_RefusesSubmissionsInAnOutageAndCancelsAfterIt_Test* t, bool* accepted,
         bool* refused, bool* cancelled, bool* stays_cancelled, bool* invalid) -> io::Task<void> {
    *accepted =
        co_await t->WaitForResponse(0, "POST", "/work", Job("job-000001", 2), 201, "pending");
    *invalid =
        co_await t->WaitForResponse(0, "POST", "/work", "{\"nameId\":\"job-000007\"}", 400, "lane");
    t->state_.SetDown(true);
    *refused = co_await t->WaitForResponse(0, "POST", "/work", Job("job-000002", 2), 503, "error");
    t->state_.SetDown(false);
    *cancelled =
        co_await t->WaitForResponse(1, "POST", "/work/job-000001/withdraw", "", 200, "withdrawn");
    *stays_cancelled =
        co_await t->WaitForResponse(2, "GET", "/work/job-000001", "", 200, "withdrawn");
  }(this, &accepted, &refused, &cancelled, &stays_cancelled, &invalid));
  EXPECT_TRUE(accepted);
  EXPECT_TRUE(invalid);
  EXPECT_TRUE(refused);
  EXPECT_TRUE(cancelled);
  EXPECT_TRUE(stays_cancelled);
}

TEST(CommandLine, ReportsErrorsInOneLine) {
  const auto run = [](const std::string& args, std::string* out) {
    FILE* p = popen((std::string(BADGERSHORE_PROGRAM) + " " + args + " 2>&1").c_str(), "r");
    char buffer[512];
    while (fgets(buffer, sizeof(buffer), p)) *out += buffer;
    return WEXITSTATUS(pclose(p));
  };
  std::string missing, version, help;
  EXPECT_EQ(run("--config /nowhere.json --check", &missing), 2);
  EXPECT_EQ(missing, "badgershore: /nowhere.json: can't be read\n");
  EXPECT_EQ(run("--version", &version), 0);
  EXPECT_EQ(version.substr(0, 12), "badgershore ");
  EXPECT_EQ(run("--help", &help), 0);
  EXPECT_NE(help.find("--options"), std::string::npos);
}

// A process that restarts immediately may find the socket of its predecessor still open. It must
// retry and not exit.
TEST_F(Program, RetriesWhileTheAddressIsInUse) {
  ControllerProcess& controller = controllers_[0];
  sockaddr_in sa{};
  sa.sin_family = AF_INET;
  sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  sa.sin_port = htons(static_cast<uint16_t>(std::stoi(controller.listen.substr(10))));
  const int blocking_socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  ASSERT_EQ(::bind(blocking_socket, reinterpret_cast<sockaddr*>(&sa), sizeof(sa)), 0);
  ASSERT_EQ(::listen(blocking_socket, 1), 0);
  controller.Start();
  usleep(400000);
  EXPECT_EQ(waitpid(controller.pid, nullptr, WNOHANG), 0);
  ::close(blocking_socket);
  bool connected = false;
  for (int i = 0; i < 500 && !connected; ++i) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    connected = ::connect(fd, reinterpret_cast<sockaddr*>(&sa), sizeof(sa)) == 0;
    ::close(fd);
    if (!connected) usleep(20000);
  }
  EXPECT_TRUE(connected);
}

}  // namespace
}  // namespace badgershore
