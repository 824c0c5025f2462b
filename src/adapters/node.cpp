#include "adapters/node.h"

#include <spdlog/spdlog.h>

#include "core/model/settings.h"
#include "wire/messages.h"

namespace badgershore::adapters {
namespace {

constexpr Micros kTick = Millis(100);

http::ServerAnswer Plain(int status, const char* error) {
  return {status, std::string("{\"error\":\"") + error + "\"}", status == 503 ? 1 : 0};
}

}  // namespace

Node::Node(io::Loop* loop, const PlatformSettings& settings, Options options)
    : loop_(loop),
      settings_(settings),
      core_(settings, std::move(options)),
      state_(loop, settings),
      cloud_(loop, settings),
      link_(
          loop, settings,
          [this](const PeerStatus& note) {
            core_.OnPeerStatus(io::Loop::Now(), note);
            Flush();
          },
          [this](const limits::CellMessage& note) {
            core_.OnCellMessage(io::Loop::Now(), note);
            Flush();
          },
          [this](const membership::Message& message) {
            core_.OnMembershipMessage(io::Loop::Now(), message);
            Flush();
          }),
      server_(
          loop, [this](http::Message m) { return Handle(std::move(m)); },
          static_cast<size_t>(settings.quota_connections) * 7 / 10) {}

Result<void> Node::Start() {
  if (auto started = server_.Start(settings_.client_listen); !started) return started;
  if (auto started = link_.Start(); !started) return started;
  io::Spawn(Ticks());
  return {};
}

void Node::End(std::function<void()> done) { io::Spawn(WindDown(std::move(done))); }

// Workers that report here learn of the new leader, and users' open requests are answered.
io::Task<void> Node::WindDown(std::function<void()> done) {
  const Micros latest = io::Loop::Now() + Seconds(3);
  core_.BeginHandover(io::Loop::Now());
  Flush();
  while (!core_.handover_done() && io::Loop::Now() < latest) co_await loop_->Sleep(Millis(20));
  co_await loop_->Sleep(Seconds(1));
  done();
}

void Node::LogWaits() {
  stats::Durations& waits = metrics_.user_waits;
  if (waits.count() == 0) return;
  spdlog::info("{} answers to users: half within {:.1f} ms, 95% within {:.1f} ms", waits.count(),
               waits.Quantile(0.5) * 1000, waits.Quantile(0.95) * 1000);
  waits.Reset();
}

io::Task<void> Node::Ticks() {
  waits_logged_ = io::Loop::Now();
  for (;;) {
    if (io::Loop::Now() - waits_logged_ > Seconds(60)) {
      waits_logged_ = io::Loop::Now();
      LogWaits();
    }
    core_.Tick(io::Loop::Now(), io::Loop::TimeOfDayMs());
    Flush();
    co_await loop_->Sleep(kTick);
  }
}

void Node::Flush() {
  // An operation that ends at once feeds the core again; the outermost call goes on with it.
  if (std::exchange(flushing_, true)) return;
  for (;;) {
    Effects out = core_.TakeEffects();
    bool any = false;
    for (LogLine& line : out.log) {
      any = true;
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
    for (HeartbeatResponse& a : out.heartbeat_responses) {
      any = true;
      auto it = checkins_.find(a.request_id);
      if (it != checkins_.end()) it->second->Set(std::move(a));
    }
    for (ApiResponse& a : out.api_responses) {
      any = true;
      auto it = users_.find(a.request_id);
      if (it != users_.end()) it->second->Set(std::move(a));
    }
    for (PeerStatus& n : out.peer_statuses) {
      any = true;
      link_.Send(n);
    }
    for (const membership::Message& m : out.membership_messages) {
      any = true;
      link_.Send(m);
    }
    for (CellDelivery& s : out.cell_deliveries) {
      any = true;
      link_.Send(s);
    }
    for (StateRequest& op : out.state_requests) {
      any = true;
      io::Spawn(TaskPhase(std::move(op)));
    }
    for (CloudRequest& op : out.cloud_requests) {
      any = true;
      io::Spawn(RunCloud(std::move(op)));
    }
    for (CommandRequest& op : out.command_requests) {
      any = true;
      io::Spawn(RunDirect(std::move(op)));
    }
    if (!any) break;
  }
  flushing_ = false;
}

io::Task<void> Node::TaskPhase(StateRequest op) {
  const RequestId id = op.id;
  StateResponse reply = co_await state_.Run(std::move(op));
  core_.OnStateResponse(io::Loop::Now(), id, std::move(reply));
  Flush();
}

io::Task<void> Node::RunCloud(CloudRequest op) {
  ++metrics_.cloud_calls;
  const RequestId id = op.id;
  CloudResponse reply = co_await cloud_.Run(std::move(op));
  core_.OnCloudResponse(io::Loop::Now(), id, std::move(reply));
  Flush();
}

io::Task<void> Node::RunDirect(CommandRequest op) {
  ++metrics_.direct_calls;
  const RequestId id = op.id;
  http::Client client(loop_, op.endpoint, 0, http::Limits{8192, 16384, 1024 * 1024});
  std::string body = wire::FormatDirect(op);
  http::ClientAnswer answer = co_await client.Request("POST", "/do", std::move(body), Seconds(3));
  CommandResponse reply;
  if (answer.answered()) {
    reply.status = answer.status;
    reply.heartbeat = wire::ParseReport(answer.body);
  }
  core_.OnCommandResponse(io::Loop::Now(), id, std::move(reply));
  Flush();
}

io::Task<http::ServerAnswer> Node::Handle(http::Message request) {
  std::string path = request.target.substr(0, request.target.find('?'));
  if (path == "/checkin") {
    if (request.method != "POST") co_return Plain(405, "POST only");
    co_return co_await HandleCheckin(std::move(request));
  }
  if (path == "/healthz") {
    if (core_.IsHealthy(io::Loop::Now())) co_return http::ServerAnswer{200, "{\"ok\":true}", 0};
    co_return Plain(503, "not ready");
  }
  if (path == "/metrics") co_return HandleMetrics();
  if (path == "/work" || path.compare(0, 6, "/work/") == 0) {
    co_return co_await HandleWork(std::move(request), std::move(path));
  }
  co_return Plain(404, "no such path");
}

http::ServerAnswer Node::HandleMetrics() {
  metrics_.state = state_.traffic();
  return {200, metrics_.Text(core_.leads(), loop_->TakeLongestTurn()), 0};
}

io::Task<http::ServerAnswer> Node::HandleWork(http::Message request, std::string path) {
  const RequestId token = ++next_token_;
  io::Slot<ApiResponse> slot(loop_);
  static const std::string kWithdraw = "/withdraw";
  std::string id = path.size() > 6 ? path.substr(6) : std::string();
  const bool withdraw = id.size() > kWithdraw.size() &&
                        id.compare(id.size() - kWithdraw.size(), kWithdraw.size(), kWithdraw) == 0;
  if (withdraw) id.resize(id.size() - kWithdraw.size());
  if (id.empty() || withdraw) {
    if (request.method != "POST") co_return Plain(405, "POST only");
  } else if (request.method != "GET") {
    co_return Plain(405, "GET only");
  }
  if (!id.empty() && !wire::ValidJobId(id)) co_return Plain(404, "no such job");
  users_[token] = &slot;
  const Micros now = io::Loop::Now();
  if (id.empty()) {
    core_.OnSubmit(now, token, wire::ParseSubmission(request.body, io::Loop::TimeOfDayMs()));
  } else if (withdraw) {
    core_.OnCancel(now, token, id);
  } else {
    core_.OnQuery(now, token, id);
  }
  Flush();
  std::optional<ApiResponse> answer = co_await slot.Wait(now + Seconds(4));
  users_.erase(token);
  metrics_.user_waits.Add((io::Loop::Now() - now).ToSeconds());
  ++metrics_.user_requests;
  if (!answer) co_return Plain(503, "no answer in time");
  co_return http::ServerAnswer{answer->status, wire::FormatAnswer(*answer), answer->retry_after_s};
}

io::Task<http::ServerAnswer> Node::HandleCheckin(http::Message request) {
  const std::optional<Heartbeat> report = wire::ParseReport(request.body);
  if (!report) co_return Plain(400, "malformed report");
  ++metrics_.reports;
  metrics_.report_bytes += request.body.size();
  const RequestId token = ++next_token_;
  io::Slot<HeartbeatResponse> slot(loop_);
  checkins_[token] = &slot;
  const Micros now = io::Loop::Now();
  core_.OnHeartbeat(now, token, *report);
  Flush();
  std::optional<HeartbeatResponse> answer = co_await slot.Wait(now + Seconds(3));
  checkins_.erase(token);
  if (!answer) co_return Plain(503, "no answer in time");
  if (io::Loop::Now() >= answer->valid_until) co_return Plain(503, "the lease has ended");
  std::string body = wire::FormatCheckinAnswer(*answer);
  metrics_.report_answer_bytes += body.size();
  co_return http::ServerAnswer{answer->status, std::move(body), 0};
}

}  // namespace badgershore::adapters
