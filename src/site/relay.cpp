#include "site/relay.h"

namespace badgershore::site {
namespace {
constexpr http::Limits kLimits{8 * 1024, 16 * 1024, 1024 * 1024};
constexpr Micros kProbeInterval = Seconds(1), kProbeTimeout = Seconds(1),
                 kRequestTimeout = Seconds(70);
}  // namespace

LoadBalancer::LoadBalancer(io::Loop* loop, std::vector<std::string> nodes)
    : loop_(loop),
      nodes_(std::move(nodes)),
      balancer_(nodes_.size()),
      server_(
          loop, [this](http::Message m) { return Handle(std::move(m)); }, 1024) {}

Result<void> LoadBalancer::Start(const std::string& addr) {
  if (auto started = server_.Start(addr); !started) return started;
  for (size_t i = 0; i < nodes_.size(); ++i) io::Spawn(Probe(i));
  return {};
}

bool LoadBalancer::ready() const {
  for (size_t i = 0; i < nodes_.size(); ++i) {
    if (balancer_.healthy(i)) return true;
  }
  return false;
}

io::Task<void> LoadBalancer::Probe(size_t node) {
  for (;;) {
    const Micros start = io::Loop::Now();
    http::Client client(loop_, nodes_[node], 0, kLimits);
    const http::ClientResponse a = co_await client.Request("GET", "/healthz", "", kProbeTimeout);
    balancer_.OnProbe(io::Loop::Now(), node, a.answered() && a.status == 200);
    // Until the first node is healthy, as at the start, probe more often.
    const Micros every = ready() ? kProbeInterval : Millis(100);
    co_await loop_->Sleep(std::max(Millis(20), start + every - io::Loop::Now()));
  }
}

io::Task<http::ServerResponse> LoadBalancer::Handle(http::Message request) {
  for (const size_t node : balancer_.Order(io::Loop::Now(), ++request_count_)) {
    http::Client client(loop_, nodes_[node], 0, kLimits);
    balancer_.OnOpen(node);
    http::ClientResponse a =
        co_await client.Request(request.method, request.target, request.body, kRequestTimeout);
    balancer_.OnClose(node);
    const bool sent = a.outcome != http::ClientResponse::Outcome::kNotSent;
    balancer_.OnConnect(io::Loop::Now(), node, sent);
    if (!sent) continue;
    http::ServerResponse answer;
    // The connection broke after the request was sent, so its outcome is unknown: the user's
    // connection is closed too, and the user retries.
    answer.close_connection = !a.answered();
    answer.status = a.status;
    answer.body = std::move(a.body);
    answer.retry_after_s = a.status == 503 || a.status == 429 ? 1 : 0;
    co_return answer;
  }
  co_return http::ServerResponse{503, "{\"error\":\"no controller can take requests\"}", 1};
}

}  // namespace badgershore::site
