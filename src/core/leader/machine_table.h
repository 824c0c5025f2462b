// The machines: their sessions, what reports prove, silence, resolving after a takeover.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/leader/part.h"
#include "core/model/fleet.h"
#include "core/model/jobs.h"

namespace badgershore {

class MachineTable : public Part {
 public:
  using Part::Part;
  using Machines = std::map<std::string, std::unique_ptr<Machine>>;  // by id

  const Machines& machines() const { return machines_; }
  const std::vector<Machine*>& unresolved() const { return unresolved_; }
  Machine* Find(const std::string& id) const;
  Machine* Adopt(Micros now, const std::string& id, const std::string& endpoint,
                 const std::string& type, const std::string& zone, bool spot);
  // From the durable record: an earlier leader may have sent it anything.
  void Load(Micros now, const MachineRecord& r);
  // Takes in what a report says. False: it is older than what is known.
  bool Absorb(Micros now, Machine* m, const Heartbeat& r, bool checkin);
  void Resolve(Micros now, Machine* m);
  void HaltNow(Micros now, Machine* m);
  void GiveBack(Micros now, Machine* m, const std::string& why);
  void Remove(Micros now, const std::string& id);  // the cloud's word: it is gone
  void Watch(Micros now);
  // The leader stood still until now: what it did not hear meanwhile says nothing of the machines.
  void Awoke(Micros now);

  bool Ready(const Machine& m, Micros now) const;  // may be given work
  // The job may still run on a machine that has not answered this term, or is being called off.
  bool Held(const Job& job) const;
  // Machines reported in this term, and for so long none did that it can't be chance. Answers to
  // direct calls don't count: they come though the workers can't open a connection to here.
  bool Deaf(Micros now) const;
  // Given back, and may still be heard of.
  bool Buried(const std::string& id) const { return tombstones_.contains(id); }
  // Given back so long ago, and listed still, that it is to be asked for once more.
  bool RisesAgain(Micros now, const std::string& id);

 private:
  void Gone(Micros now, Machine* m, Allocation* o);
  void DropAll(Micros now, Machine* m);
  void Exited(Micros now, Machine* m, Allocation* o, ExitReason cause);
  void Probe(Micros now, Machine* m);
  int AskUnresolved(Micros now);

  Machines machines_;
  std::map<std::string, Micros> tombstones_;
  std::vector<Machine*> unresolved_;
  int up_ = 0;                // machines that are up, as of the last tick
  Micros last_reported_{-1};  // by any machine in this term
  Micros patient_until_;      // no machine is given up before, nor the place
};

}  // namespace badgershore
