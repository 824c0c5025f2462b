#include "store/service/service.h"

#include <spdlog/spdlog.h>

#include "wire/store_messages.h"

namespace badgershore::store {
DiskThread::DiskThread(Engine* engine, io::Mailbox* mailbox, OnWritten on_written,
                       OnDataCorrupted on_damaged)
    : engine_(engine),
      mailbox_(mailbox),
      on_written_(std::move(on_written)),
      on_damaged_(std::move(on_damaged)),
      recovery_(engine, mailbox),
      thread_([this] { Run(); }) {}

DiskThread::~DiskThread() {
  recovery_.Stop();
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
  }
  wakeup_.notify_all();
  thread_.join();
}

void DiskThread::Write(Batch batch) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    next_batch_ = std::move(batch);
  }
  wakeup_.notify_all();
}

void DiskThread::Run() {
  for (;;) {
    std::unique_lock<std::mutex> lock(mutex_);
    wakeup_.wait(lock, [&] { return stopping_ || next_batch_; });
    if (!next_batch_) return;
    const Batch batch = *std::exchange(next_batch_, std::nullopt);
    lock.unlock();
    try {
      WriteUntilResolved(batch);
    } catch (const DataCorruptionError& error) {
      mailbox_->Post([this, line = std::string(error.what())] { on_damaged_(line); });
      return;
    }
  }
}

void DiskThread::WriteUntilResolved(const Batch& batch) {
  const auto report = [&](WriteOutcome outcome) {
    mailbox_->Post([this, id = batch.id, outcome] { on_written_(id, outcome); });
  };
  const WriteOutcome outcome = recovery_.LogOutcome(engine_->Write(batch));
  report(outcome);
  if (outcome != WriteOutcome::kUnknown) return;
  const WriteOutcome resolved = recovery_.ResolveUnknownWrite();
  if (resolved != WriteOutcome::kUnknown) report(resolved);
}

Service::Service(io::Loop* loop, Engine* engine, Limits limits, size_t max_connections)
    : loop_(loop),
      mailbox_(loop),
      state_machine_(limits, engine->Load(), io::Loop::Now()),
      server_(
          loop, [this](http::Message message) { return HandleRequest(std::move(message)); },
          max_connections),
      disk_(
          engine, &mailbox_,
          [this](uint64_t batch, WriteOutcome outcome) {
            state_machine_.OnWriteCompleted(io::Loop::Now(), batch, outcome);
            Flush();
          },
          [this](const std::string& line) {
            if (on_damaged_) on_damaged_(line);
          }) {}

Result<void> Service::Start(const std::string& addr) {
  if (auto started = server_.Start(addr); !started) return started;
  io::Spawn(RunTimers());
  return {};
}

io::Task<void> Service::RunTimers() {
  for (;;) {
    const Micros now = io::Loop::Now();
    state_machine_.Tick(now);
    Flush();
    timer_deadline_ = state_machine_.NextDeadline();
    io::OneShotValue<bool> slot(loop_);
    timer_slot_ = &slot;
    co_await slot.Wait(std::max(timer_deadline_, now + Millis(1)));
    timer_slot_ = nullptr;
  }
}

void Service::Flush() {
  StateMachine::Effects out = state_machine_.TakeEffects();
  for (auto& [request_id, response] : out.responses) {
    auto it = response_slots_.find(request_id);
    if (it != response_slots_.end()) it->second->Set(std::move(response));
  }
  if (out.write) disk_.Write(std::move(*out.write));
  if (state_machine_.writes_blocked() != logged_writes_blocked_) {
    logged_writes_blocked_ = state_machine_.writes_blocked();
    if (logged_writes_blocked_) {
      spdlog::error("the disk is full or failing; refusing changes until a write succeeds");
    } else {
      spdlog::info("writes to disk succeed again; accepting changes, every lease was renewed");
    }
  }
  if (timer_slot_ && state_machine_.NextDeadline() < timer_deadline_) timer_slot_->Set(true);
}

http::ServerResponse ToHttpResponse(const Request& request,
                                    const std::optional<Response>& response) {
  http::ServerResponse http_response;
  if (!response) {
    http_response.close_connection = true;
    return http_response;
  }
  wire::StoreHttpResponse out = wire::FormatStoreResponse(request, *response);
  http_response.status = out.status;
  http_response.body = std::move(out.body);
  http_response.retry_after_s = out.status == 503 ? 1 : 0;
  http_response.close_connection = out.status == 0;
  return http_response;
}

io::Task<http::ServerResponse> Service::HandleRequest(http::Message message) {
  wire::ParsedStoreRequest call =
      wire::ParseStoreRequest(message.method, message.target, message.body);
  if (call.status != 0) {
    co_return http::ServerResponse{call.status, "{\"error\":\"" + call.error + "\"}", 0};
  }
  const RequestId request_id = ++next_request_id_;
  io::OneShotValue<Response> slot(loop_);
  response_slots_[request_id] = &slot;
  state_machine_.Submit(io::Loop::Now(), request_id, call.request);
  Flush();
  std::optional<Response> response = co_await slot.Wait(kNever);
  response_slots_.erase(request_id);
  co_return ToHttpResponse(call.request, response);
}

}  // namespace badgershore::store
