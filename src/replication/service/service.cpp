#include "replication/service/service.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <random>

#include "replication/service/codec.h"
#include "store/service/service.h"
#include "wire/json.h"
#include "wire/store_messages.h"

namespace badgershore::replication {
namespace {

constexpr Micros kTick = Millis(10);
constexpr Micros kMessageTimeout = Seconds(1);
// The longest watch (60 s) and a margin for the network.
constexpr Micros kForwardTimeout = Seconds(65);
constexpr int kMostUnderWay = 16;
constexpr size_t kKeptConnections = 8;
constexpr http::Limits kMessageLimits{8 * 1024, 16 * 1024, 1024UL * 1024 * 1024};
constexpr http::Limits kAnswerLimits{8 * 1024, 16 * 1024, 64UL * 1024 * 1024};
const std::string kForwarded = "/forwarded";
const std::string kStatusTarget = "/replica/status";

http::ServerAnswer NoLeader() { return {503, R"({"error":"no replica leads"})", 1}; }

Settings SettingsOf(const ReplicaSet& set, const std::string& name) {
  Settings settings;
  settings.self = name;
  for (const ReplicaAddress& replica : set.replicas) settings.replicas.push_back(replica.name);
  settings.heartbeat = set.heartbeat;
  settings.lease = set.lease;
  return settings;
}

// Loads a replica's metadata. An empty directory, of a lost disk or a new replica, yields none: the
// replica then needs the leader's state.
Stored StoredOf(store::Engine* engine) {
  const std::string note = engine->LoadOwnerMetadata();
  if (!note.empty()) {
    const std::optional<Stored> stored = DecodeStored(note);
    if (!stored) throw store::DiskError("the replica's metadata record has an unknown format");
    return *stored;
  }
  if (engine->Load().revision == 0) return {};
  throw store::DiskError(
      "the directory holds the state of an unreplicated service: run init on every replica's copy "
      "first");
}

std::string RoleName(Replica::Role role) {
  switch (role) {
    case Replica::Role::kLeader:
      return "leader";
    case Replica::Role::kCandidate:
    case Replica::Role::kProbing:
      return "candidate";
    case Replica::Role::kFollower:
      return "follower";
  }
  return "";
}

}  // namespace

Stored FirstStored(const ReplicaSet& set, const std::string& content) {
  Stored stored;
  stored.member = true;
  for (const ReplicaAddress& replica : set.replicas) stored.history += replica.name + " ";
  stored.history += content;
  return stored;
}

ReplicatedService::ReplicatedService(io::Loop* loop, store::Engine* engine, store::Limits limits,
                                     const ReplicaSet& set, const std::string& name,
                                     size_t max_connections)
    : loop_(loop),
      engine_(engine),
      limits_(limits),
      self_(*set.Find(name)),
      mailbox_(loop),
      replica_(SettingsOf(set, name), StoredOf(engine), std::random_device{}(), io::Loop::Now()),
      clients_(
          loop, [this](http::Message m) { return HandleClient(std::move(m)); }, max_connections),
      messages_(
          loop, [this](http::Message m) { return HandlePeer(std::move(m)); }, 256, kMessageLimits),
      disk_recovery_(engine, &mailbox_),
      disk_(&mailbox_) {
  for (const ReplicaAddress& replica : set.replicas) {
    if (replica.name == name) continue;
    Peer& peer = peers_[replica.name];
    peer.address = replica;
    peer.messages =
        std::make_unique<http::Client>(loop, replica.peer, kKeptConnections, kAnswerLimits);
    peer.forwards =
        std::make_unique<http::Client>(loop, replica.client, kKeptConnections, kAnswerLimits);
  }
}

// Ends a disk job that waits for a failing disk, so that the process can exit.
ReplicatedService::~ReplicatedService() { disk_recovery_.Stop(); }

Result<void> ReplicatedService::Start() {
  if (auto started = clients_.Start(self_.client); !started) return started;
  if (auto started = messages_.Start(self_.peer); !started) return started;
  io::Spawn(Ticks());
  return {};
}

io::Task<void> ReplicatedService::Ticks() {
  for (;;) {
    const Micros now = io::Loop::Now();
    replica_.Tick(now);
    if (machine_) machine_->Tick(now);
    Flush();
    co_await loop_->Sleep(kTick);
  }
}

bool ReplicatedService::Serves() const {
  return machine_ && replica_.ready() && replica_.term() == machine_term_ &&
         replica_.MayServe(io::Loop::Now());
}

void ReplicatedService::Flush() {
  if (std::exchange(flushing_, true)) return;
  for (;;) {
    FollowRole();
    FlushMachine();
    Effects out = replica_.Take();
    if (out.send.empty() && !out.write && !out.load_image && out.committed.empty()) break;
    for (auto& [to, message] : out.send) io::Spawn(Post(&peers_.at(to), Encode(message)));
    if (out.write) StoreOnDisk(*out.write);
    if (out.load_image) LoadImage();
    for (const Position& position : out.committed) {
      if (!machine_ || !proposed_ || proposed_->position != position) continue;
      const uint64_t batch = std::exchange(proposed_, std::nullopt)->batch;
      machine_->OnWriteCompleted(io::Loop::Now(), batch, store::WriteOutcome::kDurable);
    }
  }
  flushing_ = false;
}

void ReplicatedService::FlushMachine() {
  if (!machine_) return;
  store::StateMachine::Effects out = machine_->TakeEffects();
  for (auto& [token, answer] : out.responses) {
    const auto slot = slots_.find(token);
    if (slot != slots_.end()) slot->second->Set(std::move(answer));
  }
  if (out.write) waiting_batch_ = std::move(out.write);
  if (!waiting_batch_ || !replica_.CanPropose()) return;
  const uint64_t id = waiting_batch_->id;
  const Position position =
      replica_.Propose(io::Loop::Now(), *std::exchange(waiting_batch_, std::nullopt));
  proposed_ = Proposed{position, id};
}

void ReplicatedService::StoreOnDisk(const Write& write) {
  // The metadata as of this write; the core updates its own when the write is durable.
  Stored after = replica_.stored();
  if (const auto* vote = std::get_if<StoreVote>(&write)) {
    after.vote = vote->vote;
    after.member = vote->member;
  } else if (const auto* entry = std::get_if<StoreEntry>(&write)) {
    after.position = entry->entry.position;
    after.history = entry->history;
  } else if (const auto* image = std::get_if<StoreImage>(&write)) {
    after.position = image->position;
    after.history = image->history;
  }
  PostDiskJob([this, write, note = Encode(after)]() -> std::function<void()> {
    store::WriteOutcome written = disk_recovery_.LogOutcome(WriteToEngine(write, note));
    // The core must not act on a guess, so the disk thread does nothing else until the outcome is
    // known.
    if (written == store::WriteOutcome::kUnknown) written = disk_recovery_.ResolveUnknownWrite();
    if (written == store::WriteOutcome::kUnknown) return [] {};
    return [this, ok = written == store::WriteOutcome::kDurable] {
      if (!ok) spdlog::error("a write to disk failed");
      replica_.OnStored(io::Loop::Now(), ok);
      Flush();
    };
  });
}

store::WriteOutcome ReplicatedService::WriteToEngine(const Write& write, const std::string& note) {
  if (const auto* entry = std::get_if<StoreEntry>(&write)) {
    const auto& batch = entry->entry.batch;
    return engine_->WriteWithOwnerMetadata(batch ? &*batch : nullptr, note);
  }
  if (const auto* image = std::get_if<StoreImage>(&write)) {
    const auto state = DecodeImage(image->bytes);
    return state ? engine_->Replace(*state, note) : store::WriteOutcome::kAbsent;
  }
  return engine_->WriteWithOwnerMetadata(nullptr, note);
}

void ReplicatedService::PostDiskJob(io::Worker::Job job) {
  disk_.Post([this, job = std::move(job)]() -> std::function<void()> {
    try {
      return job();
    } catch (const store::DataDamagedError& error) {
      return [this, line = std::string(error.what())] {
        if (on_damaged_) on_damaged_(line);
      };
    }
  });
}

// Runs after all earlier writes, so that the state and the metadata's position are consistent.
void ReplicatedService::LoadImage() {
  PostDiskJob([this]() -> std::function<void()> {
    std::optional<Stored> stored;
    std::string bytes;
    const auto read = [&] {
      stored = DecodeStored(engine_->LoadOwnerMetadata());
      bytes = Encode(engine_->Load());
    };
    if (!disk_recovery_.Read(read)) return [] {};
    return [this, position = stored ? stored->position : Position{}, bytes = std::move(bytes)] {
      replica_.OnImage(io::Loop::Now(), position, bytes);
      Flush();
    };
  });
}

void ReplicatedService::FollowRole() {
  if (replica_.role() != logged_role_) {
    logged_role_ = replica_.role();
    const bool follows = logged_role_ == Replica::Role::kFollower;
    spdlog::info("replication role: {} in term {}", follows ? "follower" : RoleName(logged_role_),
                 replica_.term());
  }
  const bool leads = replica_.ready();
  if (machine_ && (!leads || machine_term_ != replica_.term())) DropMachine();
  if (!leads || machine_ || loading_term_ == replica_.term()) return;
  loading_term_ = replica_.term();
  PostDiskJob([this, term = loading_term_]() -> std::function<void()> {
    auto image = std::make_shared<store::StateImage>();
    if (!disk_recovery_.Read([&] { *image = engine_->Load(); })) return [] {};
    return [this, term, image] {
      StartMachine(term, std::move(*image));
      Flush();
    };
  });
}

void ReplicatedService::StartMachine(uint64_t term, store::StateImage image) {
  if (!replica_.ready() || replica_.term() != term) return;
  spdlog::info("serving clients as leader of term {}: {} keys at revision {}", term,
               image.items.size(), image.revision);
  machine_ = std::make_unique<store::StateMachine>(limits_, std::move(image), io::Loop::Now());
  machine_term_ = term;
}

// Waiting clients get no response, because the outcome of their requests is unknown here.
void ReplicatedService::DropMachine() {
  machine_.reset();
  waiting_batch_.reset();
  proposed_.reset();
  for (auto& [token, slot] : slots_) slot->Set(std::nullopt);
}

io::Task<void> ReplicatedService::Post(Peer* peer, std::string body) {
  if (peer->under_way >= kMostUnderWay)
    co_return;  // the peer is not responding; a later message will be sent
  ++peer->under_way;
  co_await peer->messages->Request("POST", "/message", std::move(body), kMessageTimeout);
  --peer->under_way;
}

io::Task<http::ServerAnswer> ReplicatedService::HandlePeer(http::Message request) {
  const std::optional<Message> message = DecodeMessage(request.body);
  if (!message) {
    spdlog::error("rejected a replica message with an unknown format");
    co_return http::ServerAnswer{400, R"({"error":"not a replica's message"})", 0};
  }
  const bool other = !message->history.empty() && !replica_.stored().history.empty() &&
                     message->history != replica_.stored().history;
  if (other)
    spdlog::error("replica {} belongs to another state service; ignoring its message",
                  message->from);
  replica_.OnMessage(io::Loop::Now(), *message);
  Flush();
  co_return http::ServerAnswer{200, "{}", 0};
}

io::Task<http::ServerAnswer> ReplicatedService::HandleClient(http::Message request) {
  if (request.target == kStatusTarget) co_return StatusAnswer();
  const bool forwarded = request.target.rfind(kForwarded, 0) == 0;
  if (forwarded) request.target.erase(0, kForwarded.size());
  if (Serves()) co_return co_await HandleHere(std::move(request));
  const auto leader = peers_.find(replica_.leader());
  if (forwarded || leader == peers_.end()) co_return NoLeader();
  co_return co_await Forward(&leader->second, std::move(request));
}

io::Task<http::ServerAnswer> ReplicatedService::HandleHere(http::Message request) {
  wire::StoreCall call = wire::ParseStoreCall(request.method, request.target, request.body);
  if (call.status != 0) {
    co_return http::ServerAnswer{call.status, "{\"error\":\"" + call.error + "\"}", 0};
  }
  const store::RequestId token = ++next_token_;
  io::Slot<std::optional<store::Response>> slot(loop_);
  slots_[token] = &slot;
  machine_->Submit(io::Loop::Now(), token, call.request);
  Flush();
  const std::optional<std::optional<store::Response>> answer = co_await slot.Wait(kNever);
  slots_.erase(token);
  const bool answered = answer && *answer;
  const bool refused = answered && ((*answer)->outcome == store::Outcome::kRefused ||
                                    (*answer)->outcome == store::Outcome::kRateLimited ||
                                    (*answer)->outcome == store::Outcome::kInvalid);
  // The response may be stale once another replica can lead.
  if (!answered || (!refused && !Serves()))
    co_return store::ToHttpResponse(call.request, std::nullopt);
  co_return store::ToHttpResponse(call.request, *answer);
}

io::Task<http::ServerAnswer> ReplicatedService::Forward(Peer* leader, http::Message request) {
  std::string target = kForwarded + request.target;
  http::ClientAnswer answer = co_await leader->forwards->Request(
      request.method, std::move(target), std::move(request.body), kForwardTimeout);
  if (answer.outcome == http::ClientAnswer::Outcome::kNotSent) co_return NoLeader();
  http::ServerAnswer reply;
  reply.hang_up = !answer.answered();
  reply.status = answer.status;
  reply.body = std::move(answer.body);
  reply.retry_after_s = answer.status == 503 ? 1 : 0;
  co_return reply;
}

http::ServerAnswer ReplicatedService::StatusAnswer() const {
  const Micros now = io::Loop::Now();
  const Stored& stored = replica_.stored();
  wire::Writer w;
  w.Begin().Put("name", self_.name).Put("role", RoleName(replica_.role()));
  w.Put("member", stored.member).Put("term", replica_.term()).Put("leader", replica_.leader());
  w.Put("positionTerm", stored.position.term).Put("positionIndex", stored.position.index);
  w.Put("serves", Serves()).Put("reachable", static_cast<uint64_t>(replica_.reachable(now)));
  return {200, w.Put("detail", replica_.Describe(now)).End().Done(), 0};
}

}  // namespace badgershore::replication
