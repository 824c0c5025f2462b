// A replicated state service of three badgershore-state processes on loopback: loss of the leader,
// of a disk and of the majority, and a failing disk.
#include <fcntl.h>
#include <gtest/gtest.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <filesystem>
#include <fstream>

#include "failing_disk.h"
#include "http/client.h"
#include "io/loop.h"
#include "site/process.h"
#include "wire/json.h"

namespace badgershore {
namespace {

namespace fs = std::filesystem;

class ReplicatedService : public testing::Test {
 protected:
  ReplicatedService() {
    char name[] = "/tmp/badgershore-replicas-XXXXXX";
    root_ = mkdtemp(name);
    std::ofstream file(set_file());
    file << "lease_s: 0.5\nheartbeat_s: 0.05\nreplicas:\n";
    for (size_t i = 0; i < 3; ++i) {
      clients_[i] = site::FreeAddress();
      file << "- {name: " << Name(i) << ", client: \"" << clients_[i] << "\", peer: \""
           << site::FreeAddress() << "\"}\n";
    }
  }
  ~ReplicatedService() override {
    for (size_t i = 0; i < 3; ++i) Kill(i);
    fs::remove_all(root_);
  }

  static std::string Name(size_t i) { return "r" + std::to_string(i); }
  std::string set_file() const { return root_ + "/replicas.yaml"; }
  std::string Data(size_t i) const { return root_ + "/" + Name(i); }

  pid_t Spawn(std::vector<std::string> argv) {
    const pid_t pid = fork();
    if (pid != 0) return pid;
    setenv("LOG_LEVEL", "error", 1);
    std::vector<char*> raw;
    for (std::string& word : argv) raw.push_back(word.data());
    raw.push_back(nullptr);
    const int devnull = ::open("/dev/null", O_WRONLY);
    dup2(devnull, STDOUT_FILENO);
    execv(raw[0], raw.data());
    _exit(127);
  }
  int RunAndGetExitCode(std::vector<std::string> argv) {
    int status = 0;
    waitpid(Spawn(std::move(argv)), &status, 0);
    return WEXITSTATUS(status);
  }
  void Init(size_t i) {
    ASSERT_EQ(
        RunAndGetExitCode({BADGERSHORE_STATE, "init", "--data", Data(i), "--replicas", set_file()}),
        0);
  }
  void Start(size_t i) {
    pids_[i] = Spawn({BADGERSHORE_STATE, "serve", "--data", Data(i), "--replicas", set_file(),
                      "--name", Name(i)});
  }
  void StartAll() {
    for (size_t i = 0; i < 3; ++i) {
      Init(i);
      Start(i);
    }
  }
  void Kill(size_t i) {
    if (pids_[i] <= 0) return;
    ::kill(pids_[i], SIGKILL);
    waitpid(pids_[i], nullptr, 0);
    pids_[i] = 0;
  }

  http::ClientResponse SendRequest(size_t i, const std::string& method, const std::string& target,
                                   const std::string& body = "") {
    io::Loop loop;
    http::ClientResponse response;
    io::Spawn(RequestOnce(&loop, clients_[i], method, target, body, &response));
    loop.Run();
    return response;
  }
  static io::Task<void> RequestOnce(io::Loop* loop, std::string address, std::string method,
                                    std::string target, std::string body,
                                    http::ClientResponse* response) {
    http::Client client(loop, address, 0, http::Limits{});
    *response = co_await client.Request(method, target, body, Seconds(3));
    loop->Stop();
  }
  // Retries until the status is 200, for at most 15 s.
  bool RequestUntilOk(size_t i, const std::string& method, const std::string& target,
                      const std::string& body = "") {
    for (int tries = 0; tries < 150; ++tries) {
      const http::ClientResponse response = SendRequest(i, method, target, body);
      if (response.answered() && response.status == 200) return true;
      usleep(100000);
    }
    return false;
  }
  bool Put(size_t i, const std::string& key, const std::string& value) {
    return RequestUntilOk(
        i, "POST", "/commit",
        R"({"guards":[],"then":[{"put":")" + key + R"(","value":)" + value + "}]}");
  }
  std::string Value(size_t i, const std::string& key) {
    if (!RequestUntilOk(i, "GET", "/store/" + key)) return "";
    rapidjson::Document document;
    const std::string body = SendRequest(i, "GET", "/store/" + key).body;
    if (!wire::ParseObject(body, &document)) return "";
    return std::to_string(static_cast<int>(wire::Number(document, "value")));
  }
  bool IsMember(size_t i) {
    rapidjson::Document document;
    const std::string body = SendRequest(i, "GET", "/replica/status").body;
    return wire::ParseObject(body, &document) && wire::Flag(document, "member");
  }
  size_t Leader() {
    for (int tries = 0; tries < 150; ++tries) {
      for (size_t i = 0; i < 3; ++i) {
        rapidjson::Document document;
        const std::string body = pids_[i] > 0 ? SendRequest(i, "GET", "/replica/status").body : "";
        if (wire::ParseObject(body, &document) && wire::Flag(document, "serves")) return i;
      }
      usleep(100000);
    }
    ADD_FAILURE() << "no replica leads";
    return 0;
  }

  std::string root_, clients_[3];
  pid_t pids_[3] = {};
};

TEST_F(ReplicatedService, ServesTheSameDataAfterLeaderFailure) {
  StartAll();
  ASSERT_TRUE(Put(0, "a/1", "11"));
  for (size_t i = 0; i < 3; ++i) EXPECT_EQ(Value(i, "a/1"), "11");
  const size_t first = Leader();
  Kill(first);
  const size_t second = Leader();
  EXPECT_NE(second, first);
  EXPECT_EQ(Value(second, "a/1"), "11");
  ASSERT_TRUE(Put(second, "a/2", "22"));
  Start(first);
  EXPECT_EQ(Value(first, "a/2"), "22");
}

TEST_F(ReplicatedService, WithoutAMajorityRespondsWith503OrNotAtAll) {
  StartAll();
  ASSERT_TRUE(Put(0, "a/1", "11"));
  const size_t leader = Leader();
  for (size_t i = 0; i < 3; ++i) {
    if (i != leader) Kill(i);
  }
  usleep(1500000);
  const http::ClientResponse read = SendRequest(leader, "GET", "/store/a/1");
  EXPECT_TRUE(!read.answered() || read.status == 503) << read.status;
  for (size_t i = 0; i < 3; ++i) {
    if (i != leader) Start(i);
  }
  EXPECT_EQ(Value(leader, "a/1"), "11");
}

TEST_F(ReplicatedService, ReplicaWithALostDiskIsRestoredAndBecomesAMember) {
  StartAll();
  ASSERT_TRUE(Put(0, "a/1", "11"));
  const size_t leader = Leader();
  const size_t lost = (leader + 1) % 3, other = (leader + 2) % 3;
  Kill(lost);
  fs::remove_all(Data(lost));
  ASSERT_TRUE(Put(leader, "a/2", "22"));
  Start(lost);
  for (int tries = 0; tries < 200 && !IsMember(lost); ++tries) usleep(100000);
  ASSERT_TRUE(IsMember(lost));
  // Together with the leader it is a majority that has all acknowledged writes.
  Kill(other);
  ASSERT_TRUE(Put(leader, "a/3", "33"));
  Kill(leader);
  Start(other);
  EXPECT_EQ(Value(lost, "a/1"), "11");
  EXPECT_EQ(Value(lost, "a/2"), "22");
  EXPECT_EQ(Value(lost, "a/3"), "33");
}

TEST_F(ReplicatedService, RefusesUnsuitableDirectoriesAndUnknownNames) {
  Init(0);
  // init twice, serving a replica's directory without replication, and an unknown replica name.
  EXPECT_EQ(
      RunAndGetExitCode({BADGERSHORE_STATE, "init", "--data", Data(0), "--replicas", set_file()}),
      1);
  EXPECT_EQ(
      RunAndGetExitCode({BADGERSHORE_STATE, "serve", "--data", Data(0), "--listen", "127.0.0.1:0"}),
      1);
  EXPECT_EQ(RunAndGetExitCode({BADGERSHORE_STATE, "serve", "--data", Data(0), "--replicas",
                               set_file(), "--name", "nobody"}),
            2);
}

// Disk faults can be injected into replica 1.
class ReplicatedServiceFailingDisk : public ReplicatedService {
 protected:
  ReplicatedServiceFailingDisk() : disk_(Data(kFailing), root_ + "/fault") {}
  void StartAllWithOneFailingDisk() {
    for (size_t i = 0; i < 3; ++i) {
      Init(i);
      if (i == kFailing) disk_.EnablePreload();
      Start(i);
      disk_.DisablePreload();
    }
  }
  // The exit code of that replica, within 10 s; -1: still running or killed by a signal.
  int ExitCodeOfFailing() {
    for (int tries = 0; tries < 100; ++tries) {
      int status = 0;
      if (waitpid(pids_[kFailing], &status, WNOHANG) == pids_[kFailing]) {
        pids_[kFailing] = 0;
        return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
      }
      usleep(100'000);
    }
    return -1;
  }

  static constexpr size_t kFailing = 1;
  FailingDisk disk_;
};

// Guards against the loss of acknowledged writes by one failing disk, and against a replica that
// does not take part again when its disk works again.
TEST_F(ReplicatedServiceFailingDisk, KeepsAcknowledgedWritesAndTheReplicaRejoins) {
  for (const int fault : {ENOSPC, EIO}) {
    for (size_t i = 0; i < 3; ++i) {
      Kill(i);
      fs::remove_all(Data(i));
    }
    StartAllWithOneFailingDisk();
    ASSERT_TRUE(Put(0, "a/1", "11"));
    disk_.Fail(fault);
    ASSERT_TRUE(Put(0, "a/2", "22"));
    disk_.ClearFault();
    ASSERT_TRUE(Put(0, "a/3", "33"));
    Kill(2);  // from here on replica 1 is needed for a majority
    ASSERT_TRUE(Put(0, "a/4", "44"));
    Kill(0);
    Kill(kFailing);
    Start(kFailing);
    Start(2);
    EXPECT_EQ(Value(kFailing, "a/1"), "11");
    EXPECT_EQ(Value(kFailing, "a/2"), "22");
    EXPECT_EQ(Value(kFailing, "a/3"), "33");
    EXPECT_EQ(Value(kFailing, "a/4"), "44");
  }
}

// Guards against a replica that does not exit on SIGTERM while it waits for its disk.
TEST_F(ReplicatedServiceFailingDisk, ReplicaExitsOnSigtermWhileItsDiskFails) {
  StartAllWithOneFailingDisk();
  ASSERT_TRUE(Put(0, "a/1", "11"));
  disk_.Fail(EIO);
  ASSERT_TRUE(Put(0, "a/2", "22"));
  ASSERT_TRUE(Put(0, "a/3", "33"));
  ::kill(pids_[kFailing], SIGTERM);
  EXPECT_EQ(ExitCodeOfFailing(), 0);
}

// Guards against a replica that retries forever although its data is corrupt.
TEST_F(ReplicatedServiceFailingDisk, ReplicaExitsOnCorruptData) {
  StartAllWithOneFailingDisk();
  for (int i = 0; i < 5; ++i) ASSERT_TRUE(Put(0, "a/" + std::to_string(i), "1"));
  disk_.Fail(EIO);
  ASSERT_TRUE(Put(0, "b/1", "11"));
  ASSERT_TRUE(Put(0, "b/2", "22"));
  // The two other replicas are a majority, so the writes above don't show that this one has failed.
  ASSERT_TRUE(disk_.WaitUntilFailed());
  for (const auto& file : fs::directory_iterator(Data(kFailing))) {
    if (file.path().extension() != ".log") continue;
    std::fstream out(file.path(), std::ios::in | std::ios::out | std::ios::binary);
    constexpr std::streamoff kOffsetInFirstRecord = 20;
    out.seekp(kOffsetInFirstRecord);
    out.put('\xff');
  }
  disk_.ClearFault();
  constexpr int kDataDamaged = 3;  // docs/operations.md
  EXPECT_EQ(ExitCodeOfFailing(), kDataDamaged);
  ASSERT_TRUE(Put(0, "b/3", "33"));
}

}  // namespace
}  // namespace badgershore
