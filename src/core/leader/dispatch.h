// The paper's dispatch: waiting tasks to the machine that has received least, and from each
// machine's queue the smallest estimate that fits.
#pragma once

#include <string>
#include <vector>

#include "core/leader/part.h"
#include "core/model/fleet.h"
#include "core/model/jobs.h"
#include "core/placement/guardrails.h"

namespace badgershore {

class Dispatch : public Part {
 public:
  using Part::Part;

  void BindWaiting(Micros now);
  void KeepForUnbegun(Micros now);
  void StartFrom(Micros now, Machine* m, std::vector<Command>* orders);
  void Unbind(Machine* m);
  void Unbind(Job* job);  // from all machines' queues
  // What of a machine is open to a job, where `used` is taken.
  Resources RoomFor(const Machine& m, const Job& job, const Resources& used, Micros now) const;

 private:
  int Claim(Micros now, const Job& job) const;  // the more, the sooner
  bool Shuns(Micros now, const Job& job, const Machine& m) const;
  void Bind(Micros now, Job* job, int task, const Able& able);
  bool TakeQueued(Micros now, Machine* m, Resources* used, std::vector<Command>* orders);
  bool TakePressing(Micros now, Machine* m, Resources* used, std::vector<Command>* orders);
  const std::pair<int, Micros>* Movable(Micros now, Job* job) const;
  bool FitsHere(Micros now, const Job& job, const Machine& m, const Resources& used) const;
  void MoveHere(Micros now, Machine* m, Job* job, Resources* used, std::vector<Command>* orders);
  bool TakeRebound(Micros now, Machine* m, Resources* used, std::vector<Command>* orders);
  void StartOne(Micros now, Machine* m, Job* job, int task, Resources* used,
                std::vector<Command>* orders);

  Micros keep_at_;
  double bind_budget_ = 0;  // machines that may be looked at
  Micros budget_at_;
  std::string bound_last_;  // the job that was bound last
};

}  // namespace badgershore
