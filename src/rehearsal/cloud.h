// Emulates the cloud of PROTOCOL "Controller nodes -> cloud": handles its requests and reports
// through callbacks which machines start and end.
#pragma once

#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "config/scenario.h"
#include "store/rate_limiter.h"
#include "wire/messages.h"

namespace badgershore::rehearsal {

using config::MachineOffer;
using config::Scenario;

class Cloud {
 public:
  struct Machine {
    std::string id, type, zone, endpoint;
    bool spot = false;
    Micros requested_at, up_at = kNever, failed_at = kNever, gone_at = kNever;
  };
  struct Hooks {
    std::function<void(Micros at, std::function<void()>)> later;
    std::function<void(const Machine&)> up;
    std::function<void(const Machine&)> gone;
    std::function<std::string(const std::string& id)> endpoint;
  };
  Cloud(const Scenario& scenario, uint64_t seed, Hooks hooks);

  // Starts the machines that are up from the beginning.
  void Begin(Micros now);
  std::pair<int, std::string> Handle(Micros now, const wire::Call& call);
  // Ends a machine: returned by a controller, or reclaimed by the cloud.
  void Terminate(Micros now, const std::string& id);
  double TotalCost(Micros now) const;

  // Injected faults.
  bool api_down = false, no_capacity = false;
  double vanish_share = 0, never_boots_share = 0;
  const std::map<std::string, Machine>& machines() const { return machines_; }

 private:
  const MachineOffer* Type(const std::string& name) const;
  std::string Add(Micros now, const MachineOffer& type, const std::string& zone, bool spot);
  std::pair<int, std::string> Rent(Micros now, const std::string& body);
  std::string List(Micros now, const std::string& after);
  double RandomFraction() { return std::uniform_real_distribution<double>(0, 1)(random_); }

  const Scenario& scenario_;
  std::mt19937_64 random_;
  Hooks hooks_;
  store::RateLimiter rate_;
  std::map<std::string, Machine> machines_;  // including those that are gone
  std::map<std::string, std::string> rent_responses_;
  int last_id_ = 0;
};

}  // namespace badgershore::rehearsal
