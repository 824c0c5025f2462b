// The machines of a cell: the production agent, with emulated image fetches and tasks.
#include <algorithm>

#include "rehearsal/world.h"

namespace badgershore::rehearsal {

void World::OnMachineUp(const Cloud::Machine& m) {
  Worker& w = workers_[m.id];
  w.record = {m.id, m.endpoint, m.type, m.zone, m.spot};
  agent::Settings s;
  s.machine = w.record;
  for (const MachineOffer& t : scenario_.types) {
    if (t.type.name != m.type) continue;
    s.size = t.type.size;
    w.fetch_gb_per_s = t.type.fetch_gb_per_s * (0.7 + 0.6 * RandomFraction());
  }
  for (size_t i = 0; i < nodes_.size(); ++i) s.controllers.push_back(NodeName(i));
  s.report_every = scenario_.site.heartbeat_interval;
  s.lease = scenario_.site.agent_lease;
  s.gang_wait = scenario_.site.gang_start_timeout;
  w.agent = std::make_unique<agent::Agent>(s, clock_.random(), now_);
  w.incarnation = ++agent_incarnations_;
  Event e;
  e.kind = Event::Kind::kMachineUp;
  e.machine = m.id;
  e.text = m.zone;
  e.number = m.spot;
  RecordEvent(e);
  w.agent->Tick(now_);
  ProcessAgentActions(m.id);
}

void World::OnMachineGone(const std::string& id) {
  auto it = workers_.find(id);
  if (it == workers_.end()) return;
  const std::set<TaskKey> running_tasks = it->second.running_tasks;
  for (const TaskKey& task : running_tasks) {
    RecordTaskExit(id, task);
    task_emulator_.Kill(task);
  }
  workers_.erase(id);
  if (backend_) backend_->CloseMachine(id);
  Event e;
  e.kind = Event::Kind::kMachineGone;
  e.machine = id;
  RecordEvent(e);
}

void World::RestartMachine(const std::string& id) {
  OnMachineGone(id);
  Schedule(now_ + RandomDuration(0.1, 0.9), [this, id] {
    const Cloud::Machine& machine = cloud_.machines().at(id);
    if (machine.gone_at > now_ && machine.failed_at > now_) OnMachineUp(machine);
  });
}

void World::RecordTaskExit(const std::string& machine, const TaskKey& task) {
  if (workers_.at(machine).running_tasks.erase(task) == 0) return;
  Event e;
  e.kind = Event::Kind::kTaskExited;
  e.job = task.ref.job;
  e.task = task.ref.task;
  e.machine = machine;
  e.number = task.attempt;
  RecordEvent(e);
}

Micros World::HungUntil(const std::string& id) const {
  auto it = workers_.find(id);
  return it == workers_.end() ? Micros{} : it->second.hung_until;
}

// Tasks on a hung machine still complete on time, but that is reported only when the machine goes
// on. The agent's first step then is a tick, which checks its lease.
void World::HangMachine(const std::string& id, Micros span) {
  Worker& w = workers_.at(id);
  if (w.hung_until > now_) return;
  w.hung_until = now_ + span;
  RecordNote("hangs " + id);
  Schedule(w.hung_until, [this, id, incarnation = w.incarnation] {
    auto it = workers_.find(id);
    if (it == workers_.end() || it->second.incarnation != incarnation) return;
    it->second.agent->Tick(now_);
    ProcessAgentActions(id);
  });
}

void World::ProcessAgentActions(const std::string& id) {
  Worker& w = workers_.at(id);
  const auto alive = [this, id, incarnation = w.incarnation](auto then) {
    return [this, id, incarnation, then] {
      const auto now = [this, id, incarnation, then] {
        auto it = workers_.find(id);
        if (it == workers_.end() || it->second.incarnation != incarnation) return;
        then(it->second.agent.get());
        ProcessAgentActions(id);
      };
      if (HungUntil(id) > now_) return Schedule(HungUntil(id), now);
      now();
    };
  };
  if (w.hung_until > now_) return;
  using Kind = agent::Action::Kind;
  for (agent::Action& c : w.agent->Take()) {
    switch (c.kind) {
      case Kind::kSendHeartbeat: {
        wire::Call call{"POST", "/checkin", wire::FormatHeartbeat(c.report), Seconds(4)};
        SendRequest(
            id, NodeName(c.controller), std::move(call),
            [this, id, alive, report = c.report_id, to = c.controller](int status,
                                                                       const std::string& body) {
              if (status == 200) last_known_leader_ = static_cast<int>(to);
              const HeartbeatResponse a = wire::ParseHeartbeatResponse(std::max(status, 0), body);
              const Micros duplicate_delay =
                  status == 200
                      ? message_faults_.CommandDuplicateDelay(&clock_, scenario_.site.agent_lease)
                      : Micros{};
              if (duplicate_delay.count > 0) {
                Schedule(now_ + duplicate_delay,
                         [this, id, report, a] { DeliverDuplicateResponse(id, report, a); });
              }
              alive([this, report, a](agent::Agent* agent) { agent->OnAnswer(now_, report, a); })();
            });
        break;
      }
      case Kind::kFetchJobSpec:
        if (backend_ && !task_emulator_.FindJob(c.text)) {  // not a job of the scenario
          backend_->FetchJobSpec(c.text, [this, alive, job = c.text](std::optional<JobSpec> spec) {
            if (spec && !task_emulator_.FindJob(job))
              task_emulator_.AddJob(*spec, spec->estimated_runtime, 0);
            alive([this, job, spec](agent::Agent* agent) { agent->OnJobSpec(now_, job, spec); })();
          });
          break;
        }
        Schedule(now_ + Millis(5), alive([this, job = c.text](agent::Agent* agent) {
                   const JobSpec* spec = task_emulator_.FindJob(job);
                   agent->OnJobSpec(now_, job, spec ? std::optional<JobSpec>(*spec) : std::nullopt);
                 }));
        break;
      case Kind::kFetchImage: {
        const uint64_t serial = ++clock_.order;
        w.fetches[c.text] = serial;
        Schedule(now_ + Seconds(c.gb / w.fetch_gb_per_s),
                 alive([this, id, image = c.text, serial](agent::Agent* agent) {
                   if (workers_.at(id).fetches[image] == serial) agent->OnImage(now_, image);
                 }));
        break;
      }
      case Kind::kCancelImageFetch:
        w.fetches.erase(c.text);
        break;
      case Kind::kLaunch: {
        w.running_tasks.insert(c.task);
        Event e;
        e.kind = Event::Kind::kTaskStarted;
        e.job = c.task.ref.job;
        e.task = c.task.ref.task;
        e.machine = id;
        e.number = c.task.attempt;
        RecordEvent(e);
        if (jobs_.contains(e.job)) ++jobs_.at(e.job).starts;
        // Not from within this call: a gang that becomes complete calls its members' agents.
        Schedule(now_, [this, id, task = c.task] {
          auto it = workers_.find(id);
          if (it == workers_.end() || !it->second.running_tasks.contains(task)) return;
          task_emulator_.Launch(id, task, it->second.fails_tasks);
        });
        break;
      }
      case Kind::kSaveCheckpoint:
        Schedule(now_, [this, id, task = c.task] {
          auto it = workers_.find(id);
          if (it != workers_.end() && it->second.running_tasks.contains(task))
            task_emulator_.SaveCheckpoint(id, task);
        });
        break;
      case Kind::kKill:
        RecordTaskExit(id, c.task);
        task_emulator_.Kill(c.task);
        break;
    }
  }
  const Micros next = std::max(w.agent->NextDeadline(), now_ + Micros{1});
  if (next >= w.next_tick) return;
  w.next_tick = next;
  Schedule(next, alive([this, id, next](agent::Agent* agent) {
             Worker& worker = workers_.at(id);
             if (worker.next_tick == next) worker.next_tick = kNever;
             agent->Tick(now_);
           }));
}

void World::DeliverDuplicateResponse(const std::string& machine, uint64_t report_id,
                                     const HeartbeatResponse& response) {
  const auto it = workers_.find(machine);
  if (it == workers_.end() || it->second.hung_until > now_) return;
  it->second.agent->OnAnswer(now_, report_id, response);
  ProcessAgentActions(machine);
}

void World::HandleMachineRequest(const std::string& machine, uint64_t id, const wire::Call& call) {
  auto it = workers_.find(machine);
  if (it == workers_.end()) return;  // the machine is gone: no response
  if (it->second.hung_until > now_) {
    return Schedule(it->second.hung_until,
                    [this, machine, id, call] { HandleMachineRequest(machine, id, call); });
  }
  const std::optional<CommandRequest> op = wire::ParseCommandRequest(call.body);
  if (!op) return Respond(id, 400, "{}");
  // A start that arrives late, or again, could run a task beside its next attempt.
  if (HasStarts(op->commands)) {
    context_->result.violations.push_back(
        {"direct_start", now_.ToSeconds(), "a direct command to " + machine + " starts tasks"});
  }
  const int status =
      it->second.agent->OnCommands(now_, op->fencing_token, op->agent_epoch, op->commands);
  Respond(id, status, wire::FormatHeartbeat(it->second.agent->Status()));
  ProcessAgentActions(machine);
}

}  // namespace badgershore::rehearsal
