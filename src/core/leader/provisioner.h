// Dealings with the cloud: types, the list, renting and returning.
#pragma once

#include <map>
#include <string>
#include <unordered_set>
#include <vector>

#include "core/leader/part.h"
#include "core/model/fleet.h"
#include "core/placement/autoscaler.h"

namespace badgershore {

class Provisioner : public Part {
 public:
  using Part::Part;

  void Tick(Micros now);
  void Return(const std::string& machine) { return_queue_.push_back(machine); }

 private:
  struct PendingRent {
    InstanceOffer offer;
    int count = 0;
    int tries = 0;
    bool asking = false;
    Micros retry_at;
  };
  // What was paid for in this term, in machine seconds, for the log.
  struct Paid {
    double held = 0, boot = 0, used = 0, fetching = 0, short_of_work = 0;
  };
  void ListMachines(Micros now, const std::string& after);
  void Listed(Micros now, const CloudInstance& l);
  void AskTypes(Micros now);
  void Rent(Micros now, const InstanceOffer& offer, int count);
  void SendRent(Micros now, const std::string& name);
  void Scale(Micros now);
  void CountPaid(Micros now);
  void SendReturns(Micros now);

  bool listing_ = false, asking_types_ = false;
  Micros list_at_, types_at_, scale_at_, log_at_;
  uint64_t rents_ = 0;
  std::map<std::string, PendingRent> pending_;
  std::unordered_set<std::string> list_seen_;
  std::vector<std::string> return_queue_;
  bool returning_ = false;
  Micros return_at_;
  std::map<InstanceOffer, Paid> paid_;
  Micros paid_at_;
};

}  // namespace badgershore
