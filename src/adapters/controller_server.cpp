#include "adapters/controller_server.h"

#include <spdlog/spdlog.h>

#include "core/model/message_size.h"
#include "core/model/settings.h"
#include "wire/messages.h"

namespace badgershore::adapters {
namespace {

constexpr Micros kTickInterval = Millis(100);
constexpr Micros kLatencyLogInterval = Seconds(60);
constexpr Micros kHandoverTimeout = Seconds(3);
constexpr Micros kShutdownDelay = Seconds(1);  // responds and redirects meanwhile
constexpr Micros kCommandTimeout = Seconds(3);
constexpr Micros kJobRequestTimeout = Seconds(4);
constexpr Micros kHeartbeatTimeout = Seconds(3);
constexpr http::Limits kAgentLimits{8192, 16384, 1024 * 1024};

constexpr std::string_view kHeartbeatPath = "/checkin";
const std::string kJobsPath = "/work";
const std::string kJobPrefix = "/work/";
const std::string kCancelSuffix = "/withdraw";

http::ServerResponse ErrorResponse(int status, const char* error) {
  return {status, std::string("{\"error\":\"") + error + "\"}", status == 503 ? 1 : 0};
}

bool IsEmpty(const Effects& effects) {
  return effects.log.empty() && effects.heartbeat_responses.empty() &&
         effects.api_responses.empty() && effects.peer_statuses.empty() &&
         effects.membership_messages.empty() && effects.cell_deliveries.empty() &&
         effects.cancellation_confirmations.empty() && effects.state_requests.empty() &&
         effects.cloud_requests.empty() && effects.command_requests.empty();
}

void WriteLog(const std::vector<LogLine>& lines) {
  for (const LogLine& line : lines) {
    switch (line.level) {
      case LogLine::Level::kError:
        spdlog::error("{}", line.text);
        break;
      case LogLine::Level::kInfo:
        spdlog::info("{}", line.text);
        break;
      case LogLine::Level::kDebug:
        spdlog::debug("{}", line.text);
        break;
    }
  }
}

// Drops the response to a request that is no longer waiting.
template <typename Response>
void Deliver(const std::unordered_map<RequestId, io::OneShotValue<Response>*>& pending,
             std::vector<Response>* responses) {
  for (Response& response : *responses) {
    auto it = pending.find(response.request_id);
    if (it != pending.end()) it->second->Set(std::move(response));
  }
}

}  // namespace

ControllerServer::ControllerServer(io::Loop* loop, const PlatformSettings& settings,
                                   Options options)
    : loop_(loop),
      settings_(settings),
      core_(settings, std::move(options)),
      state_(loop, settings),
      cloud_(loop, settings),
      peers_(loop, settings,
             {.on_peer_status =
                  [this](const PeerStatus& status) {
                    core_.OnPeerStatus(io::Loop::Now(), status);
                    ApplyEffects();
                  },
              .on_cell_message =
                  [this](const limits::CellMessage& message) {
                    core_.OnCellMessage(io::Loop::Now(), message);
                    ApplyEffects();
                  },
              .on_membership_message =
                  [this](const membership::Message& message) {
                    core_.OnMembershipMessage(io::Loop::Now(), message);
                    ApplyEffects();
                  },
              .on_cancellation_confirmation =
                  [this](const CancellationConfirmation& confirmation) {
                    core_.OnCancellationConfirmation(io::Loop::Now(), confirmation);
                    ApplyEffects();
                  }}),
      server_(loop, [this](http::Message request) { return Handle(std::move(request)); },
              static_cast<size_t>(settings.quota_connections) * 7 / 10,
              {.large_body_target = kHeartbeatPath, .large_body = kMaxReceivedReportBytes}) {}

Result<void> ControllerServer::Start() {
  if (auto started = server_.Start(settings_.client_listen); !started) return started;
  if (auto started = peers_.Start(); !started) return started;
  io::Spawn(TickLoop());
  return {};
}

void ControllerServer::Shutdown(std::function<void()> done) {
  io::Spawn(RunShutdown(std::move(done)));
}

// After the handover, agents that send heartbeats here are redirected to the new leader, and users'
// open requests are answered.
io::Task<void> ControllerServer::RunShutdown(std::function<void()> done) {
  const Micros deadline = io::Loop::Now() + kHandoverTimeout;
  core_.BeginHandover(io::Loop::Now());
  ApplyEffects();
  while (!core_.handover_done() && io::Loop::Now() < deadline) co_await loop_->Sleep(Millis(20));
  co_await loop_->Sleep(kShutdownDelay);
  done();
}

void ControllerServer::LogUserLatency() {
  stats::Durations& waits = metrics_.user_response_times;
  if (waits.count() == 0) return;
  spdlog::info("{} user requests answered: median {:.1f} ms, 95th percentile {:.1f} ms",
               waits.count(), waits.Quantile(0.5) * 1000, waits.Quantile(0.95) * 1000);
  waits.Reset();
}

io::Task<void> ControllerServer::TickLoop() {
  latency_logged_at_ = io::Loop::Now();
  for (;;) {
    if (io::Loop::Now() - latency_logged_at_ > kLatencyLogInterval) {
      latency_logged_at_ = io::Loop::Now();
      LogUserLatency();
    }
    core_.Tick(io::Loop::Now(), io::Loop::TimeOfDayMs());
    ApplyEffects();
    co_await loop_->Sleep(kTickInterval);
  }
}

void ControllerServer::ApplyEffects() {
  // A request that completes immediately calls the core and this function again. The outermost call
  // then applies the effects.
  if (std::exchange(applying_effects_, true)) return;
  for (;;) {
    Effects effects = core_.TakeEffects();
    if (IsEmpty(effects)) break;
    WriteLog(effects.log);
    DeliverResponses(&effects);
    SendToPeers(effects);
    StartRequests(&effects);
  }
  applying_effects_ = false;
}

void ControllerServer::DeliverResponses(Effects* effects) {
  Deliver(pending_heartbeats_, &effects->heartbeat_responses);
  Deliver(pending_job_requests_, &effects->api_responses);
}

void ControllerServer::SendToPeers(const Effects& effects) {
  for (const PeerStatus& status : effects.peer_statuses) peers_.Send(status);
  for (const membership::Message& message : effects.membership_messages) peers_.Send(message);
  for (const CellDelivery& delivery : effects.cell_deliveries) peers_.Send(delivery);
  for (const CancellationConfirmation& confirmation : effects.cancellation_confirmations) {
    peers_.Send(confirmation);
  }
}

void ControllerServer::StartRequests(Effects* effects) {
  for (StateRequest& request : effects->state_requests) {
    io::Spawn(SendStateRequest(std::move(request)));
  }
  for (CloudRequest& request : effects->cloud_requests) {
    io::Spawn(SendCloudRequest(std::move(request)));
  }
  for (CommandRequest& request : effects->command_requests) {
    io::Spawn(SendCommandRequest(std::move(request)));
  }
}

io::Task<void> ControllerServer::SendStateRequest(StateRequest request) {
  const RequestId id = request.id;
  StateResponse response = co_await state_.Send(std::move(request));
  core_.OnStateResponse(io::Loop::Now(), id, std::move(response));
  ApplyEffects();
}

io::Task<void> ControllerServer::SendCloudRequest(CloudRequest request) {
  ++metrics_.cloud_calls;
  const RequestId id = request.id;
  CloudResponse response = co_await cloud_.Send(std::move(request));
  core_.OnCloudResponse(io::Loop::Now(), id, std::move(response));
  ApplyEffects();
}

io::Task<void> ControllerServer::SendCommandRequest(CommandRequest request) {
  ++metrics_.command_requests;
  const RequestId id = request.id;
  http::Client client(loop_, request.endpoint, 0, kAgentLimits);
  std::string body = wire::FormatCommandRequest(request);
  http::ClientResponse answer =
      co_await client.Request("POST", "/do", std::move(body), kCommandTimeout);
  CommandResponse response;
  if (answer.answered()) {
    response.status = answer.status;
    response.heartbeat = wire::ParseHeartbeat(answer.body);
  }
  core_.OnCommandResponse(io::Loop::Now(), id, std::move(response));
  ApplyEffects();
}

io::Task<http::ServerResponse> ControllerServer::Handle(http::Message request) {
  std::string path = request.target.substr(0, request.target.find('?'));
  if (path == kHeartbeatPath) {
    if (request.method != "POST") co_return ErrorResponse(405, "POST only");
    co_return co_await HandleHeartbeat(std::move(request));
  }
  if (path == "/healthz") {
    if (core_.IsHealthy(io::Loop::Now())) co_return http::ServerResponse{200, "{\"ok\":true}", 0};
    co_return ErrorResponse(503, "not ready");
  }
  if (path == "/metrics") co_return HandleMetrics();
  if (path == kJobsPath || path.starts_with(kJobPrefix)) {
    co_return co_await HandleJobRequest(std::move(request), std::move(path));
  }
  co_return ErrorResponse(404, "no such path");
}

http::ServerResponse ControllerServer::HandleMetrics() {
  metrics_.state = state_.traffic();
  metrics_.state_value_bytes = core_.state_limits().value_bytes();
  metrics_.state_mutations = core_.state_limits().mutations();
  metrics_.state_changes_per_s = core_.state_limits().changes_per_s();
  metrics_.refused_transactions = core_.refused_transactions();
  metrics_.unconfirmed_cancellations = core_.unconfirmed_cancellations();
  std::optional<LeaderGauges> leader;
  if (core_.leader()) leader = core_.leader()->Gauges(io::Loop::Now());
  return {200, metrics_.Format(leader, loop_->TakeLongestTurn()), 0};
}

io::Task<http::ServerResponse> ControllerServer::HandleJobRequest(http::Message request,
                                                                  std::string path) {
  const RequestId request_id = ++last_request_id_;
  io::OneShotValue<ApiResponse> slot(loop_);
  std::string id = path.size() > kJobPrefix.size() ? path.substr(kJobPrefix.size()) : std::string();
  const bool cancel = id.size() > kCancelSuffix.size() && id.ends_with(kCancelSuffix);
  if (cancel) id.resize(id.size() - kCancelSuffix.size());
  if (id.empty() || cancel) {
    if (request.method != "POST") co_return ErrorResponse(405, "POST only");
  } else if (request.method != "GET") {
    co_return ErrorResponse(405, "GET only");
  }
  if (!id.empty() && !wire::ValidJobId(id)) co_return ErrorResponse(404, "no such job");
  pending_job_requests_[request_id] = &slot;
  const Micros now = io::Loop::Now();
  if (id.empty()) {
    core_.OnSubmit(now, request_id, wire::ParseSubmission(request.body, io::Loop::TimeOfDayMs()));
  } else if (cancel) {
    core_.OnCancel(now, request_id, id);
  } else {
    core_.OnQuery(now, request_id, id);
  }
  ApplyEffects();
  std::optional<ApiResponse> response = co_await slot.Wait(now + kJobRequestTimeout);
  pending_job_requests_.erase(request_id);
  metrics_.user_response_times.Add((io::Loop::Now() - now).ToSeconds());
  ++metrics_.user_requests;
  if (!response) co_return ErrorResponse(503, "no answer in time");
  co_return http::ServerResponse{response->status, wire::FormatApiResponse(*response),
                                 response->retry_after_s};
}

io::Task<http::ServerResponse> ControllerServer::HandleHeartbeat(http::Message request) {
  std::optional<Heartbeat> heartbeat = wire::ParseHeartbeat(request.body);
  if (!heartbeat) co_return ErrorResponse(400, "malformed report");
  heartbeat->connection = request.connection;
  ++metrics_.heartbeats;
  metrics_.heartbeat_bytes += request.body.size();
  const RequestId request_id = ++last_request_id_;
  io::OneShotValue<HeartbeatResponse> slot(loop_);
  pending_heartbeats_[request_id] = &slot;
  const Micros now = io::Loop::Now();
  core_.OnHeartbeat(now, request_id, *heartbeat);
  ApplyEffects();
  std::optional<HeartbeatResponse> response = co_await slot.Wait(now + kHeartbeatTimeout);
  pending_heartbeats_.erase(request_id);
  if (!response) co_return ErrorResponse(503, "no answer in time");
  if (!core_.MaySend(io::Loop::Now(), *response)) {
    co_return ErrorResponse(503, "the starts are not allowed any more");
  }
  std::string body = wire::FormatHeartbeatResponse(*response);
  metrics_.heartbeat_response_bytes += body.size();
  co_return http::ServerResponse{response->status, std::move(body), 0};
}

}  // namespace badgershore::adapters
