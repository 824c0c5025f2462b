// The badgershore-state program: restarts, invalid settings, limits, a full and a failing disk.
#include <fcntl.h>
#include <gtest/gtest.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>

#include "failing_disk.h"
#include "http/client.h"
#include "io/loop.h"

namespace badgershore {
namespace {

namespace fs = std::filesystem;

class StateProgram : public testing::Test {
 protected:
  StateProgram() {
    char name[] = "/tmp/badgershore-state-test-XXXXXX";
    root_ = mkdtemp(name);
  }
  ~StateProgram() override {
    Kill();
    fs::remove_all(root_);
  }
  void Start(const std::string& options = "") {
    int out[2];
    ASSERT_EQ(pipe(out), 0);
    pid_ = fork();
    if (pid_ == 0) {
      dup2(out[1], STDOUT_FILENO);
      close(out[0]);
      setenv("LOG_LEVEL", "error", 1);
      const std::string data = root_ + "/data";
      if (options.empty()) {
        execl(BADGERSHORE_STATE, BADGERSHORE_STATE, "serve", "--data", data.c_str(), "--listen",
              "127.0.0.1:0", nullptr);
      } else {
        std::ofstream(root_ + "/options.yaml") << options;
        execl(BADGERSHORE_STATE, BADGERSHORE_STATE, "serve", "--data", data.c_str(), "--listen",
              "127.0.0.1:0", "--options", (root_ + "/options.yaml").c_str(), nullptr);
      }
      _exit(127);
    }
    close(out[1]);
    FILE* in = fdopen(out[0], "r");
    char line[128] = "";
    ASSERT_TRUE(fgets(line, sizeof(line), in));
    fclose(in);
    char addr[64] = "";
    ASSERT_EQ(sscanf(line, "listening on %63s", addr), 1) << line;
    addr_ = addr;
  }
  void Kill(int signal = SIGKILL) {
    if (pid_ <= 0) return;
    kill(pid_, signal);
    waitpid(pid_, &status_, 0);
    pid_ = 0;
  }
  static io::Task<void> RequestOnce(StateProgram* test, std::string method, std::string target,
                                    std::string body, http::ClientResponse* out) {
    http::Client client(&test->loop_, test->addr_, 0, {});
    *out =
        co_await client.Request(std::move(method), std::move(target), std::move(body), Seconds(30));
    test->loop_.Stop();
  }
  http::ClientResponse SendRequest(const std::string& method, const std::string& target,
                                   const std::string& body = "") {
    http::ClientResponse a;
    loop_.Restart();
    io::Spawn(RequestOnce(this, method, target, body, &a));
    loop_.Run();
    return a;
  }
  int Status(const std::string& method, const std::string& target, const std::string& body = "") {
    return SendRequest(method, target, body).status;
  }
  int Run(const std::string& args, std::string* out) {
    FILE* p = popen((std::string(BADGERSHORE_STATE) + " " + args + " 2>&1").c_str(), "r");
    char buffer[512];
    while (fgets(buffer, sizeof(buffer), p)) *out += buffer;
    return WEXITSTATUS(pclose(p));
  }

  io::Loop loop_;
  std::string root_, addr_;
  pid_t pid_ = 0;
  int status_ = 0;
};

TEST_F(StateProgram, KeepsAcknowledgedDataAcrossSigkill) {
  Start();
  EXPECT_EQ(SendRequest("POST", "/grants", R"({"lifeMs":600000})").body, R"({"tenancy":1})");
  EXPECT_EQ(Status("POST", "/commit",
                   R"({"then":[{"put":"a/b","value":{"x":[1,2.5,null]},"tenancy":1}]})"),
            200);
  EXPECT_EQ(Status("POST", "/commit", R"({"then":[{"put":"a/c","value":1}]})"), 200);
  EXPECT_EQ(Status("POST", "/commit", R"({"then":[{"delete":"a/c"}]})"), 200);
  Kill();
  Start();
  EXPECT_EQ(SendRequest("GET", "/store/a/b").body,
            R"({"path":"a/b","value":{"x":[1,2.5,null]},"stamp":1,"tenancy":1})");
  EXPECT_EQ(Status("GET", "/store/a/c"), 404);
  EXPECT_EQ(Status("POST", "/grants/1/touch", "{}"), 200);
  // A watch continues from an earlier revision, including deletions; a lease id is not reused.
  EXPECT_EQ(SendRequest("GET", "/changes?starts=a/&since=1&waitMs=0").body,
            R"({"epoch":3,"log":[{"put":"a/c","value":1,"stamp":2},{"delete":"a/c","stamp":3}]})");
  EXPECT_EQ(SendRequest("POST", "/grants", R"({"lifeMs":1000})").body, R"({"tenancy":2})");
  EXPECT_EQ(Status("DELETE", "/grants/1"), 200);
  EXPECT_EQ(Status("GET", "/store/a/b"), 404);
  Kill(SIGTERM);
  EXPECT_TRUE(WIFEXITED(status_) && WEXITSTATUS(status_) == 0);
}

TEST_F(StateProgram, ReportsErrorsInOneLine) {
  Start();
  std::string line;
  const std::string data = root_ + "/data";
  EXPECT_EQ(Run("serve --listen 127.0.0.1:0 --data " + data, &line), 1);
  EXPECT_EQ(line, "badgershore-state: " + data + ": in use by another process\n");
  line.clear();
  EXPECT_EQ(Run("check --data " + data, &line), 0);
  EXPECT_NE(line.find("is whole"), std::string::npos);
  line.clear();
  EXPECT_EQ(Run("check --data " + root_ + "/none", &line), 1);
  EXPECT_EQ(line, "badgershore-state: " + root_ + "/none: contains no state database\n");
  line.clear();
  std::ofstream(root_ + "/bad.yaml") << "limits:\n  rsp: 1\n";
  EXPECT_EQ(
      Run("serve --check --listen 127.0.0.1:0 --data x --options " + root_ + "/bad.yaml", &line),
      2);
  EXPECT_NE(line.find("bad.yaml:2: limits.rsp: expected one of"), std::string::npos) << line;
}

// If the disk has less free space than the reserve, changes are refused and reads still work.
TEST_F(StateProgram, RefusesChangesOnAFullDisk) {
  Start("reserve_mb: 1099511627776\n");
  EXPECT_EQ(Status("POST", "/commit", R"({"then":[{"put":"a","value":1}]})"), 503);
  EXPECT_EQ(Status("GET", "/store/a"), 404);
  Kill();
  Start();
  EXPECT_EQ(Status("GET", "/store/a"), 404);  // the refused change was not applied
  EXPECT_EQ(Status("POST", "/commit", R"({"then":[{"put":"a","value":1}]})"), 200);
}

TEST_F(StateProgram, EnforcesItsLimits) {
  Start("limits:\n  write_rps: 0.01\n  value_kb: 1\n  txn_ops: 3\n");
  const std::string big(2000, 'x');
  EXPECT_EQ(Status("POST", "/commit", R"({"then":[{"put":"a","value":")" + big + "\"}]}"), 400);
  EXPECT_EQ(Status("POST", "/commit",
                   R"({"then":[{"delete":"a"},{"delete":"b"},{"delete":"c"},{"delete":"d"}]})"),
            400);
  EXPECT_EQ(Status("POST", "/commit", R"({"then":[{"put":"a","value":1},{"put":"b","value":1}]})"),
            200);
  EXPECT_EQ(Status("POST", "/commit", R"({"then":[{"put":"a","value":1},{"put":"b","value":1}]})"),
            429);
}

// Redirects standard error to a file, also for programs started meanwhile.
class StderrRedirect {
 public:
  explicit StderrRedirect(std::string file) : file_(std::move(file)), saved_(dup(STDERR_FILENO)) {
    const int out = open(file_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(out, STDERR_FILENO);
    close(out);
  }
  ~StderrRedirect() {
    dup2(saved_, STDERR_FILENO);
    close(saved_);
  }
  StderrRedirect(const StderrRedirect&) = delete;
  StderrRedirect& operator=(const StderrRedirect&) = delete;

 private:
  std::string file_;
  int saved_;
};

class StateProgramFailingDisk : public StateProgram {
 protected:
  StateProgramFailingDisk() : disk_(root_ + "/data", root_ + "/fault") {}
  void StartOnFailingDisk() {
    const StderrRedirect errors(root_ + "/errors");
    disk_.EnablePreload();
    Start();
    disk_.DisablePreload();
  }
  std::string CapturedStderr() const {
    std::ifstream in(root_ + "/errors");
    return std::string(std::istreambuf_iterator<char>(in), {});
  }
  int Put(const std::string& key, int value) {
    return Status("POST", "/commit",
                  R"({"then":[{"put":")" + key + R"(","value":)" + std::to_string(value) + "}]}");
  }
  // Puts new keys until one is accepted, for at most 10 s; returns that key's number, or -1.
  int PutUntilAccepted(int from) {
    for (int tries = 0; tries < 100; ++tries) {
      if (Put("k/" + std::to_string(from + tries), from + tries) == 200) return from + tries;
      usleep(100'000);
    }
    return -1;
  }
  // The exit code, within 10 s; -1: still running or killed by a signal.
  int ExitCode() {
    for (int tries = 0; tries < 100; ++tries) {
      if (waitpid(pid_, &status_, WNOHANG) == pid_) {
        pid_ = 0;
        return WIFEXITED(status_) ? WEXITSTATUS(status_) : -1;
      }
      usleep(100'000);
    }
    return -1;
  }

  FailingDisk disk_;
};

// Guards against a service that does not use a disk that works again, against the loss of
// acknowledged changes, and against a refused change that was applied.
TEST_F(StateProgramFailingDisk, ResumesAndKeepsAcknowledgedData) {
  for (const int fault : {ENOSPC, EIO}) {
    fs::remove_all(root_ + "/data");
    StartOnFailingDisk();
    ASSERT_EQ(Put("k/1", 1), 200);
    disk_.Fail(fault);
    EXPECT_NE(Put("k/2", 2), 200);
    EXPECT_EQ(Put("k/3", 3), 503);
    EXPECT_EQ(Status("GET", "/store/k/1"), 200);
    disk_.ClearFault();
    const int accepted = PutUntilAccepted(10);
    ASSERT_GE(accepted, 10);
    EXPECT_NE(CapturedStderr().find("disk operations have been failing for "), std::string::npos);
    Kill();
    Start();
    EXPECT_EQ(Status("GET", "/store/k/1"), 200);
    EXPECT_EQ(Status("GET", "/store/k/3"), 404);
    EXPECT_EQ(Status("GET", "/store/k/" + std::to_string(accepted)), 200);
    Kill();
  }
}

// Guards against a process that does not exit on SIGTERM while it waits for its disk.
TEST_F(StateProgramFailingDisk, ExitsOnSigtermWhileTheDiskFails) {
  StartOnFailingDisk();
  ASSERT_EQ(Put("k/1", 1), 200);
  disk_.Fail(EIO);
  EXPECT_NE(Put("k/2", 2), 200);
  kill(pid_, SIGTERM);
  EXPECT_EQ(ExitCode(), 0);
}

// Guards against retrying forever, without a log line, although the data is corrupt.
TEST_F(StateProgramFailingDisk, ExitsOnCorruptData) {
  StartOnFailingDisk();
  for (int i = 1; i <= 5; ++i) ASSERT_EQ(Put("k/" + std::to_string(i), i), 200);
  disk_.Fail(EIO);
  EXPECT_NE(Put("k/6", 6), 200);
  std::string log;
  for (const auto& file : fs::directory_iterator(root_ + "/data")) {
    if (file.path().extension() == ".log") log = file.path().string();
  }
  std::fstream out(log, std::ios::in | std::ios::out | std::ios::binary);
  constexpr std::streamoff kOffsetInFirstRecord = 20;
  out.seekg(kOffsetInFirstRecord);
  const char byte = static_cast<char>(out.get() ^ 1);
  out.seekp(kOffsetInFirstRecord);
  out.put(byte);
  out.close();
  disk_.ClearFault();
  constexpr int kDataDamaged = 3;  // docs/operations.md
  EXPECT_EQ(ExitCode(), kDataDamaged);
  const std::string line = log + ": byte 0: corrupt; restore a snapshot";
  EXPECT_NE(CapturedStderr().find(line), std::string::npos) << CapturedStderr();
  std::string output;
  EXPECT_EQ(Run("serve --listen 127.0.0.1:0 --data " + root_ + "/data", &output), kDataDamaged);
  EXPECT_EQ(output, "badgershore-state: " + line + "\n");
}

// Guards against a snapshot that has its final name before it is durable.
TEST_F(StateProgramFailingDisk, RefusesASnapshotThatCannotBeSynced) {
  Start();
  ASSERT_EQ(Put("k/1", 1), 200);
  Kill();
  FailingDisk disk(root_ + "/snapshots", root_ + "/fault");
  fs::create_directory(root_ + "/snapshots");
  const std::string file = root_ + "/snapshots/s.tar.zst";
  disk.Fail(EIO, "fsync");
  disk.EnablePreload();
  std::string output;
  EXPECT_EQ(Run("snapshot --data " + root_ + "/data --out " + file, &output), 1);
  disk.DisablePreload();
  EXPECT_EQ(output,
            "badgershore-state: " + file + ".partial: can't be synced: Input/output error\n");
  EXPECT_FALSE(fs::exists(file));
}

}  // namespace
}  // namespace badgershore
