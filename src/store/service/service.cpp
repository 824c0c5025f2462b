#include "store/service/service.h"

#include <spdlog/spdlog.h>

#include "wire/store_messages.h"

namespace badgershore::store {
DiskThread::DiskThread(Engine* engine, io::Mailbox* mailbox, OnWritten on_written,
                       OnDataDamaged on_damaged)
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
    ending_ = true;
  }
  changed_.notify_all();
  thread_.join();
}

void DiskThread::Write(Batch batch) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    next_ = std::move(batch);
  }
  changed_.notify_all();
}

void DiskThread::Run() {
  for (;;) {
    std::unique_lock<std::mutex> lock(mutex_);
    changed_.wait(lock, [&] { return ending_ || next_; });
    if (!next_) return;
    const Batch batch = *std::exchange(next_, std::nullopt);
    lock.unlock();
    try {
      WriteToTheEnd(batch);
    } catch (const DataDamagedError& error) {
      mailbox_->Post([this, line = std::string(error.what())] { on_damaged_(line); });
      return;
    }
  }
}

void DiskThread::WriteToTheEnd(const Batch& batch) {
  const auto tell = [&](WriteOutcome written) {
    mailbox_->Post([this, id = batch.id, written] { on_written_(id, written); });
  };
  const WriteOutcome written = recovery_.Record(engine_->Write(batch));
  tell(written);
  if (written != WriteOutcome::kUnknown) return;
  const WriteOutcome resolved = recovery_.ResolveUnknownWrite();
  if (resolved != WriteOutcome::kUnknown) tell(resolved);
}

Service::Service(io::Loop* loop, Engine* engine, Limits limits, size_t max_connections)
    : loop_(loop),
      mailbox_(loop),
      machine_(limits, engine->Load(), io::Loop::Now()),
      server_(
          loop, [this](http::Message m) { return Handle(std::move(m)); }, max_connections),
      disk_(
          engine, &mailbox_,
          [this](uint64_t batch, WriteOutcome written) {
            machine_.OnWriteCompleted(io::Loop::Now(), batch, written);
            Flush();
          },
          [this](const std::string& line) {
            if (on_damaged_) on_damaged_(line);
          }) {}

Result<void> Service::Start(const std::string& addr) {
  if (auto started = server_.Start(addr); !started) return started;
  io::Spawn(Timers());
  return {};
}

io::Task<void> Service::Timers() {
  for (;;) {
    const Micros now = io::Loop::Now();
    machine_.Tick(now);
    Flush();
    timer_at_ = machine_.NextDeadline();
    io::Slot<bool> slot(loop_);
    timer_ = &slot;
    co_await slot.Wait(std::max(timer_at_, now + Millis(1)));
    timer_ = nullptr;
  }
}

void Service::Flush() {
  StateMachine::Effects out = machine_.TakeEffects();
  for (auto& [token, answer] : out.responses) {
    auto it = slots_.find(token);
    if (it != slots_.end()) it->second->Set(std::move(answer));
  }
  if (out.write) disk_.Write(std::move(*out.write));
  if (machine_.writes_blocked() != stalled_) {
    stalled_ = machine_.writes_blocked();
    if (stalled_) {
      spdlog::error("the disk is full or failing; refusing changes until a write succeeds");
    } else {
      spdlog::info("writes to disk succeed again; accepting changes, every lease was renewed");
    }
  }
  if (timer_ && machine_.NextDeadline() < timer_at_) timer_->Set(true);
}

http::ServerAnswer ToHttp(const Request& request, const std::optional<Response>& answer) {
  http::ServerAnswer reply;
  if (!answer) {
    reply.hang_up = true;
    return reply;
  }
  wire::StoreAnswer out = wire::FormatStoreAnswer(request, *answer);
  reply.status = out.status;
  reply.body = std::move(out.body);
  reply.retry_after_s = out.status == 503 ? 1 : 0;
  reply.hang_up = out.status == 0;
  return reply;
}

io::Task<http::ServerAnswer> Service::Handle(http::Message m) {
  wire::StoreCall call = wire::ParseStoreCall(m.method, m.target, m.body);
  if (call.status != 0) {
    co_return http::ServerAnswer{call.status, "{\"error\":\"" + call.error + "\"}", 0};
  }
  const RequestId token = ++next_token_;
  io::Slot<Response> slot(loop_);
  slots_[token] = &slot;
  machine_.Submit(io::Loop::Now(), token, call.request);
  Flush();
  std::optional<Response> answer = co_await slot.Wait(kNever);
  slots_.erase(token);
  co_return ToHttp(call.request, answer);
}

}  // namespace badgershore::store
