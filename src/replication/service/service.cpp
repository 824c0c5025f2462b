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
constexpr int kMaxMessagesInFlight = 16;
constexpr size_t kMaxIdleConnections = 8;
constexpr http::Limits kMessageLimits{8 * 1024, 16 * 1024, 1024UL * 1024 * 1024};
constexpr http::Limits kResponseLimits{8 * 1024, 16 * 1024, 64UL * 1024 * 1024};
const std::string kForwarded = "/forwarded";
const std::string kStatusTarget = "/replica/status";

http::ServerResponse NoLeaderResponse() { return {503, R"({"error":"no replica leads"})", 1}; }

Settings MakeSettings(const ReplicaSet& set, const std::string& name) {
  Settings settings;
  settings.self = name;
  for (const ReplicaAddress& replica : set.replicas) settings.replicas.push_back(replica.name);
  settings.heartbeat = set.heartbeat;
  settings.lease = set.lease;
  return settings;
}

// Loads a replica's metadata. An empty directory, of a lost disk or a new replica, yields none: the
// replica then needs the leader's state.
PersistentState LoadStored(store::Engine* engine) {
  const std::string owner_metadata = engine->LoadOwnerMetadata();
  if (!owner_metadata.empty()) {
    const std::optional<PersistentState> stored = DecodePersistentState(owner_metadata);
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
    case Replica::Role::kPreCandidate:
      return "candidate";
    case Replica::Role::kFollower:
      return "follower";
  }
  return "";
}

}  // namespace

PersistentState InitialPersistentState(const ReplicaSet& set, const std::string& content) {
  PersistentState stored;
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
      replica_(MakeSettings(set, name), LoadStored(engine), std::random_device{}(),
               io::Loop::Now()),
      client_server_(
          loop, [this](http::Message m) { return HandleClient(std::move(m)); }, max_connections),
      replica_server_(
          loop, [this](http::Message m) { return HandleReplicaMessage(std::move(m)); }, 256,
          kMessageLimits),
      disk_recovery_(engine, &mailbox_),
      disk_(&mailbox_) {
  for (const ReplicaAddress& replica : set.replicas) {
    if (replica.name == name) continue;
    Peer& peer = peers_[replica.name];
    peer.address = replica;
    peer.messages =
        std::make_unique<http::Client>(loop, replica.peer, kMaxIdleConnections, kResponseLimits);
    peer.forwards =
        std::make_unique<http::Client>(loop, replica.client, kMaxIdleConnections, kResponseLimits);
  }
}

// Ends a disk job that waits for a failing disk, so that the process can exit.
ReplicatedService::~ReplicatedService() { disk_recovery_.Stop(); }

Result<void> ReplicatedService::Start() {
  if (auto started = client_server_.Start(self_.client); !started) return started;
  if (auto started = replica_server_.Start(self_.peer); !started) return started;
  io::Spawn(RunTicks());
  return {};
}

io::Task<void> ReplicatedService::RunTicks() {
  for (;;) {
    const Micros now = io::Loop::Now();
    replica_.Tick(now);
    if (state_machine_) state_machine_->Tick(now);
    Flush();
    co_await loop_->Sleep(kTick);
  }
}

bool ReplicatedService::CanServe() const {
  return state_machine_ && replica_.ready() && replica_.term() == state_machine_term_ &&
         replica_.HoldsLeaderLease(io::Loop::Now());
}

void ReplicatedService::Flush() {
  if (std::exchange(flushing_, true)) return;
  for (;;) {
    UpdateRole();
    FlushStateMachine();
    Effects out = replica_.Take();
    if (out.send.empty() && !out.write && !out.load_snapshot && out.committed.empty()) break;
    for (auto& [to, message] : out.send) io::Spawn(Post(&peers_.at(to), Encode(message)));
    if (out.write) WriteToDisk(*out.write);
    if (out.load_snapshot) LoadImage();
    for (const Position& position : out.committed) {
      if (!state_machine_ || !proposal_ || proposal_->position != position) continue;
      const uint64_t batch = std::exchange(proposal_, std::nullopt)->batch;
      state_machine_->OnWriteCompleted(io::Loop::Now(), batch, store::WriteOutcome::kDurable);
    }
  }
  flushing_ = false;
}

void ReplicatedService::FlushStateMachine() {
  if (!state_machine_) return;
  store::StateMachine::Effects out = state_machine_->TakeEffects();
  for (auto& [request_id, response] : out.responses) {
    const auto slot = response_slots_.find(request_id);
    if (slot != response_slots_.end()) slot->second->Set(std::move(response));
  }
  if (out.write) queued_batch_ = std::move(out.write);
  if (!queued_batch_ || !replica_.CanPropose()) return;
  const uint64_t id = queued_batch_->id;
  const Position position =
      replica_.Propose(io::Loop::Now(), *std::exchange(queued_batch_, std::nullopt));
  proposal_ = Proposal{position, id};
}

void ReplicatedService::WriteToDisk(const Write& write) {
  // The metadata as of this write; the core updates its own when the write is durable.
  PersistentState stored_after = replica_.stored();
  if (const auto* vote = std::get_if<PersistVote>(&write)) {
    stored_after.vote = vote->vote;
    stored_after.member = vote->member;
  } else if (const auto* entry = std::get_if<PersistEntry>(&write)) {
    stored_after.position = entry->entry.position;
    stored_after.history = entry->history;
  } else if (const auto* image = std::get_if<PersistSnapshot>(&write)) {
    stored_after.position = image->position;
    stored_after.history = image->history;
  }
  PostDiskJob([this, write, owner_metadata = Encode(stored_after)]() -> std::function<void()> {
    store::WriteOutcome outcome = disk_recovery_.LogOutcome(WriteToEngine(write, owner_metadata));
    // The core must not act on a guess, so the disk thread does nothing else until the outcome is
    // known.
    if (outcome == store::WriteOutcome::kUnknown) outcome = disk_recovery_.ResolveUnknownWrite();
    if (outcome == store::WriteOutcome::kUnknown) return [] {};
    return [this, ok = outcome == store::WriteOutcome::kDurable] {
      if (!ok) spdlog::error("a write to disk failed");
      replica_.OnStored(io::Loop::Now(), ok);
      Flush();
    };
  });
}

store::WriteOutcome ReplicatedService::WriteToEngine(const Write& write,
                                                     const std::string& owner_metadata) {
  if (const auto* entry = std::get_if<PersistEntry>(&write)) {
    const auto& batch = entry->entry.batch;
    return engine_->WriteWithOwnerMetadata(batch ? &*batch : nullptr, owner_metadata);
  }
  if (const auto* image = std::get_if<PersistSnapshot>(&write)) {
    const auto state = DecodeStateImage(image->bytes);
    return state ? engine_->Replace(*state, owner_metadata) : store::WriteOutcome::kAbsent;
  }
  return engine_->WriteWithOwnerMetadata(nullptr, owner_metadata);
}

void ReplicatedService::PostDiskJob(io::Worker::Job job) {
  disk_.Post([this, job = std::move(job)]() -> std::function<void()> {
    try {
      return job();
    } catch (const store::DataCorruptionError& error) {
      return [this, line = std::string(error.what())] {
        if (on_damaged_) on_damaged_(line);
      };
    }
  });
}

// Runs after all earlier writes, so that the state and the metadata's position are consistent.
void ReplicatedService::LoadImage() {
  PostDiskJob([this]() -> std::function<void()> {
    std::optional<PersistentState> stored;
    std::string bytes;
    const auto read = [&] {
      stored = DecodePersistentState(engine_->LoadOwnerMetadata());
      bytes = Encode(engine_->Load());
    };
    if (!disk_recovery_.Read(read)) return [] {};
    return [this, position = stored ? stored->position : Position{}, bytes = std::move(bytes)] {
      replica_.OnImage(io::Loop::Now(), position, bytes);
      Flush();
    };
  });
}

void ReplicatedService::UpdateRole() {
  if (replica_.role() != logged_role_) {
    logged_role_ = replica_.role();
    const bool follows = logged_role_ == Replica::Role::kFollower;
    spdlog::info("replication role: {} in term {}", follows ? "follower" : RoleName(logged_role_),
                 replica_.term());
  }
  const bool leads = replica_.ready();
  if (state_machine_ && (!leads || state_machine_term_ != replica_.term())) StopStateMachine();
  if (!leads || state_machine_ || loading_term_ == replica_.term()) return;
  loading_term_ = replica_.term();
  PostDiskJob([this, term = loading_term_]() -> std::function<void()> {
    auto image = std::make_shared<store::StateImage>();
    if (!disk_recovery_.Read([&] { *image = engine_->Load(); })) return [] {};
    return [this, term, image] {
      StartStateMachine(term, std::move(*image));
      Flush();
    };
  });
}

void ReplicatedService::StartStateMachine(uint64_t term, store::StateImage image) {
  if (!replica_.ready() || replica_.term() != term) return;
  spdlog::info("serving clients as leader of term {}: {} keys at revision {}", term,
               image.items.size(), image.revision);
  state_machine_ =
      std::make_unique<store::StateMachine>(limits_, std::move(image), io::Loop::Now());
  state_machine_term_ = term;
}

// Waiting clients get no response, because the outcome of their requests is unknown here.
void ReplicatedService::StopStateMachine() {
  state_machine_.reset();
  queued_batch_.reset();
  proposal_.reset();
  for (auto& [request_id, slot] : response_slots_) slot->Set(std::nullopt);
}

io::Task<void> ReplicatedService::Post(Peer* peer, std::string body) {
  if (peer->in_flight >= kMaxMessagesInFlight)
    co_return;  // the peer is not responding; a later message will be sent
  ++peer->in_flight;
  co_await peer->messages->Request("POST", "/message", std::move(body), kMessageTimeout);
  --peer->in_flight;
}

io::Task<http::ServerResponse> ReplicatedService::HandleReplicaMessage(http::Message request) {
  const std::optional<Message> message = DecodeMessage(request.body);
  if (!message) {
    spdlog::error("rejected a replica message with an unknown format");
    co_return http::ServerResponse{400, R"({"error":"not a replica's message"})", 0};
  }
  const bool other_service = !message->history.empty() && !replica_.stored().history.empty() &&
                             message->history != replica_.stored().history;
  if (other_service)
    spdlog::error("replica {} belongs to another state service; ignoring its message",
                  message->from);
  replica_.OnMessage(io::Loop::Now(), *message);
  Flush();
  co_return http::ServerResponse{200, "{}", 0};
}

io::Task<http::ServerResponse> ReplicatedService::HandleClient(http::Message request) {
  if (request.target == kStatusTarget) co_return StatusResponse();
  const bool forwarded = request.target.rfind(kForwarded, 0) == 0;
  if (forwarded) request.target.erase(0, kForwarded.size());
  if (CanServe()) co_return co_await HandleLocally(std::move(request));
  const auto leader = peers_.find(replica_.leader());
  if (forwarded || leader == peers_.end()) co_return NoLeaderResponse();
  co_return co_await Forward(&leader->second, std::move(request));
}

io::Task<http::ServerResponse> ReplicatedService::HandleLocally(http::Message request) {
  wire::ParsedStoreRequest call =
      wire::ParseStoreRequest(request.method, request.target, request.body);
  if (call.status != 0) {
    co_return http::ServerResponse{call.status, "{\"error\":\"" + call.error + "\"}", 0};
  }
  const store::RequestId request_id = ++next_request_id_;
  io::OneShotValue<std::optional<store::Response>> slot(loop_);
  response_slots_[request_id] = &slot;
  state_machine_->Submit(io::Loop::Now(), request_id, call.request);
  Flush();
  const std::optional<std::optional<store::Response>> response = co_await slot.Wait(kNever);
  response_slots_.erase(request_id);
  const bool has_response = response && *response;
  const bool refused = has_response && ((*response)->outcome == store::Outcome::kRefused ||
                                        (*response)->outcome == store::Outcome::kRateLimited ||
                                        (*response)->outcome == store::Outcome::kInvalid);
  // The response may be stale once another replica can lead.
  if (!has_response || (!refused && !CanServe()))
    co_return store::ToHttpResponse(call.request, std::nullopt);
  co_return store::ToHttpResponse(call.request, *response);
}

io::Task<http::ServerResponse> ReplicatedService::Forward(Peer* leader, http::Message request) {
  std::string target = kForwarded + request.target;
  http::ClientResponse response = co_await leader->forwards->Request(
      request.method, std::move(target), std::move(request.body), kForwardTimeout);
  if (response.outcome == http::ClientResponse::Outcome::kNotSent) co_return NoLeaderResponse();
  http::ServerResponse http_response;
  http_response.close_connection = !response.answered();
  http_response.status = response.status;
  http_response.body = std::move(response.body);
  http_response.retry_after_s = response.status == 503 ? 1 : 0;
  co_return http_response;
}

http::ServerResponse ReplicatedService::StatusResponse() const {
  const Micros now = io::Loop::Now();
  const PersistentState& stored = replica_.stored();
  wire::Writer w;
  w.Begin().Put("name", self_.name).Put("role", RoleName(replica_.role()));
  w.Put("member", stored.member).Put("term", replica_.term()).Put("leader", replica_.leader());
  w.Put("positionTerm", stored.position.term).Put("positionIndex", stored.position.index);
  w.Put("serves", CanServe()).Put("reachable", static_cast<uint64_t>(replica_.reachable(now)));
  return {200, w.Put("detail", replica_.Describe(now)).End().Done(), 0};
}

}  // namespace badgershore::replication
