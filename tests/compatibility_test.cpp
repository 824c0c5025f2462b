// Reads data written by earlier versions (tests/fixtures) and checks that it is written back byte
// for byte.
#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <map>
#include <string>

#include "core/model/record_size.h"
#include "peer/messages.h"
#include "replication/service/codec.h"
#include "store/disk/archive.h"
#include "store/disk/engine.h"
#include "wire/records.h"

namespace badgershore {
namespace {

namespace fs = std::filesystem;

constexpr size_t kFrameHeaderBytes = 4;

std::string FixturePath(const std::string& name) {
  return std::string(BADGERSHORE_FIXTURES) + "/" + name;
}

// Reads lines of the form "name value".
std::map<std::string, std::string> ReadNamedLines(const std::string& fixture) {
  std::map<std::string, std::string> values;
  std::ifstream in(FixturePath(fixture));
  for (std::string line; std::getline(in, line);) {
    const size_t space = line.find(' ');
    EXPECT_NE(space, std::string::npos) << fixture << ": " << line;
    values[line.substr(0, space)] = line.substr(space + 1);
  }
  return values;
}

std::string FromHex(const std::string& hex) {
  std::string bytes;
  for (size_t i = 0; i + 1 < hex.size(); i += 2) {
    bytes.push_back(static_cast<char>(std::stoi(hex.substr(i, 2), nullptr, 16)));
  }
  return bytes;
}

std::string ReadFixtureBytes(const std::string& fixture, const std::string& name) {
  return FromHex(ReadNamedLines(fixture)[name]);
}

// ---- Durable records ----

template <typename T>
T ReadRecordAs(const std::string& key) {
  const std::string text = ReadNamedLines("records.txt")[key];
  rapidjson::Document document;
  EXPECT_TRUE(wire::ParseObject(text, &document)) << key << ": " << text;
  const Record record = wire::ReadRecord(key, document);
  const T* value = std::get_if<T>(&record);
  EXPECT_NE(value, nullptr) << key;
  return value ? *value : T{};
}

TEST(RecordCompatibility, EveryRecordIsWrittenAsItWasRead) {
  const std::map<std::string, std::string> records = ReadNamedLines("records.txt");
  EXPECT_EQ(records.size(), 12u);
  for (const auto& [key, text] : records) {
    rapidjson::Document document;
    ASSERT_TRUE(wire::ParseObject(text, &document)) << key;
    wire::Writer writer;
    wire::PutRecord(&writer, wire::ReadRecord(key, document));
    EXPECT_EQ(writer.Done(), text) << key;
  }
}

TEST(RecordCompatibility, TermAndLeader) {
  EXPECT_EQ(ReadRecordAs<TermRecord>(keys::kTerm).term, 7u);
  EXPECT_EQ(ReadRecordAs<TermRecord>(keys::kTerm).leader, "node-b");
  EXPECT_EQ(ReadRecordAs<LeaderRecord>(keys::kLeader).leader, "node-b");
  EXPECT_EQ(ReadRecordAs<LeaderRecord>(keys::kLeader).term, 7u);
  EXPECT_EQ(ReadRecordAs<LeaderRecord>(keys::kSuccessor).leader, "node-c");
  EXPECT_EQ(ReadRecordAs<LeaderRecord>(keys::kSuccessor).term, 8u);
}

TEST(RecordCompatibility, Jobs) {
  JobSpec gang;
  gang.id = "job-1";
  gang.job_class = "batch";
  gang.team = "vision";
  gang.kind = JobKind::kGang;
  gang.priority = Priority::kHigh;
  gang.tasks = 12;
  gang.need = {1500, 1000, 4096};
  gang.image = "trainer:4";
  gang.image_gb = 7.5;
  gang.machine_types = {"large", "small"};
  gang.zone = "z2";
  gang.same_zone = true;
  gang.allow_spot = true;
  gang.estimated_runtime = Seconds(3600);
  gang.checkpoint_interval = Seconds(300);
  gang.checkpoint_duration = Seconds(20);
  gang.deadline = Seconds(7200);
  gang.submitted_ms = 1700000000123;
  EXPECT_EQ(ReadRecordAs<JobSpec>("job/job-1"), gang);

  JobSpec service;
  service.id = "job-2";
  service.job_class = "serving";
  service.team = "search";
  service.kind = JobKind::kService;
  service.priority = Priority::kProduction;
  service.tasks = 3;
  service.need = {500, 0, 1024};
  service.image = "web:1";
  service.image_gb = 0.5;
  service.spread = true;
  service.submitted_ms = 1700000000456;
  EXPECT_EQ(ReadRecordAs<JobSpec>("job/job-2"), service);
}

TEST(RecordCompatibility, JobEndsAndProgress) {
  EXPECT_FALSE(ReadRecordAs<JobEndRecord>("end/job-1").cancelled);
  EXPECT_EQ(ReadRecordAs<JobEndRecord>("end/job-1").tasks, 12);
  EXPECT_TRUE(ReadRecordAs<JobEndRecord>("end/job-3").cancelled);
  EXPECT_EQ(ReadRecordAs<JobEndRecord>("end/job-3").tasks, 4);
  const ProgressPage page = ReadRecordAs<ProgressPage>("prog/0");
  ASSERT_EQ(page.chunks.size(), 2u);
  EXPECT_EQ(page.chunks[1].job, "job-4");
  EXPECT_EQ(page.chunks[1].chunk, 2);
  EXPECT_EQ(page.chunks[1].bits, "01");
}

TEST(RecordCompatibility, MachinesAndTypes) {
  EXPECT_EQ(ReadRecordAs<TypeCountRecord>(keys::kTypes).count, 3);
  MachineType type;
  type.name = "large";
  type.size = {16000, 2000, 64000};
  type.image_cache_gb = 120.5;
  type.fetch_gb_per_s = 0.25;
  type.price = 3.5;
  type.spot_price = 1.25;
  type.boot = Seconds(45);
  type.zones = {"z1", "z2"};
  EXPECT_EQ(ReadRecordAs<MachineType>("ctl/type/0"), type);
  const FleetPage page = ReadRecordAs<FleetPage>("fleet/0");
  ASSERT_EQ(page.machines.size(), 2u);
  EXPECT_EQ(page.machines[1].id, "m-2");
  EXPECT_EQ(page.machines[1].endpoint, "10.0.0.2:7000");
  EXPECT_EQ(page.machines[1].type, "small");
  EXPECT_EQ(page.machines[1].zone, "z2");
  EXPECT_TRUE(page.machines[1].spot);
  EXPECT_FALSE(page.machines[0].spot);
}

TEST(RecordCompatibility, QuotaRecord) {
  limits::QuotaRecord expected;
  expected.number = 9;
  expected.held["vision"] = {1, 2, 3, 4};
  expected.totals["vision"] = {10, 20, 30, limits::kUnlimited};
  limits::TransferAccount& open = expected.accounts["cell-b"];
  open.sent = 5;
  open.received = 6;
  open.nonce = 77;
  open.in_transit["vision"] = {5, 6, 7, 8};
  open.net_sent["vision"] = {-1, 9, 0, 2};
  limits::TransferAccount& closed = expected.accounts["cell-c"];
  closed.sent = 1;
  closed.received = 2;
  closed.nonce = 3;
  closed.closed = true;
  expected.inherited["cell-c"] = true;
  EXPECT_EQ(ReadRecordAs<limits::QuotaRecord>(keys::kQuotaRecord), expected);
}

// Earlier versions ignore this record, whose key they do not know.
TEST(RecordCompatibility, LimitsRecordRoundTrip) {
  const LimitsRecord record{8192, 8, 2048, 4};
  wire::Writer writer;
  wire::PutRecord(&writer, record);
  const std::string text = writer.Done();
  EXPECT_EQ(text, R"({"of_value":8192,"of_changes":8,"value":2048,"changes":4})");
  rapidjson::Document document;
  ASSERT_TRUE(wire::ParseObject(text, &document));
  EXPECT_EQ(std::get<LimitsRecord>(wire::ReadRecord(keys::kStateLimits, document)), record);
}

// Guards against a record that takes more room than was planned for it.
TEST(RecordSize, IsAnUpperBoundOfEveryStoredRecord) {
  for (const auto& [key, text] : ReadNamedLines("records.txt")) {
    rapidjson::Document document;
    ASSERT_TRUE(wire::ParseObject(text, &document)) << key;
    EXPECT_GE(MaxRecordBytes(wire::ReadRecord(key, document)), text.size()) << key;
  }
  JobSpec spec;
  spec.image = "a \"quoted\" name\n";
  wire::Writer writer;
  wire::PutRecord(&writer, spec);
  EXPECT_GE(MaxRecordBytes(spec), writer.Done().size());
}

// ---- Frames between controllers ----

std::string PeerFrame(const std::string& name) { return ReadFixtureBytes("peer_frames.txt", name); }

TEST(PeerCompatibility, PeerStatus) {
  const std::string frame = PeerFrame("peer_status");
  const auto header = peer::DecodeHeader(frame);
  ASSERT_TRUE(header);
  EXPECT_EQ(header->body_size, frame.size() - kFrameHeaderBytes);
  EXPECT_EQ(header->kind, peer::FrameKind::kPeerStatus);
  const auto status = peer::DecodePeerStatus(std::string_view(frame).substr(kFrameHeaderBytes));
  ASSERT_TRUE(status);
  EXPECT_EQ(status->from, "node-a");
  EXPECT_EQ(status->term, 7u);
  EXPECT_EQ(status->leader, "node-b");
  EXPECT_TRUE(status->state_service_reachable);
  EXPECT_TRUE(status->receives_heartbeats);
  ASSERT_EQ(status->job_statuses.size(), 2u);
  EXPECT_EQ(status->job_statuses[0].job, "job-1");
  EXPECT_EQ(status->job_statuses[0].done, 3);
  EXPECT_EQ(status->job_statuses[0].running, 4);
  EXPECT_EQ(status->cancelling, std::vector<std::string>{"job-5"});
  EXPECT_EQ(status->cancelled, (std::vector<std::string>{"job-6", "job-7"}));
  EXPECT_EQ(peer::EncodeFrame(*status), frame);
}

TEST(PeerCompatibility, CellMessage) {
  const std::string frame = PeerFrame("cell_message");
  const auto header = peer::DecodeHeader(frame);
  ASSERT_TRUE(header);
  EXPECT_EQ(header->body_size, frame.size() - kFrameHeaderBytes);
  EXPECT_EQ(header->kind, peer::FrameKind::kCellMessage);
  const auto message = peer::DecodeCellMessage(std::string_view(frame).substr(kFrameHeaderBytes));
  ASSERT_TRUE(message);
  limits::CellMessage expected;
  expected.from = "cell-a";
  expected.to = "cell-b";
  expected.leader_address = "node-a";
  expected.term = 7;
  expected.nonce = 11;
  expected.echoed_nonce = 12;
  expected.sent = 13;
  expected.received = 14;
  expected.in_transit["vision"] = {1, 2, 3, 4};
  expected.held["vision"] = {5, 6, 7, 8};
  expected.totals["search"] = {9, 10, 11, 12};
  limits::QuotaRequest& request = expected.requests["vision"];
  request.units = {21, 22, 23, 24};
  request.waiting_since_ms = 1700000000789;
  request.priority = 1;
  request.all_or_nothing = true;
  expected.closed["cell-c"]["vision"] = {-1, 0, 1, 2};
  EXPECT_EQ(*message, expected);
  EXPECT_EQ(peer::EncodeFrame(*message), frame);
}

TEST(PeerCompatibility, MembershipMessage) {
  const std::string frame = PeerFrame("membership_message");
  const auto header = peer::DecodeHeader(frame);
  ASSERT_TRUE(header);
  EXPECT_EQ(header->body_size, frame.size() - kFrameHeaderBytes);
  EXPECT_EQ(header->kind, peer::FrameKind::kMembershipMessage);
  const auto message =
      peer::DecodeMembershipMessage(std::string_view(frame).substr(kFrameHeaderBytes));
  ASSERT_TRUE(message);
  EXPECT_EQ(static_cast<int>(message->kind), 2);
  EXPECT_EQ(message->from, "node-a");
  EXPECT_EQ(message->to, "node-b");
  EXPECT_EQ(message->incarnation, 100u);
  EXPECT_EQ(message->number, 101u);
  EXPECT_EQ(message->target, "node-c");
  EXPECT_TRUE(message->state_service_reachable);
  EXPECT_FALSE(message->receives_heartbeats);
  ASSERT_EQ(message->gossip.size(), 2u);
  EXPECT_EQ(message->gossip[0].member, "node-c");
  EXPECT_EQ(static_cast<int>(message->gossip[0].state), 1);
  EXPECT_EQ(message->gossip[0].incarnation, 99u);
  EXPECT_EQ(message->gossip[0].suspected_by, "node-a");
  EXPECT_EQ(static_cast<int>(message->gossip[1].state), 2);
  EXPECT_EQ(peer::EncodeFrame(*message), frame);
}

// ---- State service ----

store::StateImage SnapshotContent() {
  store::StateImage image;
  image.revision = 40;
  image.last_lease_id = 3;
  image.compacted_revision = 10;
  image.items["ctl/lead"] = {R"({"leader":"node-b","term":7})", 38, 3};
  image.items["job/job-1"] = {R"({"id":"job-1"})", 20, 0};
  image.leases[2] = Seconds(30);
  image.leases[3] = Seconds(5);
  image.change_log.push_back({20, "job/job-1", R"({"id":"job-1"})"});
  image.change_log.push_back({38, "ctl/lead", R"({"leader":"node-b","term":7})"});
  image.change_log.push_back({38, "job/job-0", std::nullopt});
  return image;
}

store::Batch BatchAfterSnapshot() {
  store::Batch batch;
  batch.id = 3;
  batch.revision = 42;
  batch.last_lease_id = 4;
  batch.compacted_revision = 10;
  batch.items["job/job-2"] = store::VersionedValue{R"({"id":"job-2"})", 41, 0};
  batch.items["job/job-1"] = std::nullopt;
  batch.leases[4] = Seconds(60);
  batch.leases[2] = std::nullopt;
  batch.change_log.push_back({41, "job/job-2", R"({"id":"job-2"})"});
  batch.change_log.push_back({42, "job/job-1", std::nullopt});
  return batch;
}

TEST(StoreCompatibility, SnapshotArchive) {
  EXPECT_EQ(store::ReadSnapshot(FixturePath("snapshot.tar.zst")), SnapshotContent());
}

TEST(StoreCompatibility, DataDirectory) {
  const fs::path directory =
      fs::path(testing::TempDir()) / ("compatibility-" + std::to_string(::getpid()));
  fs::remove_all(directory);
  fs::copy(FixturePath("data"), directory);
  store::StateImage expected = SnapshotContent();
  store::Apply(BatchAfterSnapshot(), &expected);
  {
    store::Engine engine(directory.string(), store::Engine::OpenMode::kReadWrite);
    EXPECT_TRUE(engine.recovery_warnings().empty());
    EXPECT_EQ(engine.Load(), expected);
    EXPECT_EQ(engine.LoadOwnerMetadata(), "");
  }
  fs::remove_all(directory);
}

// ---- Messages between replicas ----

std::string ReplicationBytes(const std::string& name) {
  return ReadFixtureBytes("replication_messages.txt", name);
}

// Decodes a recorded message, and checks its envelope and that it encodes to the same bytes.
template <typename Body>
Body ReadReplicationMessage(const std::string& name) {
  const std::string bytes = ReplicationBytes(name);
  const auto message = replication::DecodeMessage(bytes);
  EXPECT_TRUE(message) << name;
  if (!message) return {};
  EXPECT_EQ(message->from, "s1");
  EXPECT_EQ(message->history, "h-1");
  EXPECT_EQ(replication::Encode(*message), bytes) << name;
  const Body* body = std::get_if<Body>(&message->body);
  EXPECT_NE(body, nullptr) << name;
  return body ? *body : Body{};
}

TEST(ReplicationCompatibility, Votes) {
  const auto request = ReadReplicationMessage<replication::VoteRequest>("vote_request");
  EXPECT_EQ(request.term, 5u);
  EXPECT_TRUE(request.probe);
  EXPECT_EQ(request.position, (replication::Position{4, 17}));
  const auto response = ReadReplicationMessage<replication::VoteResponse>("vote_response");
  EXPECT_EQ(response.term, 6u);
  EXPECT_FALSE(response.probe);
  EXPECT_TRUE(response.granted);
}

TEST(ReplicationCompatibility, LogReplication) {
  const auto heartbeat = ReadReplicationMessage<replication::AppendRequest>("heartbeat");
  EXPECT_EQ(heartbeat.term, 7u);
  EXPECT_EQ(heartbeat.sent, Micros{1234567});
  EXPECT_FALSE(heartbeat.entry);

  const auto append = ReadReplicationMessage<replication::AppendRequest>("append_entries");
  ASSERT_TRUE(append.entry && append.entry->batch);
  EXPECT_EQ(append.entry->previous, (replication::Position{6, 18}));
  EXPECT_EQ(append.entry->position, (replication::Position{7, 19}));
  store::Batch expected = BatchAfterSnapshot();
  expected.items["job/job-2"]->lease = 4;
  const store::Batch& batch = *append.entry->batch;
  EXPECT_EQ(batch.id, expected.id);
  EXPECT_EQ(batch.revision, expected.revision);
  EXPECT_EQ(batch.last_lease_id, expected.last_lease_id);
  EXPECT_EQ(batch.compacted_revision, expected.compacted_revision);
  EXPECT_EQ(batch.items, expected.items);
  EXPECT_EQ(batch.leases, expected.leases);
  EXPECT_EQ(batch.change_log, expected.change_log);

  const auto response = ReadReplicationMessage<replication::AppendResponse>("append_response");
  EXPECT_EQ(response.term, 9u);
  EXPECT_EQ(response.sent, Micros{1234570});
  EXPECT_EQ(response.position, (replication::Position{8, 21}));
  EXPECT_TRUE(response.member);
  EXPECT_EQ(response.snapshot_bytes, 512u);
}

TEST(ReplicationCompatibility, SnapshotInstallation) {
  const auto part = ReadReplicationMessage<replication::SnapshotChunk>("install_snapshot");
  EXPECT_EQ(part.term, 8u);
  EXPECT_EQ(part.sent, Micros{1234569});
  EXPECT_EQ(part.position, (replication::Position{7, 20}));
  EXPECT_EQ(part.offset, 100u);
  EXPECT_EQ(part.size, 1000u);
  EXPECT_EQ(part.bytes, "some bytes");

  const std::string bytes = ReplicationBytes("state_image");
  const auto image = replication::DecodeStateImage(bytes);
  ASSERT_TRUE(image);
  store::StateImage expected;
  expected.revision = 40;
  expected.last_lease_id = 3;
  expected.compacted_revision = 10;
  expected.items["ctl/lead"] = {R"({"leader":"node-b","term":7})", 38, 3};
  expected.leases[3] = Seconds(5);
  expected.change_log.push_back({38, "ctl/lead", R"({"leader":"node-b","term":7})"});
  expected.change_log.push_back({39, "job/job-0", std::nullopt});
  EXPECT_EQ(*image, expected);
  EXPECT_EQ(replication::Encode(*image), bytes);
}

TEST(ReplicationCompatibility, StoredReplicaState) {
  const std::string bytes = ReplicationBytes("stored_state");
  const auto stored = replication::DecodePersistentState(bytes);
  ASSERT_TRUE(stored);
  EXPECT_EQ(stored->vote.term, 10u);
  EXPECT_EQ(stored->vote.candidate, "s2");
  EXPECT_EQ(stored->position, (replication::Position{9, 22}));
  EXPECT_EQ(stored->history, "h-1");
  EXPECT_TRUE(stored->member);
  EXPECT_EQ(replication::Encode(*stored), bytes);
}

}  // namespace
}  // namespace badgershore
