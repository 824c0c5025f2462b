#include "adapters/cloud_client.h"

#include "core/model/settings.h"
#include "wire/messages.h"

namespace badgershore::adapters {
namespace {
using Outcome = CloudResponse::Outcome;
}  // namespace

CloudClient::CloudClient(io::Loop* loop, const PlatformSettings& settings)
    : loop_(loop),
      rate_(settings.cloud_rps * 0.8),
      client_(loop, settings.cloud_addr, 4, http::Limits{8192, 16384, 1024 * 1024}) {}

io::Task<CloudResponse> CloudClient::Run(CloudRequest op) {
  const Micros now = io::Loop::Now();
  const Micros mine = std::max(now, next_);
  next_ = mine + Seconds(1 / rate_);
  if (mine > now) co_await loop_->Sleep(mine - now);
  // The process may have stood still between the decision and here.
  if (io::Loop::Now() >= op.valid_until)
    co_return CloudResponse{Outcome::kThrottled, {}, {}, {}, false};
  wire::Call call = wire::FormatCloudCall(op);
  http::ClientAnswer answer = co_await client_.Request(
      std::move(call.method), std::move(call.target), std::move(call.body), call.timeout);
  CloudResponse reply;
  if (!answer.answered()) {
    reply.outcome = answer.outcome == http::ClientAnswer::Outcome::kNotSent ? Outcome::kThrottled
                                                                            : Outcome::kUnknown;
    co_return reply;
  }
  co_return wire::ParseCloudAnswer(op, answer.status, answer.body);
}

}  // namespace badgershore::adapters
