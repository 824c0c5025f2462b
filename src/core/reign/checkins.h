// Answers to machines' reports: what to halt, forget and start.
#pragma once

#include <vector>

#include "core/model/fleet.h"
#include "core/reign/part.h"

namespace badgershore {

class Checkins : public Part {
 public:
  using Part::Part;

  // kLater: the answer comes among the effects, by its token, once the machine is recorded.
  enum class Verdict { kAnswer, kLater, kCannot };
  Verdict Take(Micros now, RequestId token, const Report& report, std::vector<Order>* orders);
  void AnswerHeld(Micros now, Machine* m);
  // Those of machines that something has come up for, or that have waited long enough.
  void AnswerReady(Micros now);
  // How long reports may be answered without the state service.
  Micros AnswerUntil() const;
  // An answer with these orders may leave this process until then.
  Micros GoodUntil(const std::vector<Order>& orders) const;

 private:
  bool HoldsOut(Micros now, const Machine& m) const;
  void OrdersFor(Micros now, Machine* m, std::vector<Order>* orders);
};

}  // namespace badgershore
