#include "adapters/state_client.h"

#include "core/model/settings.h"
#include "wire/messages.h"

namespace badgershore::adapters {
namespace {

using Kind = StateRequest::Kind;
using Outcome = StateResponse::Outcome;

// A list or watch answer may be large, but a controller's memory is not.
constexpr http::Limits kLimits{8 * 1024, 16 * 1024, 4 * 1024 * 1024};

StateResponse Refused() {
  StateResponse r;
  r.outcome = Outcome::kRefused;
  return r;
}

}  // namespace

StateClient::StateClient(io::Loop* loop, const PlatformSettings& settings)
    : loop_(loop),
      // An equal share for each controller, and some left over for bursts elsewhere.
      rate_(settings.state_rps * 0.9 / static_cast<double>(settings.members.size() + 1)),
      tokens_(rate_),
      tokens_at_(io::Loop::Now()),
      answered_at_(io::Loop::Now()),
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

io::Task<bool> StateClient::Pace() {
  const Micros start = io::Loop::Now();
  bool granted = false;
  ++queued_;
  for (;;) {
    const Micros now = io::Loop::Now();
    tokens_ = std::min(rate_, tokens_ + rate_ * (now - tokens_at_).ToSeconds());
    tokens_at_ = now;
    if (tokens_ >= 1) {
      tokens_ -= 1;
      granted = true;
      break;
    }
    if (now - start > Seconds(1) || queued_ > 200) break;
    co_await loop_->Sleep(Millis(20));
  }
  --queued_;
  co_return granted;
}

io::Task<StateResponse> StateClient::Run(StateRequest op) {
  const bool lease =
      op.kind == Kind::kRenewLease || op.kind == Kind::kGrantLease || op.kind == Kind::kRevokeLease;
  const bool watch = op.kind == Kind::kWatch;
  if (!lease && !watch) {
    const bool granted = co_await Pace();
    if (!granted) co_return Refused();
  }
  const bool dark = unanswered_ >= 3 && io::Loop::Now() - answered_at_ > Seconds(2);
  if (dark && !lease && !watch && trying_ > 0) co_return Refused();
  wire::Call call = wire::FormatStateCall(op);
  http::Client& client = watch ? watches_ : requests_;
  // A watch that waits says nothing of whether others would be answered: were it counted, a node
  // would refuse its users for as long as an old watch hangs after a cut.
  if (!watch) ++trying_;
  http::ClientAnswer answer = co_await client.Request(
      std::move(call.method), std::move(call.target), std::move(call.body), call.timeout);
  if (!watch) --trying_;
  StateResponse reply;
  if (!answer.answered()) {
    if (!watch) ++unanswered_;
    reply.outcome = answer.outcome == http::ClientAnswer::Outcome::kNotSent ? Outcome::kRefused
                                                                            : Outcome::kUnknown;
    co_return reply;
  }
  unanswered_ = 0;
  answered_at_ = io::Loop::Now();
  co_return wire::ParseStateAnswer(op, answer.status, answer.body);
}

}  // namespace badgershore::adapters
