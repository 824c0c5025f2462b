#include "core/leader/checkins.h"

#include "core/leader/dispatch.h"
#include "core/leader/job_table.h"
#include "core/leader/machine_table.h"
#include "core/leader/recorder.h"

namespace badgershore {

// A process may stand still between a decision and its sending.
Micros Checkins::GoodUntil(const std::vector<Command>& orders) const {
  const bool starts = std::any_of(orders.begin(), orders.end(),
                                  [](const Command& o) { return o.verb == Command::Verb::kStart; });
  return starts ? authority().start_until() : kNever;
}

Checkins::Verdict Checkins::Take(Micros now, RequestId token, const Heartbeat& report,
                                 std::vector<Command>* orders) {
  if (!authority().MayAnswer(now)) return Verdict::kCannot;
  // Copies of reports come late, also of machines that are gone. Nothing about a machine changes
  // before it is proved that its worker still waits for this one's answer, or that it may.
  if (machine_table().Buried(report.machine)) return Verdict::kStale;
  Machine* m = machine_table().Find(report.machine);
  if (m && m->IsSuperseded(report)) return Verdict::kStale;
  // Starts go only to a worker that has seen this term: then no earlier leader's order counts.
  if (report.fencing_token != election()->term()) return Greet(now, report, orders);
  if (!m) {
    m = machine_table().Adopt(now, report.machine, report.endpoint, report.type, report.zone,
                              report.spot);
  }
  MayLive(now, m);
  const bool fresh = machine_table().Absorb(now, m, report, true);
  m->heartbeat_sequence = report.sequence;
  m->first_answered_at = {-1};
  if (!fresh) {  // a direct call's answer has overtaken it
    HaltsFor(*m, orders);
    return Verdict::kAnswer;
  }
  machine_table().Resolve(now, m);
  if (!m->durable && authority().MayStart(now)) {
    recorder().Keep(now, m);
    m->pending_heartbeats.push_back(token);
    m->heartbeats_pending_since = now;
    recorder().Write(now);
    return Verdict::kLater;
  }
  AnswerHeld(now, m);  // of an earlier report, whose worker has given up waiting
  OrdersFor(now, m, orders);
  if (orders->empty() && HoldsOut(now, *m)) {
    m->pending_heartbeats.push_back(token);
    m->heartbeats_pending_since = now;
    return Verdict::kLater;
  }
  if (recorder().finishing()) recorder().Write(now);  // its user is waiting to hear of it
  return Verdict::kAnswer;
}

void Checkins::MayLive(Micros now, Machine* m) const {
  m->agent_lease_until = std::max(
      m->agent_lease_until, now + settings().agent_lease.Scaled(1 + kClockDrift) + Millis(200));
}

// How old such a report is can't be told, so nothing is taken from it. Its worker learns the term
// from the answer and reports again, and what it runs of jobs that are over ends at once: terms
// that follow each other quickly would else each keep it alive for another lease. A worker that
// goes on reporting without the term does not hear the answers. They end then, so that its lease
// surely runs out and nothing waits for it any longer.
Checkins::Verdict Checkins::Greet(Micros now, const Heartbeat& report,
                                  std::vector<Command>* orders) {
  if (Machine* m = machine_table().Find(report.machine)) {
    if (now > m->agent_lease_until) {
      if (!m->reconciled || !m->allocations.empty())
        return Verdict::kCannot;  // they are dropped first
      m->first_answered_at = now;
    }
    if (m->first_answered_at.count < 0) m->first_answered_at = now;
    if (now - m->first_answered_at > settings().heartbeat_interval.Scaled(2.5) + Seconds(4)) {
      return Verdict::kCannot;
    }
    MayLive(now, m);
  }
  for (const TaskStatus& t : report.tasks) {
    if (t.phase != TaskPhase::kExited && !job_table().jobs().contains(t.ref.job)) {
      orders->push_back({Command::Verb::kStop, t.ref, t.attempt, {}});
    }
  }
  return Verdict::kAnswer;
}

void Checkins::Dismiss() {
  for (const auto& [id, m] : machine_table().machines()) {
    for (const RequestId token : std::exchange(m->pending_heartbeats, {})) {
      asker()->out.heartbeat_responses.push_back({token, 503, "", 0, {}});
    }
  }
}

// A machine with nothing on it has nothing to report. Its answer waits a little, so that what comes
// up for it starts at once and not with its next report, seconds later.
bool Checkins::HoldsOut(Micros now, const Machine& m) const {
  return options().hold_checkin.count > 0 && m.durable && m.allocations.empty() &&
         m.queue.empty() && !m.preemption_at && machine_table().Ready(m, now) &&
         authority().MayStart(now);
}

void Checkins::AnswerReady(Micros now) {
  for (const auto& [id, m] : machine_table().machines()) {
    if (m->pending_heartbeats.empty() || !m->durable) continue;
    if (m->allocations.empty() && m->queue.empty() &&
        now - m->heartbeats_pending_since < options().hold_checkin) {
      continue;
    }
    AnswerHeld(now, m.get());
  }
}

void Checkins::AnswerHeld(Micros now, Machine* m) {
  for (size_t i = 0; i < m->pending_heartbeats.size(); ++i) {
    HeartbeatResponse answer;
    answer.request_id = m->pending_heartbeats[i];
    answer.status = 200;
    answer.fencing_token = election()->term();
    // Only the newest one is certain to be awaited still.
    if (i + 1 == m->pending_heartbeats.size()) OrdersFor(now, m, &answer.commands);
    answer.valid_until = GoodUntil(answer.commands);
    asker()->out.heartbeat_responses.push_back(std::move(answer));
  }
  m->pending_heartbeats.clear();
}

void Checkins::HaltsFor(const Machine& m, std::vector<Command>* orders) const {
  for (const auto& [key, o] : m.allocations) {
    if (o.stop_requested && !o.exited() && !o.start_unsent) {
      orders->push_back({Command::Verb::kStop, o.ref, o.attempt, o.grace_period});
    }
  }
}

void Checkins::OrdersFor(Micros now, Machine* m, std::vector<Command>* orders) {
  HaltsFor(*m, orders);
  for (auto& [key, o] : m->allocations) {
    if (o.exited()) {
      // A completion is forgotten by the worker only when it is durable here.
      const bool keep = o.exit_reason == ExitReason::kDone && o.job && !o.job->IsService() &&
                        !o.job->tasks[static_cast<size_t>(o.ref.task)].durable;
      if (!keep) orders->push_back({Command::Verb::kForget, o.ref, o.attempt, {}});
    }
  }
  if (!authority().MayStart(now) || !m->durable || !m->reconciled || !m->type) return;
  if (m->stage != MachineStage::kUp) return;
  for (auto& [key, o] : m->allocations) {
    if (!o.start_unsent || !o.job || o.job->cancel_pending) continue;
    o.start_unsent = false;
    o.sent_epoch = m->agent_epoch;
    o.sent_sequence = m->sequence;
    orders->push_back({Command::Verb::kStart, o.ref, o.attempt, {}});
  }
  if (!machine_table().Ready(*m, now)) return;
  dispatch().BindWaiting(now);
  dispatch().StartTasksOn(now, m, orders);
  if (!m->allocations.empty()) m->idle_since = {-1};
}

}  // namespace badgershore
