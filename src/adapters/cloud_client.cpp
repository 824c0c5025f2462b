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

io::Task<CloudResponse> CloudClient::Send(CloudRequest request) {
  const Micros now = io::Loop::Now();
  const Micros send_at = std::max(now, next_send_at_);
  next_send_at_ = send_at + Seconds(1 / rate_);
  if (send_at > now) co_await loop_->Sleep(send_at - now);
  // The process may have been paused since the decision was made.
  if (io::Loop::Now() >= request.valid_until)
    co_return CloudResponse{Outcome::kThrottled, {}, {}, {}, false};
  wire::Call call = wire::FormatCloudRequest(request);
  http::ClientResponse answer = co_await client_.Request(
      std::move(call.method), std::move(call.target), std::move(call.body), call.timeout);
  CloudResponse response;
  if (!answer.answered()) {
    response.outcome = answer.outcome == http::ClientResponse::Outcome::kNotSent
                           ? Outcome::kThrottled
                           : Outcome::kUnknown;
    co_return response;
  }
  co_return wire::ParseCloudResponse(request, answer.status, answer.body);
}

}  // namespace badgershore::adapters
