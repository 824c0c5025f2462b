#include "core/reign/checkins.h"

#include "core/reign/dispatch.h"
#include "core/reign/recorder.h"
#include "core/reign/roster.h"

namespace badgershore {
namespace {

constexpr Micros kHoldMargin = Seconds(3);

}  // namespace

// How long a leader may go on answering reports without the state service: a cancellation noted
// elsewhere right after the last contact must still be carried out in time by the lease's end.
Micros Checkins::AnswerUntil() const {
  return election()->confirmed_at() +
         std::max(Seconds(0), settings().cancel_within - settings().worker_lease - kHoldMargin);
}

// A process may stand still between a decision and its sending.
Micros Checkins::GoodUntil(const std::vector<Order>& orders) const {
  const bool starts = std::any_of(orders.begin(), orders.end(),
                                  [](const Order& o) { return o.verb == Order::Verb::kStart; });
  return starts ? election()->lease_until() : kNever;
}

Checkins::Verdict Checkins::Take(Micros now, RequestId token, const Report& report,
                                 std::vector<Order>* orders) {
  Machine* m =
      roster().Adopt(now, report.machine, report.endpoint, report.type, report.zone, report.spot);
  const bool fresh = roster().Absorb(now, m, report, true);
  m->alive_until =
      std::max(m->alive_until, now + settings().worker_lease.Scaled(1 + kClockDrift) + Millis(200));
  // Starts go only to a worker that has seen this term: then no earlier leader's order counts.
  if (!fresh || report.baton != election()->term()) return Verdict::kAnswer;
  roster().Resolve(now, m);
  if (!m->recorded && election()->MayStart(now)) {
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

// A machine with nothing on it has nothing to report. Its answer waits a little, so that what comes
// up for it starts at once and not with its next report, seconds later.
bool Checkins::HoldsOut(Micros now, const Machine& m) const {
  return options().hold_checkin.count > 0 && m.recorded && m.occupants.empty() && m.queue.empty() &&
         !m.gone_at && roster().Ready(m, now) && election()->MayStart(now);
}

void Checkins::AnswerReady(Micros now) {
  for (const auto& [id, m] : roster().machines()) {
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
    answer.baton = election()->term();
    // Only the newest one is certain to be awaited still.
    if (i + 1 == m->held_checkins.size()) OrdersFor(now, m, &answer.orders);
    answer.good_until = GoodUntil(answer.orders);
    asker()->out.checkins.push_back(std::move(answer));
  }
  m->held_checkins.clear();
}

void Checkins::OrdersFor(Micros now, Machine* m, std::vector<Order>* orders) {
  for (auto& [key, o] : m->occupants) {
    if (o.exited()) {
      // A completion is forgotten by the worker only when it is durable here.
      const bool keep = o.cause == ExitCause::kDone && o.job && !o.job->service() &&
                        !o.job->tasks[static_cast<size_t>(o.ref.task)].saved;
      if (!keep) orders->push_back({Order::Verb::kClear, o.ref, o.attempt, {}});
    } else if (o.halt && !o.unsent) {
      orders->push_back({Order::Verb::kHalt, o.ref, o.attempt, o.grace});
    }
  }
  if (!election()->MayStart(now) || !m->recorded || !m->resolved || !m->type) return;
  if (m->stage != MachineStage::kUp) return;
  for (auto& [key, o] : m->occupants) {
    if (!o.unsent || !o.job) continue;
    o.unsent = false;
    o.sent_session = m->session;
    o.sent_seq = m->seq;
    orders->push_back({Order::Verb::kStart, o.ref, o.attempt, {}});
  }
  if (!roster().Ready(*m, now)) return;
  dispatch().BindWaiting(now);
  dispatch().StartFrom(now, m, orders);
  if (!m->occupants.empty()) m->idle_since = {-1};
}

}  // namespace badgershore
