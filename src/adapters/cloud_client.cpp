#include "adapters/cloud_client.h"

#include "wire/messages.h"

namespace badgershore::adapters {
namespace {
using Kind = CloudOp::Kind;
using Outcome = CloudReply::Outcome;
}  // namespace

CloudClient::CloudClient(io::Loop* loop, const PlatformSettings& settings)
    : loop_(loop),
      rate_(settings.cloud_rps * 0.8),
      client_(loop, settings.cloud_addr, 4, http::Limits{8192, 16384, 1024 * 1024}) {}

io::Task<CloudReply> CloudClient::Run(CloudOp op) {
  const Micros now = io::Loop::Now();
  const Micros mine = std::max(now, next_);
  next_ = mine + Seconds(1 / rate_);
  if (mine > now) co_await loop_->Sleep(mine - now);
  std::string method = "GET", target, body;
  switch (op.kind) {
    case Kind::kTypes:
      target = "/flavors";
      break;
    case Kind::kList:
      target = "/rentals?limit=500";
      if (!op.after.empty()) target += "&since=" + op.after;
      break;
    case Kind::kRent:
      method = "POST";
      target = "/rentals";
      body = wire::FormatRent(op);
      break;
    case Kind::kReturn:
      method = "POST";
      target = "/rentals/return";
      body = wire::FormatReturn(op);
      break;
  }
  http::ClientAnswer answer =
      co_await client_.Request(std::move(method), std::move(target), std::move(body), Seconds(4));
  CloudReply reply;
  if (!answer.answered()) {
    reply.outcome = answer.outcome == http::ClientAnswer::Outcome::kNotSent ? Outcome::kBusy
                                                                            : Outcome::kUnknown;
    co_return reply;
  }
  if (answer.status == 200) {
    bool good = true;
    if (op.kind == Kind::kTypes) good = wire::ParseTypes(answer.body, &reply);
    if (op.kind == Kind::kList) good = wire::ParseListed(answer.body, &reply);
    if (op.kind == Kind::kRent) good = wire::ParseRented(answer.body, &reply);
    reply.outcome = good ? Outcome::kOk : Outcome::kUnknown;
  } else if (answer.status == 503 && answer.body.find("no capacity") != std::string::npos) {
    reply.outcome = Outcome::kNoCapacity;
  } else if (answer.status == 400) {
    reply.outcome = Outcome::kInvalid;
  } else {
    reply.outcome = Outcome::kBusy;
  }
  co_return reply;
}

}  // namespace badgershore::adapters
