#include "adapters/state_client.h"

#include "core/model/settings.h"
#include "wire/messages.h"

namespace badgershore::adapters {
namespace {

using Kind = StateRequest::Kind;
using Outcome = StateResponse::Outcome;

// Responses to list and watch requests can be large, but a controller's memory is limited.
constexpr http::Limits kLimits{8 * 1024, 16 * 1024, 4 * 1024 * 1024};

constexpr Micros kTokenTimeout = Seconds(1);
constexpr int kMaxWaitingForToken = 200;
// The service is considered down after this many requests without a response and this long.
constexpr int kDownAfterRequests = 3;
constexpr Micros kDownAfter = Seconds(2);

StateResponse RefusedResponse() {
  StateResponse response;
  response.outcome = Outcome::kRefused;
  return response;
}

// An equal share for each controller, with some headroom for bursts of other clients.
double ShareOf(const StateServiceLimits& limits, const PlatformSettings& settings) {
  constexpr double kUsedShare = 0.9;
  return limits.requests_per_s * kUsedShare / static_cast<double>(settings.members.size() + 1);
}

}  // namespace

StateClient::StateClient(io::Loop* loop, const PlatformSettings& settings)
    : loop_(loop),
      rate_(ShareOf(settings.state, settings),
            settings.next_state ? std::optional(ShareOf(*settings.next_state, settings))
                                : std::nullopt),
      tokens_(rate_.per_second()),
      tokens_updated_at_(io::Loop::Now()),
      last_response_at_(io::Loop::Now()),
      requests_(loop, settings.state_addr, 8, kLimits),
      watches_(loop, settings.state_addr, 3, kLimits) {}

http::Traffic StateClient::traffic() const {
  http::Traffic sum = requests_.traffic();
  const http::Traffic& watches = watches_.traffic();
  sum.requests += watches.requests;
  sum.sent += watches.sent;
  sum.received += watches.received;
  return sum;
}

io::Task<bool> StateClient::WaitForToken() {
  const Micros start = io::Loop::Now();
  bool granted = false;
  ++waiting_for_token_;
  for (;;) {
    const Micros now = io::Loop::Now();
    const double rate = rate_.per_second();
    tokens_ = std::min(rate, tokens_ + rate * (now - tokens_updated_at_).ToSeconds());
    tokens_updated_at_ = now;
    if (tokens_ >= 1) {
      tokens_ -= 1;
      granted = true;
      break;
    }
    if (now - start > kTokenTimeout || waiting_for_token_ > kMaxWaitingForToken) break;
    co_await loop_->Sleep(Millis(20));
  }
  --waiting_for_token_;
  co_return granted;
}

// A transaction may be refused because of the rate of changes, which its sender takes care of.
void StateClient::AdaptRate(const StateRequest& request, const StateResponse& response) {
  if (request.kind == Kind::kCompareAndSwap) return;
  if (response.rate_limited) {
    rate_.OnRefused();
  } else {
    rate_.OnAccepted();
  }
}

io::Task<StateResponse> StateClient::Send(StateRequest request) {
  const bool lease = request.kind == Kind::kRenewLease || request.kind == Kind::kGrantLease ||
                     request.kind == Kind::kRevokeLease;
  const bool watch = request.kind == Kind::kWatch;
  if (!lease && !watch) {
    const bool granted = co_await WaitForToken();
    if (!granted) co_return RefusedResponse();
  }
  const bool down = requests_without_response_ >= kDownAfterRequests &&
                    io::Loop::Now() - last_response_at_ > kDownAfter;
  if (down && !lease && !watch && in_flight_ > 0) co_return RefusedResponse();
  wire::Call call = wire::FormatStateRequest(request);
  http::Client& client = watch ? watches_ : requests_;
  // A waiting watch does not show whether other requests would get a response. If it were counted,
  // a controller would refuse user requests for as long as an old watch hangs after a network
  // partition.
  if (!watch) ++in_flight_;
  http::ClientResponse answer = co_await client.Request(
      std::move(call.method), std::move(call.target), std::move(call.body), call.timeout);
  if (!watch) --in_flight_;
  StateResponse response;
  if (!answer.answered()) {
    if (!watch) ++requests_without_response_;
    response.outcome = answer.outcome == http::ClientResponse::Outcome::kNotSent
                           ? Outcome::kRefused
                           : Outcome::kUnknown;
    co_return response;
  }
  requests_without_response_ = 0;
  last_response_at_ = io::Loop::Now();
  response = wire::ParseStateResponse(request, answer.status, answer.body);
  AdaptRate(request, response);
  co_return response;
}

}  // namespace badgershore::adapters
