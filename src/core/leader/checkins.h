// Answers to machines' reports: what to halt, forget and start.
#pragma once

#include <vector>

#include "core/leader/part.h"
#include "core/model/fleet.h"

namespace badgershore {

class Checkins : public Part {
 public:
  using Part::Part;

  // kLater: the answer comes among the effects, by its token, once the machine is recorded.
  // kStale: the worker has sent a later one, so that nobody awaits this one's answer.
  enum class Verdict { kAnswer, kLater, kCannot, kStale };
  Verdict Take(Micros now, RequestId token, const Heartbeat& report, std::vector<Command>* orders);
  void AnswerHeld(Micros now, Machine* m);
  // Those of machines that something has come up for, or that have waited long enough.
  void AnswerReady(Micros now);
  // An answer with these orders may leave this process until then.
  Micros GoodUntil(const std::vector<Command>& orders) const;

  void Dismiss();  // the term is over

 private:
  // To a worker that has not seen this term.
  Verdict Greet(Micros now, const Heartbeat& report, std::vector<Command>* orders);
  // An answer lets its tasks live for a lease from the report's sending.
  void MayLive(Micros now, Machine* m) const;
  bool HoldsOut(Micros now, const Machine& m) const;
  void HaltsFor(const Machine& m, std::vector<Command>* orders) const;
  void OrdersFor(Micros now, Machine* m, std::vector<Command>* orders);
};

}  // namespace badgershore
