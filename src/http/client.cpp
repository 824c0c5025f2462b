#include "http/client.h"

namespace badgershore::http {

io::Task<ClientResponse> Client::Request(std::string method, std::string target, std::string body,
                                         Micros timeout) {
  const Micros deadline = io::Loop::Now() + timeout;
  const std::string request = FormatRequest(method, target, addr_, body, max_idle_ == 0);
  ClientResponse answer;
  ++traffic_.requests;
  // The server may have closed an idle connection. A GET is idempotent and is retried once on a new
  // connection; other requests are not retried, since the server may have carried them out.
  for (int attempt = 0; attempt < 2; ++attempt) {
    io::Socket socket;
    bool reused = false;
    while (!idle_connections_.empty() && attempt == 0) {
      IdleConnection idle = std::move(idle_connections_.back());
      idle_connections_.pop_back();
      if (io::Loop::Now() - idle.since > Seconds(20)) continue;
      socket = std::move(idle.socket);
      reused = true;
      break;
    }
    if (!reused) {
      const Micros connect_by = std::min(deadline, io::Loop::Now() + Millis(1500));
      socket = co_await io::Socket::Connect(loop_, addr_, connect_by);
      if (!socket.open()) co_return answer;
    }
    answer.outcome = ClientResponse::Outcome::kUnknown;
    const bool sent = co_await socket.WriteAll(request, deadline);
    traffic_.sent += request.size();
    Parser parser(Parser::Kind::kResponse, limits_);
    bool received_any = false;
    while (sent && !parser.done() && !parser.bad()) {
      char buffer[8192];
      const ssize_t n = co_await socket.Read(buffer, sizeof(buffer), deadline);
      if (n <= 0) break;
      received_any = true;
      traffic_.received += static_cast<uint64_t>(n);
      parser.Feed(std::string_view(buffer, static_cast<size_t>(n)));
    }
    if (parser.done()) {
      Message message = parser.Take();
      answer.outcome = ClientResponse::Outcome::kAnswered;
      answer.status = message.status;
      answer.body = std::move(message.body);
      if (!message.close && idle_connections_.size() < max_idle_) {
        idle_connections_.push_back(IdleConnection{std::move(socket), io::Loop::Now()});
      }
      co_return answer;
    }
    if (!reused || received_any || method != "GET" || io::Loop::Now() >= deadline) break;
  }
  co_return answer;
}

}  // namespace badgershore::http
