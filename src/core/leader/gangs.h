// Gangs: all members at once or none, and the room that is made for them.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "core/leader/part.h"
#include "core/model/fleet.h"
#include "core/model/jobs.h"

namespace badgershore {

class Gangs : public Part {
 public:
  using Part::Part;

  void Tick(Micros now);
  // All members are told at once: a save counts only within the peers' patience.
  void Halt(Micros now, Job* job, Micros grace);
  void Forget(Job* job);  // it is over

 private:
  bool Place(Micros now, Job* job);
  bool AwaitsClear(Micros now, const Job& job, const std::vector<int>& members) const;
  bool MayStop(const Allocation& o, const Job& gang) const;
  Micros LostBy(Micros now, const Allocation& o) const;
  void Stop(Allocation* o);
  void MakeLimitRoom(Micros now, const Job& gang);
  std::optional<double> CostToClear(Micros now, const Machine& m, const Job& gang,
                                    bool after_gangs) const;
  void ReserveFor(Micros now, Job* gang, bool pressed);
  void Release(Job* gang);
  void MakeWay(Micros now, Machine* m, const Job& gang);
  void Follow(Micros now, Job* job);
  const Job* Pressed(Micros now, int team, const std::vector<Job*>& gangs);

  std::vector<Job*> waiting_;
  Micros limit_look_at_;
  struct Turn {
    std::string whose;  // goes before its turn
    int others = 0;     // have gone since
    Micros at;
  };
  std::map<int, Turn> turns_;  // by team
};

}  // namespace badgershore
