#include "core/leader/checkins.h"

#include "core/leader/dispatch.h"
#include "core/leader/job_table.h"
#include "core/leader/machine_table.h"
#include "core/leader/recorder.h"

namespace badgershore {

// A process may stand still between a decision and its sending.
Micros Checkins::GoodUntil(const std::vector<Order>& orders) const {
  const bool starts = std::any_of(orders.begin(), orders.end(),
                                  [](const Order& o) { return o.verb == Order::Verb::kStart; });
  return starts ? authority().start_until() : kNever;
}

Checkins::Verdict Checkins::Take(Micros now, RequestId token, const Report& report,
                                 std::vector<Order>* orders) {
  if (!authority().MayAnswer(now)) return Verdict::kCannot;
  // Copies of reports come late, also of machines that are gone. Nothing about a machine changes
  // before it is proved that its worker still waits for this one's answer, or that it may.
  if (machine_table().Buried(report.machine)) return Verdict::kStale;
  Machine* m = machine_table().Find(report.machine);
  if (m && m->Passed(report)) return Verdict::kStale;
  // Starts go only to a worker that has seen this term: then no earlier leader's order counts.
  if (report.fencing_token != election()->term()) return Greet(now, report, orders);
  if (!m) {
    m = machine_table().Adopt(now, report.machine, report.endpoint, report.type, report.zone,
                              report.spot);
  }
  MayLive(now, m);
  const bool fresh = machine_table().Absorb(now, m, report, true);
  m->checkin_seq = report.seq;
  m->greeted_at = {-1};
  if (!fresh) {  // a direct call's answer has overtaken it
    HaltsFor(*m, orders);
    return Verdict::kAnswer;
  }
  machine_table().Resolve(now, m);
  if (!m->recorded && authority().MayStart(now)) {
    recorder().Keep(now, m);
    m->held_checkins.push_back(token);
    m->held_since = now;
    recorder().Write(now);
    return Verdict::kLater;
  }
  AnswerHeld(now, m);  // of an earlier report, whose worker has given up waiting
  OrdersFor(now, m, orders);
  if (orders->empty() && HoldsOut(now, *m)) {
    m->held_checkins.push_back(token);
    m->held_since = now;
    return Verdict::kLater;
  }
  if (recorder().finishing()) recorder().Write(now);  // its user is waiting to hear of it
  return Verdict::kAnswer;
}

void Checkins::MayLive(Micros now, Machine* m) const {
  m->alive_until =
      std::max(m->alive_until, now + settings().worker_lease.Scaled(1 + kClockDrift) + Millis(200));
}

// How old such a report is can't be told, so nothing is taken from it. Its worker learns the term
// from the answer and reports again, and what it runs of jobs that are over ends at once: terms
// that follow each other quickly would else each keep it alive for another lease. A worker that
// goes on reporting without the term does not hear the answers. They end then, so that its lease
// surely runs out and nothing waits for it any longer.
Checkins::Verdict Checkins::Greet(Micros now, const Report& report, std::vector<Order>* orders) {
  if (Machine* m = machine_table().Find(report.machine)) {
    if (now > m->alive_until) {
      if (!m->resolved || !m->occupants.empty()) return Verdict::kCannot;  // they are dropped first
      m->greeted_at = now;
    }
    if (m->greeted_at.count < 0) m->greeted_at = now;
    if (now - m->greeted_at > settings().report_every.Scaled(2.5) + Seconds(4)) {
      return Verdict::kCannot;
    }
    MayLive(now, m);
  }
  for (const ReportedTask& t : report.tasks) {
    if (t.state != RunState::kExited && !job_table().jobs().contains(t.ref.job)) {
      orders->push_back({Order::Verb::kHalt, t.ref, t.attempt, {}});
    }
  }
  return Verdict::kAnswer;
}

void Checkins::Dismiss() {
  for (const auto& [id, m] : machine_table().machines()) {
    for (const RequestId token : std::exchange(m->held_checkins, {})) {
      asker()->out.checkins.push_back({token, 503, "", 0, {}});
    }
  }
}

// A machine with nothing on it has nothing to report. Its answer waits a little, so that what comes
// up for it starts at once and not with its next report, seconds later.
bool Checkins::HoldsOut(Micros now, const Machine& m) const {
  return options().hold_checkin.count > 0 && m.recorded && m.occupants.empty() && m.queue.empty() &&
         !m.gone_at && machine_table().Ready(m, now) && authority().MayStart(now);
}

void Checkins::AnswerReady(Micros now) {
  for (const auto& [id, m] : machine_table().machines()) {
    if (m->held_checkins.empty() || !m->recorded) continue;
    if (m->occupants.empty() && m->queue.empty() && now - m->held_since < options().hold_checkin) {
      continue;
    }
    AnswerHeld(now, m.get());
  }
}

void Checkins::AnswerHeld(Micros now, Machine* m) {
  for (size_t i = 0; i < m->held_checkins.size(); ++i) {
    CheckinAnswer answer;
    answer.token = m->held_checkins[i];
    answer.status = 200;
    answer.fencing_token = election()->term();
    // Only the newest one is certain to be awaited still.
    if (i + 1 == m->held_checkins.size()) OrdersFor(now, m, &answer.orders);
    answer.good_until = GoodUntil(answer.orders);
    asker()->out.checkins.push_back(std::move(answer));
  }
  m->held_checkins.clear();
}

void Checkins::HaltsFor(const Machine& m, std::vector<Order>* orders) const {
  for (const auto& [key, o] : m.occupants) {
    if (o.halt && !o.exited() && !o.unsent) {
      orders->push_back({Order::Verb::kHalt, o.ref, o.attempt, o.grace});
    }
  }
}

void Checkins::OrdersFor(Micros now, Machine* m, std::vector<Order>* orders) {
  HaltsFor(*m, orders);
  for (auto& [key, o] : m->occupants) {
    if (o.exited()) {
      // A completion is forgotten by the worker only when it is durable here.
      const bool keep = o.cause == ExitCause::kDone && o.job && !o.job->service() &&
                        !o.job->tasks[static_cast<size_t>(o.ref.task)].saved;
      if (!keep) orders->push_back({Order::Verb::kClear, o.ref, o.attempt, {}});
    }
  }
  if (!authority().MayStart(now) || !m->recorded || !m->resolved || !m->type) return;
  if (m->stage != MachineStage::kUp) return;
  for (auto& [key, o] : m->occupants) {
    if (!o.unsent || !o.job || o.job->called_off) continue;
    o.unsent = false;
    o.sent_session = m->session;
    o.sent_seq = m->seq;
    orders->push_back({Order::Verb::kStart, o.ref, o.attempt, {}});
  }
  if (!machine_table().Ready(*m, now)) return;
  dispatch().BindWaiting(now);
  dispatch().StartFrom(now, m, orders);
  if (!m->occupants.empty()) m->idle_since = {-1};
}

}  // namespace badgershore
